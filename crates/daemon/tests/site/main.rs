//! Whole sites over real sockets.

mod common;
mod instances;
mod process;
