//! The configuration in force.

use almondpass_schema::{ids, model};
use maud::{Markup, html};

use crate::page::overview;

/// The document and on how many instances it is in force.
pub(crate) fn content(
    version: ids::ConfigVersion,
    instances: &[model::InstanceConfig],
    text: &str,
    accepted: Option<ids::ConfigVersion>,
) -> Markup {
    html! {
        @if let Some(accepted) = accepted {
            p.done role="status" { "Version " (accepted) " was accepted. Load this page again to see it spread." }
        }
        (overview::in_force_line(instances))
        p { a.button href="/console/config/edit" { "Edit" } }
        @if 0 < version {
            table {
                thead { tr { th { "Instance" } th.number { "Version" } th { "State" } } }
                tbody {
                    @for instance in instances {
                        tr {
                            td { (instance.instance) }
                            td.number { (instance.version) }
                            td { @if instance.leaving { "leaving" } @else { "live" } }
                        }
                    }
                }
            }
            h2 { "Document in force, version " (version) }
            pre.document { (text) }
        }
    }
}
