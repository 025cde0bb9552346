//! The checks of the demo notice what contradicts each condition. A check that cannot fail would
//! show a demo that proves nothing.

use std::time::Duration;

use almondpass_daemon::demo::{checks, evidence, ledger};
use almondpass_schema::{ids, model};
use almondpass_standin::{execution, run};
use tokio::time::Instant;
use uuid::Uuid;

const INSTANCE: &str = "instance-a";
const WORKER: &str = "rajkot-r1-01";
const TASKS: u32 = 2;

/// A short run in which every condition held, as seconds after `begun`.
struct GoodRun {
    begun: Instant,
    job: ids::JobId,
    key: ids::IdempotencyKey,
    refused: ids::RequestId,
    evidence: evidence::DemoEvidence,
}

impl GoodRun {
    fn new() -> GoodRun {
        let begun = Instant::now();
        let [job, key, answered, refused] = [(); 4].map(|()| Uuid::now_v7());
        let at = |seconds| begun + Duration::from_secs(seconds);
        let mut run = GoodRun { begun, job, key, refused, evidence: empty(begun) };
        run.push_attempt(Some(answered), ledger::AttemptFate::Own, 3);
        run.push_attempt(
            Some(refused),
            ledger::AttemptFate::Told(model::RequestOutcome::NotRun),
            5,
        );
        run.push_execution(Some(answered), Some(key), WORKER, 3);
        run.push_execution(None, None, "rajkot-r1-02", 7);
        run.evidence.told.requests.push(ledger::RequestRecord {
            account: "kutch".to_owned(),
            class: "certificate".to_owned(),
            key: Some(key),
            outcome: model::RequestOutcome::Done,
            elapsed: Duration::from_secs(1),
        });
        run.evidence.told.jobs.push(ledger::JobOutcome {
            job,
            account: "kutch".to_owned(),
            class: "ageing".to_owned(),
            tasks: TASKS,
            guarantee: Some("block".to_owned()),
            submitted_at: begun,
            end: ledger::JobEnd::State(model::JobState::Done),
            elapsed: Duration::from_secs(4),
        });
        run.evidence.claims.push(job);
        for rank in 0..TASKS {
            run.push_run(rank, 1, 4);
        }
        run.evidence.departures.push(evidence::UpstreamDeparture {
            worker: WORKER.to_owned(),
            cause: "drained",
            with_tasks: true,
            since: at(3),
            until: at(20),
        });
        run.push_version(1, 2);
        run.push_version(2, 9);
        run
    }

    fn at(&self, seconds: u64) -> Instant {
        self.begun + Duration::from_secs(seconds)
    }

    fn push_attempt(
        &mut self,
        request: Option<ids::RequestId>,
        fate: ledger::AttemptFate,
        ended: u64,
    ) {
        self.evidence.told.attempts.push(ledger::AttemptRecord {
            instance: INSTANCE.to_owned(),
            sent_at: self.begun,
            ended_at: self.at(ended),
            request,
            fate,
        });
    }

    fn push_execution(
        &mut self,
        request: Option<ids::RequestId>,
        key: Option<ids::IdempotencyKey>,
        worker: &str,
        started: u64,
    ) {
        self.evidence.executions.push(execution::RequestExecution {
            worker: worker.to_owned(),
            upstream: "oil-analysis".to_owned(),
            request: request.map(|it| it.to_string()),
            idempotency: key.map(|it| it.to_string()),
            leased: true,
            started: self.at(started),
            misbehaviour: None,
            body_head: Default::default(),
        });
    }

    fn push_run(&mut self, rank: u32, started: u64, ended: u64) {
        let cause = run::EndCause::Exited(model::TaskExit::Succeeded);
        self.evidence.runs.push(run::TaskRun {
            worker: WORKER.to_owned(),
            lease: format!("job/{}/1/{rank}", self.job),
            job: self.job,
            rank,
            accelerators: vec![rank],
            resumed_from: None,
            started: self.at(started),
            ended: Some(run::RunEnd { at: self.at(ended), cause }),
        });
    }

    fn push_version(&mut self, version: ids::ConfigVersion, at: u64) {
        self.evidence.versions.push(evidence::VersionSample {
            instance: INSTANCE.to_owned(),
            version,
            at: self.at(at),
        });
    }
}

