//! What became of idempotency keys, in memory, as read from the log and as it happens.

use std::collections::HashMap;
use std::time::Duration;

use almondpass_membership::home;
use almondpass_schema::{ids, model, time};

/// What a key that is offered again gets.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyStatus {
    /// It may be sent: it is new, or every try ended without anything sent.
    Free,
    /// It was used before.
    Recorded {
        /// The request that used it.
        request: ids::RequestId,
        /// What became of that; `unknown` while it is in progress.
        outcome: model::RequestOutcome,
    },
}

/// One grant under a key.
#[derive(Clone, Copy, Debug, PartialEq)]
struct KeyTry {
    grant: ids::GrantId,
    request: ids::RequestId,
    /// `None` while the request may still be on its way.
    outcome: Option<model::RequestOutcome>,
}

/// Keys are told apart by account, so that no account learns of another's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KeyOwner {
    account: ids::AccountId,
    key: ids::IdempotencyKey,
}

/// Records of the keys of one hall.
#[derive(Debug, Default)]
pub struct IntentIndex {
    tries: HashMap<KeyOwner, Vec<KeyTry>>,
    owners: HashMap<ids::GrantId, KeyOwner>,
}

impl IntentIndex {
    /// How a key stands.
    pub fn status(&self, account: &str, key: ids::IdempotencyKey) -> KeyStatus {
        let owner = KeyOwner { account: account.to_owned(), key };
        let tries = self.tries.get(&owner).map_or(&[][..], Vec::as_slice);
        let used = tries.iter().filter(|it| it.outcome != Some(model::RequestOutcome::NotRun));
        // A settled try tells more than one that is still on its way.
        let Some(found) = used.max_by_key(|it| it.outcome.is_some()) else {
            return KeyStatus::Free;
        };
        KeyStatus::Recorded {
            request: found.request,
            outcome: found.outcome.unwrap_or(model::RequestOutcome::Unknown),
        }
    }

    /// Notes that a grant may send a key from now on.
    pub fn record_intent(
        &mut self,
        account: &ids::AccountId,
        key: ids::IdempotencyKey,
        grant: ids::GrantId,
        request: ids::RequestId,
    ) {
        let owner = KeyOwner { account: account.clone(), key };
        let tries = self.tries.entry(owner.clone()).or_default();
        if tries.iter().any(|it| it.grant == grant) {
            return;
        }
        tries.push(KeyTry { grant, request, outcome: None });
        self.owners.insert(grant, owner);
    }

    /// Notes the outcome of a grant, the first one told; returns the line for the log.
    pub fn record_outcome(
        &mut self,
        grant: ids::GrantId,
        outcome: model::RequestOutcome,
    ) -> Option<model::IntentEntry> {
        let owner = self.owners.get(&grant)?;
        let tries = self.tries.get_mut(owner)?;
        let open = tries.iter_mut().find(|it| it.grant == grant && it.outcome.is_none())?;
        open.outcome = Some(outcome);
        let entry = model::IntentEntry::Outcome {
            key: owner.key,
            account: owner.account.clone(),
            grant,
            outcome,
        };
        if tries.iter().all(|it| it.outcome == Some(model::RequestOutcome::NotRun)) {
            self.forget_unused(grant);
        }
        Some(entry)
    }

    /// Takes lines of a log. The table's and the object store's lines have no order between
    /// them, so the result must not depend on it: lines meet by grant.
    pub fn replay(&mut self, entries: &[model::IntentEntry]) {
        for entry in entries {
            if let model::IntentEntry::Intent { key, account, request, grant, .. } = entry {
                self.record_intent(account, *key, *grant, *request);
            }
        }
    }

    /// Takes the outcomes of a log, after `replay` of all its intents.
    pub fn replay_outcomes(&mut self, entries: &[model::IntentEntry]) {
        for entry in entries {
            if let model::IntentEntry::Outcome { grant, outcome, .. } = entry {
                self.record_outcome(*grant, *outcome);
            }
        }
    }

    /// Grants whose outcome is not known.
    pub fn open_grants(&self) -> Vec<ids::GrantId> {
        let tries = self.tries.values().flatten().filter(|it| it.outcome.is_none());
        tries.map(|it| it.grant).collect()
    }

    /// Forgets keys made before `oldest`; they are refused for their age from now on.
    pub fn trim(&mut self, oldest: time::WallTime) {
        self.tries
            .retain(|owner, _| home::key_time(&owner.key).is_some_and(|made_at| oldest <= made_at));
        let tries = &self.tries;
        self.owners.retain(|_, owner| tries.contains_key(owner));
    }

    /// Keys on record.
    pub fn n_keys(&self) -> usize {
        self.tries.len()
    }

    fn forget_unused(&mut self, grant: ids::GrantId) {
        let Some(owner) = self.owners.remove(&grant) else { return };
        if let Some(tries) = self.tries.get_mut(&owner) {
            tries.retain(|it| it.grant != grant);
            if tries.is_empty() {
                self.tries.remove(&owner);
            }
        }
    }
}

/// When a line of the log stops to matter: its key is refused for its age by then, by every
/// clock that is right within [`CLOCK_SLACK`].
pub fn matters_until(entry: &model::IntentEntry, window: Duration) -> time::WallTime {
    let key = match entry {
        model::IntentEntry::Intent { key, .. } | model::IntentEntry::Outcome { key, .. } => key,
    };
    home::key_time(key).unwrap_or_default() + window + CLOCK_SLACK
}

/// How far the clocks of two instances, or of a caller, may be apart.
pub const CLOCK_SLACK: Duration = Duration::from_secs(600);
