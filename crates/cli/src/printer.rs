//! Writes answers: a table for people, JSON for programs.

use std::io::{self, Write};

use serde::Serialize;

/// Writes to `out` in the form that was asked for.
pub(crate) struct OutputPrinter<'a, O> {
    out: &'a mut O,
    json: bool,
}

impl<'a, O: Write> OutputPrinter<'a, O> {
    /// A printer that writes JSON where `json` says so.
    pub(crate) fn new(out: &'a mut O, json: bool) -> OutputPrinter<'a, O> {
        OutputPrinter { out, json }
    }

    /// Whether a program reads the output.
    pub(crate) fn is_json(&self) -> bool {
        self.json
    }

    /// Writes `value` as JSON, or else what `text` makes of it.
    pub(crate) fn print<T: Serialize>(
        &mut self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> io::Result<()> {
        if self.json {
            serde_json::to_writer_pretty(&mut *self.out, value)?;
            return writeln!(self.out);
        }
        self.line(&text(value))
    }

    /// Writes a line.
    pub(crate) fn line(&mut self, line: &str) -> io::Result<()> {
        writeln!(self.out, "{}", line.trim_end())
    }

    /// Writes bytes as they are.
    pub(crate) fn bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.out.write_all(bytes)?;
        self.out.flush()
    }

    /// The writer itself.
    pub(crate) fn writer(&mut self) -> &mut O {
        self.out
    }
}
