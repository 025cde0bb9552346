//! The configuration document: rule checks, numbered versions, propagation and diffs.

pub mod active;
pub mod document;
pub mod fault;
pub mod path;
pub mod rules;
pub mod schema_check;
pub mod settings;
