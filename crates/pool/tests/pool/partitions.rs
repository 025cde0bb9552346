//! The store and some of the workers are out of reach of the tenure holder, and within reach of another instance.

use std::time::Duration;

use almondpass_graph::{lease_clock, timing};
use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use almondpass_standin::fault;
use tokio::time::{self, Instant};

use crate::support;

/// Time between the cut of a worker and that of the store. The holder renews its tenure meanwhile, so that it may
/// still give orders when it counts the lease as lapsed.
const STORE_CUT_DELAY: Duration = Duration::from_millis(600);

/// Time after the cut of the store by which the former holder can give no orders any more.
const ORDERS_END_WITHIN: Duration = Duration::from_millis(8_000);

/// Time within which a store that is back has renewed the tenure.
const RENEWED_WITHIN: Duration = Duration::from_secs(1);

/// Time within which lost runs start again once their lease has lapsed and the tenure is renewed.
const RESTARTED_WITHIN: Duration = Duration::from_secs(1);

const SOON: Duration = Duration::from_secs(30);

/// A pool of two instances and two workers on both of which a job may run.
struct SplitPool {
    bench: support::PoolBench,
    holder: usize,
    successor: usize,
    /// The worker that runs the job's first task; the successor reaches it and the holder does not.
    successor_worker: ids::WorkerId,
    /// The worker that the holder reaches and the successor does not.
    holder_worker: ids::WorkerId,
}

impl SplitPool {
    /// Cuts the holder off from its peer, the store and the worker of job 1, and the successor off from the other
    /// worker. Job 1 has 8 tasks that run for `task_ms`.
    async fn start(task_ms: u64) -> SplitPool {
        let bench = support::PoolBench::start(2, 2).await;
        let (holder, successor) = (bench.holder(), bench.non_holder());
        bench.submit(holder, 1, support::job(8, task_ms)).await;
        time::sleep(Duration::from_secs(1)).await;
        let [first, second] = [0, 1].map(support::worker_id);
        let runs_there = bench.fleet.running().iter().any(|(worker, _)| *worker == first);
        let (successor_worker, holder_worker) =
            if runs_there { (first, second) } else { (second, first) };
        let pool = SplitPool { bench, holder, successor, successor_worker, holder_worker };
        pool.split().await;
        pool
    }

    async fn split(&self) {
        let instances = &self.bench.instances;
        self.bench.cut_from_peers(self.holder, instances.iter().map(|it| it.address.as_str()));
        let dropping = fault::Condition::Dropping;
        instances[self.holder].path_faults(&self.successor_worker).set(dropping);
        instances[self.successor].path_faults(&self.holder_worker).set(dropping);
        time::sleep(STORE_CUT_DELAY).await;
        instances[self.holder].store_faults.set(dropping);
    }

    /// Waits until the former holder can give no orders, ends the partition, and checks the runs once the job is
    /// done.
    async fn assert_runs_once(&self) {
        time::sleep(ORDERS_END_WITHIN).await;
        assert!(self.bench.instances[self.successor].state.leader().is_some());
        let instances = &self.bench.instances;
        let addresses = instances.iter().map(|it| it.address.as_str()).collect::<Vec<_>>();
        self.bench.net.partition(&addresses[..1], &addresses[1..], fault::Condition::Up);
        for instance in instances {
            instance.store_faults.set(fault::Condition::Up);
            for worker in [&self.successor_worker, &self.holder_worker] {
                instance.path_faults(worker).set(fault::Condition::Up);
            }
        }
        self.bench.await_state(self.successor, 1, model::GraphState::Completed, SOON).await;
        // The check sees a run only once it has ended.
        time::sleep(SOON).await;
        assert_eq!(self.bench.fleet.n_running(), 0);
        self.bench.assert_nothing_ran_twice();
    }
}

/// Guards against two runs at once of a task: a holder without the store counts the lease of a worker that it does not
/// reach as lapsed, while its successor extends this lease.
#[test]
fn a_holder_without_the_store_starts_nothing_again_that_its_successor_keeps_running() {
    support::run(async {
        SplitPool::start(20_000).await.assert_runs_once().await;
    });
}

