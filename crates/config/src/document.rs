//! Reading a configuration document: size, syntax, schema, then rules.

use almondpass_schema::model;

use crate::fault;
use crate::rules;
use crate::schema_check;

/// Largest document, in bytes of its text; every instance holds two at a time, and a row of the
/// table holds one.
pub const MAX_DOCUMENT_BYTES: usize = 512 * 1024;

/// Reads and checks a document; `source_name` names it in the faults. Faults of the schema hide
/// those of the rules, which need a document of the right form.
pub fn check(source_name: &str, text: &str) -> Result<model::ConfigDocument, fault::ConfigFaults> {
    if MAX_DOCUMENT_BYTES < text.len() {
        let expected = format!("at most {MAX_DOCUMENT_BYTES} bytes");
        return Err(fault::whole_document(source_name, expected, format!("{} bytes", text.len())));
    }
    let value = schema_check::parse(source_name, text)?;
    let document = schema_check::check(source_name, "ConfigDocument", &value)?;
    rules::check(source_name, &document)?;
    Ok(document)
}
