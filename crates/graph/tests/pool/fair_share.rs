//! The fair order of jobs of accounts that compete for scarce capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_graph::{fair_share, order, resources, timing};
use almondpass_schema::{ids, model};

use crate::load_simulation;
use crate::support;

/// Workers of the pool in the load tests.
const N_WORKERS: usize = 24;

/// Part of the jobs that the account with the most work submits.
const LARGE_WEIGHT: f64 = 10.0;

fn fair() -> model::SchedulingSettings {
    model::SchedulingSettings { fair_share: true, ..model::SchedulingSettings::default() }
}

fn in_order_of_age() -> model::SchedulingSettings {
    model::SchedulingSettings::default()
}

/// A pool core whose workers complete what they run when the test says so.
struct ShareBench {
    bench: support::PoolBench,
    running: Vec<order::StartOrder>,
    n_ends: Vec<u64>,
    /// The jobs as submitted.
    rows: BTreeMap<ids::GraphId, model::GraphRow>,
}

impl ShareBench {
    fn new(n_workers: usize, scheduling: model::SchedulingSettings) -> ShareBench {
        let bench = support::PoolBench::with_scheduling(n_workers, scheduling);
        ShareBench { bench, running: Vec::new(), n_ends: vec![0; n_workers], rows: BTreeMap::new() }
    }

    fn admit(&mut self, account: &str, step: model::GraphStep) -> ids::GraphId {
        let graph = self.rows.len() as ids::GraphId + 1;
        let row = model::GraphRow { account: Some(account.to_owned()), ..support::job(1, step) };
        self.bench.admit(graph, row.clone());
        self.rows.insert(graph, row);
        graph
    }

    /// Runs a round 100 ms later and returns the jobs of the tasks that start.
    fn round(&mut self) -> Vec<ids::GraphId> {
        self.bench.advance(100);
        self.bench.core.set_wall_time(self.bench.now);
        for worker in 0..self.n_ends.len() {
            self.answer_poll_of(worker, &[]);
        }
        let starts = self.bench.run_round_and_start();
        self.bench.save();
        let graphs = starts.iter().map(|it| it.task.graph).collect();
        self.running.extend(starts);
        graphs
    }

    fn rounds(&mut self, n: usize) {
        for _ in 0..n {
            self.round();
        }
    }

    /// Completes the oldest run, and returns the jobs of the tasks that start in its place.
    fn complete_one(&mut self) -> Vec<ids::GraphId> {
        let done = self.running.remove(0);
        self.end(&done);
        self.round()
    }

    /// Completes all runs, and returns the jobs of the tasks that start in their place.
    fn complete_all(&mut self) -> Vec<ids::GraphId> {
        while !self.running.is_empty() {
            let done = self.running.remove(0);
            self.end(&done);
        }
        self.round()
    }

    fn end(&mut self, done: &order::StartOrder) {
        let worker = support::index_of(&done.worker);
        self.n_ends[worker] += 1;
        let end = support::listed_end(self.n_ends[worker], done, order::EndKind::Done);
        self.answer_poll_of(worker, &[end]);
    }

    fn complete(&mut self, n: usize) -> Vec<ids::GraphId> {
        (0..n).flat_map(|_| self.complete_one()).collect()
    }

    fn answer_poll_of(&mut self, worker: usize, ended: &[order::ListedEnd]) {
        let on_it = self.running.iter().filter(|it| support::index_of(&it.worker) == worker);
        let percent = |it: &order::StartOrder| {
            1 + (self.bench.now.saturating_sub(it.ordered_at).as_secs() as u32).min(90)
        };
        let running = on_it.map(|it| support::listed_run(it, percent(it))).collect::<Vec<_>>();
        self.bench.answer_poll(worker, &running, ended);
    }

    /// Number of started tasks that belong to an account.
    fn count(&self, started: &[ids::GraphId], account: &str) -> usize {
        started.iter().filter(|it| self.rows[it].account.as_deref() == Some(account)).count()
    }
}

