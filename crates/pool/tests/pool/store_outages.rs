//! Outages of the store with the time to return estimated: which calls wait, which are refused at once, and
//! when the refused callers come back.

use std::sync::Arc;
use std::time::Duration;

use almondpass_pool::{call_times, retry_time, submit};
use almondpass_schema::{ids, model};
use almondpass_standin::fault;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::support;

/// Time that a caller waits in total, over all its tries.
const CALLER_TIME: Duration = Duration::from_secs(3);

/// Most tries of a caller.
const MAX_TRIES: usize = 5;

/// Pause of an impatient caller before its second try; doubled for each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest time for which an instance handles a call.
const HANDLING_TIME: Duration = Duration::from_secs(2);

/// Time to come back if it is not estimated.
const CONSTANT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A caller whose time ends this soon after the return of the store may not be served.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Interval at which callers arrive during an outage.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two outages.
const CALM: Duration = Duration::from_secs(10);

/// A refusal at once comes within this time.
const AT_ONCE: Duration = Duration::from_millis(50);

fn adaptive() -> model::SchedulingSettings {
    model::SchedulingSettings { adaptive_retry: true, ..model::SchedulingSettings::default() }
}

/// How a caller behaves that is told to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerKind {
    /// Tries five times within 3 s, whatever it is told.
    Impatient,
    /// Comes back when it is told, five times at most.
    Obedient,
}

/// What became of a caller.
#[derive(Clone, Copy, Debug, Default)]
struct CallerRecord {
    is_served: bool,
    n_tries: usize,
    /// Tries whose outcome is unknown.
    n_unknown: usize,
    /// Times to return that lay before the end of the outage.
    n_early: usize,
    n_told: usize,
    /// Sum of the times after the end of the outage that the caller was told to come back.
    late_by: Duration,
    /// Time from the end of the outage until the job was stored.
    served_after: Duration,
}

/// What became of the callers of an outage.
#[derive(Clone, Debug, Default)]
struct CallerTally {
    callers: Vec<CallerRecord>,
}

impl CallerTally {
    fn n_served(&self) -> usize {
        self.callers.iter().filter(|it| it.is_served).count()
    }

    fn n_tries(&self) -> usize {
        self.callers.iter().map(|it| it.n_tries).sum()
    }

    fn n_unknown(&self) -> usize {
        self.callers.iter().map(|it| it.n_unknown).sum()
    }

    fn n_early(&self) -> usize {
        self.callers.iter().map(|it| it.n_early).sum()
    }

    fn n_told(&self) -> usize {
        self.callers.iter().map(|it| it.n_told).sum()
    }

    fn mean_late_by(&self) -> Duration {
        let times = self.callers.iter().map(|it| it.late_by).sum::<Duration>();
        times / (self.n_told() - self.n_early()).max(1) as u32
    }

    fn mean_served_after(&self) -> Duration {
        let times = self.callers.iter().map(|it| it.served_after).sum::<Duration>();
        times / self.callers.len().max(1) as u32
    }
}

/// One caller during an outage.
struct OutageCaller {
    bench: Arc<support::PoolBench>,
    instance: usize,
    graph: ids::GraphId,
    kind: CallerKind,
    outage_ends: Instant,
}

impl OutageCaller {
    async fn run(self) -> CallerRecord {
        let began = Instant::now();
        let mut record = CallerRecord::default();
        while record.n_tries < MAX_TRIES {
            let time_left = match self.kind {
                CallerKind::Impatient => CALLER_TIME.saturating_sub(began.elapsed()),
                CallerKind::Obedient => CALLER_TIME,
            };
            if time_left.is_zero() {
                break;
            }
            record.n_tries += 1;
            let outcome = self.call(time_left).await;
            if outcome == model::SubmitOutcome::Accepted {
                record.is_served = true;
                record.served_after = self.outage_ends.elapsed();
                break;
            }
            record.n_unknown += usize::from(outcome == model::SubmitOutcome::Unknown);
            let retry_after = self.retry_after();
            let returns_at = Instant::now() + retry_after;
            record.n_told += 1;
            record.n_early += usize::from(returns_at < self.outage_ends);
            record.late_by += returns_at.saturating_duration_since(self.outage_ends);
            time::sleep(match self.kind {
                CallerKind::Impatient => FIRST_PAUSE * (1 << (record.n_tries - 1)),
                CallerKind::Obedient => retry_after,
            })
            .await;
        }
        record
    }

