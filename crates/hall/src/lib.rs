//! The hall scheduler: ownership by epoch, worker leases, gangs, intents, takeover.
//!
//! [`service::HallService`] runs one [`contender`] for every hall on every instance. The seat that holds
//! a hall runs an [`actor::HallActor`] around the policy; the others tell who does.

mod acquisition;
pub mod actor;
mod admission;
mod adoption;
pub mod backend;
mod codec;
mod commit;
pub mod contender;
mod deadline;
pub mod error;
mod gang_ends;
mod gang_task;
mod gangs;
mod grant_ends;
mod grant_table;
mod grants;
mod hall_layout;
pub mod intent_index;
pub mod intent_log;
mod intent_task;
mod intents;
mod job_rows;
mod job_table;
mod jobs;
pub mod lease;
mod lease_table;
mod leases;
mod metric;
pub mod options;
pub mod owner_reader;
pub mod ownership;
pub mod request;
mod reserve_task;
mod round;
pub mod service;
mod takeover;
pub mod tenure;
mod worker_node;
mod worker_poll;
mod worker_poll_task;
mod worker_updates;
