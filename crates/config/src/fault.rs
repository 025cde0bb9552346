//! What is wrong with a document: all of it at once.

use std::fmt;

use almondpass_schema::model;
use serde_json::Value;
use thiserror::Error;

use crate::path;

/// Longest part of a found value that a fault quotes.
const QUOTED_CHARS: usize = 60;

/// Everything that is wrong with a document; at least one fault.
#[derive(Clone, Debug, Error, PartialEq)]
pub struct ConfigFaults {
    /// File or other source of the document.
    pub source_name: String,
    /// The faults, in the order in which the checks found them.
    pub faults: Vec<model::ConfigFault>,
}

impl ConfigFaults {
    /// The faults as the operators' interface sends them.
    pub fn into_body(self) -> model::ConfigFaults {
        model::ConfigFaults { faults: self.faults }
    }
}

impl fmt::Display for ConfigFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let n_faults = self.faults.len();
        let noun = if n_faults == 1 { "fault" } else { "faults" };
        write!(f, "{}: {n_faults} {noun}", self.source_name)?;
        for fault in &self.faults {
            write!(f, "\n  {}: expected {}, found {}", fault.path, fault.expected, fault.found)?;
        }
        Ok(())
    }
}

/// Gathers faults while a document is checked.
#[derive(Debug)]
pub(crate) struct FaultList<'a> {
    document: &'a Value,
    faults: Vec<model::ConfigFault>,
}

impl<'a> FaultList<'a> {
    pub(crate) fn new(document: &'a Value) -> FaultList<'a> {
        FaultList { document, faults: Vec::new() }
    }

    pub(crate) fn push(
        &mut self,
        path: &path::FieldPath,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) {
        self.faults.push(model::ConfigFault {
            path: path.display_in(self.document),
            expected: expected.into(),
            found: found.into(),
        });
    }

    /// Adds a fault unless `holds`.
    pub(crate) fn require(
        &mut self,
        holds: bool,
        path: &path::FieldPath,
        expected: impl Into<String>,
        found: impl fmt::Display,
    ) {
        if !holds {
            self.push(path, expected, found.to_string());
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    pub(crate) fn into_result(self, source_name: &str) -> Result<(), ConfigFaults> {
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(self.into_faults(source_name))
    }

    pub(crate) fn into_faults(self, source_name: &str) -> ConfigFaults {
        ConfigFaults { source_name: source_name.to_owned(), faults: self.faults }
    }
}

/// One fault that stands for the whole document.
pub(crate) fn whole_document(source_name: &str, expected: String, found: String) -> ConfigFaults {
    let fault = model::ConfigFault { path: "the document".to_owned(), expected, found };
    ConfigFaults { source_name: source_name.to_owned(), faults: vec![fault] }
}

/// A found value for people, cut where it is long.
pub(crate) fn quoted(value: &Value) -> String {
    let text = match value {
        Value::Array(items) => return format!("a list of {}", items.len()),
        Value::Object(members) => return format!("an object of {} members", members.len()),
        Value::Null => return "nothing".to_owned(),
        scalar => scalar.to_string(),
    };
    if text.chars().count() <= QUOTED_CHARS {
        return text;
    }
    text.chars().take(QUOTED_CHARS).chain("...".chars()).collect()
}
