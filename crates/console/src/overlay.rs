//! What an operator typed, put into the draft.

use serde_json::{Map, Value, json};
use sha2::{Digest, Sha256};

use crate::field;
use crate::form;

/// Puts every input of the form into the draft. Text that is not what its member wants stays as
/// it was typed, so that nothing is lost and the check can quote it.
pub(crate) fn apply(draft: &mut Value, form: &form::FormFields) {
    for (name, text) in form.iter() {
        let Ok(name) = name.parse::<field::FieldName>() else {
            continue;
        };
        apply_field(draft, &name, text.trim());
    }
}

/// Adds an empty item to the list at `pointer`.
pub(crate) fn add_item(draft: &mut Value, pointer: &str) {
    let list = pointer.rsplit('/').next().unwrap_or_default();
    let Some(item) = empty_item(list) else {
        return;
    };
    let present = draft.pointer(pointer).is_some();
    if !present {
        set(draft, pointer, Some(Value::Array(Vec::new())));
    }
    if let Some(Value::Array(items)) = draft.pointer_mut(pointer) {
        items.push(item);
    }
}

/// Takes out the item of a list that `pointer` names.
pub(crate) fn remove_item(draft: &mut Value, pointer: &str) {
    let Some((list, index)) = pointer.rsplit_once('/') else {
        return;
    };
    let index = index.parse::<usize>().unwrap_or(usize::MAX);
    if let Some(Value::Array(items)) = draft.pointer_mut(list)
        && index < items.len()
    {
        items.remove(index);
    }
}

fn apply_field(draft: &mut Value, name: &field::FieldName, text: &str) {
    let pointer = &name.pointer;
    match name.kind {
        field::FieldKind::Text if text.is_empty() => set(draft, pointer, None),
        field::FieldKind::Text | field::FieldKind::RequiredText => {
            set(draft, pointer, Some(text.into()));
        }
        field::FieldKind::Number if text.is_empty() => set(draft, pointer, None),
        field::FieldKind::Number => set(draft, pointer, Some(number(text))),
        field::FieldKind::Flag => set(draft, pointer, Some((text == "yes").into())),
        field::FieldKind::Lines => {
            let lines = text.lines().map(str::trim).filter(|it| !it.is_empty());
            set(draft, pointer, Some(lines.map(Value::from).collect()));
        }
        // The mark of presence comes first and empties the list; the ticked ones follow.
        field::FieldKind::Choices if text.is_empty() => {
            set(draft, pointer, Some(Value::Array(Vec::new())));
        }
        field::FieldKind::Choices => push(draft, pointer, text.into()),
        field::FieldKind::NewKey if text.is_empty() => {}
        field::FieldKind::NewKey => {
            push(draft, pointer, hex::encode(Sha256::digest(text)).into());
        }
    }
}

fn number(text: &str) -> Value {
    let whole = text.parse::<u64>().ok().map(Value::from);
    let real = || text.parse::<f64>().ok().and_then(json_number);
    whole.or_else(real).unwrap_or_else(|| text.into())
}

fn json_number(number: f64) -> Option<Value> {
    serde_json::Number::from_f64(number).map(Value::Number)
}

fn push(draft: &mut Value, pointer: &str, item: Value) {
    if let Some(Value::Array(items)) = draft.pointer_mut(pointer)
        && !items.contains(&item)
    {
        items.push(item);
    }
}

/// Sets or takes out a member. Names of inputs come from the browser: one that names no object of
/// the draft is left aside.
fn set(draft: &mut Value, pointer: &str, value: Option<Value>) {
    let Some((parent, member)) = pointer.rsplit_once('/') else {
        return;
    };
    let Some(Value::Object(members)) = draft.pointer_mut(parent) else {
        return;
    };
    set_member(members, member, value);
}

fn set_member(members: &mut Map<String, Value>, member: &str, value: Option<Value>) {
    match value {
        Some(value) => members.insert(member.to_owned(), value),
        None => members.remove(member),
    };
}

/// An item with everything an operator has to look at.
fn empty_item(list: &str) -> Option<Value> {
    let item = match list {
        "accounts" => json!({
            "id": "",
            "name": "",
            "keys": [],
            "guarantees": [],
            "limits": {"queued_jobs": 100, "running_requests": 32, "queued_requests": 128},
        }),
        "guarantees" => json!({"name": "", "accelerators": 8, "adjacency": "worker"}),
        "classes" => json!({
            "name": "",
            "kind": "request",
            "priority": 5,
            "urgent": false,
            "repeatable": true,
            "checkpoint": false,
            "upstream": "",
            "accelerators": 0,
            "cores": 1,
            "memory_mb": 256,
            "expected_run": "1s",
            "max_run": "10s",
            "deadline": "1m",
            "max_body_bytes": 67_108_864,
        }),
        "upstreams" => json!({"name": "", "halls": []}),
        "halls" => json!({"name": "", "region": "", "data_center": "", "racks": []}),
        "racks" => json!({"name": "", "workers": 8, "kind": ""}),
        "worker_kinds" => json!({
            "name": "",
            "cores": 32,
            "memory_mb": 65_536,
            "accelerators": 8,
            "slots": 8,
            "connections": 64,
        }),
        _ => return None,
    };
    Some(item)
}
