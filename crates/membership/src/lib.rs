//! Who is live: the platform's lagging list joined with the instances' own beats; and where each
//! hall's scheduler is.

pub mod content;
pub mod directory;
pub mod holders;
pub mod home;
pub mod known_member;
pub mod local;
pub mod members;
pub mod rendezvous;
pub mod service;
pub mod snapshot;
