//! The load of the pool as the holder of the tenure reports it, and the refusals that follow from it.

use std::sync::Mutex;
use std::time::Duration;

use almondpass_graph::admission;
use almondpass_peer::log_limit;
use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use tokio::time::{self, Instant};

use crate::call_times;
use crate::job_query;
use crate::retry_time;
use crate::state;

/// An older summary refuses nothing.
const MAX_AGE: Duration = Duration::from_secs(2);

/// A call with less time than this is not checked: the check reads one row of the store.
const MIN_CHECK_TIME: Duration = Duration::from_millis(100);

/// The last summary of the load that this instance has received.
#[derive(Debug, Default)]
pub(crate) struct LoadView {
    received: Mutex<Option<ReceivedLoad>>,
    log: Mutex<log_limit::LogLimit>,
}

#[derive(Clone, Debug)]
struct ReceivedLoad {
    /// Holder that sent the summary.
    holder: ids::InstanceId,
    measured_at: Instant,
    summary: model::LoadSummary,
}

impl LoadView {
    /// Keeps a summary that `holder` sent with the answer to a call.
    pub(crate) fn receive(&self, holder: ids::InstanceId, summary: Option<model::LoadSummary>) {
        let mut received = state::lock(&self.received);
        let Some(summary) = summary else {
            // Nothing waits at that instance any more, or it does not hold the tenure.
            received.take_if(|it| it.holder == holder);
            return;
        };
        let age = Duration::from_millis(summary.age_ms);
        let Some(measured_at) = Instant::now().checked_sub(age) else { return };
        let is_newer = |it: &ReceivedLoad| it.holder != holder || it.measured_at <= measured_at;
        if received.as_ref().is_none_or(is_newer) {
            *received = Some(ReceivedLoad { holder, measured_at, summary });
        }
    }

    /// The summary and its age, if it is fresh and `holder` still holds the tenure.
    fn fresh(&self, holder: &ids::InstanceId) -> Option<(model::LoadSummary, Duration)> {
        let received = state::lock(&self.received);
        let load = received.as_ref().filter(|it| it.holder == *holder)?;
        let age = load.measured_at.elapsed();
        (age <= MAX_AGE).then(|| (load.summary.clone(), age))
    }
}

impl<S: state::PoolAdapters> state::PoolState<S> {
    /// Load of the pool for the answer to a peer; `None` where this instance does not hold the tenure.
    pub(crate) fn own_load(&self) -> Option<model::LoadSummary> {
        let now = self.adapters.clock().now();
        self.leader().and_then(|it| it.core().load_summary(now))
    }

    /// Load of the pool by a fresh summary, and the age of the summary.
    fn known_load(&self) -> Option<(model::LoadSummary, Duration)> {
        if self.leader().is_some() {
            let load = self.own_load()?;
            let age = Duration::from_millis(load.age_ms);
            return Some((load, age));
        }
        self.load.fresh(&self.remote_holder()?.instance)
    }

    /// Refuses a submission whose job could only end when it is worth nothing. Returns the time after which
    /// the caller should come back; `None` admits the job.
    pub(crate) async fn refuse_for_load(
        &self,
        graph: ids::GraphId,
        row: &model::GraphRow,
        times: call_times::CallTimes,
    ) -> Option<Duration> {
        if !self.settings.scheduling.refuse_hopeless {
            return None;
        }
        let document = self.document.current()?;
        let (load, age) = self.known_load()?;
        let catalog = &document.catalog;
        let request = admission::AdmissionRequest { row, catalog, load: &load };
        let refusal = admission::refusal(request)?;
        if Instant::now() + MIN_CHECK_TIME > times.deadline
            || self.may_be_stored(graph, times.deadline).await
        {
            count(row, "stored_before");
            return None;
        }
        count(row, "refused");
        self.log_refusal(graph, row, &refusal, age);
        let caller = retry_time::RefusedCaller::of_row(graph, row);
        Some(caller.retry_after_load(refusal.returns_in))
    }

    /// Whether a job may be stored by an earlier try; true also where the store does not tell at once. A write
    /// of an earlier try that is still in progress at another instance is not seen.
    async fn may_be_stored(&self, graph: ids::GraphId, deadline: Instant) -> bool {
        if self.outages.is_failing() || self.is_store_away() {
            return true;
        }
        let read = job_query::read_row::<S, model::GraphRow>(self, keys::graph(graph));
        let read = time::timeout_at(deadline.min(Instant::now() + MIN_CHECK_TIME), read).await;
        !matches!(read, Ok(Ok(None)))
    }

    fn log_refusal(
        &self,
        graph: ids::GraphId,
        row: &model::GraphRow,
        refusal: &admission::LoadRefusal,
        age: Duration,
    ) {
        let n_jobs = state::lock(&self.load.log).count();
        let Some(n_jobs) = n_jobs else { return };
        tracing::info!(
            job = format_args!("{graph:016x}"),
            class = row.class,
            account = row.account,
            n_jobs,
            ends_in_ms = refusal.ends_in.as_millis() as u64,
            worth_until_ms = refusal.worth_until.as_millis() as u64,
            returns_in_ms = refusal.returns_in.as_millis() as u64,
            summary_age_ms = age.as_millis() as u64,
            "jobs are refused for load"
        );
    }
}

fn count(row: &model::GraphRow, outcome: &'static str) {
    let labels = [("class", row.class.clone()), ("outcome", outcome.to_owned())];
    metrics::counter!("almondpass_pool_load_refusals_total", &labels).increment(1);
}
