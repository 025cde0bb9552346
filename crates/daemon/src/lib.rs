//! almondpassd: one instance, assembled from settings; and the demo.

use std::process::ExitCode;

use clap::Parser;

pub mod arguments;
pub mod assembly;
pub mod beats;
pub mod certificate;
pub mod demo;
pub mod health;
pub mod instance;
pub mod local_halls;
pub mod logging;
pub mod meters;
pub mod operators;
pub mod peers;
pub mod secret_file;
pub mod settings;
pub mod shutdown;
pub mod subcommand;
pub mod threads;
pub mod tls;
pub mod wiring;

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
