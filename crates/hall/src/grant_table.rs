//! Table of the requests that wait for a slot or hold one, and of serving leases without a request.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use almondpass_schema::{ids, model, time};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Progress of a request from its arrival to its grant.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum GrantStage {
    /// The policy has not placed the request yet.
    Waiting,
    /// A serving lease is being reserved for the request.
    Reserving {
        /// Lease that is being reserved.
        lease: ids::LeaseId,
    },
    /// The intent of the request is being written to the log. The request must not be sent yet.
    Logging {
        /// Serving lease held for the request.
        lease: ids::LeaseId,
        /// When the write of the intent began.
        since: Instant,
    },
    /// The entry may send the request.
    Granted {
        /// Slot as sent to the entry.
        grant: model::SlotGrant,
        /// When the slot was granted.
        since: Instant,
    },
}

/// A request that waits for a slot or holds one.
#[derive(Debug)]
pub(crate) struct GrantEntry {
    /// Call of the entry, as received.
    pub(crate) call: model::GrantRequest,
    /// Sender of the answer; `None` once it is used, or dropped so that the caller asks the next holder.
    pub(crate) reply: Option<oneshot::Sender<model::GrantReply>>,
    /// Job class of the request as configured on its arrival.
    pub(crate) class: model::JobClass,
    /// When the request arrived; kept when the policy has to place it again.
    pub(crate) arrived_at: Instant,
    /// Progress of the request.
    pub(crate) stage: GrantStage,
    /// When the request is ended: at the caller's deadline, or at the end of the grant's term.
    pub(crate) expires_at: Instant,
}

/// A serving lease of an earlier tenure, held until no entry uses it any more.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AdoptedSlot {
    /// Work item that represents the slot in the policy.
    pub(crate) work: ids::GrantId,
    /// Grant that uses the lease, once an entry has reported one.
    pub(crate) grant: Option<ids::GrantId>,
    /// When every grant of earlier tenures has certainly expired.
    pub(crate) expires_at: Instant,
}

/// Requests by grant, and the serving leases that no request of this tenure uses.
#[derive(Debug, Default)]
pub(crate) struct GrantTable {
    entries: BTreeMap<ids::GrantId, GrantEntry>,
    by_request: HashMap<ids::RequestId, ids::GrantId>,
    timers: BTreeSet<(Instant, ids::GrantId)>,
    /// Serving leases that no request uses, and when each is released.
    pub(crate) idle_leases: BTreeMap<ids::LeaseId, Instant>,
    /// Serving leases of earlier tenures that may still be in use.
    pub(crate) adopted_slots: BTreeMap<ids::LeaseId, AdoptedSlot>,
    /// Entries that have not yet reported which grants of earlier tenures they use.
    pub(crate) unreported_entries: BTreeSet<ids::InstanceId>,
}

impl GrantTable {
    /// Adds a request, findable by its grant and by its request id, and starts its timer.
    pub(crate) fn insert(&mut self, grant: ids::GrantId, entry: GrantEntry) {
        self.by_request.insert(entry.call.request, grant);
        self.timers.insert((entry.expires_at, grant));
        self.entries.insert(grant, entry);
    }

    /// Request of a grant; `None` once it has ended.
    pub(crate) fn get(&self, grant: &ids::GrantId) -> Option<&GrantEntry> {
        self.entries.get(grant)
    }

    /// Mutable request of a grant. Its expiry is changed by `set_expiry` only, which keeps the timer.
    pub(crate) fn get_mut(&mut self, grant: &ids::GrantId) -> Option<&mut GrantEntry> {
        self.entries.get_mut(grant)
    }

    /// Grant under which a request waits or runs.
    pub(crate) fn find_by_request(&self, request: &ids::RequestId) -> Option<ids::GrantId> {
        self.by_request.get(request).copied()
    }

