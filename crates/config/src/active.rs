//! The configuration in force on this instance.

use std::sync::Arc;

use almondpass_schema::{ids, model};

/// A configuration in force; published on a watch channel whose number only grows.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// Its number; 0 while a booting instance has none, when nothing may be accepted.
    pub version: ids::ConfigVersion,
    /// The document.
    pub document: Arc<model::ConfigDocument>,
}

impl ActiveConfig {
    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<&model::JobClass> {
        self.document.classes.iter().find(|it| it.name == name)
    }

    /// The account of this id.
    pub fn account(&self, id: &str) -> Option<&model::ClientAccount> {
        self.document.accounts.iter().find(|it| it.id == id)
    }

    /// The hall of this name.
    pub fn hall(&self, name: &str) -> Option<&model::HallLayout> {
        self.document.halls.iter().find(|it| it.name == name)
    }
}
