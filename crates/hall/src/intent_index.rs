//! In-memory index of idempotency keys and their outcomes, filled from the intent log at takeover
//! and kept current while the hall runs.

use std::collections::HashMap;
use std::time::Duration;

use almondpass_membership::home;
use almondpass_schema::{ids, model, time};

/// Whether a request with a given idempotency key may be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyStatus {
    /// The request may be sent: the key is new, or no earlier request with it was sent.
    Free,
    /// A request with the key was sent, or may have been.
    Recorded {
        /// The request that used the key.
        request: ids::RequestId,
        /// Outcome of that request; `unknown` while it is in progress.
        outcome: model::RequestOutcome,
    },
}

/// A grant for a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq)]
struct KeyUse {
    grant: ids::GrantId,
    request: ids::RequestId,
    /// `None` while the request may be in progress.
    outcome: Option<model::RequestOutcome>,
}

/// An idempotency key within its account. The same key in two accounts counts as two keys, so that
/// no account learns about the requests of another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AccountKey {
    account: ids::AccountId,
    key: ids::IdempotencyKey,
}

/// Uses of the idempotency keys of one hall, by account and key.
#[derive(Debug, Default)]
pub struct IntentIndex {
    uses: HashMap<AccountKey, Vec<KeyUse>>,
    key_by_grant: HashMap<ids::GrantId, AccountKey>,
}

impl IntentIndex {
    /// Returns whether a request with the key may be sent, or what became of an earlier one.
    pub fn status(&self, account: &str, key: ids::IdempotencyKey) -> KeyStatus {
        let account_key = AccountKey { account: account.to_owned(), key };
        let uses = self.uses.get(&account_key).map_or(&[][..], Vec::as_slice);
        let used = uses.iter().filter(|it| it.outcome != Some(model::RequestOutcome::NotRun));
        // A use with a known outcome takes precedence over one in progress.
        let Some(found) = used.max_by_key(|it| it.outcome.is_some()) else {
            return KeyStatus::Free;
        };
        KeyStatus::Recorded {
            request: found.request,
            outcome: found.outcome.unwrap_or(model::RequestOutcome::Unknown),
        }
    }

    /// Records that the holder of a grant may send a request with the key from now on. Has no
    /// effect if the grant is recorded already.
    pub fn record_intent(
        &mut self,
        account: &ids::AccountId,
        key: ids::IdempotencyKey,
        grant: ids::GrantId,
        request: ids::RequestId,
    ) {
        let account_key = AccountKey { account: account.clone(), key };
        let uses = self.uses.entry(account_key.clone()).or_default();
        if uses.iter().any(|it| it.grant == grant) {
            return;
        }
        uses.push(KeyUse { grant, request, outcome: None });
        self.key_by_grant.insert(grant, account_key);
    }

    /// Records the outcome of a grant and returns the entry for the log. Returns `None` if the grant
    /// is unknown or has an outcome already: the first outcome counts.
    pub fn record_outcome(
        &mut self,
        grant: ids::GrantId,
        outcome: model::RequestOutcome,
    ) -> Option<model::IntentEntry> {
        let account_key = self.key_by_grant.get(&grant)?;
        let uses = self.uses.get_mut(account_key)?;
        let open = uses.iter_mut().find(|it| it.grant == grant && it.outcome.is_none())?;
        open.outcome = Some(outcome);
        let entry = model::IntentEntry::Outcome {
            key: account_key.key,
            account: account_key.account.clone(),
            grant,
            outcome,
        };
        if uses.iter().all(|it| it.outcome == Some(model::RequestOutcome::NotRun)) {
            self.remove_unused(grant);
        }
        Some(entry)
    }

    /// Adds the intents of log entries. The entries of the table and those of the object store have
    /// no order relative to each other, so outcomes are matched to intents by grant, whatever the
    /// order.
    pub fn replay_intents(&mut self, entries: &[model::IntentEntry]) {
        for entry in entries {
            if let model::IntentEntry::Intent { key, account, request, grant, .. } = entry {
                self.record_intent(account, *key, *grant, *request);
            }
        }
    }

    /// Adds the outcomes of log entries; called after [`Self::replay_intents`] for the whole log.
    pub fn replay_outcomes(&mut self, entries: &[model::IntentEntry]) {
        for entry in entries {
            if let model::IntentEntry::Outcome { grant, outcome, .. } = entry {
                self.record_outcome(*grant, *outcome);
            }
        }
    }

    /// Grants that have no outcome yet.
    pub fn open_grants(&self) -> Vec<ids::GrantId> {
        let uses = self.uses.values().flatten().filter(|it| it.outcome.is_none());
        uses.map(|it| it.grant).collect()
    }

    /// Removes the keys made before `oldest`. Requests with such keys are refused for their age.
    pub fn trim(&mut self, oldest: time::WallTime) {
        self.uses.retain(|account_key, _| {
            home::key_time(&account_key.key).is_some_and(|made_at| oldest <= made_at)
        });
        let uses = &self.uses;
        self.key_by_grant.retain(|_, account_key| uses.contains_key(account_key));
    }

    /// Number of keys in the index, counted per account.
    pub fn n_keys(&self) -> usize {
        self.uses.len()
    }

    fn remove_unused(&mut self, grant: ids::GrantId) {
        let Some(account_key) = self.key_by_grant.remove(&grant) else { return };
        if let Some(uses) = self.uses.get_mut(&account_key) {
            uses.retain(|it| it.grant != grant);
            if uses.is_empty() {
                self.uses.remove(&account_key);
            }
        }
    }
}

/// Time from which a log entry is no longer needed: every instance whose clock error is within
/// [`CLOCK_SLACK`] refuses its key for its age by then.
pub fn entry_expiry(entry: &model::IntentEntry, window: Duration) -> time::WallTime {
    let key = match entry {
        model::IntentEntry::Intent { key, .. } | model::IntentEntry::Outcome { key, .. } => key,
    };
    home::key_time(key).unwrap_or_default() + window + CLOCK_SLACK
}

/// Largest tolerated difference between the clocks of two instances, or of an instance and a caller.
pub const CLOCK_SLACK: Duration = Duration::from_secs(600);