    /// Changes the time at which a request expires.
    pub(crate) fn set_expiry(&mut self, grant: &ids::GrantId, expires_at: Instant) {
        if let Some(entry) = self.entries.get_mut(grant) {
            self.timers.remove(&(entry.expires_at, *grant));
            entry.expires_at = expires_at;
            self.timers.insert((expires_at, *grant));
        }
    }

    /// Removes a request with its timer.
    pub(crate) fn remove(&mut self, grant: &ids::GrantId) -> Option<GrantEntry> {
        let entry = self.entries.remove(grant)?;
        self.timers.remove(&(entry.expires_at, *grant));
        if self.by_request.get(&entry.call.request) == Some(grant) {
            self.by_request.remove(&entry.call.request);
        }
        Some(entry)
    }

    /// Requests that have expired by `now`, earliest first.
    pub(crate) fn expired(&self, now: Instant) -> Vec<ids::GrantId> {
        self.timers.iter().take_while(|(at, _)| *at <= now).map(|(_, it)| *it).collect()
    }

    /// When the next request expires.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Number of requests of an account that the policy has not placed yet.
    pub(crate) fn n_waiting(&self, account: &str) -> usize {
        let waiting = self.entries.values().filter(|it| it.is_waiting());
        waiting.filter(|it| it.call.account == account).count()
    }

    /// Grants of the requests that the policy has not placed yet.
    pub(crate) fn waiting_grants(&self) -> Vec<ids::GrantId> {
        let waiting = self.entries.iter().filter(|(_, it)| it.is_waiting());
        waiting.map(|(grant, _)| *grant).collect()
    }

    /// Whether any request is placed but not granted yet.
    pub(crate) fn is_starting(&self) -> bool {
        self.entries
            .values()
            .any(|it| matches!(it.stage, GrantStage::Reserving { .. } | GrantStage::Logging { .. }))
    }

    /// Drops the sender of each unsent answer, so that the callers ask the next holder of the tenure.
    pub(crate) fn drop_reply_senders(&mut self) {
        for entry in self.entries.values_mut() {
            entry.reply = None;
        }
    }

    /// Waiting or running request of an account under an idempotency key.
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
    /// Whether the policy has not placed the request yet.
    pub(crate) fn is_waiting(&self) -> bool {
        self.stage == GrantStage::Waiting
    }

    /// Serving lease reserved or held for the request; `None` before its placement.
    pub(crate) fn lease(&self) -> Option<&ids::LeaseId> {
        match &self.stage {
            GrantStage::Waiting => None,
            GrantStage::Reserving { lease } | GrantStage::Logging { lease, .. } => Some(lease),
            GrantStage::Granted { grant, .. } => Some(&grant.lease),
        }
    }

    /// Sends the answer if none was sent before. Returns whether a caller received it.
    pub(crate) fn answer(&mut self, reply: model::GrantReply) -> bool {
        self.reply.take().is_some_and(|it| it.send(reply).is_ok())
    }
}

/// Answer "no slot now; the request was not sent", with the time after which to retry.
pub(crate) fn busy_reply(
    code: model::WaitCode,
    text: impl Into<String>,
    retry_after: time::TimeSpan,
) -> model::GrantReply {
    let reason = model::WaitReason { code, text: text.into(), until: None };
    model::GrantReply::Busy { reason, retry_after, unrecorded: false }
}

/// Answer "no slot for this request in this hall; the request was not sent".
pub(crate) fn refused_reply(code: model::WaitCode, text: impl Into<String>) -> model::GrantReply {
    let reason = model::WaitReason { code, text: text.into(), until: None };
    model::GrantReply::Refused { reason, unrecorded: false }
}

/// Marks an answer to say that the idempotency key was looked up and has no record. Without the
/// mark, "nothing was sent" holds for this request only: the key may have been used before, and its
/// caller must not get the answer that the work did not run.
pub(crate) fn mark_unrecorded(mut reply: model::GrantReply) -> model::GrantReply {
    if let model::GrantReply::Busy { unrecorded, .. }
    | model::GrantReply::Refused { unrecorded, .. } = &mut reply
    {
        *unrecorded = true;
    }
    reply
}
