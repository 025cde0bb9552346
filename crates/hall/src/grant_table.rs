//! Requests that wait for a slot or hold one.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use almondpass_schema::{ids, model, time};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How far a request has come.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum GrantStage {
    /// The policy has not placed it yet.
    Waiting,
    /// A serving lease is being reserved for it.
    Reserving {
        /// The lease.
        lease: ids::LeaseId,
    },
    /// Its intent is on its way to the log. Nothing may be sent yet.
    Logging {
        /// The lease.
        lease: ids::LeaseId,
        /// Since when.
        since: Instant,
    },
    /// An entry may send it.
    Granted {
        /// The slot as told.
        grant: model::SlotGrant,
        /// Since when.
        since: Instant,
    },
}

/// One request.
#[derive(Debug)]
pub(crate) struct GrantEntry {
    /// What was asked.
    pub(crate) call: model::GrantRequest,
    /// Where the answer goes; `None` once it is given.
    pub(crate) reply: Option<oneshot::Sender<model::GrantReply>>,
    /// Its class as it was on arrival.
    pub(crate) class: model::JobClass,
    /// When it arrived.
    pub(crate) arrived_at: Instant,
    /// How far it has come.
    pub(crate) stage: GrantStage,
    /// When it is given up: the caller's deadline, or the end of the grant's term.
    pub(crate) expires_at: Instant,
}

/// A serving lease of an earlier tenure, held until it is known that no entry uses it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AdoptedSlot {
    /// Work that stands for it in the policy.
    pub(crate) work: ids::GrantId,
    /// Grant that uses it, once an entry reported one.
    pub(crate) grant: Option<ids::GrantId>,
    /// When every grant of an earlier tenure has run out.
    pub(crate) expires_at: Instant,
}

/// Requests by grant, and the serving leases under them.
#[derive(Debug, Default)]
pub(crate) struct GrantTable {
    entries: BTreeMap<ids::GrantId, GrantEntry>,
    by_request: HashMap<ids::RequestId, ids::GrantId>,
    timers: BTreeSet<(Instant, ids::GrantId)>,
    /// Serving leases that no request uses, and until when they are kept.
    pub(crate) idle_leases: BTreeMap<ids::LeaseId, Instant>,
    /// Serving leases of earlier tenures.
    pub(crate) adopted_slots: BTreeMap<ids::LeaseId, AdoptedSlot>,
    /// Entries that have not said yet which grants of earlier tenures they use.
    pub(crate) unreported_entries: BTreeSet<ids::InstanceId>,
}

impl GrantTable {
    /// Adds a request.
    pub(crate) fn insert(&mut self, grant: ids::GrantId, work: GrantEntry) {
        self.by_request.insert(work.call.request, grant);
        self.timers.insert((work.expires_at, grant));
        self.entries.insert(grant, work);
    }

    /// The request of a grant.
    pub(crate) fn get(&self, grant: &ids::GrantId) -> Option<&GrantEntry> {
        self.entries.get(grant)
    }

    /// The request of a grant.
    pub(crate) fn get_mut(&mut self, grant: &ids::GrantId) -> Option<&mut GrantEntry> {
        self.entries.get_mut(grant)
    }

    /// The grant under which a request waits or runs.
    pub(crate) fn find_by_request(&self, request: &ids::RequestId) -> Option<ids::GrantId> {
        self.by_request.get(request).copied()
    }

    /// Moves the time at which a request is given up.
    pub(crate) fn set_expiry(&mut self, grant: &ids::GrantId, expires_at: Instant) {
        if let Some(work) = self.entries.get_mut(grant) {
            self.timers.remove(&(work.expires_at, *grant));
            work.expires_at = expires_at;
            self.timers.insert((expires_at, *grant));
        }
    }

    /// Forgets a request.
    pub(crate) fn remove(&mut self, grant: &ids::GrantId) -> Option<GrantEntry> {
        let work = self.entries.remove(grant)?;
        self.timers.remove(&(work.expires_at, *grant));
        if self.by_request.get(&work.call.request) == Some(grant) {
            self.by_request.remove(&work.call.request);
        }
        Some(work)
    }

    /// Requests whose time is over by `now`.
    pub(crate) fn expired(&self, now: Instant) -> Vec<ids::GrantId> {
        self.timers.iter().take_while(|(at, _)| *at <= now).map(|(_, it)| *it).collect()
    }

    /// When the next request's time is over.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Requests of an account that wait.
    pub(crate) fn n_waiting(&self, account: &str) -> usize {
        let waiting = self.entries.values().filter(|it| it.is_waiting());
        waiting.filter(|it| it.call.account == account).count()
    }

    /// Grants that wait for a slot.
    pub(crate) fn waiting_grants(&self) -> Vec<ids::GrantId> {
        let waiting = self.entries.iter().filter(|(_, it)| it.is_waiting());
        waiting.map(|(grant, _)| *grant).collect()
    }

    /// Whether a request is between placement and grant.
    pub(crate) fn is_starting(&self) -> bool {
        self.entries
            .values()
            .any(|it| matches!(it.stage, GrantStage::Reserving { .. } | GrantStage::Logging { .. }))
    }

    /// Forgets who waits for an answer, so that they ask the next holder.
    pub(crate) fn drop_reply_senders(&mut self) {
        for work in self.entries.values_mut() {
            work.reply = None;
        }
    }

    /// Waiting or running request under an idempotency key.
    pub(crate) fn find_by_key(
        &self,
        account: &str,
        key: ids::IdempotencyKey,
    ) -> Option<(&ids::GrantId, &GrantEntry)> {
        self.entries
            .iter()
            .find(|(_, it)| it.call.idempotency == Some(key) && it.call.account == account)
    }
}

impl GrantEntry {
    /// Whether the policy has not placed it yet.
    pub(crate) fn is_waiting(&self) -> bool {
        self.stage == GrantStage::Waiting
    }

    /// The lease under it.
    pub(crate) fn lease(&self) -> Option<&ids::LeaseId> {
        match &self.stage {
            GrantStage::Waiting => None,
            GrantStage::Reserving { lease } | GrantStage::Logging { lease, .. } => Some(lease),
            GrantStage::Granted { grant, .. } => Some(&grant.lease),
        }
    }

    /// Answers, if nobody did before; whether the answer found its reader.
    pub(crate) fn answer(&mut self, reply: model::GrantReply) -> bool {
        self.reply.take().is_some_and(|it| it.send(reply).is_ok())
    }
}

/// "Not now; nothing was sent", with when to come back.
pub(crate) fn busy_reply(
    code: model::WaitCode,
    text: impl Into<String>,
    retry_after: time::TimeSpan,
) -> model::GrantReply {
    let reason = model::WaitReason { code, text: text.into(), until: None };
    model::GrantReply::Busy { reason, retry_after, unrecorded: false }
}

/// "Never here; nothing was sent".
pub(crate) fn refused_reply(code: model::WaitCode, text: impl Into<String>) -> model::GrantReply {
    let reason = model::WaitReason { code, text: text.into(), until: None };
    model::GrantReply::Refused { reason, unrecorded: false }
}

/// Adds that the key was looked up and is not on record. Without it "nothing was sent" is true of
/// this request only: the key may have been used before, and its caller must not be told that the
/// work did not run.
pub(crate) fn mark_unrecorded(mut reply: model::GrantReply) -> model::GrantReply {
    if let model::GrantReply::Busy { unrecorded, .. }
    | model::GrantReply::Refused { unrecorded, .. } = &mut reply
    {
        *unrecorded = true;
    }
    reply
}
