//! The configuration that the fleet runs under.

use almondpass_schema::model;
use serde_json::json;
use sha2::Digest;

/// Halls of the site.
pub const HALLS: [&str; 2] = ["vadodara", "rajkot"];
/// Workers of each hall, in one rack.
pub const N_WORKERS: u32 = 4;
/// Accelerators of each worker.
pub const N_ACCELERATORS: u32 = 4;
/// The service on every worker.
pub const UPSTREAM: &str = "oil-analysis";
/// Requests that may run more than once.
pub const CHECK: &str = "check";
/// Requests that run at most once.
pub const TICKET: &str = "ticket";
/// Jobs that may run more than once.
pub const BATCH: &str = "batch";
/// Jobs that run at most once.
pub const PRINT: &str = "print";
/// The account that outweighs all others.
pub const LARGE: &str = "large";
/// An account with a guarantee.
pub const SMALL: &str = "small";
/// Its guarantee: one whole worker.
pub const GUARANTEE: &str = "one-worker";
/// A job is given up by its tasks' limit, in seconds.
pub const RECLAIM_SECONDS: u64 = 20;

/// Key of an account.
pub fn key_of(account: &str) -> String {
    format!("key of {account}")
}

/// The document.
pub fn document() -> model::ConfigDocument {
    let class = |name: &str, kind: &str, repeatable: bool| {
        json!({
            "name": name, "kind": kind, "priority": if kind == "request" { 6 } else { 4 },
            "repeatable": repeatable, "checkpoint": repeatable && kind == "job", "upstream": UPSTREAM,
            "accelerators": if kind == "request" { 1 } else { 0 },
            "expected_run": "1s", "max_run": if kind == "request" { "20s" } else { "10m" },
            "deadline": if kind == "request" { "10s" } else { "1h" },
        })
    };
    let account = |id: &str, guarantees: serde_json::Value| {
        json!({
            "id": id, "name": id, "guarantees": guarantees,
            "keys": [hex::encode(sha2::Sha256::digest(key_of(id)))],
            "limits": { "queued_jobs": 1000, "running_requests": 64, "queued_requests": 64 },
        })
    };
    let guarantee = json!([{
        "name": GUARANTEE, "accelerators": N_ACCELERATORS, "adjacency": "worker", "hall": HALLS[0],
    }]);
    let halls = HALLS.map(|name| {
        json!({
            "name": name, "region": "gujarat", "data_center": name,
            "racks": [{ "name": "r1", "workers": N_WORKERS, "kind": "k" }],
        })
    });
    let document = json!({
        "site": "fleet",
        "objective": { "completion_time": 0.5, "fragmentation": 0.5 },
        "bounds": {
            "reclaim": format!("{RECLAIM_SECONDS}s"), "checkpoint_grace": "5s",
            "urgent_start": "3s", "ageing_step": "1m", "gang_wait": "10m", "overrun": 2.0,
            "idempotency_window": "1h", "job_retention": "1h",
        },
        "worker_kinds": [{
            "name": "k", "cores": 32, "memory_mb": 65536, "accelerators": N_ACCELERATORS,
            "slots": 8, "connections": 64,
        }],
        "halls": halls,
        "upstreams": [{ "name": UPSTREAM, "halls": HALLS }],
        "classes": [
            class(CHECK, "request", true),
            class(TICKET, "request", false),
            class(BATCH, "job", true),
            class(PRINT, "job", false),
        ],
        "accounts": [account(LARGE, json!([])), account(SMALL, guarantee)],
    });
    serde_json::from_value(document).expect("a valid document")
}
