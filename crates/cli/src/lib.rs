//! almondpass: the command-line tool for callers and operators.
//!
//! Callers submit requests and jobs and learn what became of them; operators look at halls, workers
//! and upstreams, drain them, and check and apply configuration documents. A table for people,
//! `--json` for programs, and an exit status that tells outcomes apart ([`exit`]).

mod api;
mod arguments;
mod caller;
mod connection;
mod error;
pub mod exit;
mod operator;
mod printer;
mod subcommand;
mod table;

use std::ffi::OsString;
use std::io::Write;

use clap::Parser;
use tokio::runtime;

/// Runs the program with `arguments`, the first of which is its own name, and returns its exit status.
pub fn run<O: Write, E: Write>(
    arguments: impl IntoIterator<Item = OsString>,
    out: &mut O,
    err: &mut E,
) -> exit::ExitStatus {
    let arguments = match arguments::Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(error) => return show_usage(&error, out, err),
    };
    let json = arguments.common.json;
    let Err(error) = execute(arguments, out) else { return exit::DONE };
    // Nothing is left to tell the user by where even this cannot be written.
    if let Some(body) = error.body().filter(|_| json) {
        let _ = writeln!(out, "{body:#}");
    }
    let _ = writeln!(err, "almondpass: {error}");
    error.exit_status()
}

fn execute<O: Write>(arguments: arguments::Arguments, out: &mut O) -> Result<(), error::Error> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| error::Error::Runtime { source })?;
    runtime.block_on(subcommand::run(arguments, out))
}

/// Help and version are answers and go to `out`; what could not be understood goes to `err`.
fn show_usage<O: Write, E: Write>(
    error: &clap::Error,
    out: &mut O,
    err: &mut E,
) -> exit::ExitStatus {
    let text = error.render();
    // Nothing is left to tell the user by where even this cannot be written.
    if error.use_stderr() {
        let _ = write!(err, "{text}");
        exit::USAGE
    } else {
        let _ = write!(out, "{text}");
        exit::DONE
    }
}
