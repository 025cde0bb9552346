//! Fakes of the platform's services, workers and upstreams, with faults injected by tests, in memory or
//! served over HTTP.
//!
//! The fakes implement the traits of `almondpass_ports` directly and use tokio's clock, so that a test can
//! pause the time. The [`fault::FaultPlan`] of a handle decides which faults the calls get.

pub mod execution;
pub mod fault;
pub mod fleet;
pub mod instance;
pub mod net;
pub mod object;
pub mod plan;
pub mod pool_fleet;
pub mod pool_worker;
pub mod run;
pub mod script;
pub mod service;
pub mod site;
pub mod table;
pub mod upstream;
pub mod worker;

mod state;
mod trailing_bytes;
