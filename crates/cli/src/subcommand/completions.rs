//! `almondpass completions`

use std::io::Write;

use clap::CommandFactory;

use crate::arguments;
use crate::error;
use crate::printer;

/// Arguments of `completions`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct CompletionsArgs {
    /// The shell.
    shell: clap_complete::Shell,
}

pub(crate) fn run<O: Write>(
    args: &CompletionsArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let mut command = arguments::Arguments::command();
    clap_complete::generate(args.shell, &mut command, "almondpass", printer.writer());
    Ok(())
}
