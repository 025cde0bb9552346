//! almondpassd: one instance, assembled from settings; and the demo.

use std::process::ExitCode;

use clap::Parser;

pub mod arguments;
pub mod certificate;
pub mod demo;
pub mod health;
pub mod logging;
pub mod meters;
pub mod secret_file;
pub mod settings;
pub mod shutdown;
pub mod subcommand;
pub mod threads;

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
