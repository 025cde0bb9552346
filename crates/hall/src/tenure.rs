//! The tenure of a hall as its holder sees it: whether this instance may still act as the scheduler.

use std::time::Duration;

use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use tokio::sync::watch;
use tokio::time::Instant;

/// What the holder of a tenure may do at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenureStatus {
    /// The term has not expired: no other instance can hold the hall.
    Firm,
    /// The term expired while the table did not answer, so no other instance could acquire the hall. The
    /// holder continues only with actions that are safe even if another holder exists, because workers
    /// lease each accelerator exclusively and a put-if-absent succeeds only once.
    Detached,
    /// The term expired for an unknown reason: this process may have been paused past its end. The holder
    /// does nothing until it has attempted a renewal.
    Stale,
    /// Another instance holds the hall, or this instance gave it up.
    Ended,
}

/// State of a tenure, as of the last renewal that its contender attempted.
#[derive(Clone, Debug, PartialEq)]
pub struct TenureState {
    /// Hall that the tenure is for.
    pub hall: ids::HallName,
    /// Increases with each tenure of the hall.
    pub epoch: ids::Epoch,
    /// Version of the tenure row, which renewals do not change.
    pub row_version: ids::RowVersion,
    /// End of the term less the margin. The term starts before the renewal was sent; a watcher counts it from
    /// when it read the renewal, which is later.
    pub valid_until: Instant,
    /// When the last unanswered renewal was sent; `None` once a renewal succeeds.
    pub outage_seen_at: Option<Instant>,
    /// How long after `outage_seen_at` the table is assumed to be still unavailable.
    pub outage_assumed_for: Duration,
    /// Set when this instance stops scheduling the hall; never reset.
    pub ended: bool,
}

impl TenureState {
    /// What the holder may do at `now`.
    pub fn status(&self, now: Instant) -> TenureStatus {
        if self.ended {
            return TenureStatus::Ended;
        }
        if now < self.valid_until {
            return TenureStatus::Firm;
        }
        // A process that was paused past the end of its term resumes here with an outage recorded long ago or
        // with none. It must not act on that record: the table may be available again and another instance
        // may have acquired the hall in the meantime.
        match self.outage_seen_at {
            Some(seen_at) if now < seen_at + self.outage_assumed_for => TenureStatus::Detached,
            _ => TenureStatus::Stale,
        }
    }
}

/// Gives the actor and its tasks the current state of the tenure under which they act.
#[derive(Clone, Debug)]
pub struct TenureWatch {
    receiver: watch::Receiver<TenureState>,
}

impl TenureWatch {
    /// Creates a watch with the sender that its contender updates. Dropping the sender ends the tenure.
    pub fn new(state: TenureState) -> (watch::Sender<TenureState>, TenureWatch) {
        let (sender, receiver) = watch::channel(state);
        (sender, TenureWatch { receiver })
    }

    /// Epoch of the tenure, which does not change.
    pub fn epoch(&self) -> ids::Epoch {
        self.receiver.borrow().epoch
    }

    /// What the holder may do now. Callers check this before every action.
    pub fn status(&self) -> TenureStatus {
        if self.receiver.has_changed().is_err() {
            return TenureStatus::Ended;
        }
        self.receiver.borrow().status(Instant::now())
    }

    /// Whether the holder may take actions that are safe even if another holder exists.
    pub fn may_act(&self) -> bool {
        matches!(self.status(), TenureStatus::Firm | TenureStatus::Detached)
    }

    /// Whether the table did not answer the last renewal.
    pub fn in_outage(&self) -> bool {
        self.receiver.borrow().outage_seen_at.is_some()
    }

    /// Time left until `valid_until`; zero after it.
    pub fn time_left(&self) -> Duration {
        self.receiver.borrow().valid_until.saturating_duration_since(Instant::now())
    }

    /// Condition that makes a write fail once another tenure has begun.
    pub fn condition(&self) -> model::TableCondition {
        let state = self.receiver.borrow();
        model::TableCondition { key: keys::tenure(&state.hall), version: state.row_version }
    }

    /// Waits for the next change of the tenure's state. Never returns once the sender is dropped.
    pub async fn changed(&mut self) {
        if self.receiver.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
