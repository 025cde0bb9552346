//! Who is live: the platform's lagging list joined with the instances' own beats.

pub mod home;
pub mod rendezvous;
pub mod snapshot;
