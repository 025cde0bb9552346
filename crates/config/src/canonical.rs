//! A document in one fixed form, so that two versions differ only where their content does.

use almondpass_schema::model;
use serde_json::{Map, Value};
use serde_yaml_ng::Mapping;

/// Members that come first, in this order; the others follow by name. What names an item leads
/// it, and the document reads from the site down to its accounts.
const LEADING_MEMBERS: [&str; 17] = [
    "id",
    "name",
    "site",
    "objective",
    "bounds",
    "worker_kinds",
    "halls",
    "upstreams",
    "classes",
    "accounts",
    "drains",
    "kind",
    "priority",
    "region",
    "data_center",
    "keys",
    "guarantees",
];

/// Characters of the hash of a key.
const HASH_CHARS: usize = 64;
/// Digits shown of one; enough to tell two apart.
const SHOWN_DIGITS: usize = 12;

/// The document as YAML, defaults written out.
pub fn to_yaml(document: &model::ConfigDocument) -> String {
    value_to_yaml(to_value(document))
}

/// A draft as YAML, which need not have the right form yet.
pub fn value_to_yaml(value: Value) -> String {
    let yaml = ordered(value);
    serde_yaml_ng::to_string(&yaml).expect("a tree of strings, numbers and lists is writable")
}

/// The document as a tree.
pub fn to_value(document: &model::ConfigDocument) -> Value {
    serde_json::to_value(document).expect("a document has string keys only")
}

/// Names of the members of two objects together, in canonical order.
pub(crate) fn member_names<'a>(
    before: &'a Map<String, Value>,
    after: &'a Map<String, Value>,
) -> Vec<&'a str> {
    let mut names = before.keys().chain(after.keys()).map(String::as_str).collect::<Vec<_>>();
    names.sort_by_key(|it| rank(it));
    names.dedup();
    names
}

/// A value on one line, for people; hashes of keys are cut short.
pub(crate) fn inline(value: &Value) -> String {
    match value {
        Value::String(text) => shortened(text),
        Value::Array(items) => items.iter().map(nested).collect::<Vec<_>>().join(", "),
        Value::Object(members) => {
            let nothing = Map::new();
            let names = member_names(members, &nothing).into_iter();
            let members = names.map(|it| format!("{it}: {}", nested(&members[it])));
            members.collect::<Vec<_>>().join(", ")
        }
        scalar => scalar.to_string(),
    }
}

fn nested(value: &Value) -> String {
    match value {
        Value::Array(_) => format!("[{}]", inline(value)),
        Value::Object(_) => format!("{{{}}}", inline(value)),
        scalar => inline(scalar),
    }
}

fn shortened(text: &str) -> String {
    let is_hash = text.len() == HASH_CHARS && text.bytes().all(|it| it.is_ascii_hexdigit());
    if is_hash { format!("{}...", &text[..SHOWN_DIGITS]) } else { text.to_owned() }
}

fn ordered(value: Value) -> serde_yaml_ng::Value {
    match value {
        Value::Object(members) => {
            let mut members = members.into_iter().collect::<Vec<_>>();
            members.sort_by(|(left, _), (right, _)| rank(left).cmp(&rank(right)));
            let members = members.into_iter().map(|(name, it)| (name.into(), ordered(it)));
            serde_yaml_ng::Value::Mapping(members.collect::<Mapping>())
        }
        Value::Array(items) => {
            serde_yaml_ng::Value::Sequence(items.into_iter().map(ordered).collect())
        }
        scalar => serde_yaml_ng::to_value(scalar).expect("a scalar is writable"),
    }
}

fn rank(name: &str) -> (usize, &str) {
    let place = LEADING_MEMBERS.iter().position(|it| *it == name);
    (place.unwrap_or(LEADING_MEMBERS.len()), name)
}
