//! Hall schedulers on the paused clock, against the in-memory platform.

mod jobs;
mod ownership;
mod requests;
mod support;