fn empty(begun: Instant) -> evidence::DemoEvidence {
    evidence::DemoEvidence {
        told: ledger::LedgerState::default(),
        executions: Vec::new(),
        runs: Vec::new(),
        claims: Vec::new(),
        reclaim_bound: Duration::from_secs(5),
        shutdown: Some(evidence::ShutdownWindow {
            instance: INSTANCE.to_owned(),
            told_at: begun + Duration::from_secs(2),
            left_at: begun + Duration::from_secs(6),
        }),
        crashed_at: None,
        scheduler_term: Duration::from_secs(3),
        departures: Vec::new(),
        accepted: vec![evidence::AcceptedVersion {
            version: 2,
            at: begun + Duration::from_secs(8),
        }],
        versions: Vec::new(),
        fragmentation: Vec::new(),
    }
}

/// Spoils a good run and checks which conditions are then said to be broken.
fn check(spoil: impl FnOnce(&mut GoodRun), broken: &[&str]) {
    let mut run = GoodRun::new();
    spoil(&mut run);
    let results = checks::all(&run.evidence);
    assert_eq!(results.len(), 8);
    let found = results.iter().filter(|it| !it.held()).map(|it| it.condition).collect::<Vec<_>>();
    let expected = results
        .iter()
        .map(|it| it.condition)
        .filter(|condition| broken.iter().any(|it| condition.contains(it)))
        .collect::<Vec<_>>();
    assert_eq!(found, expected, "{results:#?}");
}

macro_rules! broken {
    ($($name:ident: $spoil:expr => $broken:expr;)*) => {
        $(#[test]
        fn $name() {
            check($spoil, &$broken);
        })*
    };
}

broken! {
    a_good_run: |_| {} => [];
    claim_starts_late: |run| run.evidence.reclaim_bound = Duration::from_millis(900) => ["reclaimed"];
    claim_never_starts: |run| run.evidence.runs.clear() => ["reclaimed", "gang"];
    member_never_starts: |run| {
        run.evidence.runs.pop();
    } => ["reclaimed", "gang"];
    member_starts_late: |run| run.evidence.runs[1].started = run.at(4) => ["gang"];
    member_outlives_a_stop: |run| {
        let cause = run::EndCause::Lapsed;
        run.evidence.runs[0].ended = Some(run::RunEnd { at: run.at(2), cause });
        let cause = run::EndCause::Signalled;
        run.evidence.runs[1].ended = Some(run::RunEnd { at: run.at(5), cause });
    } => ["gang"];
    foreign_answer: |run| run.evidence.told.attempts[0].fate = ledger::AttemptFate::Foreign
        => ["own request"];
    not_run_but_ran: |run| {
        let refused = run.refused;
        run.push_execution(Some(refused), None, "rajkot-r1-02", 3);
    } => ["not run"];
    job_not_run_but_ran: |run| {
        run.evidence.told.jobs[0].end = ledger::JobEnd::Refused(model::RequestOutcome::NotRun);
    } => ["not run"];
    key_ran_twice: |run| {
        let key = run.key;
        run.push_execution(None, Some(key), "rajkot-r1-02", 3);
    } => ["at most once"];
    key_never_reached_the_upstream: |run| run.evidence.executions[0].idempotency = None
        => ["at most once"];
    request_at_a_drained_worker: |run| run.push_execution(None, None, WORKER, 7) => ["leaves"];
    task_at_a_drained_worker: |run| {
        run.evidence.runs.iter_mut().for_each(|it| it.started = run.begun + Duration::from_secs(7));
    } => ["reclaimed", "leaves"];
    request_at_a_worker_that_is_back: |run| run.push_execution(None, None, WORKER, 21) => [];
    cut_at_the_shutdown: |run| {
        run.push_attempt(None, ledger::AttemptFate::Broken("reset".to_owned()), 4);
    } => ["shutdown"];
    cut_before_the_shutdown: |run| {
        run.push_attempt(None, ledger::AttemptFate::Broken("reset".to_owned()), 1);
    } => [];
    nothing_started_while_it_was_drained: |run| {
        run.evidence.executions.pop();
    } => ["leaves"];
    version_reverts: |run| run.push_version(1, 10) => ["configuration"];
    version_comes_late: |run| {
        run.evidence.versions.pop();
        run.push_version(1, 14);
    } => ["configuration"];
    nothing_happened: |run| run.evidence = empty(run.begun) => [
        "reclaimed", "gang", "own request", "not run", "at most once", "leaves", "shutdown",
        "configuration",
    ];
}