/// Four workers full of work of one account, and a backlog of it that waits.
fn flooded(scheduling: model::SchedulingSettings) -> ShareBench {
    let mut bench = full(scheduling);
    for _ in 0..12 {
        bench.admit("large", support::tasks(8));
    }
    bench.round();
    bench
}

/// Four workers full of work of one account.
fn full(scheduling: model::SchedulingSettings) -> ShareBench {
    let mut bench = ShareBench::new(4, scheduling);
    bench.admit("large", support::tasks(32));
    // Some workers are kept empty for urgent work until the job has waited for its slack.
    bench.rounds(120);
    assert_eq!(bench.running.len(), 32);
    bench
}

/// Failure: the jobs of an account waited behind the backlog of another that sent ten times as much.
#[test]
fn a_small_account_does_not_wait_behind_a_backlog() {
    for (scheduling, n_expected) in [(in_order_of_age(), 0), (fair(), 4)] {
        let mut bench = flooded(scheduling);
        bench.admit("small", support::tasks(4));
        bench.round();
        let started = bench.complete(4);
        assert_eq!(bench.count(&started, "small"), n_expected);
    }
}

/// Failure: an account that comes back after it was idle takes the pool for as long as the others had it.
#[test]
fn an_idle_account_earns_no_claim_to_the_whole_pool() {
    let mut bench = flooded(fair());
    for _ in 0..12 {
        bench.admit("returning", support::tasks(8));
    }
    bench.round();
    let started = bench.complete(64);
    let n_returning = bench.count(&started, "returning");
    let n_started = started.len();
    assert!(5 * n_returning >= 2 * n_started, "{n_returning} of {n_started}");
    assert!(3 * n_returning <= 2 * n_started, "{n_returning} of {n_started}");
}

/// Failure: the starts of a round count only in the next one, so that one account takes all that came free.
#[test]
fn one_account_does_not_take_a_whole_round() {
    let mut bench = full(fair());
    for account in ["large", "large", "large", "large", "small-a", "small-a", "small-a", "small-b"]
    {
        bench.admit(account, support::tasks(4));
    }
    bench.round();
    let started = bench.complete_all();
    let counts = ["large", "small-a", "small-b"].map(|it| bench.count(&started, it));
    assert_eq!(counts, [8, 12, 4]);
}

/// Failure: work of an account above its share is stopped for the sake of fairness, or its gang starts in part.
#[test]
fn a_gang_of_an_account_above_its_share_is_not_broken_up() {
    let mut bench = flooded(fair());
    let gang = bench.admit("large", support::gang(support::tasks(8)));
    let mut n_started = 0;
    while !bench.running.is_empty() {
        bench.admit("small", support::tasks(1));
        bench.bench.advance(100);
        let done = bench.running.remove(0);
        bench.end(&done);
        bench.bench.core.run_round(bench.bench.now);
        let orders = bench.bench.core.take_orders();
        assert_eq!(support::stops(&orders), []);
        let starts = support::starts(&orders);
        starts.iter().for_each(|it| bench.bench.confirm_start(it));
        let n = starts.iter().filter(|it| it.task.graph == gang).count();
        assert!(n == 0 || n == 8, "{n}");
        n_started += n;
        bench.running.extend(starts);
        if n_started > 0 {
            return;
        }
    }
    panic!("the gang does not start");
}

/// Failure: while others keep sending work, a job of an account above its share never gets its turn. It may be
/// put back for three times its slack, which is 10 s in a class without objective.
#[test]
fn a_job_is_not_put_back_for_ever() {
    let mut bench = ShareBench::new(2, fair());
    for account in ["large", "small"] {
        bench.admit(account, support::whole_workers(1));
        bench.rounds(120);
    }
    assert_eq!(bench.running.len(), 2);
    let put_back = bench.admit("large", support::whole_workers(1));
    bench.round();
    let mut n_rounds = 1;
    while bench.running.iter().all(|it| it.task.graph != put_back) {
        // The first run, which is of the large account, goes on.
        bench.admit("small", support::whole_workers(1));
        let done = bench.running.remove(1);
        bench.end(&done);
        bench.round();
        n_rounds += 1;
        assert!(n_rounds <= 310, "the job does not start");
    }
    assert!(n_rounds >= 290, "{n_rounds}");
}

