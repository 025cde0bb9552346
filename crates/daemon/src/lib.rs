//! almondpassd: one instance, assembled from settings; and the demo.

use std::process::ExitCode;

use clap::Parser;

pub mod arguments;
pub mod demo;
pub mod subcommand;

/// Runs the program with the arguments of the process.
pub fn run() -> ExitCode {
    let arguments = arguments::Arguments::parse();
    match arguments.subcommand.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("almondpassd: {error:#}");
            ExitCode::FAILURE
        }
    }
}
