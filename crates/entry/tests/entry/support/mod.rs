//! Fakes around one entry: hall schedulers, a table, upstreams that misbehave, and a caller that
//! writes raw bytes.
#![allow(dead_code)]

pub(crate) mod caller;
pub(crate) mod entry;
pub(crate) mod halls;
pub(crate) mod rows;
pub(crate) mod upstream;
