//! What differs between two versions: typed by path, and as a text for people.

use almondpass_schema::model;
use serde_json::Value;

use crate::canonical;
use crate::path;

/// Lines that stand around a change in the text.
const CONTEXT_LINES: usize = 3;

/// The differences, in the order of the document. Items of a list are told apart by name, so
/// that one taken out does not look like a change of all that follow it.
pub fn between(
    before: &model::ConfigDocument,
    after: &model::ConfigDocument,
) -> Vec<model::ConfigChange> {
    between_values(&canonical::to_value(before), &canonical::to_value(after))
}

/// Like [`between`], for drafts that need not have the right form yet.
pub fn between_values(before: &Value, after: &Value) -> Vec<model::ConfigChange> {
    let mut walk = ChangeWalk { changes: Vec::new() };
    walk.values("", Some(before), Some(after));
    walk.changes
}

/// The differences as a unified diff of the canonical YAML.
pub fn unified(before: &model::ConfigDocument, after: &model::ConfigDocument) -> String {
    let (before, after) = (canonical::to_yaml(before), canonical::to_yaml(after));
    let diff = similar::TextDiff::from_lines(&before, &after);
    diff.unified_diff().context_radius(CONTEXT_LINES).to_string()
}

/// Whether the items of both lists are known by name, each by its own.
pub(crate) fn are_named(lists: [&[Value]; 2]) -> bool {
    lists.iter().all(|items| {
        let mut names = items.iter().map(path::item_name).collect::<Vec<_>>();
        names.sort_unstable();
        names.iter().all(Option::is_some) && names.windows(2).all(|it| it[0] != it[1])
    })
}

/// The item of this name.
pub(crate) fn named<'a>(items: &'a [Value], name: &str) -> Option<&'a Value> {
    items.iter().find(|it| path::item_name(it) == Some(name))
}

/// Names of the items of two lists together, those of the second that are new behind the first's.
pub(crate) fn item_names<'a>(before: &'a [Value], after: &'a [Value]) -> Vec<&'a str> {
    let mut names = before.iter().filter_map(path::item_name).collect::<Vec<_>>();
    for name in after.iter().filter_map(path::item_name) {
        if !names.contains(&name) {
            names.push(name);
        }
    }
    names
}

/// Path of the member `name` of what `path` names.
pub(crate) fn member_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

struct ChangeWalk {
    changes: Vec<model::ConfigChange>,
}

impl ChangeWalk {
    fn values(&mut self, path: &str, before: Option<&Value>, after: Option<&Value>) {
        if before == after {
            return;
        }
        match (before, after) {
            (Some(Value::Object(before)), Some(Value::Object(after))) => {
                for name in canonical::member_names(before, after) {
                    let path = member_path(path, name);
                    self.values(&path, before.get(name), after.get(name));
                }
            }
            (Some(Value::Array(before)), Some(Value::Array(after))) => {
                self.lists(path, before, after);
            }
            (before, after) => self.push(path.to_owned(), before, after),
        }
    }

    fn lists(&mut self, path: &str, before: &[Value], after: &[Value]) {
        if !are_named([before, after]) {
            return self.unnamed_lists(path, before, after);
        }
        for name in item_names(before, after) {
            self.values(&format!("{path}[{name}]"), named(before, name), named(after, name));
        }
        let kept = |items: &[Value], other: &[Value]| {
            let names = items.iter().filter_map(path::item_name);
            let kept = names.filter(|it| named(other, it).is_some());
            kept.map(str::to_owned).collect::<Vec<_>>()
        };
        let (old_order, new_order) = (kept(before, after), kept(after, before));
        if old_order != new_order {
            let path = format!("{path} (order)");
            self.push(path, Some(&old_order.into()), Some(&new_order.into()));
        }
    }

    fn unnamed_lists(&mut self, path: &str, before: &[Value], after: &[Value]) {
        let n_changes = self.changes.len();
        for item in before.iter().filter(|it| !after.contains(it)) {
            self.push(path.to_owned(), Some(item), None);
        }
        for item in after.iter().filter(|it| !before.contains(it)) {
            self.push(path.to_owned(), None, Some(item));
        }
        if self.changes.len() == n_changes {
            let (before, after) = (Value::from(before), Value::from(after));
            self.push(format!("{path} (order)"), Some(&before), Some(&after));
        }
    }

    fn push(&mut self, path: String, before: Option<&Value>, after: Option<&Value>) {
        let (before, after) = (before.map(canonical::inline), after.map(canonical::inline));
        self.changes.push(model::ConfigChange { path, before, after });
    }
}
