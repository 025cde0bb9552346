//! The holder of the tenure stops, and another instance takes over.

use std::num::NonZeroU32;
use std::time::Duration;

use almondpass_graph::order;
use almondpass_peer::call::PeerCall;
use almondpass_peer::codec;
use almondpass_peer::link::PeerLink;
use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::keys;
use almondpass_schema::model;
use almondpass_standin::{fault, pool_fleet, pool_worker, table};
use tokio::time::{self, Instant};

use crate::support;

const SOON: Duration = Duration::from_secs(30);

/// Upper bound for a lease: tasks of a scheduler that has ended stop within this time.
const LEASE_BOUND: Duration = Duration::from_millis(7_200);
/// More reads than a successor makes in any of these tests.
const MAX_READS: u64 = 400;

/// Tables that a successor reads concurrently.
const N_CONCURRENT_READS: u64 = 4;

/// Tasks continue through the takeover, and none starts twice.
#[test]
fn tasks_outlive_the_scheduler_that_started_them() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        bench.submit(0, 1, support::job(8, 5_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        let holder = bench.holder();
        bench.kill(holder).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        bench.assert_nothing_ran_twice();
        assert_eq!(bench.fleet.records().len(), 8);
    });
}

/// An accepted job is not lost when all instances are killed.
#[test]
fn a_job_outlives_all_instances() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        let accepted = bench.submit(0, 1, support::job(3, 2_000)).await;
        assert_eq!(accepted, model::SubmitOutcome::Accepted);
        let mut addresses = Vec::new();
        while !bench.instances.is_empty() {
            addresses.push(bench.kill(0).await);
        }
        time::sleep(Duration::from_secs(1)).await;
        for address in addresses {
            bench.start_instance(&address);
        }
        time::sleep(Duration::from_secs(1)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        bench.assert_nothing_ran_twice();
    });
}

/// Guards against scheduling that began 0.8 s after the instances were up again after a power loss of all of
/// them: the former holder's machine reads the tenure's row before it has read the configuration. Without a
/// configuration it waited for its next regular read of the row.
#[test]
fn a_restarted_holder_schedules_at_once() {
    support::run(async {
        let mut bench = support::PoolBench::start(1, 2).await;
        let address = bench.kill(0).await;
        time::sleep(Duration::from_secs(1)).await;
        bench.store.faults().set(fault::Condition::Slow(Duration::from_millis(5)));
        bench.start_instance(&address);
        time::sleep(Duration::from_millis(100)).await;
        assert!(bench.instances[0].state.leader().is_some());
    });
}

/// Guards against a restart of all instances after which the former holder's machine leaves the tenure to others,
/// although it had scheduled.
#[test]
fn a_holder_that_has_scheduled_schedules_at_once_after_a_restart_of_all() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        let holder_address = bench.instances[bench.holder()].address.clone();
        let mut addresses = Vec::new();
        while !bench.instances.is_empty() {
            addresses.push(bench.kill(0).await);
        }
        time::sleep(Duration::from_secs(1)).await;
        for address in &addresses {
            bench.start_instance(address);
        }
        time::sleep(Duration::from_millis(400)).await;
        let holder = bench.holder();
        assert_eq!(bench.instances[holder].address, holder_address);
    });
}

/// The tenure's row.
fn tenure_row(bench: &support::PoolBench) -> Option<model::PoolTenure> {
    let row = bench.store.peek(&keys::pool_tenure()).into_iter().next()?;
    codec::decode(&row.value?).ok()
}

/// Starts an instance at `address` again and again, and kills it each time it has acquired the tenure and reads
/// the tables, until another instance schedules or `n_kills` is reached. Returns how often it was killed.
async fn kill_while_it_reads(
    bench: &mut support::PoolBench,
    address: &str,
    strength_milli: u32,
    n_kills: u32,
) -> u32 {
    let is_scheduling = |it: &support::BenchInstance| it.state.leader().is_some();
    let mut n_killed = 0;
    while n_killed < n_kills {
        let index = bench.start_instance_with_strength(address, strength_milli);
        let instance = bench.instances[index].state.settings.instance.clone();
        let slow = fault::Condition::Slow(Duration::from_millis(40));
        bench.instances[index].store_faults.set(slow);
        let has_acquired =
            |it: &support::PoolBench| tenure_row(it).is_some_and(|it| it.holder == instance);
        while !has_acquired(bench) {
            if bench.instances[..index].iter().any(is_scheduling) {
                return n_killed;
            }
            time::sleep(Duration::from_millis(5)).await;
        }
        assert!(bench.instances[index].state.leader().is_none(), "the tables are still read");
        bench.kill(index).await;
        n_killed += 1;
    }
    n_killed
}

