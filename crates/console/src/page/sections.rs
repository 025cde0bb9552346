//! The parts of the draft form, one shown at a time.

use std::str::FromStr;

use maud::{Markup, html};
use serde_json::Value;

use crate::page::input;

/// A part of the document that is edited together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum DraftSection {
    #[default]
    Accounts,
    Shapes,
    Limits,
    Classes,
    Upstreams,
    Objective,
    Bounds,
    Halls,
    Document,
}

impl DraftSection {
    /// All sections in the order of their tabs.
    pub(crate) const ALL: [DraftSection; 9] = [
        DraftSection::Accounts,
        DraftSection::Shapes,
        DraftSection::Limits,
        DraftSection::Classes,
        DraftSection::Upstreams,
        DraftSection::Objective,
        DraftSection::Bounds,
        DraftSection::Halls,
        DraftSection::Document,
    ];

    /// Name in forms.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            DraftSection::Accounts => "accounts",
            DraftSection::Shapes => "shapes",
            DraftSection::Limits => "limits",
            DraftSection::Classes => "classes",
            DraftSection::Upstreams => "upstreams",
            DraftSection::Objective => "objective",
            DraftSection::Bounds => "bounds",
            DraftSection::Halls => "halls",
            DraftSection::Document => "document",
        }
    }

    /// Label of its tab.
    pub(crate) fn label(self) -> &'static str {
        match self {
            DraftSection::Accounts => "Client accounts",
            DraftSection::Shapes => "Guaranteed shapes",
            DraftSection::Limits => "Limits",
            DraftSection::Classes => "Job classes",
            DraftSection::Upstreams => "Upstreams",
            DraftSection::Objective => "Objective",
            DraftSection::Bounds => "Bounds",
            DraftSection::Halls => "Halls",
            DraftSection::Document => "Whole document",
        }
    }

    /// The section's inputs; `document_text` is what the text of the whole document shows.
    pub(crate) fn inputs(self, set: &input::InputSet<'_>, document_text: &str) -> Markup {
        match self {
            DraftSection::Accounts => accounts(set),
            DraftSection::Shapes => shapes(set),
            DraftSection::Limits => limits(set),
            DraftSection::Classes => classes(set),
            DraftSection::Upstreams => upstreams(set),
            DraftSection::Objective => objective(set),
            DraftSection::Bounds => bounds(set),
            DraftSection::Halls => halls(set),
            DraftSection::Document => document(document_text),
        }
    }
}

impl FromStr for DraftSection {
    type Err = ();

    fn from_str(name: &str) -> Result<DraftSection, ()> {
        DraftSection::ALL.into_iter().find(|it| it.as_str() == name).ok_or(())
    }
}

fn accounts(set: &input::InputSet<'_>) -> Markup {
    html! {
        p.hint { "Keys are kept as SHA-256 hashes, one a line. Type a key in clear to add its hash." }
        @for (pointer, account) in set.items("/accounts") {
            fieldset {
                legend { (name_of(account)) }
                div.grid.roomy {
                    label { "Id" (set.text(&format!("{pointer}/id"))) }
                    label { "Name" (set.text(&format!("{pointer}/name"))) }
                }
                div.grid.single {
                    label { "Keys" (set.lines(&format!("{pointer}/keys"))) }
                    label { "New key" (set.new_key(&format!("{pointer}/keys"))) }
                }
                (input::remove_button(&pointer, name_of(account)))
            }
        }
        (input::add_button("/accounts", "Add an account"))
    }
}

fn shapes(set: &input::InputSet<'_>) -> Markup {
    let halls = set.names("/halls");
    html! {
        p.hint {
            "An account can always claim its shapes. Adjacent within: a worker, neighbouring workers of "
            "a rack, or neighbouring racks of a hall. In any hall: the system chooses one that has room."
        }
        @for (account_pointer, account) in set.items("/accounts") {
            @let list = format!("{account_pointer}/guarantees");
            fieldset {
                legend { (name_of(account)) }
                @if !set.items(&list).is_empty() {
                    table.form {
                        thead { tr {
                            th { "Shape" } th { "Accelerators" } th { "Adjacent within" } th { "Home hall" } th {}
                        } }
                        tbody {
                            @for (pointer, shape) in set.items(&list) {
                                tr {
                                    td { (set.text(&format!("{pointer}/name"))) }
                                    td { (set.number(&format!("{pointer}/accelerators"))) }
                                    td { (set.select(&format!("{pointer}/adjacency"), &["any", "worker", "rack", "hall"], None)) }
                                    td { (set.select(&format!("{pointer}/hall"), &halls, Some("any hall"))) }
                                    td { (input::remove_button(&pointer, name_of(shape))) }
                                }
                            }
                        }
                    }
                }
                (input::add_button(&list, "Add a shape"))
            }
        }
    }
}

fn limits(set: &input::InputSet<'_>) -> Markup {
    html! {
        p.hint { "Accelerators at a time: empty for no limit." }
        table.form {
            thead { tr {
                th { "Account" } th { "Jobs that wait" } th { "Requests at a time" }
                th { "Requests that wait" } th { "Accelerators at a time" }
            } }
            tbody {
                @for (pointer, account) in set.items("/accounts") {
                    tr {
                        td.name { (name_of(account)) }
                        @for limit in ["queued_jobs", "running_requests", "queued_requests", "accelerators"] {
                            td { (set.number(&format!("{pointer}/limits/{limit}"))) }
                        }
                    }
                }
            }
        }
    }
}

