//! Where in a document something stands, written so that people find it.

use std::fmt;

use serde_json::Value;

/// Members by which an item of a list is known, the first that it has.
pub(crate) const NAMING_MEMBERS: [&str; 2] = ["id", "name"];

/// Steps from the root of a document to a value in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldPath {
    steps: Vec<PathStep>,
}

/// One step of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathStep {
    /// Into a member of an object.
    Member(String),
    /// Into an item of a list, by its index from 0.
    Item(usize),
}

impl FieldPath {
    /// The document itself.
    pub fn root() -> FieldPath {
        FieldPath::default()
    }

    /// The path that a JSON pointer names in `document`.
    pub fn from_pointer(document: &Value, pointer: &str) -> FieldPath {
        let mut value = Some(document);
        let steps = pointer.split('/').skip(1).map(|name| {
            let index = name.parse().ok().filter(|_| value.is_some_and(Value::is_array));
            let step = index.map_or_else(|| PathStep::Member(name.to_owned()), PathStep::Item);
            value = value.and_then(|it| step.descend(it));
            step
        });
        steps.collect()
    }

    /// The member `name` of what this path names.
    #[must_use]
    pub fn member(&self, name: impl Into<String>) -> FieldPath {
        self.step(PathStep::Member(name.into()))
    }

    /// The item at `index` of the list that this path names.
    #[must_use]
    pub fn item(&self, index: usize) -> FieldPath {
        self.step(PathStep::Item(index))
    }

    /// Writes the path for people. Items are called by name where they have one, since an index
    /// says little to a reader and changes when an item before it goes.
    pub fn display_in(&self, document: &Value) -> String {
        let mut shown = String::new();
        let mut value = Some(document);
        for step in &self.steps {
            value = value.and_then(|it| step.descend(it));
            match step {
                PathStep::Member(name) if shown.is_empty() => shown.push_str(name),
                PathStep::Member(name) => shown.extend([".", name]),
                PathStep::Item(index) => {
                    let name = value.and_then(item_name);
                    let label = name.map_or_else(|| index.to_string(), str::to_owned);
                    shown.extend(["[", &label, "]"]);
                }
            }
        }
        if shown.is_empty() { "the document".to_owned() } else { shown }
    }

    fn step(&self, step: PathStep) -> FieldPath {
        let mut steps = self.steps.clone();
        steps.push(step);
        FieldPath { steps }
    }
}

impl PathStep {
    fn descend<'a>(&self, value: &'a Value) -> Option<&'a Value> {
        match self {
            PathStep::Member(name) => value.get(name),
            PathStep::Item(index) => value.get(index),
        }
    }
}

impl FromIterator<PathStep> for FieldPath {
    fn from_iter<I: IntoIterator<Item = PathStep>>(steps: I) -> FieldPath {
        FieldPath { steps: steps.into_iter().collect() }
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.display_in(&Value::Null))
    }
}

/// The name by which people know an item of a list.
pub(crate) fn item_name(item: &Value) -> Option<&str> {
    NAMING_MEMBERS.iter().find_map(|it| item.get(it)?.as_str()).filter(|it| !it.is_empty())
}