/// Guards against a start after an acknowledged success: the task has ended on a worker that a holder without the
/// store does not reach, and its successor has acknowledged the end.
#[test]
fn a_holder_without_the_store_starts_nothing_again_that_its_successor_knows_as_done() {
    support::run(async {
        // The tasks end between the takeover and the time at which the former holder counts the lease as lapsed.
        SplitPool::start(5_200).await.assert_runs_once().await;
    });
}

/// An outage of the store at all instances, during which a worker is lost.
#[derive(Clone, Copy, Debug)]
struct LossAmidOutage {
    n_instances: usize,
    /// From the crash of the worker to the beginning of the outage.
    crashed_before: Duration,
    outage: Duration,
}

impl LossAmidOutage {
    async fn assert_lost_runs_restart(self) {
        let bench = support::PoolBench::start(self.n_instances, 2).await;
        let holder = bench.holder();
        bench.submit(holder, 1, support::job(4, 20_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        let (lost_worker, _) = bench.fleet.running().into_iter().next().expect("a run");
        let crashed_at = Instant::now();
        bench.fleet.crash(&lost_worker).expect("a worker");
        time::sleep(self.crashed_before).await;
        bench.instances.iter().for_each(|it| it.store_faults.set(fault::Condition::Dropping));
        time::sleep(self.outage).await;
        let back_at = Instant::now();
        let seen = tenure_version(&bench);
        bench.instances.iter().for_each(|it| it.store_faults.set(fault::Condition::Up));
        while tenure_version(&bench) == seen {
            assert!(back_at.elapsed() <= RENEWED_WITHIN, "the tenure is not renewed");
            time::sleep(Duration::from_millis(10)).await;
        }
        let renewed_at = Instant::now();
        let lease = lease_clock::max_local_span(timing::PoolTiming::default().lease);
        let due = renewed_at.max(crashed_at + lease) + RESTARTED_WITHIN;
        time::sleep_until(due).await;
        assert!(bench.instances[holder].state.leader().is_some(), "the holder has remained");
        assert_eq!(bench.fleet.n_running(), 4, "runs {:?} after the crash", crashed_at.elapsed());
        bench.await_state(holder, 1, model::GraphState::Completed, SOON).await;
        bench.assert_nothing_ran_twice();
    }
}

fn tenure_version(bench: &support::PoolBench) -> Option<ids::RowVersion> {
    bench.store.peek(&keys::pool_tenure()).first().map(|it| it.version)
}

macro_rules! losses_amid_outages {
    ($($(#[$doc:meta])* $name:ident: $loss:expr;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            support::run($loss.assert_lost_runs_restart());
        })*
    };
}

losses_amid_outages! {
    /// Guards against lost runs that wait on after an outage of the store: their lease lapses once the tenure is
    /// renewed.
    lost_runs_start_again_when_their_lease_lapses_after_an_outage: LossAmidOutage {
        n_instances: 3,
        crashed_before: Duration::ZERO,
        outage: Duration::from_secs(4),
    };
    /// Guards against lost runs that wait on after an outage of the store: their lease lapses while the holder is
    /// without the store.
    lost_runs_start_again_when_their_lease_lapses_during_an_outage: LossAmidOutage {
        n_instances: 3,
        crashed_before: Duration::from_millis(3_500),
        outage: Duration::from_secs(4),
    };
    /// Guards against lost runs that wait for another instance that does not exist.
    lost_runs_start_again_after_an_outage_at_the_only_instance: LossAmidOutage {
        n_instances: 1,
        crashed_before: Duration::from_millis(3_500),
        outage: Duration::from_secs(4),
    };
    /// Guards against lost runs that wait on after an outage that outlasts all orders of the holder.
    lost_runs_start_again_after_an_outage_that_outlasts_the_orders: LossAmidOutage {
        n_instances: 3,
        crashed_before: Duration::from_millis(1_000),
        outage: Duration::from_secs(10),
    };
}
