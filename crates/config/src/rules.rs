//! Rules that a schema cannot state: names resolve, bounds agree, guarantees fit.

mod accounts;
mod bounds;
mod capacity;
mod classes;
mod drains;
mod layout;
mod names;

use almondpass_schema::model;

use crate::fault;

/// Checks every rule, so that an operator sees all faults at once.
pub fn check(
    source_name: &str,
    document: &model::ConfigDocument,
) -> Result<(), fault::ConfigFaults> {
    let value = serde_json::to_value(document).map_err(|error| {
        fault::whole_document(source_name, "a writable document".to_owned(), error.to_string())
    })?;
    let mut faults = fault::FaultList::new(&value);
    bounds::check(document, &mut faults);
    layout::check(document, &mut faults);
    classes::check(document, &mut faults);
    accounts::check(document, &mut faults);
    capacity::check(document, &mut faults);
    drains::check(document, &mut faults);
    faults.into_result(source_name)
}
