//! Reading a configuration document: size, syntax, schema, then rules.

use almondpass_schema::model;
use serde_json::Value;

use crate::canonical;
use crate::fault;
use crate::rules;
use crate::schema_check;

/// Largest document, in bytes of its text; every instance holds two at a time, and a row of the
/// table holds one.
pub const MAX_DOCUMENT_BYTES: usize = 512 * 1024;

/// Reads and checks a document; `source_name` names it in the faults. Faults of the schema hide
/// those of the rules, which need a document of the right form.
pub fn check(source_name: &str, text: &str) -> Result<model::ConfigDocument, fault::ConfigFaults> {
    check_bytes(source_name, text.len())?;
    check_value(source_name, &schema_check::parse(source_name, text)?)
}

/// Checks a document that was parsed already.
pub fn check_value(
    source_name: &str,
    value: &Value,
) -> Result<model::ConfigDocument, fault::ConfigFaults> {
    let document = schema_check::check(source_name, "ConfigDocument", value)?;
    rules::check(source_name, &document)?;
    Ok(document)
}

/// Requires that the document's canonical text has a permitted size.
pub(crate) fn check_size(
    source_name: &str,
    document: &model::ConfigDocument,
) -> Result<(), fault::ConfigFaults> {
    check_bytes(source_name, canonical::to_yaml(document).len())
}

fn check_bytes(source_name: &str, n_bytes: usize) -> Result<(), fault::ConfigFaults> {
    if n_bytes <= MAX_DOCUMENT_BYTES {
        return Ok(());
    }
    let expected = format!("at most {MAX_DOCUMENT_BYTES} bytes");
    Err(fault::whole_document(source_name, expected, format!("{n_bytes} bytes")))
}