    async fn call(&self, time_left: Duration) -> model::SubmitOutcome {
        let state = &self.bench.instances[self.instance].state;
        let now = Instant::now();
        let deadline = now + time_left.min(HANDLING_TIME);
        let times = call_times::CallTimes { deadline, caller_gives_up: now + time_left };
        let answer = submit::submit(state, self.graph, support::job(1, 100), times).await;
        assert!(Instant::now() <= deadline + AT_ONCE, "an answer after the deadline");
        let submit::SubmitAnswer::Outcome(outcome) = answer else { panic!("{answer:?}") };
        outcome
    }

    fn retry_after(&self) -> Duration {
        let caller = retry_time::RefusedCaller { graph: self.graph, is_urgent: false };
        let state = &self.bench.instances[self.instance].state;
        state.retry_after(caller).unwrap_or(CONSTANT_RETRY_AFTER)
    }
}

/// An outage after earlier ones.
#[derive(Clone, Copy, Debug)]
struct OutageCase {
    condition: fault::Condition,
    earlier_s: [u64; 3],
    length: Duration,
    kind: CallerKind,
}

impl OutageCase {
    /// Runs the outages; callers arrive during the last one.
    async fn run(self, scheduling: model::SchedulingSettings) -> CallerTally {
        let bench = support::PoolBench::start_with_scheduling(3, 2, scheduling).await;
        for length_s in self.earlier_s {
            bench.store.faults().set(self.condition);
            time::sleep(Duration::from_secs(length_s)).await;
            bench.store.faults().set(fault::Condition::Up);
            time::sleep(CALM).await;
        }
        let bench = Arc::new(bench);
        let outage_ends = Instant::now() + self.length;
        bench.store.faults().set(self.condition);
        let mut callers = JoinSet::new();
        let mut graph = 0;
        while Instant::now() < outage_ends {
            graph += 1;
            let (bench, kind) = (Arc::clone(&bench), self.kind);
            let instance = graph as usize % bench.instances.len();
            callers.spawn(OutageCaller { bench, instance, graph, kind, outage_ends }.run());
            time::sleep(ARRIVAL_INTERVAL).await;
        }
        bench.store.faults().set(fault::Condition::Up);
        CallerTally { callers: callers.join_all().await }
    }
}

/// Runs a case with the estimate off and on.
fn run_both(case: OutageCase) -> (CallerTally, CallerTally) {
    let off = support::run(case.run(model::SchedulingSettings::default()));
    let on = support::run(case.run(adaptive()));
    for (name, tally) in [("off", &off), ("on", &on)] {
        println!(
            "{case:?} {name}: {} of {} served, {} tries, {} unknown, {} of {} told to return too early, \
             the others {:?} late, stored {:?} after the outage",
            tally.n_served(),
            tally.callers.len(),
            tally.n_tries(),
            tally.n_unknown(),
            tally.n_early(),
            tally.n_told(),
            tally.mean_late_by(),
            tally.mean_served_after()
        );
    }
    (off, on)
}

/// Guards against callers of five tries in 3 s that are refused although the store returns in their time.
fn check_impatient(condition: fault::Condition, earlier_s: [u64; 3], length_s: u64) {
    let (length, kind) = (Duration::from_secs(length_s), CallerKind::Impatient);
    let (off, on) = run_both(OutageCase { condition, earlier_s, length, kind });
    let n_servable = (CALLER_TIME - SERVICE_TIME).as_millis() / ARRIVAL_INTERVAL.as_millis();
    assert!(on.n_served() as u128 >= n_servable, "{} of {n_servable}", on.n_served());
    assert!(on.n_unknown() <= off.n_unknown());
}

