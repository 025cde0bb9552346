//! Inputs of the draft forms, each with what is wrong with its value beside it.

use almondpass_config::path;
use almondpass_schema::model;
use maud::{Markup, html};
use serde_json::Value;

use crate::field;

/// The draft and what is wrong with it.
pub(crate) struct InputSet<'a> {
    pub(crate) draft: &'a Value,
    pub(crate) faults: &'a [model::ConfigFault],
}

impl InputSet<'_> {
    /// The items of the list at `pointer`, with a pointer to each.
    pub(crate) fn items(&self, pointer: &str) -> Vec<(String, &Value)> {
        let items = self.draft.pointer(pointer).and_then(Value::as_array).into_iter().flatten();
        items.enumerate().map(|(index, it)| (format!("{pointer}/{index}"), it)).collect()
    }

    /// Names of the items of the list at `pointer`.
    pub(crate) fn names(&self, pointer: &str) -> Vec<&str> {
        let items = self.draft.pointer(pointer).and_then(Value::as_array).into_iter().flatten();
        items.filter_map(|it| it.get("name")?.as_str()).collect()
    }

    /// A text that the document always has.
    pub(crate) fn text(&self, pointer: &str) -> Markup {
        self.line(field::FieldKind::RequiredText, pointer, "text")
    }

    /// A span of time, such as `1m 30s`.
    pub(crate) fn span(&self, pointer: &str) -> Markup {
        self.line(field::FieldKind::RequiredText, pointer, "span")
    }

    /// A number; empty where it may be absent.
    pub(crate) fn number(&self, pointer: &str) -> Markup {
        self.line(field::FieldKind::Number, pointer, "number")
    }

    /// One of several names; `none` is shown for no choice, where that is permitted.
    pub(crate) fn select(&self, pointer: &str, options: &[&str], none: Option<&str>) -> Markup {
        let kind =
            if none.is_some() { field::FieldKind::Text } else { field::FieldKind::RequiredText };
        let chosen = shown(self.draft.pointer(pointer));
        // A value that is no option stays on offer: the operator sees what is there, and saving
        // another part of the draft does not change it unseen.
        let foreign = !chosen.is_empty() && !options.contains(&chosen.as_str());
        self.faulted(pointer, &html! {
            select name=(field::FieldName::new(kind, pointer)) aria-label=(label(pointer)) {
                @if let Some(none) = none { option value="" selected[chosen.is_empty()] { (none) } }
                @else if chosen.is_empty() { option value="" selected { "" } }
                @for option in options { option value=(option) selected[chosen == *option] { (option) } }
                @if foreign { option value=(chosen) selected { (chosen) } }
            }
        })
    }

    /// Yes or no.
    pub(crate) fn flag(&self, pointer: &str) -> Markup {
        let yes = self.draft.pointer(pointer).and_then(Value::as_bool).unwrap_or(false);
        self.faulted(pointer, &html! {
            select name=(field::FieldName::new(field::FieldKind::Flag, pointer)) aria-label=(label(pointer)) {
                option value="yes" selected[yes] { "yes" }
                option value="no" selected[!yes] { "no" }
            }
        })
    }

    /// A list, one item a line.
    pub(crate) fn lines(&self, pointer: &str) -> Markup {
        let items = self.draft.pointer(pointer).and_then(Value::as_array);
        let items = items.into_iter().flatten().map(|it| shown(Some(it))).collect::<Vec<_>>();
        self.faulted(
            pointer,
            &html! {
                textarea.lines name=(field::FieldName::new(field::FieldKind::Lines, pointer))
                    rows=(items.len().clamp(1, 4)) aria-label=(label(pointer)) spellcheck="false" {
                    "\n" (items.join("\n"))
                }
            },
        )
    }

    /// A key in clear, of which only the hash goes into the draft.
    pub(crate) fn new_key(&self, pointer: &str) -> Markup {
        html! {
            input type="password" name=(field::FieldName::new(field::FieldKind::NewKey, pointer))
                placeholder="in clear; only its hash is kept" autocomplete="off" aria-label="New key";
        }
    }

    /// A tick for each of several names.
    pub(crate) fn choices(&self, pointer: &str, options: &[&str]) -> Markup {
        let name = field::FieldName::new(field::FieldKind::Choices, pointer);
        let items = self.draft.pointer(pointer).and_then(Value::as_array);
        let ticked = items.into_iter().flatten().map(|it| shown(Some(it))).collect::<Vec<_>>();
        let foreign = ticked.iter().filter(|it| !options.contains(&it.as_str()));
        self.faulted(pointer, &html! {
            input type="hidden" name=(name) value="";
            @for option in options {
                label.choice {
                    input type="checkbox" name=(name) value=(option)
                        checked[ticked.iter().any(|it| it == option)];
                    (option)
                }
            }
            @for option in foreign {
                label.choice { input type="checkbox" name=(name) value=(option) checked; (option) }
            }
        })
    }

    /// What is wrong at `pointer` itself or, for a list, with one of its items.
    pub(crate) fn faults_at(&self, pointer: &str) -> Vec<&model::ConfigFault> {
        let path = path::FieldPath::from_pointer(self.draft, pointer).display_in(self.draft);
        let below = format!("{path}[");
        let is_here = |it: &&model::ConfigFault| it.path == path || it.path.starts_with(&below);
        self.faults.iter().filter(is_here).collect()
    }

    fn line(&self, kind: field::FieldKind, pointer: &str, class: &str) -> Markup {
        let value = shown(self.draft.pointer(pointer));
        let mode = (kind == field::FieldKind::Number).then_some("decimal");
        self.faulted(pointer, &html! {
            input type="text" class=(class) name=(field::FieldName::new(kind, pointer)) value=(value)
                inputmode=[mode] aria-label=(label(pointer)) spellcheck="false" autocomplete="off";
        })
    }

    fn faulted(&self, pointer: &str, input: &Markup) -> Markup {
        let faults = self.faults_at(pointer);
        html! {
            span.input.wrong[!faults.is_empty()] {
                (input)
                @for fault in faults { span.why { "expected " (fault.expected) ", found " (fault.found) } }
            }
        }
    }
}

/// A button that adds an item to the list at `pointer`.
pub(crate) fn add_button(pointer: &str, label: &str) -> Markup {
    html! { button.quiet name="action" value=(format!("add:{pointer}")) { (label) } }
}

/// A button that takes the item at `pointer` out.
pub(crate) fn remove_button(pointer: &str, what: &str) -> Markup {
    html! {
        button.quiet name="action" value=(format!("remove:{pointer}")) title=(format!("Remove {what}")) {
            "Remove" @if what.starts_with("the ") { " " (what) }
        }
    }
}

fn label(pointer: &str) -> String {
    pointer.rsplit('/').next().unwrap_or_default().replace('_', " ")
}

fn shown(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    }
}
