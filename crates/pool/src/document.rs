//! The operators' configuration document as the pool uses it, and the slot that holds the version in force.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

use almondpass_graph::{catalog, worker};
use almondpass_schema::{blob, ids};
use tokio::sync::watch;

use crate::worker_entry;

/// Host and path prefix under which callers reach a job class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRoute {
    /// Job class of the calls that match.
    pub class: ids::ClassName,
    /// Host that a call has to name to match.
    pub host: String,
    /// Prefix of the paths that match; the longest matching prefix wins.
    pub prefix: String,
    /// Whether callers need no API key.
    pub allows_anonymous: bool,
}

/// One version of the operators' configuration document.
#[derive(Clone, Debug, Default)]
pub struct PoolDocument {
    /// Configuration version: a document replaces the one in force only with a higher version.
    pub version: ids::ConfigVersion,
    /// Routes from host and path to job class.
    pub routes: Vec<ClassRoute>,
    /// Upstreams named by the document; workers of any other upstream are not used.
    pub upstreams: BTreeSet<ids::UpstreamName>,
    /// Client account of each API key.
    pub keys: BTreeMap<String, ids::AccountId>,
    /// Job classes and client accounts in the form that the scheduler needs.
    pub catalog: Arc<catalog::PoolCatalog>,
    /// Longest accepted body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Text of the document as the operator wrote it, sent to peers that have an older version.
    pub source: blob::Blob,
}

/// Parses the rows that the platform and its operators write, in the platform's format.
pub trait PlatformReader: Clone + Send + Sync + 'static {
    /// Table that holds the configuration document and the evacuations.
    const DOCUMENT_TABLE: &'static str;
    /// Key of the configuration document in that table.
    const DOCUMENT_KEY: &'static str;
    /// Table of the workers; one row per worker, under the worker's id.
    const WORKER_TABLE: &'static str;

    /// Returns the data centre that a row of the document's table evacuates; `None` for rows of
    /// another kind. The evacuation lasts as long as the row exists.
    fn evacuated_data_center(key: &str) -> Option<&str>;

    /// Parses the text of a configuration document, and fails where it is invalid.
    fn document(&self, source: &[u8]) -> anyhow::Result<PoolDocument>;

    /// Parses and checks the row of a worker. What the row names is used whoever wrote it, so an invalid row
    /// has to be rejected here.
    fn worker(&self, value: &[u8]) -> Result<worker::WorkerEntry, worker_entry::EntryFault>;
}

/// Holds the configuration document in force. Only a higher version replaces it, whether the store
/// or a peer supplied it. Otherwise a read of the store that was in progress while a peer supplied
/// a newer version would bring the older version back.
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
    /// Returns the document in force; `None` before the first one was installed.
    pub fn current(&self) -> Option<Arc<PoolDocument>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the version in force; 0 before the first document was installed.
    pub fn version(&self) -> ids::ConfigVersion {
        *self.version.borrow()
    }

    /// Returns a receiver that is notified of each new version.
    pub fn subscribe(&self) -> watch::Receiver<ids::ConfigVersion> {
        self.version.subscribe()
    }

    /// Replaces the document in force if `document` has a higher version, and returns whether it did.
    /// `origin` names the source of the document in the log.
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
    /// Returns the route of a call: among the routes of its host, the one with the longest prefix of its
    /// path.
    pub fn route(&self, host: &str, path: &str) -> Option<&ClassRoute> {
        let fitting =
            self.routes.iter().filter(|it| it.host == host && path.starts_with(&it.prefix));
        fitting.max_by_key(|it| it.prefix.len())
    }
}