fn classes(set: &input::InputSet<'_>) -> Markup {
    let upstreams = set.names("/upstreams");
    html! {
        p.hint {
            "Priority 0 to 9, higher first. Work that is not repeatable runs at most once. "
            "Sizes are those of one request, or the least of one task of a job."
        }
        @for (pointer, class) in set.items("/classes") {
            @let at = |member: &str| format!("{pointer}/{member}");
            fieldset {
                legend { (name_of(class)) }
                div.grid {
                    label { "Name" (set.text(&at("name"))) }
                    label { "Kind" (set.select(&at("kind"), &["request", "job"], None)) }
                    label { "Upstream" (set.select(&at("upstream"), &upstreams, None)) }
                    label { "Priority" (set.number(&at("priority"))) }
                    label { "Urgent" (set.flag(&at("urgent"))) }
                    label { "Repeatable" (set.flag(&at("repeatable"))) }
                    label { "Can checkpoint" (set.flag(&at("checkpoint"))) }
                    label { "Accelerators" (set.number(&at("accelerators"))) }
                    label { "Cores" (set.number(&at("cores"))) }
                    label { "Memory, MiB" (set.number(&at("memory_mb"))) }
                    label { "Expected run" (set.span(&at("expected_run"))) }
                    label { "Longest run" (set.span(&at("max_run"))) }
                    label { "Deadline" (set.span(&at("deadline"))) }
                    label { "Largest body, bytes" (set.number(&at("max_body_bytes"))) }
                }
                (input::remove_button(&pointer, name_of(class)))
            }
        }
        (input::add_button("/classes", "Add a class"))
    }
}

fn upstreams(set: &input::InputSet<'_>) -> Markup {
    let halls = set.names("/halls");
    html! {
        table.form {
            thead { tr { th { "Name" } th { "Halls that have it" } th {} } }
            tbody {
                @for (pointer, upstream) in set.items("/upstreams") {
                    tr {
                        td { (set.text(&format!("{pointer}/name"))) }
                        td { (set.choices(&format!("{pointer}/halls"), &halls)) }
                        td { (input::remove_button(&pointer, name_of(upstream))) }
                    }
                }
            }
        }
        (input::add_button("/upstreams", "Add an upstream"))
    }
}

fn objective(set: &input::InputSet<'_>) -> Markup {
    html! {
        p.hint { "The two weights sum to 1." }
        div.grid {
            label { "Site" (set.text("/site")) }
            label { "Weight of completion time" (set.number("/objective/completion_time")) }
            label { "Weight of fragmentation" (set.number("/objective/fragmentation")) }
        }
    }
}

fn bounds(set: &input::InputSet<'_>) -> Markup {
    html! {
        div.grid.roomy {
            label { "Reclaim: a claimed guarantee holds its accelerators within" (set.span("/bounds/reclaim")) }
            label { "Of this, a victim gets for its checkpoint" (set.span("/bounds/checkpoint_grace")) }
            label { "Urgent work starts within" (set.span("/bounds/urgent_start")) }
            label { "Waiting raises work by one priority after" (set.span("/bounds/ageing_step")) }
            label { "A gang that fits an empty hall starts within, plus the longest run ahead" (set.span("/bounds/gang_wait")) }
            label { "A task is stopped after this many times its longest run" (set.number("/bounds/overrun")) }
            label { "Idempotency keys are known for" (set.span("/bounds/idempotency_window")) }
            label { "Ended jobs are kept for" (set.span("/bounds/job_retention")) }
        }
    }
}

fn halls(set: &input::InputSet<'_>) -> Markup {
    let kinds = set.names("/worker_kinds");
    html! {
        @for (hall_pointer, hall) in set.items("/halls") {
            @let list = format!("{hall_pointer}/racks");
            fieldset {
                legend { (name_of(hall)) }
                div.grid {
                    label { "Name" (set.text(&format!("{hall_pointer}/name"))) }
                    label { "Region" (set.text(&format!("{hall_pointer}/region"))) }
                    label { "Data centre" (set.text(&format!("{hall_pointer}/data_center"))) }
                }
                table.form {
                    thead { tr { th { "Rack" } th { "Workers" } th { "Kind" } th {} } }
                    tbody {
                        @for (pointer, rack) in set.items(&list) {
                            tr {
                                td { (set.text(&format!("{pointer}/name"))) }
                                td { (set.number(&format!("{pointer}/workers"))) }
                                td { (set.select(&format!("{pointer}/kind"), &kinds, None)) }
                                td { (input::remove_button(&pointer, name_of(rack))) }
                            }
                        }
                    }
                }
                (input::add_button(&list, "Add a rack")) " "
                (input::remove_button(&hall_pointer, &format!("the hall {}", name_of(hall))))
            }
        }
        (input::add_button("/halls", "Add a hall"))
        h3 { "Kinds of worker" }
        table.form {
            thead { tr {
                th { "Kind" } th { "Cores" } th { "Memory, MiB" } th { "Accelerators" } th { "Slots" }
                th { "Connections" } th {}
            } }
            tbody {
                @for (pointer, kind) in set.items("/worker_kinds") {
                    tr {
                        td { (set.text(&format!("{pointer}/name"))) }
                        @for size in ["cores", "memory_mb", "accelerators", "slots", "connections"] {
                            td { (set.number(&format!("{pointer}/{size}"))) }
                        }
                        td { (input::remove_button(&pointer, name_of(kind))) }
                    }
                }
            }
        }
        (input::add_button("/worker_kinds", "Add a kind"))
    }
}

fn document(text: &str) -> Markup {
    html! {
        p.hint { "The whole document as YAML. What the forms leave out, such as drains, is edited here." }
        textarea.document name="document_text" rows="32" spellcheck="false" aria-label="Document" {
            "\n" (text)
        }
    }
}

fn name_of(item: &Value) -> &str {
    let name = ["id", "name"].iter().find_map(|it| item.get(it)?.as_str());
    name.filter(|it| !it.is_empty()).unwrap_or("new")
}