/// Guards against callers that come back as told, and find the store still away.
fn check_obedient(condition: fault::Condition, earlier_s: [u64; 3], length_s: u64) {
    let on = check_alternating(condition, earlier_s, length_s);
    assert!(10 * on.n_early() <= on.n_told(), "nine in ten find the store");
}

/// Guards against callers that are told the length of another outage, and give up before the store is back.
fn check_alternating(
    condition: fault::Condition,
    earlier_s: [u64; 3],
    length_s: u64,
) -> CallerTally {
    let (length, kind) = (Duration::from_secs(length_s), CallerKind::Obedient);
    let (off, on) = run_both(OutageCase { condition, earlier_s, length, kind });
    assert_eq!(on.n_served(), on.callers.len(), "all callers are served");
    // A caller needs two tries if it is refused once and then served.
    assert!(on.n_tries() <= off.n_tries().max(2 * on.callers.len()));
    on
}

macro_rules! outages {
    ($($name:ident: $check:ident, $condition:ident for $earlier:expr, then $length:expr;)*) => {
        $(#[test]
        fn $name() {
            $check(fault::Condition::$condition, $earlier, $length);
        })*
    };
}

outages! {
    impatient_callers_and_a_store_that_refuses_for_3_s: check_impatient, Refusing for [3; 3], then 3;
    impatient_callers_and_a_store_that_refuses_for_7_s: check_impatient, Refusing for [7; 3], then 7;
    impatient_callers_and_a_store_that_refuses_for_20_s: check_impatient, Refusing for [20; 3], then 20;
    impatient_callers_and_a_store_that_is_silent_for_3_s: check_impatient, Dropping for [3; 3], then 3;
    impatient_callers_and_a_store_that_is_silent_for_7_s: check_impatient, Dropping for [7; 3], then 7;
    impatient_callers_and_a_store_that_is_silent_for_20_s: check_impatient, Dropping for [20; 3], then 20;
    obedient_callers_and_a_store_that_refuses_for_3_s: check_obedient, Refusing for [3; 3], then 3;
    obedient_callers_and_a_store_that_refuses_for_7_s: check_obedient, Refusing for [7; 3], then 7;
    obedient_callers_and_a_store_that_refuses_for_20_s: check_obedient, Refusing for [20; 3], then 20;
    obedient_callers_and_a_store_that_is_silent_for_3_s: check_obedient, Dropping for [3; 3], then 3;
    obedient_callers_and_a_store_that_is_silent_for_7_s: check_obedient, Dropping for [7; 3], then 7;
    obedient_callers_and_a_store_that_is_silent_for_20_s: check_obedient, Dropping for [20; 3], then 20;
    a_short_outage_among_long_ones: check_alternating, Refusing for [20, 3, 20], then 3;
    a_long_outage_among_short_ones: check_alternating, Refusing for [3, 20, 3], then 20;
    a_first_long_outage: check_alternating, Dropping for [3, 3, 3], then 20;
}

/// Guards against calls that are held although the store is expected back long after their deadline.
#[test]
fn a_call_is_refused_at_once_if_the_store_stays_away() {
    support::run(async {
        let bench = support::PoolBench::start_with_scheduling(3, 2, adaptive()).await;
        bench.store.faults().set(fault::Condition::Refusing);
        time::sleep(Duration::from_secs(6)).await;
        for graph in 1..=3 {
            let began = Instant::now();
            let outcome = bench.submit(0, graph, support::job(1, 500)).await;
            assert_eq!(outcome, model::SubmitOutcome::NotRun);
            assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
            let shown = bench.lookup(0, graph).await;
            assert_eq!(shown, model::LookOutcome::Unavailable);
            assert!(began.elapsed() < AT_ONCE * 2, "{:?}", began.elapsed());
        }
        bench.store.faults().set(fault::Condition::Up);
        time::sleep(Duration::from_secs(30)).await;
        assert_eq!(bench.fleet.records(), []);
    });
}

