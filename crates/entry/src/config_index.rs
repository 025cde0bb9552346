//! The configuration in force, indexed for the request path.

use std::sync::{Arc, OnceLock, RwLock};

use almondpass_config::active;
use almondpass_policy::homes;
use almondpass_schema::{ids, model};
use tokio::sync::watch;

use crate::key_index;
use crate::meter;

/// One configuration version with its indexes.
#[derive(Debug)]
pub struct ConfigIndex {
    active: Arc<active::ActiveConfig>,
    keys: key_index::KeyIndex,
    /// By account, then by class; filled at first use.
    meters: Vec<OnceLock<meter::ClassMeter>>,
    /// Where guaranteed shapes are at home.
    homes: Vec<homes::Home>,
}

impl ConfigIndex {
    fn new(active: Arc<active::ActiveConfig>) -> ConfigIndex {
        let document = &active.document;
        let n_meters = document.accounts.len() * document.classes.len();
        let keys = key_index::KeyIndex::new(&document.accounts);
        let meters = (0..n_meters).map(|_| OnceLock::new()).collect();
        // A document in force fits: the rule check of drafts uses the same function. Where it does
        // not, jobs are still offered to every hall in turn.
        let homes = homes::assign(document).unwrap_or_default();
        ConfigIndex { active, keys, meters, homes }
    }

    /// The configuration.
    pub fn document(&self) -> &model::ConfigDocument {
        &self.active.document
    }

    /// Number of the version; 0 while there is none.
    pub fn version(&self) -> ids::ConfigVersion {
        self.active.version
    }
}

/// A caller whose key was found in this configuration version.
#[derive(Clone, Debug)]
pub struct CallerAccount {
    index: Arc<ConfigIndex>,
    position: usize,
}

impl CallerAccount {
    /// Finds the account of `key`.
    pub fn authenticate(index: Arc<ConfigIndex>, key: &[u8]) -> Option<CallerAccount> {
        let position = index.keys.account(key)?;
        Some(CallerAccount { index, position })
    }

    /// The account.
    pub fn account(&self) -> &model::ClientAccount {
        &self.document().accounts[self.position]
    }

    /// The configuration under which it was found.
    pub fn document(&self) -> &model::ConfigDocument {
        self.index.document()
    }

    /// Halls in which guaranteed shapes of the account are at home.
    pub fn homes(&self) -> impl Iterator<Item = &homes::Home> {
        let account = &self.account().id;
        self.index.homes.iter().filter(move |it| it.account == *account)
    }

    /// The class of this name, of either kind.
    pub fn class(&self, name: &str) -> Option<CallerClass> {
        let position = self.document().classes.iter().position(|it| it.name == name)?;
        Some(CallerClass { caller: self.clone(), position })
    }
}

/// A class as one caller uses it.
#[derive(Clone, Debug)]
pub struct CallerClass {
    caller: CallerAccount,
    position: usize,
}

impl CallerClass {
    /// The caller.
    pub fn caller(&self) -> &CallerAccount {
        &self.caller
    }

    /// The class.
    pub fn class(&self) -> &model::JobClass {
        &self.caller.document().classes[self.position]
    }

    /// Measurements of this account and class.
    pub fn meter(&self) -> &meter::ClassMeter {
        let n_classes = self.caller.document().classes.len();
        let meter = &self.caller.index.meters[self.caller.position * n_classes + self.position];
        meter.get_or_init(|| meter::ClassMeter::new(&self.caller.account().id, &self.class().name))
    }
}

/// Follows the configuration in force.
#[derive(Debug)]
pub struct ConfigWatch {
    receiver: watch::Receiver<Arc<active::ActiveConfig>>,
    index: RwLock<Arc<ConfigIndex>>,
}

impl ConfigWatch {
    /// Follows `receiver`.
    pub fn new(receiver: watch::Receiver<Arc<active::ActiveConfig>>) -> ConfigWatch {
        let index = ConfigIndex::new(Arc::clone(&receiver.borrow()));
        ConfigWatch { receiver, index: RwLock::new(Arc::new(index)) }
    }

    /// The index of the newest version, built by whoever asks first.
    pub fn current(&self) -> Arc<ConfigIndex> {
        let newest = self.receiver.borrow().version;
        let index = Arc::clone(&self.index.read().unwrap_or_else(|it| it.into_inner()));
        if newest <= index.version() {
            return index;
        }
        let mut current = self.index.write().unwrap_or_else(|it| it.into_inner());
        let active = Arc::clone(&self.receiver.borrow());
        if current.version() < active.version {
            *current = Arc::new(ConfigIndex::new(active));
        }
        Arc::clone(&current)
    }
}
