//! The operators' document as the pool uses it, and the slot that holds the one in force.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

use almondpass_graph::{catalog, worker};
use almondpass_schema::{blob, ids};
use tokio::sync::watch;

use crate::worker_entry;

/// A class as callers reach it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRoute {
    /// The class.
    pub class: ids::ClassName,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
    /// Whether calls need no key.
    pub allows_anonymous: bool,
}

/// One version of the operators' document.
#[derive(Clone, Debug, Default)]
pub struct PoolDocument {
    /// Its number.
    pub version: ids::ConfigVersion,
    /// The classes as callers reach them.
    pub routes: Vec<ClassRoute>,
    /// The upstreams that it names.
    pub upstreams: BTreeSet<ids::UpstreamName>,
    /// Account by key.
    pub keys: BTreeMap<String, ids::AccountId>,
    /// Classes and accounts as the scheduler needs them.
    pub catalog: Arc<catalog::PoolCatalog>,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// The document as the operator wrote it, for peers.
    pub source: blob::Blob,
}

/// Reads what the platform and its operators write, in their form.
pub trait PlatformReader: Clone + Send + Sync + 'static {
    /// Table of the operators' document.
    const DOCUMENT_TABLE: &'static str;
    /// Its row there.
    const DOCUMENT_KEY: &'static str;
    /// Table of the workers; a row each, under the worker's id.
    const WORKER_TABLE: &'static str;

    /// The data centre under evacuation of which a row of the document's table tells, while it is there.
    fn evacuated_data_center(key: &str) -> Option<&str>;

    /// Reads a document.
    fn document(&self, source: &[u8]) -> anyhow::Result<PoolDocument>;

    /// Reads the row of a worker. Whoever has written it, what it names is used.
    fn worker(&self, value: &[u8]) -> Result<worker::WorkerEntry, worker_entry::EntryFault>;
}

/// The document in force. It only ever moves to a higher version, at this one place, whoever
/// brings it: a read of the store that was under way while a peer brought a newer version would
/// otherwise undo it.
#[derive(Debug)]
pub struct DocumentSlot {
    current: Mutex<Option<Arc<PoolDocument>>>,
    version: watch::Sender<ids::ConfigVersion>,
}

impl Default for DocumentSlot {
    fn default() -> DocumentSlot {
        DocumentSlot { current: Mutex::default(), version: watch::Sender::new(0) }
    }
}

impl DocumentSlot {
    /// The document in force; nothing before the first.
    pub fn current(&self) -> Option<Arc<PoolDocument>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Its version, 0 before the first.
    pub fn version(&self) -> ids::ConfigVersion {
        *self.version.borrow()
    }

    /// Tells of new versions.
    pub fn subscribe(&self) -> watch::Receiver<ids::ConfigVersion> {
        self.version.subscribe()
    }

    /// Puts a document in force if it is newer. `origin` says who brought it.
    pub fn install_if_newer(&self, document: PoolDocument, origin: &str) -> bool {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let in_force = current.as_ref().map_or(0, |it| it.version);
        if document.version <= in_force {
            return false;
        }
        tracing::info!(
            version = document.version,
            former = in_force,
            n_routes = document.routes.len(),
            n_keys = document.keys.len(),
            origin,
            "configuration in force"
        );
        let version = document.version;
        metrics::gauge!("almondpass_pool_config_version").set(version as f64);
        *current = Some(Arc::new(document));
        self.version.send_replace(version);
        true
    }
}

impl PoolDocument {
    /// The route of a call: the longest prefix of its path under its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&ClassRoute> {
        let fitting =
            self.routes.iter().filter(|it| it.host == host && path.starts_with(&it.prefix));
        fitting.max_by_key(|it| it.prefix.len())
    }
}
