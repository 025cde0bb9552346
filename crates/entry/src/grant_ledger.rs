//! The grants this entry holds, and how they go back.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_peer::link::HallLink;
use almondpass_schema::{ids, model, time};
use rand::RngExt;
use tokio::sync::Notify;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

/// Grants given back in one message, at most.
const BATCH: usize = 256;
/// Returns kept for one hall while its scheduler does not answer.
const KEPT_RETURNS: usize = 16_384;
/// Between looks at whether a hall has a new scheduler.
const EPOCH_POLL: Duration = Duration::from_millis(500);
/// For a scheduler to take returns.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// First wait after a failed flush.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait after failed flushes.
const LAST_BACKOFF: Duration = Duration::from_secs(1);
/// Returns are still worth telling for this long after the grant lapsed: the outcome of work that
/// is not repeatable is recorded with them.
const AFTER_TERM: Duration = Duration::from_secs(30);

/// Grants in use and grants to give back, by hall.
#[derive(Clone, Debug, Default)]
pub struct GrantLedger {
    inner: Arc<LedgerInner>,
}

#[derive(Debug, Default)]
struct LedgerInner {
    halls: Mutex<HashMap<ids::HallName, HallLedger>>,
    dirty: Notify,
    flushed: Notify,
}

#[derive(Debug, Default)]
struct HallLedger {
    outstanding: HashMap<ids::GrantId, Arc<model::SlotGrant>>,
    returns: VecDeque<PendingReturn>,
    /// Newest tenure whose scheduler was told, or is about to be.
    reported: ids::Epoch,
    report_due: bool,
    flushing: bool,
}

#[derive(Debug)]
struct PendingReturn {
    entry: model::GrantReturn,
    lapses: Instant,
}

/// A grant in use. Dropping it gives it back.
#[derive(Debug)]
pub struct GrantTicket {
    inner: Arc<LedgerInner>,
    grant: Arc<model::SlotGrant>,
    received: Instant,
    sent_at: Option<Instant>,
    settled: bool,
}

impl GrantLedger {
    /// Notes a grant that was received just now.
    pub fn open(&self, grant: model::SlotGrant) -> GrantTicket {
        let grant = Arc::new(grant);
        let mut halls = self.inner.lock();
        if !halls.contains_key(&grant.hall) {
            halls.insert(grant.hall.clone(), HallLedger::default());
        }
        if let Some(hall) = halls.get_mut(&grant.hall) {
            hall.outstanding.insert(grant.grant, Arc::clone(&grant));
        }
        drop(halls);
        GrantTicket {
            inner: Arc::clone(&self.inner),
            grant,
            received: Instant::now(),
            sent_at: None,
            settled: false,
        }
    }

    /// Gives grants back and reports those in use to new schedulers, until dropped.
    pub async fn run<L: HallLink>(self, link: L, entry: ids::InstanceId) {
        let mut poll = interval(EPOCH_POLL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.inner.dirty.notified() => {}
                _ = poll.tick() => self.inner.compare_epochs(&link.summaries()),
            }
            for hall in self.inner.start_flushes() {
                let inner = Arc::clone(&self.inner);
                tokio::spawn(inner.flush(link.clone(), entry.clone(), hall));
            }
        }
    }

    /// Waits until everything was given back, for at most `limit`.
    pub async fn drained(&self, limit: Duration) {
        let all_returned = async {
            loop {
                let flushed = self.inner.flushed.notified();
                if self.inner.lock().values().all(|it| it.returns.is_empty() && !it.flushing) {
                    return;
                }
                self.inner.dirty.notify_one();
                flushed.await;
            }
        };
        if timeout(limit, all_returned).await.is_err() {
            tracing::warn!("grants were not given back before the shutdown; they lapse");
        }
    }

    /// Grants in use.
    pub fn n_outstanding(&self) -> usize {
        self.inner.lock().values().map(|it| it.outstanding.len()).sum()
    }
}

impl LedgerInner {
    /// A new scheduler of a hall does not know which grants of its predecessor are still in use,
    /// and could give their slots away a second time. One would notice more requests on a worker
    /// than it has slots. Each entry therefore tells it as soon as it sees the new epoch, also
    /// where it uses none: the slots of the others are kept until every entry has told.
    fn compare_epochs(&self, summaries: &[model::HallBeat]) {
        let mut halls = self.lock();
        for beat in summaries {
            let hall = halls.entry(beat.hall.clone()).or_default();
            if hall.reported < beat.epoch {
                hall.reported = beat.epoch;
                hall.report_due = true;
            }
        }
    }

    fn start_flushes(&self) -> Vec<ids::HallName> {
        let mut due = Vec::new();
        for (name, hall) in self.lock().iter_mut() {
            let has_work = hall.report_due || !hall.returns.is_empty();
            if has_work && !hall.flushing {
                hall.flushing = true;
                due.push(name.clone());
            }
        }
        due
    }

