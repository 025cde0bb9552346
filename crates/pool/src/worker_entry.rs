//! Entries of the platform's worker list that name no usable worker.
//!
//! Not only workers may write to the list. Tasks sent to what a faulty entry names would be lost until their
//! lease lapses, or run where no configuration sends them. The other entries of the list remain valid.

use std::collections::BTreeMap;

use almondpass_graph::worker;
use almondpass_schema::ids;
use thiserror::Error;

/// Most entries whose last fault is remembered, so that a fault is logged only when it changes. Beyond this
/// number the log would be full of faults anyway.
const MAX_REMEMBERED: usize = 1_000;

/// Why an entry names no usable worker.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EntryFault {
    /// The entry is malformed, or a field is missing.
    #[error("expected a worker entry: {0}")]
    Form(String),
    /// The address is not one that orders can be sent to.
    #[error("address: expected IP:PORT, found {0:?}")]
    Address(String),
    /// The state is unknown.
    #[error("state: expected ready or draining, found {0:?}")]
    State(String),
    /// The labels do not name the worker's rack.
    #[error("labels: expected a kind and a rack, found {0:?}")]
    Labels(Vec<String>),
    /// The configuration does not name the upstream.
    #[error("upstream: expected one that the configuration names, found {0:?}")]
    Upstream(String),
}

impl EntryFault {
    /// Short name of the fault, used as a metric label.
    pub fn reason(&self) -> &'static str {
        match self {
            EntryFault::Form(_) => "form",
            EntryFault::Address(_) => "address",
            EntryFault::State(_) => "state",
            EntryFault::Labels(_) => "labels",
            EntryFault::Upstream(_) => "upstream",
        }
    }
}

/// The last fault of each entry that has one.
#[derive(Clone, Debug, Default)]
pub struct FaultyEntries {
    faults: BTreeMap<ids::WorkerId, EntryFault>,
}

impl FaultyEntries {
    /// Records how an entry was read: counts each fault, and logs it when it differs from the entry's last
    /// one.
    pub fn observe(&mut self, worker: &str, read: &Result<worker::WorkerEntry, EntryFault>) {
        let Err(fault) = read else {
            if self.faults.remove(worker).is_some() {
                tracing::info!(worker, "entry of a worker is sound again");
            }
            return;
        };
        let reason = fault.reason();
        metrics::counter!("almondpass_pool_worker_entry_faults_total", "reason" => reason)
            .increment(1);
        let is_new = self.faults.get(worker) != Some(fault);
        if is_new && (self.faults.len() < MAX_REMEMBERED || self.faults.contains_key(worker)) {
            tracing::warn!(worker, reason, %fault, "entry names no worker to use");
            self.faults.insert(worker.to_owned(), fault.clone());
        }
    }

    /// Forgets an entry that was deleted from the list.
    pub fn forget(&mut self, worker: &str) {
        self.faults.remove(worker);
    }
}
