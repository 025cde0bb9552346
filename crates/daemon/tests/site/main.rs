//! Whole sites over real sockets.

mod common;
mod instances;
mod jobs;
mod process;
mod shutdown;
