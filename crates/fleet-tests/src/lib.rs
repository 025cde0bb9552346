//! Several instances in one process on a paused clock, under faults, against an oracle.
//!
//! Every instance has a runtime of its own on this one thread, so that it can be paused or killed as
//! a whole, wherever its tasks stand. The platform, the workers and the calls between instances are
//! the fakes of `almondpass_standin`; callers and upstreams speak HTTP over loopback. Nothing waits
//! for real time: [`world::FleetWorld::step`] moves all clocks by the same amount.

pub mod caller;
pub mod callers;
pub mod document;
pub mod ledger;
pub mod node;
pub mod oracle;
pub mod peers;
pub mod runtime;
pub mod storm;
pub mod world;

mod calm;
