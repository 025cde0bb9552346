//! The configuration document: rule checks, numbered versions, propagation and diffs.

pub mod active;
