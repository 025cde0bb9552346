//! How long this instance may act as the scheduler of a hall.

use std::time::Duration;

use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use tokio::sync::watch;
use tokio::time::Instant;

/// What a holder may do at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenureStatus {
    /// The term has not run out: nobody else can hold the hall.
    Firm,
    /// The term ran out while the table did not answer, so that nobody could take over there.
    /// Only what the exclusivity of workers and of put-if-absent makes harmless goes on.
    Detached,
    /// The term ran out and it is not known why: this process may have been paused through it.
    /// Nothing goes on until a renewal has been tried.
    Stale,
    /// Somebody else holds the hall, or it was given up.
    Ended,
}

/// A tenure as the seat last saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct TenureState {
    /// The hall.
    pub hall: ids::HallName,
    /// Number of the tenure.
    pub epoch: ids::Epoch,
    /// Version of the row that changes only with the tenure.
    pub row_version: ids::RowVersion,
    /// End of the term less the margin, counted from before the renewal was sent: a watcher
    /// counts from when it saw the renewal, which is later.
    pub valid_until: Instant,
    /// When a renewal last went without an answer.
    pub outage_seen_at: Option<Instant>,
    /// For how long an outage that was seen is believed to last.
    pub outage_assumed_for: Duration,
    /// Whether it is over.
    pub ended: bool,
}

impl TenureState {
    /// What may be done at `now`.
    pub fn status(&self, now: Instant) -> TenureStatus {
        if self.ended {
            return TenureStatus::Ended;
        }
        if now < self.valid_until {
            return TenureStatus::Firm;
        }
        // A process that was paused through its term wakes up here with an old sighting of an
        // outage or none. It must not act on it: the table may have come back and another
        // instance may have taken over meanwhile.
        match self.outage_seen_at {
            Some(seen) if now < seen + self.outage_assumed_for => TenureStatus::Detached,
            _ => TenureStatus::Stale,
        }
    }
}

/// Lets tasks see the tenure under which they act.
#[derive(Clone, Debug)]
pub struct TenureWatch {
    receiver: watch::Receiver<TenureState>,
}

impl TenureWatch {
    /// A tenure and the seat's end of it.
    pub fn new(state: TenureState) -> (watch::Sender<TenureState>, TenureWatch) {
        let (sender, receiver) = watch::channel(state);
        (sender, TenureWatch { receiver })
    }

    /// Number of the tenure.
    pub fn epoch(&self) -> ids::Epoch {
        self.receiver.borrow().epoch
    }

    /// What may be done now. Asked before every act.
    pub fn status(&self) -> TenureStatus {
        if self.receiver.has_changed().is_err() {
            return TenureStatus::Ended;
        }
        self.receiver.borrow().status(Instant::now())
    }

    /// Whether acts that workers keep harmless may go on.
    pub fn may_act(&self) -> bool {
        matches!(self.status(), TenureStatus::Firm | TenureStatus::Detached)
    }

    /// Whether the table did not answer the last renewal.
    pub fn in_outage(&self) -> bool {
        self.receiver.borrow().outage_seen_at.is_some()
    }

    /// What is left of the firm term.
    pub fn margin(&self) -> Duration {
        self.receiver.borrow().valid_until.saturating_duration_since(Instant::now())
    }

    /// The condition that makes a write of a stale holder fail.
    pub fn condition(&self) -> model::TableCondition {
        let state = self.receiver.borrow();
        model::TableCondition { key: keys::tenure(&state.hall), version: state.row_version }
    }

    /// Awaits a change, such as the end of the tenure.
    pub async fn changed(&mut self) {
        if self.receiver.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
