//! The hall scheduler: exclusive ownership of halls by epoch, worker leases, gangs, intents and takeover.
//!
//! On every instance, [`service::HallService`] runs one [`contender`] per hall. The contender that holds the
//! hall's tenure runs an [`actor::HallActor`], which schedules the hall by the policy. The other contenders
//! redirect calls to the holder.

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
