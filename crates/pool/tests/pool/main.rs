//! Instances on the stand-in, on the paused clock: the whole path of job graphs under faults.

mod accepted_work;
mod calm;
mod crashes;
mod entries;
mod evacuations;
mod feeds;
mod logs;
mod nudges;
mod outages;
mod panics;
mod restarts;
mod rooms;
mod rows;
mod sessions;
mod still_jobs;
mod storms;
mod strengths;
mod successors;
mod support;
mod takeovers;
