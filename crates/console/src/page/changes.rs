//! Differences of two versions.

use almondpass_schema::model;
use maud::{Markup, html};

/// The changes as a table, by path.
pub(crate) fn table(changes: &[model::ConfigChange], marked: &[String]) -> Markup {
    let is_marked =
        |path: &str| marked.iter().any(|it| path == it || path.starts_with(&format!("{it}.")));
    html! {
        @if changes.is_empty() { p { "No changes." } }
        @else {
            table.changes {
                thead { tr { th { "Where" } th { "Before" } th { "After" } } }
                tbody {
                    @for change in changes {
                        tr.both[is_marked(&change.path)] {
                            td.path { (breakable(&change.path)) }
                            td { @if let Some(before) = &change.before { del { (before) } } }
                            td { @if let Some(after) = &change.after { ins { (after) } } }
                        }
                    }
                }
            }
        }
    }
}

/// A path that a browser may break behind its steps rather than in the middle of a name.
pub(crate) fn breakable(path: &str) -> Markup {
    html! {
        @for step in path.split_inclusive(['.', '[']) { (step) wbr; }
    }
}

/// A unified diff, line by line.
pub(crate) fn unified(text: &str) -> Markup {
    let class = |line: &str| match line.as_bytes().first() {
        Some(b'+') => "added",
        Some(b'-') => "removed",
        Some(b'@') => "hunk",
        _ => "context",
    };
    html! {
        @if !text.is_empty() {
            pre.diff {
                @for line in text.lines() { span class=(class(line)) { (line) "\n" } }
            }
        }
    }
}
