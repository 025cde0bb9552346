//! YAML or JSON read against a definition of the schema, with every fault reported at once.

use std::collections::HashMap;
use std::sync::{Arc, LazyLock, Mutex, PoisonError};

use almondpass_schema::SCHEMA_JSON;
use jsonschema::Validator;
use jsonschema::error::{TypeKind, ValidationErrorKind};
use jsonschema::paths::LocationSegment;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::fault;
use crate::path;

static SCHEMA: LazyLock<Value> =
    LazyLock::new(|| serde_json::from_str(SCHEMA_JSON).expect("the generated schema is JSON"));

static VALIDATORS: LazyLock<Mutex<HashMap<String, Arc<Validator>>>> = LazyLock::new(Mutex::default);

/// Parses YAML, of which JSON is a part. Through YAML's own value, which refuses a key that
/// stands twice; JSON's would keep the last one and the operator's first would be lost unseen.
pub fn parse(source_name: &str, text: &str) -> Result<Value, fault::ConfigFaults> {
    let unreadable = |found: String| {
        fault::whole_document(source_name, "readable YAML or JSON".to_owned(), found)
    };
    let yaml = serde_yaml_ng::from_str::<serde_yaml_ng::Value>(text)
        .map_err(|error| unreadable(error.to_string()))?;
    serde_json::to_value(yaml).map_err(|error| unreadable(error.to_string()))
}

/// Checks `document` against the schema's `definition` and turns it into its type. Unknown
/// members are refused wherever the definition refuses them.
pub fn check<T: DeserializeOwned>(
    source_name: &str,
    definition: &str,
    document: &Value,
) -> Result<T, fault::ConfigFaults> {
    let mut faults = fault::FaultList::new(document);
    for error in validator(definition).iter_errors(document) {
        report(&error, &mut faults);
    }
    faults.into_result(source_name)?;
    // The schema leaves to the type what it cannot state, such as the largest number of 32 bits.
    serde_path_to_error::deserialize(document).map_err(|error| {
        let mut faults = fault::FaultList::new(document);
        let path = error.path().iter().filter_map(path_step).collect::<path::FieldPath>();
        faults.push(&path, "a value that its type can hold", error.inner().to_string());
        faults.into_faults(source_name)
    })
}

/// The validator of a definition. Compiling one takes longer than using it, so each is kept; there
/// are as many as definitions in the schema.
fn validator(definition: &str) -> Arc<Validator> {
    let mut validators = VALIDATORS.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(validator) = validators.get(definition) {
        return Arc::clone(validator);
    }
    let validator = Arc::new(compile(definition));
    validators.insert(definition.to_owned(), Arc::clone(&validator));
    validator
}

fn compile(definition: &str) -> Validator {
    let schema = serde_json::json!({
        "$ref": format!("#/$defs/{definition}"),
        "$defs": SCHEMA["$defs"],
    });
    jsonschema::options()
        .should_validate_formats(true)
        .should_ignore_unknown_formats(true)
        .build(&schema)
        .expect("every definition of the generated schema is a schema")
}

fn report(error: &jsonschema::ValidationError<'_>, faults: &mut fault::FaultList<'_>) {
    let path = field_path(error);
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            for name in unexpected {
                faults.push(&path.member(name), "no such member", "one");
            }
        }
        ValidationErrorKind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            faults.push(&path.member(name), "a value", "nothing");
        }
        kind => faults.push(&path, expectation(kind, error), fault::quoted(error.instance())),
    }
}

fn path_step(segment: &serde_path_to_error::Segment) -> Option<path::PathStep> {
    match segment {
        serde_path_to_error::Segment::Seq { index } => Some(path::PathStep::Item(*index)),
        serde_path_to_error::Segment::Map { key } => Some(path::PathStep::Member(key.clone())),
        _ => None,
    }
}

fn field_path(error: &jsonschema::ValidationError<'_>) -> path::FieldPath {
    let location = error.instance_path();
    let steps = location.iter().map(|segment| match segment {
        LocationSegment::Property(name) => path::PathStep::Member(name.into_owned()),
        LocationSegment::Index(index) => path::PathStep::Item(index),
    });
    steps.collect()
}

fn expectation(kind: &ValidationErrorKind, error: &jsonschema::ValidationError<'_>) -> String {
    match kind {
        ValidationErrorKind::Type { kind: TypeKind::Single(kind) } => {
            format!("a value of type {kind}")
        }
        ValidationErrorKind::Enum { options } => {
            let options = options.as_array().into_iter().flatten();
            let options = options.map(|it| it.as_str().unwrap_or_default()).collect::<Vec<_>>();
            format!("one of {}", options.join(", "))
        }
        ValidationErrorKind::Minimum { limit } => format!("at least {limit}"),
        ValidationErrorKind::Maximum { limit } => format!("at most {limit}"),
        ValidationErrorKind::MinLength { limit } => format!("at least {limit} characters"),
        ValidationErrorKind::MaxLength { limit } => format!("at most {limit} characters"),
        ValidationErrorKind::Format { format } => format!("the format {format}"),
        ValidationErrorKind::Pattern { .. }
            if error.schema_path().as_str().contains("TimeSpan") =>
        {
            "a span of time such as `1m 30s`".to_owned()
        }
        ValidationErrorKind::Pattern { pattern } => format!("text like {pattern}"),
        _ => error.to_string(),
    }
}
