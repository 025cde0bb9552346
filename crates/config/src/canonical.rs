//! A document in one fixed form, so that two versions differ only where their content does.

use almondpass_schema::model;
use serde_json::Value;
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

/// The document as YAML, defaults written out.
pub fn to_yaml(document: &model::ConfigDocument) -> String {
    let yaml = ordered(to_value(document));
    serde_yaml_ng::to_string(&yaml).expect("a tree of strings, numbers and lists is writable")
}

/// The document as a tree.
pub(crate) fn to_value(document: &model::ConfigDocument) -> Value {
    serde_json::to_value(document).expect("a document has string keys only")
}

/// Names of the members of two objects together, in canonical order.
pub(crate) fn member_names<'a>(
    before: &'a serde_json::Map<String, Value>,
    after: &'a serde_json::Map<String, Value>,
) -> Vec<&'a str> {
    let mut names = before.keys().chain(after.keys()).map(String::as_str).collect::<Vec<_>>();
    names.sort_by_key(|it| rank(it));
    names.dedup();
    names
}

/// A value on one line, for people.
pub(crate) fn inline(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(inline).collect::<Vec<_>>().join(", "),
        Value::Object(members) => {
            let nothing = serde_json::Map::new();
            let names = member_names(members, &nothing).into_iter();
            let members = names.map(|it| match &members[it] {
                value @ (Value::Array(_) | Value::Object(_)) => {
                    format!("{it}: [{}]", inline(value))
                }
                value => format!("{it}: {}", inline(value)),
            });
            members.collect::<Vec<_>>().join(", ")
        }
        scalar => scalar.to_string(),
    }
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
