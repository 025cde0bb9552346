//! Messages, settings and the configuration document, generated from JSON Schema.
//!
//! The definitions stand in `schema/*.yaml`; `cargo xtask codegen` turns them into
//! `model.rs`, which is committed so that a build needs no generator.

pub mod blob;
pub mod ids;
#[allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub)]
#[rustfmt::skip]
pub mod model;
pub mod time;

/// The merged JSON Schema, for checks that report every fault of a document at once.
pub const SCHEMA_JSON: &str = include_str!("schema.json");