/// Guards against a deployment in which nothing runs any more: the holder is killed each time it reads the tables,
/// as by a lack of memory, starts again, and acquires the tenure before any other instance may.
#[test]
fn an_instance_that_is_killed_while_it_reads_leaves_the_tenure_to_others() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        let address = bench.kill(bench.holder()).await;
        let killed_at = Instant::now();
        let n_killed = kill_while_it_reads(&mut bench, &address, 250, 30).await;
        assert!(n_killed <= 2, "killed {n_killed} times");
        assert!(killed_at.elapsed() <= Duration::from_secs(4), "{:?}", killed_at.elapsed());
        bench.submit(0, 1, support::job(1, 500)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
    });
}

/// Guards against the same where the others are weaker, and leave a free tenure to stronger instances for a while.
#[test]
fn a_strong_instance_that_is_killed_while_it_reads_leaves_the_tenure_to_weaker_ones() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 2).await;
        let strong = bench.start_instance_with_strength("10.0.0.9:7000", 1_000);
        time::sleep(Duration::from_secs(40)).await;
        assert_eq!(bench.holder(), strong);
        let address = bench.kill(strong).await;
        let killed_at = Instant::now();
        let n_killed = kill_while_it_reads(&mut bench, &address, 1_000, 30).await;
        assert!(n_killed <= 4, "killed {n_killed} times");
        assert!(killed_at.elapsed() <= Duration::from_secs(12), "{:?}", killed_at.elapsed());
    });
}

/// Guards against an instance that never acquires the tenure again, as none of its earlier processes has scheduled:
/// there is no other instance, and what killed it is gone.
#[test]
fn an_instance_without_others_acquires_the_tenure_in_the_end() {
    support::run(async {
        let mut bench = support::PoolBench::start(1, 2).await;
        let address = bench.kill(0).await;
        assert_eq!(kill_while_it_reads(&mut bench, &address, 250, 8).await, 8);
        let started_at = Instant::now();
        bench.start_instance(&address);
        while bench.instances[0].state.leader().is_none() {
            assert!(started_at.elapsed() <= SOON, "not acquired");
            time::sleep(Duration::from_millis(50)).await;
        }
        // The next restart is that of an instance that has scheduled.
        time::sleep(Duration::from_secs(2)).await;
        let address = bench.kill(0).await;
        bench.start_instance(&address);
        time::sleep(Duration::from_millis(400)).await;
        assert!(bench.instances[0].state.leader().is_some());
    });
}

/// Guards against jobs that had not started yet and waited for 13 s after a power loss of all instances: a
/// worker has left, and all instances stop and restart. The successor waited for everything that might run on
/// the worker, although the earlier holder knew that nothing did.
#[test]
fn a_worker_that_has_left_holds_up_no_successor() {
    support::run(async {
        let mut bench = support::PoolBench::start(1, 2).await;
        bench.drain_worker(1).await;
        bench.submit(0, 1, support::job(8, 60_000)).await;
        bench.submit(0, 2, support::job(1, 500)).await;
        time::sleep(Duration::from_secs(3)).await;
        bench.fleet.faults(&support::worker_id(1)).set(fault::Condition::Dropping);
        bench.remove(&support::entry_key(1)).await;
        time::sleep(Duration::from_secs(1)).await;
        assert_waiting_job_starts(&mut bench, Duration::from_secs(2)).await;
    });
}

/// The earlier process at the instance's own address has ended, so its orders bound only the lease.
#[test]
fn an_unreachable_worker_holds_up_a_restarted_holder_for_its_lease() {
    support::run(async {
        let mut bench = support::PoolBench::start(1, 2).await;
        bench.submit(0, 1, support::job(16, 60_000)).await;
        bench.submit(0, 2, support::job(1, 500)).await;
        time::sleep(Duration::from_secs(3)).await;
        bench.fleet.faults(&support::worker_id(1)).set(fault::Condition::Dropping);
        assert_waiting_job_starts(&mut bench, Duration::from_secs(8)).await;
    });
}

