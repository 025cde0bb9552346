//! Classes and accounts by dense index. An index never changes: what a newer configuration drops
//! stays as unknown, since work of it may still run.

use std::collections::HashMap;
use std::time::Duration;

use almondpass_schema::{ids, model};

/// What the core needs to know of a job class.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ClassRule {
    pub(crate) name: ids::ClassName,
    /// Whether the configuration in force has it.
    pub(crate) known: bool,
    pub(crate) is_request: bool,
    pub(crate) priority: u8,
    pub(crate) urgent: bool,
    pub(crate) repeatable: bool,
    pub(crate) checkpoint: bool,
    pub(crate) expected_run: Duration,
    pub(crate) max_run: Duration,
    pub(crate) upstream: ids::UpstreamName,
    /// Whether its upstream is in this hall.
    pub(crate) upstream_in_hall: bool,
    /// Whether its upstream is drained everywhere.
    pub(crate) upstream_drained: bool,
}

impl ClassRule {
    fn new(class: &model::JobClass, hall: &str, config: &model::ConfigDocument) -> ClassRule {
        let upstream_in_hall = config
            .upstreams
            .iter()
            .any(|it| it.name == class.upstream && it.halls.iter().any(|name| name == hall));
        let upstream_drained = config
            .drains
            .iter()
            .any(|it| it.worker.is_none() && it.upstream.as_ref() == Some(&class.upstream));
        ClassRule {
            name: class.name.clone(),
            known: true,
            is_request: class.kind == model::ClassKind::Request,
            priority: class.priority,
            urgent: class.urgent,
            repeatable: class.repeatable,
            checkpoint: class.checkpoint,
            expected_run: class.expected_run.0,
            max_run: class.max_run.0,
            upstream: class.upstream.clone(),
            upstream_in_hall,
            upstream_drained,
        }
    }

    /// Rule for adopted work whose class nobody knows any more: the most careful one.
    fn unknown(name: &str, request: bool) -> ClassRule {
        ClassRule {
            name: name.to_owned(),
            known: false,
            is_request: request,
            priority: 0,
            urgent: false,
            repeatable: false,
            checkpoint: false,
            expected_run: Duration::from_secs(3600),
            max_run: Duration::from_secs(24 * 3600),
            upstream: String::new(),
            upstream_in_hall: false,
            upstream_drained: false,
        }
    }
}

/// What the core needs to know of a client account.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AccountRule {
    pub(crate) id: ids::AccountId,
    pub(crate) known: bool,
    pub(crate) max_running_requests: u32,
    pub(crate) max_accelerators: Option<u32>,
}

/// Classes and accounts of the configuration in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct RuleCatalog {
    pub(crate) classes: Vec<ClassRule>,
    pub(crate) accounts: Vec<AccountRule>,
    class_index: HashMap<ids::ClassName, u32>,
    account_index: HashMap<ids::AccountId, u32>,
}

impl RuleCatalog {
    /// Takes over a configuration.
    pub(crate) fn configure(&mut self, hall: &str, config: &model::ConfigDocument) {
        self.classes.iter_mut().for_each(|it| it.known = false);
        self.accounts.iter_mut().for_each(|it| it.known = false);
        for it in &config.classes {
            let index = self.intern_class(&it.name, false);
            self.classes[index as usize] = ClassRule::new(it, hall, config);
        }
        for it in &config.accounts {
            let index = self.intern_account(&it.id);
            self.accounts[index as usize] = AccountRule {
                id: it.id.clone(),
                known: true,
                max_running_requests: it.limits.running_requests,
                max_accelerators: it.limits.accelerators,
            };
        }
    }

    /// Index of a class, a new one where it is unknown.
    pub(crate) fn intern_class(&mut self, name: &str, request: bool) -> u32 {
        if let Some(index) = self.class_index.get(name) {
            return *index;
        }
        let index = self.classes.len() as u32;
        self.classes.push(ClassRule::unknown(name, request));
        self.class_index.insert(name.to_owned(), index);
        index
    }

    /// Index of an account, a new one where it is unknown.
    pub(crate) fn intern_account(&mut self, id: &str) -> u32 {
        if let Some(index) = self.account_index.get(id) {
            return *index;
        }
        let index = self.accounts.len() as u32;
        self.accounts.push(AccountRule {
            id: id.to_owned(),
            known: false,
            max_running_requests: u32::MAX,
            max_accelerators: None,
        });
        self.account_index.insert(id.to_owned(), index);
        index
    }

    /// A class that the configuration in force has.
    pub(crate) fn known_class(&self, name: &str) -> Option<&ClassRule> {
        let rule = &self.classes[*self.class_index.get(name)? as usize];
        rule.known.then_some(rule)
    }

    /// An account that the configuration in force has.
    pub(crate) fn known_account(&self, id: &str) -> Option<u32> {
        let index = *self.account_index.get(id)?;
        self.accounts[index as usize].known.then_some(index)
    }
}
