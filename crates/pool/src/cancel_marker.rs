//! Cancel markers: rows in place of jobs that were cancelled before they were stored.
//!
//! A submission whose caller has given up may still have a write in progress in the store. A marker makes
//! the condition of that write fail, so that the job never runs. It is no job: callers are told that there is
//! none, and the tenure holder removes the marker like the row of an ended job.

use almondpass_schema::{ids, model};

/// The marker for an id that an account has cancelled.
pub(crate) fn marker_row(account: Option<&str>) -> model::GraphRow {
    model::GraphRow {
        account: account.map(ids::AccountId::from),
        cancelled: true,
        class: ids::ClassName::new(),
        graph: model::JobGraph { body: String::new(), schedule: None, steps: Vec::new() },
        max_attempts: 1,
        priority: 0,
        upstream: ids::UpstreamName::new(),
    }
}

/// Whether a row is a cancel marker. No job is without steps.
pub(crate) fn is_marker(row: &model::GraphRow) -> bool {
    row.cancelled && row.graph.steps.is_empty()
}
