//! Accepted versions.

use almondpass_schema::model;
use maud::{Markup, html};

use crate::page::{changes, queues};

/// A page of versions, newest first.
pub(crate) fn content(history: &model::ConfigHistory) -> Markup {
    html! {
        @if history.versions.is_empty() { p { "No version was accepted yet." } }
        @else {
            table {
                thead { tr { th.number { "Version" } th { "Accepted" } th { "By" } th { "Note" } } }
                tbody {
                    @for version in &history.versions {
                        tr {
                            td.number { a href=(format!("/console/config/versions/{}", version.version)) { (version.version) } }
                            td { (queues::clock(version.accepted_at)) }
                            td { (version.operator) }
                            td { (version.note) }
                        }
                    }
                }
            }
        }
        @if let Some(before) = history.before {
            p { a href=(format!("/console/config/history?before={before}")) { "Older versions" } }
        }
    }
}

/// One version and what it changed.
pub(crate) fn version(
    row: &model::ConfigRow,
    changed: Option<&[model::ConfigChange]>,
    diff: &str,
    text: &str,
) -> Markup {
    html! {
        p.facts {
            "Accepted " (queues::clock(row.accepted_at)) " by " strong { (row.operator) }
            @if !row.note.is_empty() { ": " (row.note) }
        }
        @if let Some(changed) = changed {
            h2 { "What it changed" }
            (changes::table(changed, &[]))
            @if !diff.is_empty() { details { summary { "As text" } (changes::unified(diff)) } }
        }
        h2 { "Document" }
        pre.document { (text) }
        p {
            "To go back to this version, "
            a href=(format!("/console/config/edit?from={}", row.version)) { "open it as a draft" }
            " on top of the newest; accepting makes it a new version."
        }
    }
}