/// Kills and restarts the only instance. Job 1 is cancelled, and job 2, which waits for its resources, has to
/// end within `limit`.
async fn assert_waiting_job_starts(bench: &mut support::PoolBench, limit: Duration) {
    let address = bench.kill(0).await;
    time::sleep(Duration::from_secs(1)).await;
    bench.start_instance(&address);
    time::sleep(Duration::from_millis(200)).await;
    bench.cancel(0, 1).await;
    bench.await_state(0, 2, model::GraphState::Completed, limit).await;
    bench.assert_nothing_ran_twice();
}

/// A worker that the new scheduler can't reach may run any task that is not found elsewhere: the scheduler
/// waits for the lease there.
#[test]
fn nothing_starts_elsewhere_while_an_unreachable_worker_may_run_it() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        bench.submit(0, 1, support::job(12, 30_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        let holder = bench.holder();
        bench.fleet.faults(&support::worker_id(0)).set(fault::Condition::Dropping);
        bench.kill(holder).await;
        time::sleep(Duration::from_secs(45)).await;
        bench.fleet.faults(&support::worker_id(0)).set(fault::Condition::Up);
        time::sleep(Duration::from_secs(45)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        bench.assert_nothing_ran_twice();
    });
}

/// A holder that is cut off from the store alone goes on until another instance reaches the workers; from
/// then on its orders have no effect.
#[test]
fn a_holder_without_the_store_is_fenced_at_the_workers() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        bench.submit(0, 1, support::job(8, 4_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        let old = bench.holder();
        bench.instances[old].store_faults.set(fault::Condition::Dropping);
        time::sleep(Duration::from_secs(6)).await;
        let holders = bench.instances.iter().filter(|it| it.state.leader().is_some()).count();
        assert_eq!(holders, 1);
        assert!(bench.instances[old].state.leader().is_none());
        let other = (old + 1) % 3;
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
        bench.assert_nothing_ran_twice();
    });
}

/// A holder that is asked to leave releases the tenure, and another instance acquires it at its next read of
/// the row.
#[test]
fn a_leaving_holder_hands_over_at_once() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let old = bench.holder();
        bench.instances[old].state.shutdown.cancel();
        time::sleep(Duration::from_millis(1_000)).await;
        assert_ne!(bench.holder(), old);
    });
}

/// Guards against instances that acquire the tenure one after the other, none of which begins to schedule:
/// the holder is killed, and its successor's reads of the tables take longer than the term. The successor did
/// not renew the tenure before it had read them.
#[test]
fn a_successor_keeps_the_tenure_while_it_reads() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        bench.submit(0, 1, support::job(8, 5_000)).await;
        let holder = bench.holder();
        let epoch = bench.instances[holder].state.leader().expect("a tenure").epoch;
        bench.kill(holder).await;
        for instance in &bench.instances {
            for nth in 1..=2 * N_CONCURRENT_READS {
                instance.store_faults.inject_nth(
                    table::SNAPSHOT_STEP,
                    nth,
                    fault::Fault::RequestLost,
                );
            }
        }
        time::sleep(Duration::from_secs(9)).await;
        let leader = bench.instances[bench.holder()].state.leader().expect("a tenure");
        assert_eq!(leader.epoch, epoch + 1);
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        bench.assert_nothing_ran_twice();
    });
}

/// The answer to a start is lost although the task runs: a poll finds the task, and it is not started again.
#[test]
fn a_start_without_answer_is_settled_by_a_poll() {
    support::run(async {
        let bench = support::PoolBench::start(1, 1).await;
        let faults = bench.fleet.faults(&support::worker_id(0));
        faults.inject_next(pool_fleet::START, fault::Fault::AnswerLost);
        bench.submit(0, 1, support::job(1, 2_000)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        let records = bench.fleet.records();
        assert_eq!(
            records.iter().map(|it| it.end_kind).collect::<Vec<_>>(),
            [order::EndKind::Done]
        );
    });
}

/// A start that is executed seconds late, when its task has been running elsewhere for a long time, is
/// refused.
#[test]
fn a_late_start_is_refused() {
    support::run(async {
        let bench = support::PoolBench::start(1, 2).await;
        for worker in 0..2 {
            let late = fault::Fault::DelayedEffect(Duration::from_secs(4));
            bench.fleet.faults(&support::worker_id(worker)).inject_next(pool_fleet::START, late);
        }
        bench.submit(0, 1, support::job(1, 1_000)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        time::sleep(Duration::from_secs(8)).await;
        bench.assert_nothing_ran_twice();
    });
}

/// An accepted job is found although its nudge was lost and the store dropped its history at the same time.
#[test]
fn a_job_is_found_although_the_history_is_gone() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let (holder, other) = (bench.holder(), bench.non_holder());
        let from = bench.instances[other].address.clone();
        let to = bench.instances[holder].address.clone();
        bench.net.partition(&[&from], &[&to], fault::Condition::Refusing);
        bench.submit(other, 1, support::job(1, 500)).await;
        bench.store.forget_history();
        bench.await_state(other, 1, model::GraphState::Completed, SOON).await;
    });
}