/// Failure: after a takeover the order depends on what only the former scheduler knew. The new one derives it
/// from the runs that the workers list.
#[test]
fn use_is_derived_from_the_listed_runs_after_a_takeover() {
    let mut before = flooded(fair());
    before.admit("small", support::tasks(4));
    before.round();
    let now = before.bench.now;
    let mut after = support::PoolBench::unanswered(4, now + Duration::from_secs(7), fair());
    after.now = now;
    for (graph, row) in &before.rows {
        after.inherit(*graph, row.clone(), before.bench.saved.get(graph).cloned());
    }
    let mut bench = ShareBench { bench: after, ..before };
    bench.rounds(3);
    let started = bench.complete(4);
    assert_eq!((bench.count(&started, "small"), started.len()), (4, 4));
}

/// Failure: the memory of accounts grows with every account that ever had work.
#[test]
fn idle_accounts_are_forgotten() {
    let mut uses = fair_share::AccountUses::default();
    let upstream = "analysis".to_owned();
    let mut most = 0;
    for second in 0..2_000 {
        uses.clear();
        uses.offer(&upstream, support::CAPACITY);
        let per_task = resources::Resources::of_step(&support::tasks(1));
        uses.hold(&upstream, &Some(format!("account-{second}")), per_task, 4);
        uses.finish(Duration::from_secs(second));
        most = most.max(uses.n_accounts());
    }
    assert!(most <= 64, "{most}");
}

/// Failure: the order changes although there is no shortage. A class that waits for capacity that is kept empty
/// in a pool that is hardly in use keeps the order of age.
#[test]
fn without_a_shortage_the_order_is_that_of_age() {
    for scheduling in [in_order_of_age(), fair()] {
        let mut bench = ShareBench::new(8, scheduling);
        bench.admit("large", support::whole_workers(2));
        assert_eq!(bench.round(), [1, 1]);
        bench.admit("large", support::whole_workers(1));
        bench.admit("small", support::whole_workers(1));
        assert_eq!(bench.round(), [2, 3]);
    }
}

fn urgent_class(load: f64) -> load_simulation::LoadClass {
    load_simulation::LoadClass {
        priority: 0,
        per_second: 1.2 * load.min(2.0),
        tasks: (1, 6),
        accelerators: &[1, 2, 4, 8],
        other_resources: resources::Resources {
            cpu_milli: 3_700,
            memory_mb: 7_000,
            accelerators: 0,
        },
        gang: true,
        same_rack: true,
        run: Duration::from_millis(2_500),
        stretch: 1.5,
        target: Duration::from_millis(300),
    }
}

/// Urgent gangs, gangs of the middle class and single tasks: `load` times as much work as the pool can do, of
/// which urgent work is at most two fifths of the pool, so that something is left for the others.
fn classes(load: f64) -> Vec<load_simulation::LoadClass> {
    let urgent = urgent_class(load);
    let gangs = load_simulation::LoadClass {
        priority: 1,
        per_second: 0.5 * load,
        tasks: (1, 7),
        accelerators: &[2, 4, 8],
        run: Duration::from_millis(6_800),
        stretch: 3.0,
        target: Duration::from_secs(1),
        ..urgent.clone()
    };
    let small = load_simulation::LoadClass {
        priority: 2,
        per_second: 0.9 * load,
        tasks: (4, 28),
        accelerators: &[1],
        gang: false,
        same_rack: false,
        run: Duration::from_millis(6_100),
        stretch: 3.0,
        target: Duration::from_secs(3),
        ..urgent.clone()
    };
    vec![urgent, gangs, small]
}

fn accounts() -> Vec<load_simulation::LoadAccount> {
    let account = |name, weight| load_simulation::LoadAccount { name, weight };
    vec![
        account("large", LARGE_WEIGHT),
        account("small-a", 1.0),
        account("small-b", 1.0),
        account("small-c", 1.0),
        account("small-d", 1.0),
    ]
}

