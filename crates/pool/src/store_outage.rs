//! Outages of the store as this instance sees them: their lengths, and the calls that wait for their end.

use std::sync::Mutex;
use std::time::Duration;

use almondpass_peer::{error, log_limit};
use tokio::sync::watch;
use tokio::time::{self, Instant};

use crate::call_times;
use crate::relay;
use crate::retry_time;
use crate::state;
use crate::waiting_calls;

/// A store that rejects calls for this long is away; a single rejection says little.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(300);

/// A store that answers nothing for this long is away. A store that is slow still takes writes within this
/// time, and its callers are better off if their writes are sent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// Tolerance of the estimate: a call also waits if the store is expected back this long after its caller gives up.
const RETURN_MARGIN: Duration = Duration::from_millis(500);

/// A call that has waited until less than this is left is refused: a write usually takes 9 ms, and one that is
/// sent so late may have an unknown outcome.
const WRITE_TIME: Duration = Duration::from_millis(100);

/// Writes of calls that have waited are spread over this interval after the return of the store.
const RELEASE_SPREAD: Duration = Duration::from_millis(150);

/// Outages of the store, and the calls that wait for the end of the present one.
#[derive(Debug)]
pub(crate) struct StoreOutages {
    record: Mutex<OutageRecord>,
    is_failing: watch::Sender<bool>,
    waiting: waiting_calls::WaitingCalls,
}

#[derive(Debug, Default)]
struct OutageRecord {
    present: Option<PresentOutage>,
    history: retry_time::OutageHistory,
    log: log_limit::LogLimit,
}

/// Calls have failed since the last answer of the store.
#[derive(Clone, Copy, Debug)]
struct PresentOutage {
    since: Instant,
    noticed_at: Instant,
    is_rejecting: bool,
}

impl PresentOutage {
    /// Whether the store is away, and not just failing a few calls.
    fn is_certain(&self) -> bool {
        let timeout = if self.is_rejecting { REJECTION_TIMEOUT } else { SILENCE_TIMEOUT };
        self.noticed_at.elapsed() >= timeout
    }
}

/// A call that may wait for the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreWait {
    /// The caller.
    pub(crate) caller: retry_time::RefusedCaller,
    /// Size of the row that the call holds.
    pub(crate) n_bytes: usize,
    /// Time of the call.
    pub(crate) times: call_times::CallTimes,
}

/// How the wait of a call has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitOutcome {
    /// The store answers, or is not known to be away.
    Returned,
    /// Peers, which served calls during this outage, may be tried again.
    RelayDue,
    /// The store is not expected back in time, did not return in time, or too many calls wait.
    Refused,
}

impl Default for StoreOutages {
    fn default() -> StoreOutages {
        StoreOutages {
            record: Mutex::default(),
            is_failing: watch::Sender::new(false),
            waiting: waiting_calls::WaitingCalls::default(),
        }
    }
}

impl StoreOutages {
    /// Records that a call failed. If it is the first one, the outage began at `since`.
    pub(crate) fn record_failure(&self, since: Instant, fault: &error::CallFault) {
        // A store that refuses a call for good answers.
        if fault.is_permanent() {
            return self.record_answer();
        }
        let mut record = state::lock(&self.record);
        let is_rejecting = fault.had_no_effect();
        match &mut record.present {
            Some(outage) => outage.is_rejecting = is_rejecting,
            None => {
                let noticed_at = Instant::now();
                record.present = Some(PresentOutage { since, noticed_at, is_rejecting });
                self.is_failing.send_replace(true);
            }
        }
    }

    /// Records that the store answered.
    pub(crate) fn record_answer(&self) {
        let mut record = state::lock(&self.record);
        let Some(outage) = record.present.take() else { return };
        self.is_failing.send_replace(false);
        if !outage.is_certain() {
            return;
        }
        let length = outage.since.elapsed();
        record.history.record(length);
        metrics::histogram!("almondpass_pool_store_outage_seconds").record(length);
        tracing::info!(lasted_ms = length.as_millis() as u64, "outage of the store has ended");
    }

    /// Beginning of the present outage; `None` while the store is not known to be away.
    pub(crate) fn began_at(&self) -> Option<Instant> {
        let record = state::lock(&self.record);
        record.present.filter(PresentOutage::is_certain).map(|it| it.since)
    }

    /// Estimates how much longer the present outage lasts; zero without an outage.
    pub(crate) fn time_left(&self) -> Duration {
        let record = state::lock(&self.record);
        let present = record.present.filter(PresentOutage::is_certain);
        present.map_or(Duration::ZERO, |it| record.history.time_left(it.since.elapsed()))
    }