/// Guards against accepted jobs that wait longer than a lease for the orders of a former scheduler because
/// one worker is dead.
#[test]
fn a_dead_worker_holds_up_accepted_jobs_no_longer_than_its_lease() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 16).await;
        bench.start_heartbeats();
        let holder = bench.holder();
        bench.crash_worker(0, support::RestartMode::Never, Duration::ZERO);
        let address = bench.kill(holder).await;
        let accepted = bench.submit(0, 1, support::job(2, 1_000)).await;
        assert_eq!(accepted, model::SubmitOutcome::Accepted);
        // Another instance has taken over by then.
        time::sleep(Duration::from_secs(3)).await;
        assert!(bench.latest_holder().is_some());
        bench.start_instance(&address);
        time::sleep(LEASE_BOUND).await;
        assert_eq!(bench.fleet.running().len(), 2);
    });
}

/// Guards against a restarted process that reads late that its predecessor at the same address held the
/// tenure, and only then begins to count the wait for the predecessor's orders.
#[test]
fn a_restarted_holder_counts_the_lease_from_its_own_start() {
    support::run(async {
        let mut bench = support::PoolBench::start(1, 16).await;
        bench.start_heartbeats();
        let accepted = bench.submit(0, 1, support::job(2, 20_000)).await;
        assert_eq!(accepted, model::SubmitOutcome::Accepted);
        time::sleep(Duration::from_secs(1)).await;
        let silent = bench.fleet.running().into_iter().map(|(worker, _)| worker);
        for worker in silent {
            bench.crash_worker(
                support::index_of(&worker),
                support::RestartMode::Never,
                Duration::ZERO,
            );
        }
        let address = bench.kill(0).await;
        bench.start_instance(&address);
        bench.instances[0].store_faults.set(fault::Condition::Refusing);
        time::sleep(Duration::from_secs(3)).await;
        bench.instances[0].store_faults.set(fault::Condition::Up);
        time::sleep(LEASE_BOUND - Duration::from_secs(3)).await;
        assert_eq!(bench.fleet.running().len(), 2);
    });
}

/// Guards against a tenure that continues although its successor received the answer that it has ended, and
/// against one that continues but is reported as ended.
#[test]
fn a_former_tenure_ends_when_its_successor_asks() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 2).await;
        let asker = bench.net.link("10.9.9.9:7000");
        let holder = bench.holder();
        let instance = bench.instances[holder].state.settings.instance.clone();
        let epoch = bench.instances[holder].state.leader().map_or(0, |it| it.epoch);
        let address = bench.instances[holder].address.clone();
        let ask = async |epoch| {
            let query = model::TenureQuery { holder: instance.clone(), epoch };
            asker.call(&address, query, Duration::from_secs(1)).await.ok()?.over_for_ms
        };
        assert_eq!(ask(epoch - 1).await, Some(0));
        assert!(bench.instances[holder].state.leader().is_some());
        assert_eq!(ask(epoch).await, Some(0));
        let later = bench.instances[holder].state.leader().filter(|it| it.epoch == epoch);
        assert!(later.is_none_or(|it| it.has_ended()));
        bench.kill(holder).await;
        assert_eq!(ask(epoch).await, None);
        bench.start_instance(&address);
        time::sleep(Duration::from_secs(3)).await;
        assert_eq!(ask(epoch).await, Some(3_001));
    });
}

/// Guards against a tenure that is not served until the next read of the row because the answer to the write
/// that acquired it was lost.
#[test]
fn a_tenure_whose_acquisition_got_no_answer_is_served_at_once() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        let holder = bench.holder();
        bench.kill(holder).await;
        for instance in &bench.instances {
            let step = model::TableTransaction::PATH;
            instance.store_faults.inject_next(step, fault::Fault::AnswerLost);
        }
        let version = || bench.store.peek(&keys::pool_tenure()).first().map(|it| it.version);
        let released_version = version();
        while version() == released_version {
            time::sleep(Duration::from_millis(10)).await;
        }
        time::sleep(Duration::from_millis(300)).await;
        assert!(bench.instances.iter().any(|it| it.state.leader().is_some()));
    });
}

