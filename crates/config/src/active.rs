//! The configuration in force on this instance.

use std::sync::Arc;

use almondpass_schema::{ids, model, time};

/// A configuration in force; published on a watch channel whose number only grows.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// Its number; 0 while a booting instance has none, when nothing may be accepted.
    pub version: ids::ConfigVersion,
    /// The document.
    pub document: Arc<model::ConfigDocument>,
}

impl ActiveConfig {
    /// What a booting instance has: number 0 and a document without halls, classes or accounts.
    pub fn none() -> ActiveConfig {
        let zero = time::TimeSpan::default();
        let document = model::ConfigDocument {
            site: String::new(),
            objective: model::ObjectiveWeights { completion_time: 1.0, fragmentation: 0.0 },
            bounds: model::PolicyBounds {
                reclaim: zero,
                checkpoint_grace: zero,
                urgent_start: zero,
                ageing_step: zero,
                gang_wait: zero,
                overrun: 1.0,
                idempotency_window: zero,
                job_retention: zero,
            },
            worker_kinds: Vec::new(),
            halls: Vec::new(),
            upstreams: Vec::new(),
            classes: Vec::new(),
            accounts: Vec::new(),
            drains: Vec::new(),
        };
        ActiveConfig { version: 0, document: Arc::new(document) }
    }

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

    /// The upstream of this name.
    pub fn upstream(&self, name: &str) -> Option<&model::UpstreamSpec> {
        self.document.upstreams.iter().find(|it| it.name == name)
    }

    /// The kind of worker of this name.
    pub fn worker_kind(&self, name: &str) -> Option<&model::WorkerKind> {
        self.document.worker_kinds.iter().find(|it| it.name == name)
    }
}
