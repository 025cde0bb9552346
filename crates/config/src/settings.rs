//! The settings of one instance, checked like the configuration document.

use almondpass_schema::model;

use crate::fault;
use crate::schema_check;

/// Reads the settings in `text`; `file` names them in the faults. Every fault is reported at
/// once, unknown keys among them.
pub fn check(file: &str, text: &str) -> Result<model::InstanceSettings, fault::ConfigFaults> {
    let document = schema_check::parse(file, text)?;
    schema_check::check(file, "InstanceSettings", &document)
}
