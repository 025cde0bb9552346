//! Entries of the platform's list of workers that name no worker to use.
//!
//! Others than workers may write to the list. Tasks that are sent to what such an entry names would
//! be lost until their lease lapses, or run where no configuration sends them; the other entries of
//! the list are sound all the same.

use std::collections::BTreeMap;

use almondpass_graph::worker;
use almondpass_schema::ids;
use thiserror::Error;

/// Entries whose last fault is remembered, so that each is logged when it changes only. Behind as
/// many the log is full of them anyway.
const MOST_REMEMBERED: usize = 1_000;

/// Why an entry names no worker to use.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EntryFault {
    /// Not in the form of an entry, or something is missing.
    #[error("expected an entry of a worker: {0}")]
    Form(String),
    /// Nothing that orders can be sent to.
    #[error("address: expected IP:PORT, found {0:?}")]
    Address(String),
    /// A state that is not known.
    #[error("state: expected ready or draining, found {0:?}")]
    State(String),
    /// It does not say in which rack it is.
    #[error("labels: expected a kind and a rack, found {0:?}")]
    Labels(Vec<String>),
    /// An upstream that the configuration does not name.
    #[error("upstream: the configuration names no {0:?}")]
    Upstream(String),
}

impl EntryFault {
    /// A short name of the fault, for metrics.
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
    /// Takes in how an entry was read: counts faults, and logs them when they change.
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
        if is_new && (self.faults.len() < MOST_REMEMBERED || self.faults.contains_key(worker)) {
            tracing::warn!(worker, reason, %fault, "entry names no worker to use");
            self.faults.insert(worker.to_owned(), fault.clone());
        }
    }

    /// Forgets an entry that is gone.
    pub fn forget(&mut self, worker: &str) {
        self.faults.remove(worker);
    }
}