/// Guards against an instance that can write but not read, and acquires the tenure again and again.
#[test]
fn a_tenure_that_can_not_be_served_is_left_to_others() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 2).await;
        bench.kill(bench.holder()).await;
        // Time for one of the instances to acquire the tenure.
        time::sleep(Duration::from_millis(1_500)).await;
        let read_faults = bench.instances[0].store_faults.clone();
        (1..=MAX_READS).for_each(|nth| {
            read_faults.inject_nth(table::SNAPSHOT_STEP, nth, fault::Fault::Refused)
        });
        bench.instances[1].store_faults.set(fault::Condition::Dropping);
        time::sleep(Duration::from_secs(1)).await;
        bench.instances[1].store_faults.set(fault::Condition::Up);
        time::sleep(Duration::from_secs(5)).await;
        assert!(bench.instances[1].state.leader().is_some());
    });
}

/// Guards against a task that runs twice: the write that acquired the tenure from a holder that continues
/// without the store got no answer, and the successor mistook its own row for the row of a holder that has
/// ended.
#[test]
fn a_successor_that_acquires_twice_waits_for_the_earlier_holder() {
    support::run(async {
        let bench = support::PoolBench::start(2, 2).await;
        let (old, successor) = (bench.holder(), bench.non_holder());
        let step = model::TableTransaction::PATH;
        bench.instances[successor].store_faults.inject_next(step, fault::Fault::AnswerLost);
        cut_from_peers(&bench, old);
        assert_successor_waits_for_detached_start(&bench, old, successor).await;
    });
}

/// Guards against a task that runs twice: an instance acquires the tenure from a holder that continues
/// without the store, can't read the tables and releases the tenure, and the next holder assumes that no
/// other instance gives orders to workers.
#[test]
fn a_successor_of_an_unserved_tenure_waits_for_the_earlier_holder() {
    support::run(async {
        let bench = support::PoolBench::start(3, 2).await;
        let old = bench.holder();
        let (between, successor) = ((old + 1) % 3, (old + 2) % 3);
        let read_faults = bench.instances[between].store_faults.clone();
        (1..=MAX_READS).for_each(|nth| {
            read_faults.inject_nth(table::SNAPSHOT_STEP, nth, fault::Fault::Refused)
        });
        bench.instances[successor].store_faults.set(fault::Condition::Dropping);
        cut_from_peers(&bench, old);
        let leaving = bench.instances[between].state.shutdown.clone();
        let successor_store = bench.instances[successor].store_faults.clone();
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(3_500)).await;
            leaving.cancel();
            successor_store.set(fault::Condition::Up);
        });
        assert_successor_waits_for_detached_start(&bench, old, successor).await;
    });
}

/// Guards against a task that runs twice: an instance takes over from a holder that continues without the
/// store, and then the new holder restarts.
#[test]
fn a_restarted_holder_waits_for_the_earlier_holder() {
    support::run(async {
        let mut bench = support::PoolBench::start(2, 2).await;
        let (old, successor) = (bench.holder(), bench.non_holder());
        let [old_address, successor_address] =
            [old, successor].map(|it| bench.instances[it].address.clone());
        bench.net.partition(&[&old_address], &[&successor_address], fault::Condition::Dropping);
        detach(&bench, old).await;
        time::sleep(Duration::from_millis(4_000)).await;
        assert!(bench.instances[successor].state.leader().is_some());
        let address = bench.kill(successor).await;
        bench.start_instance(&address);
        let successor = bench.instances.len() - 1;
        bench.instances[successor].worker_faults.set(fault::Condition::Dropping);
        time::sleep(Duration::from_millis(1_800)).await;
        assert_successor_waits(&bench, successor).await;
    });
}

/// The holder `old` loses the store, and starts a task late at a worker that `successor` does not reach.
/// Checks that the task runs nowhere else until it has certainly ended there.
async fn assert_successor_waits_for_detached_start(
    bench: &support::PoolBench,
    old: usize,
    successor: usize,
) {
    detach(bench, old).await;
    time::sleep(Duration::from_millis(5_800)).await;
    assert_successor_waits(bench, successor).await;
}

/// Cuts instance `index` off from its peers, whose query would otherwise end its tenure.
fn cut_from_peers(bench: &support::PoolBench, index: usize) {
    bench.cut_from_peers(index, bench.instances.iter().map(|it| it.address.as_str()));
}

