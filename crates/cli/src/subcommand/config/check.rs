//! `almondpass config check`

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};

use almondpass_config::document;
use almondpass_schema::model;

use crate::error;
use crate::printer;

/// Arguments of `config check`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct CheckArgs {
    /// YAML or JSON file with the document.
    file: PathBuf,
}

pub(crate) fn run<O: Write>(
    args: &CheckArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    read_document(&args.file)?;
    printer.print(&model::ConfigFaults { faults: Vec::new() }, |_| {
        format!("{}: valid", args.file.display())
    })?;
    Ok(())
}

/// Reads a document and checks it, all faults at once.
pub(crate) fn read_document(path: &Path) -> Result<model::ConfigDocument, error::Error> {
    let text = fs::read_to_string(path)
        .map_err(|source| error::Error::ReadFile { path: path.to_owned(), source })?;
    document::check(&path.display().to_string(), &text)
        .map_err(|found| error::Error::Document { path: path.to_owned(), faults: found.faults })
}