    /// Whatever is given back while a call is under way goes with the next one, so batches grow
    /// with the load and nothing waits for a timer.
    async fn flush<L: HallLink>(
        self: Arc<LedgerInner>,
        link: L,
        entry: ids::InstanceId,
        hall: ids::HallName,
    ) {
        let mut backoff = FIRST_BACKOFF;
        while let Some(work) = self.next_work(&entry, &hall) {
            if work.tell(&link).await {
                backoff = FIRST_BACKOFF;
                continue;
            }
            self.put_back(&hall, work);
            let share = rand::rng().random_range(0.5..1.0);
            sleep(backoff.mul_f64(share)).await;
            backoff = LAST_BACKOFF.min(backoff * 2);
        }
        self.flushed.notify_waiters();
    }

    fn next_work(&self, entry: &ids::InstanceId, name: &ids::HallName) -> Option<FlushWork> {
        let mut halls = self.lock();
        let hall = halls.get_mut(name)?;
        if std::mem::take(&mut hall.report_due) {
            let grants = hall.outstanding.values().map(|it| it.as_ref().clone()).collect();
            let report = model::GrantReport { entry: entry.clone(), hall: name.clone(), grants };
            return Some(FlushWork::Report(report));
        }
        let now = Instant::now();
        hall.returns.retain(|it| now < it.lapses);
        if hall.returns.is_empty() {
            hall.flushing = false;
            return None;
        }
        let n_returns = BATCH.min(hall.returns.len());
        let batch = hall.returns.drain(..n_returns).collect::<Vec<_>>();
        let returns = batch.iter().map(|it| it.entry.clone()).collect();
        let message = model::GrantReturns { entry: entry.clone(), hall: name.clone(), returns };
        Some(FlushWork::Returns { message, batch })
    }

    fn put_back(&self, name: &ids::HallName, work: FlushWork) {
        let mut halls = self.lock();
        let Some(hall) = halls.get_mut(name) else { return };
        match work {
            FlushWork::Report(_) => hall.report_due = true,
            FlushWork::Returns { batch, .. } => {
                for it in batch.into_iter().rev() {
                    hall.returns.push_front(it);
                }
            }
        }
    }

    fn close(&self, hall: &ids::HallName, pending: PendingReturn) {
        let mut halls = self.lock();
        let Some(hall) = halls.get_mut(hall) else { return };
        hall.outstanding.remove(&pending.entry.grant);
        hall.returns.push_back(pending);
        // While a scheduler is away for long, memory must stay flat; the oldest grants lapse.
        if KEPT_RETURNS < hall.returns.len() {
            hall.returns.pop_front();
        }
        let idle = !hall.flushing;
        drop(halls);
        if idle {
            self.dirty.notify_one();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ids::HallName, HallLedger>> {
        self.halls.lock().unwrap_or_else(|it| it.into_inner())
    }
}

#[derive(Debug)]
enum FlushWork {
    Report(model::GrantReport),
    Returns { message: model::GrantReturns, batch: Vec<PendingReturn> },
}

impl FlushWork {
    async fn tell<L: HallLink>(&self, link: &L) -> bool {
        let reply = match self {
            FlushWork::Report(report) => link.ask(report.clone(), FLUSH_TIMEOUT).await,
            FlushWork::Returns { message, .. } => link.ask(message.clone(), FLUSH_TIMEOUT).await,
        };
        match reply {
            Ok(model::ReturnReply::Noted) => true,
            Ok(model::ReturnReply::NotHolder { .. }) => false,
            Err(error) => {
                tracing::debug!(%error, "grants could not be given back yet");
                false
            }
        }
    }
}

impl GrantTicket {
    /// The grant.
    pub fn grant(&self) -> &model::SlotGrant {
        &self.grant
    }

    /// By when the first byte must go out.
    pub fn start_by(&self) -> Instant {
        self.received + self.grant.start_by.0
    }

    /// By when the exchange must be over.
    pub fn lapses(&self) -> Instant {
        self.received + self.grant.term.0
    }

    /// Notes that from now on bytes may go out; a ticket dropped after this says `unknown`.
    pub fn sending(&mut self) {
        self.sent_at = Some(Instant::now());
    }

    /// Gives the grant back with what became of the request.
    pub fn settle(mut self, outcome: model::RequestOutcome, worker_fault: bool) {
        self.give_back(outcome, worker_fault);
    }

    fn give_back(&mut self, outcome: model::RequestOutcome, worker_fault: bool) {
        if std::mem::replace(&mut self.settled, true) {
            return;
        }
        let elapsed = self.sent_at.map_or(Duration::ZERO, |it| it.elapsed());
        let entry = model::GrantReturn {
            grant: self.grant.grant,
            request: self.grant.request,
            hall: self.grant.hall.clone(),
            outcome,
            worker_fault,
            elapsed: time::TimeSpan(elapsed),
        };
        let lapses = self.lapses() + AFTER_TERM;
        self.inner.close(&self.grant.hall, PendingReturn { entry, lapses });
    }
}

impl Drop for GrantTicket {
    fn drop(&mut self) {
        // Proof of `not_run`: `sending` comes before the first poll that could write, and this
        // ticket is gone, so nothing was sent under the grant and nothing will be.
        let outcome = match self.sent_at {
            None => model::RequestOutcome::NotRun,
            Some(_) => model::RequestOutcome::Unknown,
        };
        self.give_back(outcome, false);
    }
}