/// The holder `old` loses the store, with a task to start in 5.4 s, and no other instance reaches the
/// workers.
async fn detach(bench: &support::PoolBench, old: usize) {
    let mut row = support::job(1, 20_000);
    let due = bench.clock.wall() + Duration::from_millis(5_500);
    row.graph.schedule = Some(model::RunSchedule {
        runs: NonZeroU32::MIN,
        first_ms: due.as_millis() as u64,
        interval_ms: 1,
    });
    bench.submit(old, 1, row).await;
    time::sleep(Duration::from_millis(100)).await;
    bench.instances[old].store_faults.set(fault::Condition::Dropping);
    for instance in bench.instances.iter().filter(|it| it.address != bench.instances[old].address) {
        instance.worker_faults.set(fault::Condition::Dropping);
    }
}

/// The worker that has just started a task is cut off, and `successor` reaches the others. Checks that the
/// task runs once, on that worker.
async fn assert_successor_waits(bench: &support::PoolBench, successor: usize) {
    bench.fleet.faults(&support::worker_id(0)).set(fault::Condition::Dropping);
    bench.instances[successor].worker_faults.set(fault::Condition::Up);
    time::sleep(Duration::from_secs(60)).await;
    bench.fleet.faults(&support::worker_id(0)).set(fault::Condition::Up);
    bench.await_state(successor, 1, model::GraphState::Completed, SOON).await;
    assert_eq!(bench.fleet.records()[0].worker, support::worker_id(0));
    bench.assert_nothing_ran_twice();
}

/// Guards against a worker that was found silent long ago but still delays every job that the next holder has
/// not accepted itself.
#[test]
fn a_worker_that_was_found_silent_holds_up_no_successor() {
    support::run(async {
        let mut bench = support::PoolBench::start(3, 3).await;
        bench.submit(0, 1, support::job(6, 60_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        assert_eq!(bench.fleet.n_running(), 6);
        bench.fleet.faults(&support::worker_id(0)).set(fault::Condition::Dropping);
        time::sleep(Duration::from_secs(4)).await;
        let holder = bench.holder();
        bench.kill(holder).await;
        bench.submit(0, 2, support::job(1, 500)).await;
        bench.await_state(0, 2, model::GraphState::Completed, Duration::from_secs(6)).await;
        time::sleep(Duration::from_secs(20)).await;
        bench.fleet.faults(&support::worker_id(0)).set(fault::Condition::Up);
        bench.await_state(0, 1, model::GraphState::Completed, 4 * SOON).await;
        bench.assert_nothing_ran_twice();
        let was_there = |it: &pool_worker::RunRecord| it.worker == support::worker_id(0);
        assert_eq!(bench.fleet.records().iter().filter(|it| was_there(it)).count(), 6);
    });
}

/// Failure: nothing runs any more. Two strong instances are killed each time they read the tables; each leaves the
/// tenure only to the other, and a weaker one that could schedule never acquires it.
#[test]
fn two_strong_instances_that_are_killed_while_they_read_leave_the_tenure_to_a_weaker_one() {
    support::run(async {
        let mut bench = support::PoolBench::start(1, 2).await;
        let addresses = ["10.0.0.8:7000", "10.0.0.9:7000"];
        for address in addresses {
            bench.start_instance_with_strength(address, 1_000);
        }
        time::sleep(Duration::from_secs(40)).await;
        assert_ne!(bench.holder(), 0);
        bench.kill(2).await;
        bench.kill(1).await;
        for address in addresses {
            start_slowly(&mut bench, address);
        }
        let began = Instant::now();
        let mut n_killed = 0;
        while bench.instances[0].state.leader().is_none() && n_killed < 30 {
            assert!(began.elapsed() < Duration::from_secs(120), "no instance acquires the tenure");
            let row = tenure_row(&bench).filter(|it| !it.released);
            let holder = bench.instances.iter().skip(1).position(|it| {
                row.as_ref().is_some_and(|row| row.holder == it.state.settings.instance)
            });
            if let Some(index) = holder {
                let address = bench.kill(index + 1).await;
                start_slowly(&mut bench, &address);
                n_killed += 1;
            }
            time::sleep(Duration::from_millis(5)).await;
        }
        assert!(n_killed <= 8, "killed {n_killed} times in {:?}", began.elapsed());
    });
}

/// Starts a strong instance that reads the tables slowly.
fn start_slowly(bench: &mut support::PoolBench, address: &str) {
    let index = bench.start_instance_with_strength(address, 1_000);
    let slow = fault::Condition::Slow(Duration::from_millis(40));
    bench.instances[index].store_faults.set(slow);
}
