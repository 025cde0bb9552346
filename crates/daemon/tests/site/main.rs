//! Whole sites over real sockets.

mod command_line;
mod common;
mod instances;
mod jobs;
mod process;
mod shutdown;
