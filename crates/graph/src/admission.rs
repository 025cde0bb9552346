//! Decides whether a submission is refused for load: if its job could only end when it is worth nothing to its
//! caller.

use std::time::Duration;

use almondpass_schema::model;

use crate::catalog;
use crate::objective;
use crate::preemption;
use crate::prospect;

/// A new job is placed before the late jobs of its class until its slack is over. It is refused only if the expected
/// wait behind the jobs in time is more than this many times its slack.
const MAX_WAIT_IN_SLACKS: u32 = 6;

/// A submission, and what is known of the configuration and the load.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The job as it would be stored.
    pub row: &'a model::GraphRow,
    /// Classes and guarantees in force.
    pub catalog: &'a catalog::PoolCatalog,
    /// A fresh summary of the load.
    pub load: &'a model::LoadSummary,
}

/// Why a submission is refused for load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadRefusal {
    /// Low end of the time until the job would end.
    pub ends_in: Duration,
    /// Time after which the job is worth nothing.
    pub worth_until: Duration,
    /// Time after which such a job would be of use again.
    pub returns_in: Duration,
}

/// Refuses a job whose end lies beyond its worth even by a careful forecast. `None` admits the job.
pub fn refusal(request: AdmissionRequest<'_>) -> Option<LoadRefusal> {
    let AdmissionRequest { row, catalog, load } = request;
    let class = catalog.classes.get(&row.class).filter(|it| it.stretch > 0.0)?;
    if row.graph.schedule.is_some() || may_be_guaranteed(request) {
        return None;
    }
    let class_load = load.classes.iter().find(|it| it.class == row.class)?;
    let run = Duration::from_millis(class_load.run_ms);
    let chain = objective::StepChain::of_graph(&row.graph.steps);
    let work = run * chain.n_steps;
    let worth_until = objective::objective(class, chain, run) * prospect::EXPIRED_AFTER;
    let slack = objective::slack(class, chain, run);
    let (low_wait, wait) = waits(class_load, slack);
    let ends_in = low_wait + work;
    let in_time_wait = Duration::from_millis(class_load.wait_ms);
    let served_wait = slack * MAX_WAIT_IN_SLACKS;
    if ends_in <= worth_until || in_time_wait <= served_wait {
        return None;
    }
    let admitted_in = (wait + work).saturating_sub(worth_until).min(in_time_wait - served_wait);
    // Others are submitted in the meantime, so the job comes back with its slack to spare.
    let returns_in = admitted_in + slack;
    Some(LoadRefusal { ends_in, worth_until, returns_in })
}

/// Low end and expected value of the wait. A job that waits for longer than its slack is late, and is then
/// placed behind the older late jobs too.
fn waits(load: &model::ClassLoad, slack: Duration) -> (Duration, Duration) {
    let by_slack = |in_time_ms: u64, late_ms: u64| {
        let in_time = Duration::from_millis(in_time_ms);
        if in_time <= slack { in_time } else { Duration::from_millis(late_ms) }
    };
    (by_slack(load.low_wait_ms, load.low_late_wait_ms), by_slack(load.wait_ms, load.late_wait_ms))
}

/// Whether the job is urgent work that its account's guarantee may cover: it fits the guarantee by itself, or the
/// need of the account is unknown. The present need does not count against it, since urgent jobs end within the
/// age that a summary may have.
fn may_be_guaranteed(request: AdmissionRequest<'_>) -> bool {
    let row = request.row;
    let Some(account) = row.account.as_ref() else { return false };
    let Some(guaranteed) = request.catalog.guaranteed.get(account) else { return false };
    if row.priority != preemption::URGENT_PRIORITY {
        return false;
    }
    let known = request.load.accounts.iter().any(|it| it.account == *account);
    let needed = row.graph.steps.iter().map(|it| it.tasks.saturating_mul(it.accelerators));
    !known || needed.fold(0_u32, u32::saturating_add) <= *guaranteed
}