/// Guards against an instance that tells its callers to stay away while its peers serve them.
#[test]
fn a_store_that_rejects_one_instance_leaves_its_callers_served() {
    support::run(async {
        let bench = support::PoolBench::start_with_scheduling(3, 2, adaptive()).await;
        let other = bench.non_holder();
        bench.instances[other].store_faults.set(fault::Condition::Refusing);
        for graph in 1..=40 {
            time::sleep(Duration::from_millis(500)).await;
            let began = Instant::now();
            let outcome = bench.submit(other, graph, support::job(1, 100)).await;
            assert_eq!(outcome, model::SubmitOutcome::Accepted);
            assert!(began.elapsed() < Duration::from_millis(400), "{:?}", began.elapsed());
        }
    });
}

/// Guards against calls that are told to stay away for the age of an outage because one relayed call failed.
#[test]
fn a_relay_that_fails_once_is_tried_again() {
    support::run(async {
        let bench = support::PoolBench::start_with_scheduling(2, 2, adaptive()).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        bench.instances[other].store_faults.set(fault::Condition::Refusing);
        time::sleep(Duration::from_secs(20)).await;
        let first = bench.submit(other, 1, support::job(1, 100)).await;
        assert_eq!(first, model::SubmitOutcome::Accepted);
        let address = |it: usize| bench.instances[it].address.as_str();
        let path = bench.net.path_faults(address(other), address(holder));
        let step = <model::GraphSubmit as almondpass_peer::call::PeerCall>::PATH;
        path.inject_next(step, fault::Fault::Refused);
        let second = bench.submit(other, 2, support::job(1, 100)).await;
        assert_eq!(second, model::SubmitOutcome::Accepted);
    });
}

/// Guards against memory that grows with the calls of an outage, and against urgent calls that find all places
/// taken by others.
#[test]
fn a_bounded_number_of_calls_waits() {
    support::run(async {
        let bench = support::PoolBench::start_with_scheduling(1, 2, adaptive()).await;
        bench.store.faults().set(fault::Condition::Refusing);
        time::sleep(Duration::from_millis(3_000)).await;
        bench.store.faults().set(fault::Condition::Up);
        time::sleep(CALM).await;
        bench.store.faults().set(fault::Condition::Refusing);
        time::sleep(Duration::from_millis(1_500)).await;
        let bench = Arc::new(bench);
        let mut calls = JoinSet::new();
        for graph in 1..=400 {
            let bench = Arc::clone(&bench);
            let priority = u32::from(graph <= 300);
            let row = model::GraphRow { priority, ..support::job(1, 100) };
            calls.spawn(async move { bench.submit(0, graph, row).await });
        }
        time::sleep(Duration::from_millis(1_000)).await;
        bench.store.faults().set(fault::Condition::Up);
        let outcomes = calls.join_all().await;
        let n_accepted =
            outcomes.iter().filter(|it| **it == model::SubmitOutcome::Accepted).count();
        let n_refused = outcomes.iter().filter(|it| **it == model::SubmitOutcome::NotRun).count();
        assert_eq!((n_accepted, n_refused), (256, 144));
    });
}

/// Guards against a caller that is told its job has not run although its write took effect when the store
/// went silent.
#[test]
fn a_write_that_may_have_taken_effect_is_never_reported_as_not_run() {
    support::run(async {
        let bench = support::PoolBench::start_with_scheduling(3, 2, adaptive()).await;
        let other = bench.non_holder();
        let step = <model::TableTransaction as almondpass_peer::call::PeerCall>::PATH;
        bench.instances[other].store_faults.inject_next(step, fault::Fault::AnswerLost);
        let submitted = bench.submit(other, 1, support::job(1, 100));
        let silent = async {
            time::sleep(Duration::from_millis(50)).await;
            bench.store.faults().set(fault::Condition::Dropping);
        };
        let (outcome, ()) = tokio::join!(submitted, silent);
        assert_eq!(outcome, model::SubmitOutcome::Unknown);
    });
}
