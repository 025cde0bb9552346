//! Bodies that the server of the tests answers with.

use serde_json::{Value, json};

/// Id of the job in the tests.
pub(crate) const JOB: &str = "01920000-0000-7000-8000-000000000001";

/// A job in `state`.
pub(crate) fn job(state: &str) -> Value {
    json!({
        "job": JOB,
        "account": "kutch-power",
        "hall": "rajkot",
        "submission": {
            "class": "ageing-trend",
            "tasks": 4,
            "accelerators": 8,
            "cores": 8,
            "memory_mb": 8192,
            "adjacency": "rack",
        },
        "submitted_at": "2026-03-01T06:00:00.000Z",
        "state": state,
        "state_since": "2026-03-01T06:05:00.000Z",
        "attempt": 1,
    })
}

/// A job that waits, with a reason.
pub(crate) fn waiting_job() -> Value {
    let mut job = job("queued");
    job["reason"] = json!({
        "code": "adjacency",
        "text": "waiting for 3 more adjacent workers in rack 2 of rajkot",
        "until": "2026-03-01T06:10:00.000Z",
    });
    job
}

/// Problem details with this outcome.
pub(crate) fn problem(status: u16, outcome: &str) -> Value {
    json!({
        "type": "about:blank",
        "title": "No capacity",
        "status": status,
        "detail": "expected a free slot, found none",
        "outcome": outcome,
        "step": "grant",
        "peer": "10.0.0.9:7002",
        "request": "01920000-0000-7000-8000-000000000009",
    })
}

/// A hall's picture.
pub(crate) fn picture() -> Value {
    json!({
        "hall": "rajkot",
        "epoch": 7,
        "holder": "instance-b",
        "fragmentation": 0.125,
        "workers": [worker("rajkot-r1-01", "live"), worker("rajkot-r1-02", "draining")],
        "queue": [{
            "job": JOB,
            "account": "kutch-power",
            "class": "ageing-trend",
            "since": "2026-03-01T06:00:00.000Z",
            "reason": {"code": "adjacency", "text": "waiting for 3 more adjacent workers"},
        }],
        "guarantees": [
            {"account": "kutch-power", "guarantee": "block", "state": "reclaimable", "claimed": 0},
        ],
    })
}

/// A worker's view.
pub(crate) fn worker(name: &str, state: &str) -> Value {
    let accelerators =
        ["free", "job", "request", "reserved", "lost"].map(|it| json!({"state": it}));
    json!({
        "worker": name,
        "rack": "r1",
        "state": state,
        "accelerators": accelerators,
        "slots_used": 1,
        "cores_free": 20,
        "memory_free_mb": 4096,
    })
}
