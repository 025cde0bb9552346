//! Entry point; everything lives in the library.

use std::env;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    almondpass_cli::run(env::args_os(), &mut io::stdout(), &mut io::stderr()).into()
}
