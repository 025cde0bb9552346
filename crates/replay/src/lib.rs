//! Replay library: traces, baselines and measurements.

pub mod args;
pub mod compare;
pub mod cost;
pub mod engine;
pub mod floor;
pub mod report;
pub mod site;
pub mod tally;
pub mod trace;
pub mod workload;
