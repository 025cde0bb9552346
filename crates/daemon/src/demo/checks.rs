//! The eight conditions, each checked against what the stand-ins recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_schema::{ids, model};
use serde::Serialize;
use tokio::time::Instant;

use crate::demo::evidence;
use crate::demo::gang_runs;
use crate::demo::ledger;

/// A gang may be partial for this long while it starts or stops: messages take time.
const PARTIAL_BOUND: Duration = Duration::from_secs(2);
/// An upstream that leaves gets no new work after this.
const DEPARTURE_BOUND: Duration = Duration::from_secs(3);
/// An accepted configuration is in force everywhere after this.
const CONFIG_BOUND: Duration = Duration::from_secs(5);
/// Faults that a condition's line shows.
const SHOWN_FAULTS: usize = 3;

/// What became of one condition.
#[derive(Clone, Debug, Serialize)]
pub struct ConditionResult {
    /// The condition.
    pub condition: &'static str,
    /// What was looked at.
    pub checked: String,
    /// How often.
    pub times: usize,
    /// What contradicted it.
    pub faults: Vec<String>,
    /// How many contradicted it, shown or not.
    pub n_faults: usize,
}

impl ConditionResult {
    fn new(condition: &'static str) -> ConditionResult {
        let checked = String::new();
        ConditionResult { condition, checked, times: 0, faults: Vec::new(), n_faults: 0 }
    }

    /// Whether it held, and was checked at all.
    pub fn held(&self) -> bool {
        self.n_faults == 0 && 0 < self.times
    }

    fn require(&mut self, holds: bool, fault: impl FnOnce() -> String) {
        self.times += 1;
        if holds {
            return;
        }
        self.n_faults += 1;
        if self.faults.len() < SHOWN_FAULTS {
            self.faults.push(fault());
        }
    }

    fn looked_at(mut self, checked: String) -> ConditionResult {
        self.checked = checked;
        self
    }
}

/// Checks all eight.
pub fn all(evidence: &evidence::DemoEvidence) -> Vec<ConditionResult> {
    let attempts = gang_runs::attempts(&evidence.runs);
    vec![
        guarantees_reclaimed(evidence, &attempts),
        gangs_whole(evidence, &attempts),
        answers_own(evidence),
        not_run_is_true(evidence),
        at_most_once(evidence),
        departures_respected(evidence),
        shutdown_cuts_nothing(evidence),
        configuration_in_force(evidence),
    ]
}

/// Time from the submission of each claim until its whole gang ran, where it did.
pub fn reclaim_times(
    evidence: &evidence::DemoEvidence,
) -> Vec<(&ledger::JobOutcome, Option<Duration>)> {
    let attempts = gang_runs::attempts(&evidence.runs);
    evidence
        .claims
        .iter()
        .filter_map(|job| evidence.told.jobs.iter().find(|it| it.job == *job))
        .map(|claim| (claim, time_to_start(claim, &attempts)))
        .collect()
}

fn time_to_start(
    claim: &ledger::JobOutcome,
    attempts: &[gang_runs::GangAttempt],
) -> Option<Duration> {
    let complete = attempts
        .iter()
        .filter(|it| it.job == claim.job)
        .filter_map(|it| it.complete_at(claim.tasks))
        .min()?;
    Some(complete.saturating_duration_since(claim.submitted_at))
}

fn guarantees_reclaimed(
    evidence: &evidence::DemoEvidence,
    attempts: &[gang_runs::GangAttempt],
) -> ConditionResult {
    let mut result = ConditionResult::new("a guaranteed shape can always be reclaimed");
    let bound = evidence.reclaim_bound;
    let mut slowest = Duration::ZERO;
    for job in &evidence.claims {
        let Some(claim) = evidence.told.jobs.iter().find(|it| it.job == *job) else {
            result.require(false, || format!("claim {job} was never answered"));
            continue;
        };
        let took = time_to_start(claim, attempts);
        slowest = slowest.max(took.unwrap_or(Duration::MAX));
        result.require(took.is_some_and(|it| it <= bound), || {
            let name = claim.guarantee.as_deref().unwrap_or_default();
            format!(
                "{} of {}: expected a start within {bound:?}, found {took:?}",
                name, claim.account
            )
        });
    }
    let used = evidence.fragmentation.iter().map(|it| it.used).fold(0.0, f64::max);
    result.looked_at(format!(
        "claims while the halls were filled (up to {:.0}% of a hall in use); slowest {:.2} s, bound {:.0} s",
        used * 100.0,
        slowest.as_secs_f64(),
        bound.as_secs_f64(),
    ))
}

