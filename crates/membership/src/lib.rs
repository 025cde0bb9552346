//! Membership: which instances and workers are live, from the platform's delayed instance list and the
//! beats (heartbeats) that instances exchange; and which instance schedules each hall.

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