/// Tallies of the load over several seeds, by class and account.
fn tallies(load: f64, scheduling: &model::SchedulingSettings) -> load_simulation::AccountTallies {
    let mut sums = load_simulation::AccountTallies::new();
    // Rounds of a pool with a long backlog are slow.
    let n_seeds = (6.0 / load).clamp(2.0, 6.0) as u64;
    for seed in 1..=n_seeds {
        let account_load = load_simulation::AccountLoad {
            accounts: vec![accounts(); 3],
            guaranteed: [("small-a".to_owned(), 64)].into(),
            scheduling: scheduling.clone(),
        };
        let tallies =
            load_simulation::simulate_accounts(N_WORKERS, &classes(load), account_load, 80, seed);
        for (key, tally) in tallies {
            let sum = sums.entry(key).or_default();
            sum.n_counted += tally.n_counted;
            sum.in_time += tally.in_time;
            sum.longest_wait = sum.longest_wait.max(tally.longest_wait);
        }
    }
    sums
}

/// Percentage of the jobs of a class in time, of one account or of all accounts with a name that begins so.
fn percent(tallies: &load_simulation::AccountTallies, class: usize, account: &str) -> u32 {
    let chosen = tallies.iter().filter(|((it, name), _)| *it == class && name.starts_with(account));
    let sums = chosen.fold((0, 0), |(done, all), (_, it)| (done + it.in_time, all + it.n_counted));
    100 * sums.0 / sums.1.max(1)
}

/// What the fair order has to achieve under a load, in percentage points of jobs in time.
#[derive(Clone, Copy, Debug)]
struct FairGoal {
    /// The class for which the accounts compete most.
    class: usize,
    /// Least gain of the accounts that ask for little, in that class.
    least_gain: u32,
    /// Most that any class may lose over all accounts.
    most_lost: u32,
}

/// Failure: under overload, the accounts that ask for little get as small a part of it as the account that sends
/// most, or the fair order costs the class more than it gives. Work within a guarantee starts within the
/// reclaim bound.
fn check_load(load: f64, goal: FairGoal) {
    let (off, on) = (tallies(load, &in_order_of_age()), tallies(load, &fair()));
    for class in 0..3 {
        let of = |it| ["large", "small", ""].map(|account| percent(it, class, account));
        let ([.., small_off, all_off], [.., small_on, all_on]) = (of(&off), of(&on));
        println!("load {load}, class {class}: off {:?}, on {:?}", of(&off), of(&on));
        assert!(all_on + goal.most_lost >= all_off, "class {class}: {all_off} {all_on}");
        assert!(small_on + 2 >= small_off, "class {class}: {small_off} {small_on}");
        if class == goal.class {
            assert!(small_on >= small_off + goal.least_gain, "{small_off} {small_on}");
        }
    }
    let longest_wait = on[&(0, "small-a")].longest_wait;
    println!("load {load}: the guaranteed account waited at most {longest_wait:?}");
    assert!(longest_wait <= timing::PoolTiming::default().reclaim, "{longest_wait:?}");
}

macro_rules! loads {
    ($($name:ident: $load:expr => $goal:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check_load($load, $goal);
            }
        )*
    };
}

// On a full pool, the order of age is nearly that of the deadlines, so that another order makes some jobs late.
loads! {
    small_accounts_are_served_on_a_full_pool:
        1.0 => FairGoal { class: 2, least_gain: 5, most_lost: 6 };
    small_accounts_are_served_at_twice_the_load:
        2.0 => FairGoal { class: 1, least_gain: 15, most_lost: 2 };
    small_accounts_are_served_at_four_times_the_load:
        4.0 => FairGoal { class: 1, least_gain: 15, most_lost: 2 };
}

/// Failure: the fair order changes what happens in a pool that has capacity for all.
#[test]
fn nothing_changes_at_a_quarter_of_the_load() {
    assert_eq!(tallies(0.25, &fair()), tallies(0.25, &in_order_of_age()));
}