fn gangs_whole(
    evidence: &evidence::DemoEvidence,
    attempts: &[gang_runs::GangAttempt],
) -> ConditionResult {
    let mut result = ConditionResult::new("no gang runs partially");
    let now = Instant::now();
    let tasks = evidence.told.jobs.iter().map(|it| (it.job, it.tasks));
    let tasks = tasks.collect::<BTreeMap<_, _>>();
    // A gang that its scheduler's crash caught between two starts is rolled back by the next
    // scheduler, which may come only when the term is over.
    let takeover = evidence.scheduler_term + PARTIAL_BOUND;
    let mut longest = Duration::ZERO;
    for attempt in attempts {
        let Some(tasks) = tasks.get(&attempt.job) else { continue };
        let partial = attempt.partial_for(*tasks, now);
        let caught = evidence.crashed_at.is_some_and(|crash| was_running(attempt, crash, now));
        let bound = if caught { PARTIAL_BOUND + takeover } else { PARTIAL_BOUND };
        longest = longest.max(partial);
        result.require(partial <= bound, || {
            format!("job {}: some of {tasks} tasks ran alone for {partial:?}", attempt.job)
        });
    }
    result.looked_at(format!(
        "starts of gangs at the workers; longest time with some members only {:.0} ms",
        longest.as_secs_f64() * 1000.0
    ))
}

fn was_running(attempt: &gang_runs::GangAttempt, at: Instant, now: Instant) -> bool {
    attempt.members.iter().any(|it| it.overlaps(at, now.min(at + PARTIAL_BOUND)))
}

fn answers_own(evidence: &evidence::DemoEvidence) -> ConditionResult {
    let mut result = ConditionResult::new("each caller gets the whole answer to its own request");
    let mut cut = 0;
    for attempt in &evidence.told.attempts {
        match &attempt.fate {
            ledger::AttemptFate::Own => result.require(true, String::new),
            ledger::AttemptFate::Foreign => result.require(false, || {
                format!("request {:?} got something else as its answer", attempt.request)
            }),
            ledger::AttemptFate::Broken(_) => cut += 1,
            ledger::AttemptFate::NotSent | ledger::AttemptFate::Told(_) => {}
        }
    }
    result.looked_at(format!(
        "answers compared byte by byte, upstreams misbehaving; {cut} broke off and were seen to"
    ))
}

fn not_run_is_true(evidence: &evidence::DemoEvidence) -> ConditionResult {
    let mut result = ConditionResult::new("what was told `not run` did not run");
    let executed = evidence.executions.iter().filter_map(|it| it.request.as_deref());
    let executed = executed.collect::<BTreeSet<_>>();
    for attempt in &evidence.told.attempts {
        if attempt.fate != ledger::AttemptFate::Told(model::RequestOutcome::NotRun) {
            continue;
        }
        let Some(request) = attempt.request else { continue };
        result.require(!executed.contains(request.to_string().as_str()), || {
            format!("request {request} ran on an upstream")
        });
    }
    let ran = evidence.runs.iter().map(|it| it.job).collect::<BTreeSet<_>>();
    for job in &evidence.told.jobs {
        let not_run = matches!(
            job.end,
            ledger::JobEnd::State(model::JobState::NotRun)
                | ledger::JobEnd::Refused(model::RequestOutcome::NotRun)
        );
        if not_run {
            result.require(!ran.contains(&job.job), || format!("job {} ran on a worker", job.job));
        }
    }
    result.looked_at(
        "ids of what was told so, looked up in the upstreams' and workers' logs".to_owned(),
    )
}

fn at_most_once(evidence: &evidence::DemoEvidence) -> ConditionResult {
    let mut result = ConditionResult::new("what is not repeatable runs at most once");
    let mut counts = BTreeMap::<&str, usize>::new();
    for key in evidence.executions.iter().filter_map(|it| it.idempotency.as_deref()) {
        *counts.entry(key).or_default() += 1;
    }
    let mut once = 0;
    for record in &evidence.told.requests {
        let Some(key) = record.key else { continue };
        let count = counts.get(key.to_string().as_str()).copied().unwrap_or_default();
        once += usize::from(count == 1);
        result.require(count <= 1, || format!("key {key} ran {count} times"));
        // The key must reach the upstream, or the count above would prove nothing.
        let told_done = record.outcome == model::RequestOutcome::Done;
        result.require(!told_done || count == 1, || {
            format!("key {key} was told done and ran {count} times")
        });
    }
    result.looked_at(format!("executions by idempotency key; {once} ran once"))
}

