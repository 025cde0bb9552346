//! In-memory fakes of the platform's services, workers and upstreams, with switchable faults, served over HTTP.
//!
//! The fakes implement the traits of `almondpass_ports` directly, on tokio's clock, so that a
//! test may pause it. A handle's [`fault::FaultPlan`] says what goes wrong with its calls.

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
