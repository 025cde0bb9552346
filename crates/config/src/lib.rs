//! The configuration document: rule checks, numbered versions, propagation and diffs.

pub mod active;
pub mod canonical;
pub mod changes;
pub mod document;
pub mod fault;
mod former_halls;
mod heard;
mod history;
pub mod keeper;
pub mod merge;
pub mod path;
pub mod proposal;
pub mod rules;
pub mod schema_check;
pub mod service;
pub mod settings;
pub mod store;