fn departures_respected(evidence: &evidence::DemoEvidence) -> ConditionResult {
    let mut result = ConditionResult::new("an upstream that leaves gets no new work after 3 s");
    let mut lines = Vec::new();
    for departure in &evidence.departures {
        let closed = departure.since + DEPARTURE_BOUND..departure.until;
        let mut n_elsewhere = 0;
        let requests = evidence.executions.iter().map(|it| (&it.worker, it.started));
        let tasks = evidence.runs.iter().filter(|_| departure.with_tasks);
        let starts = requests.chain(tasks.map(|it| (&it.worker, it.started)));
        for (worker, started) in starts.filter(|(_, started)| closed.contains(started)) {
            n_elsewhere += 1;
            result.require(*worker != departure.worker, || {
                let late = started.saturating_duration_since(departure.since);
                format!("{worker} ({}) started something {late:?} later", departure.cause)
            });
        }
        let before = evidence.executions.iter().filter(|it| it.worker == departure.worker);
        let n_before = before.filter(|it| it.started < departure.since).count();
        lines.push(format!(
            "{} ({}), with {n_before} starts before, while {n_elsewhere} started elsewhere",
            departure.worker, departure.cause
        ));
    }
    result.looked_at(format!("starts at the workers: {}", lines.join("; ")))
}

fn shutdown_cuts_nothing(evidence: &evidence::DemoEvidence) -> ConditionResult {
    let mut result = ConditionResult::new("a graceful shutdown cuts no request in flight");
    let Some(shutdown) = &evidence.shutdown else { return result };
    let mut in_flight = 0;
    for attempt in &evidence.told.attempts {
        let concerned = attempt.instance == shutdown.instance
            && shutdown.told_at <= attempt.ended_at
            && attempt.fate != ledger::AttemptFate::NotSent;
        if !concerned {
            continue;
        }
        in_flight += usize::from(attempt.sent_at < shutdown.told_at);
        let cut = matches!(attempt.fate, ledger::AttemptFate::Broken(_));
        result.require(!cut, || format!("request {:?}: {:?}", attempt.request, attempt.fate));
    }
    result.looked_at(format!(
        "requests at {} after its signal, {in_flight} of them in flight at that moment; it left after {:.1} s",
        shutdown.instance,
        shutdown.left_at.saturating_duration_since(shutdown.told_at).as_secs_f64(),
    ))
}

fn configuration_in_force(evidence: &evidence::DemoEvidence) -> ConditionResult {
    let mut result =
        ConditionResult::new("an accepted configuration is in force everywhere and never reverts");
    let mut newest = BTreeMap::<&ids::InstanceId, ids::ConfigVersion>::new();
    for sample in &evidence.versions {
        let before = newest.insert(&sample.instance, sample.version).unwrap_or_default();
        result.require(before <= sample.version, || {
            format!("{} went from version {before} to {}", sample.instance, sample.version)
        });
    }
    let mut slowest = Duration::ZERO;
    for accepted in &evidence.accepted {
        let late = evidence
            .versions
            .iter()
            .filter(|it| accepted.at + CONFIG_BOUND <= it.at && it.version < accepted.version);
        let late = late.map(|it| it.instance.as_str()).collect::<BTreeSet<_>>();
        let n_seen = evidence.versions.iter().filter(|it| accepted.version <= it.version).count();
        result.require(0 < n_seen, || {
            format!("version {} was seen in force nowhere", accepted.version)
        });
        result.require(late.is_empty(), || {
            format!("version {} was not in force in time on {late:?}", accepted.version)
        });
        let behind = evidence
            .versions
            .iter()
            .filter(|it| accepted.at <= it.at && 0 < it.version && it.version < accepted.version);
        let last = behind.map(|it| it.at.saturating_duration_since(accepted.at)).max();
        slowest = slowest.max(last.unwrap_or_default());
    }
    result.looked_at(format!(
        "looks at the version in force on each instance; {} versions accepted, the last instance had each after {:.1} s at most",
        evidence.accepted.len(),
        slowest.as_secs_f64(),
    ))
}