    /// Notices the next change between calls that fail and calls that are answered.
    pub(crate) fn subscribe(&self) -> watch::Receiver<bool> {
        self.is_failing.subscribe()
    }

    /// Whether the last call to the store failed.
    pub(crate) fn is_failing(&self) -> bool {
        *self.is_failing.borrow()
    }

    fn log_refusal(&self, wait: &StoreWait, time_left: Duration, cause: &'static str) {
        metrics::counter!("almondpass_pool_store_waits_total", "outcome" => cause).increment(1);
        let mut record = state::lock(&self.record);
        let Some(n_calls) = record.log.count() else { return };
        let age = record.present.map_or(Duration::ZERO, |it| it.since.elapsed());
        tracing::info!(
            job = format_args!("{:016x}", wait.caller.graph),
            cause,
            n_calls,
            outage_age_ms = age.as_millis() as u64,
            expected_ms = time_left.as_millis() as u64,
            call_ms =
                wait.times.caller_gives_up.saturating_duration_since(Instant::now()).as_millis()
                    as u64,
            "calls are refused until the store is back"
        );
    }
}

impl<S: state::PoolAdapters> state::PoolState<S> {
    /// Whether the store is known not to answer this instance.
    pub(crate) fn is_store_away(&self) -> bool {
        if self.settings.scheduling.adaptive_retry {
            self.outages.began_at().is_some()
        } else {
            self.is_store_unavailable()
        }
    }

    /// Whether the store is known to be away, and calls wait for it or are refused.
    pub(crate) fn refuses_store_calls(&self) -> bool {
        self.settings.scheduling.adaptive_retry && self.is_store_away()
    }

    /// Time after which a refused caller should come back; `None` if it is not estimated.
    pub fn retry_after(&self, caller: retry_time::RefusedCaller) -> Option<Duration> {
        if !self.settings.scheduling.adaptive_retry {
            return None;
        }
        let retry_after = caller.retry_after(self.service_returns_in());
        metrics::histogram!("almondpass_pool_retry_after_seconds").record(retry_after);
        Some(retry_after)
    }

    /// Estimates after which time calls are served again, by the store or through a peer.
    fn service_returns_in(&self) -> Duration {
        let time_left = self.outages.time_left();
        self.relay_resumes_in().map_or(time_left, |it| time_left.min(it))
    }

    /// Remaining pause of the relay if peers served calls during this outage.
    fn relay_resumes_in(&self) -> Option<Duration> {
        relay::resumes_in(self, self.outages.began_at()?)
    }

    /// Waits for the store if it is expected back in time. The call must not have written anything.
    pub(crate) async fn await_store(&self, wait: StoreWait) -> WaitOutcome {
        if !self.refuses_store_calls() {
            return WaitOutcome::Returned;
        }
        let (time_left, now) = (self.service_returns_in(), Instant::now());
        let latest = wait.times.deadline - WRITE_TIME;
        // A call whose caller still has time for another one waits too: the other one is then served.
        if now + time_left > wait.times.caller_gives_up + RETURN_MARGIN || now >= latest {
            self.outages.log_refusal(&wait, time_left, "refused");
            return WaitOutcome::Refused;
        }
        let Some(_place) = self.outages.waiting.admit(wait.n_bytes, wait.caller.is_urgent) else {
            self.outages.log_refusal(&wait, time_left, "too_many");
            return WaitOutcome::Refused;
        };
        let relay_due = self.relay_resumes_in().map(|it| now + it);
        let mut failing = self.outages.subscribe();
        let returned = failing.wait_for(|it| !it);
        let until = relay_due.map_or(latest, |it| it.min(latest));
        if time::timeout_at(until, returned).await.is_ok() {
            self.spread_release(&wait, latest).await;
            metrics::counter!("almondpass_pool_store_waits_total", "outcome" => "returned")
                .increment(1);
            return WaitOutcome::Returned;
        }
        if until < latest {
            return WaitOutcome::RelayDue;
        }
        self.outages.log_refusal(&wait, self.outages.time_left(), "in_vain");
        WaitOutcome::Refused
    }

    /// Delays a call after the return of the store, so that not all waiting calls write at once.
    async fn spread_release(&self, wait: &StoreWait, latest: Instant) {
        let release = Instant::now() + RELEASE_SPREAD.mul_f64(wait.caller.position());
        time::sleep_until(release.min(latest)).await;
    }
}
