//! Runs instances in one process against simulated workers, store and network, on Tokio's paused clock, and
//! checks the whole path of job graphs under faults.

mod accepted_work;
mod call_history;
mod cancels;
mod crashes;
mod entries;
mod evacuations;
mod feeds;
mod holder_kills;
mod load_refusals;
mod logs;
mod many_instances;
mod normal_operation;
mod nudges;
mod outages;
mod paired_faults;
mod panics;
mod partitions;
mod queue_counts;
mod resource_changes;
mod restarts;
mod retry_times;
mod sessions;
mod speeds;
mod starvation_oracle;
mod store_limits;
mod store_outages;
mod storm_oracle;
mod storm_plan;
mod storms;
mod strengths;
mod successors;
mod support;
mod takeovers;
mod unreadable_rows;
mod unsaved_ends;
