//! How long a successor waits for tasks that earlier holders may have left on a worker that does not answer.

use std::time::Duration;

use almondpass_peer::link::PeerLink;
use almondpass_schema::model;
use almondpass_standin::fault;
use tokio::time::{self, Instant};

use crate::support;

/// The last order of a holder extends leases for this long, on a clock that is 2% slow; jobs that waited for
/// that start within a round.
const LEASE_BOUND: Duration = Duration::from_millis(6_900);

/// Duration of the waiting task, with the polls that find its start and end.
const WORK_BOUND: Duration = Duration::from_millis(700);

/// Starts a pool of two workers with accepted jobs: job 1 fills both workers for long, job 2 waits for it.
async fn start_with_full_workers(n_instances: usize) -> support::PoolBench {
    let bench = support::PoolBench::start(n_instances, 2).await;
    bench.submit(0, 1, support::job(16, 60_000)).await;
    bench.submit(0, 2, support::job(1, 500)).await;
    time::sleep(Duration::from_secs(3)).await;
    bench
}

/// Cuts a worker off from all instances.
fn cut_off_worker(bench: &support::PoolBench) {
    bench.fleet.faults(&support::worker_id(1)).set(fault::Condition::Dropping);
}

/// Cancels job 1, and checks that job 2 is done on its resources by `due`.
async fn assert_waiting_job_completes_by(bench: &support::PoolBench, due: Instant) {
    bench.cancel(0, 1).await;
    let limit = due.saturating_duration_since(Instant::now());
    bench.await_state(0, 2, model::GraphState::Completed, limit).await;
    bench.assert_nothing_ran_twice();
}

async fn await_holder(bench: &support::PoolBench) {
    while bench.latest_holder().is_none() {
        time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a successor that counts the lease from the time at which a former holder answers it,
/// instead of from that holder's last order.
#[test]
fn a_former_holder_reports_when_it_stopped_giving_orders() {
    support::run(async {
        let bench = start_with_full_workers(2).await;
        let (former_holder, other) = (bench.holder(), bench.non_holder());
        let address = &bench.instances[former_holder].address;
        let other = &bench.instances[other].address;
        bench.net.partition(&[address], &[other], fault::Condition::Dropping);
        bench.instances[former_holder].store_faults.set(fault::Condition::Dropping);
        time::sleep(Duration::from_secs(12)).await;
        bench.net.partition(&[address], &[other], fault::Condition::Up);
        let holder = bench.instances[former_holder].state.settings.instance.clone();
        let query = model::TenureQuery { holder, epoch: 1 };
        let answer = bench.net.link(other).call(address, query, Duration::from_secs(1)).await;
        let over_for_ms = answer.expect("an answer").over_for_ms.expect("it is over");
        // The former holder gave orders for its term and for as long as it may go on without the store.
        assert!((4_000..12_000).contains(&over_for_ms), "{over_for_ms}");
    });
}

/// Guards against accepted jobs that wait for a lease from the time at which a successor reads that the
/// tenure was released, instead of from the release.
#[test]
fn a_holder_that_released_the_tenure_is_asked_since_when() {
    support::run(async {
        let mut bench = start_with_full_workers(2).await;
        let former_holder = bench.holder();
        let other = bench.non_holder();
        let stronger = bench.start_instance_with_strength("10.0.1.1:7000", 400);
        for index in [other, stronger] {
            bench.instances[index]
                .store_faults
                .set(fault::Condition::Slow(Duration::from_millis(50)));
        }
        while bench.instances[former_holder].state.leader().is_some() {
            time::sleep(Duration::from_millis(10)).await;
        }
        let given_up_at = Instant::now();
        cut_off_worker(&bench);
        for instance in &bench.instances {
            instance.store_faults.set(fault::Condition::Refusing);
        }
        time::sleep(Duration::from_secs(5)).await;
        for instance in &bench.instances {
            instance.store_faults.set(fault::Condition::Up);
        }
        await_holder(&bench).await;
        assert_waiting_job_completes_by(&bench, given_up_at + LEASE_BOUND + Duration::from_secs(1))
            .await;
    });
}

/// Guards against a successor that assumes the longest wait for holders before the last one, although the row
/// names them.
#[test]
fn holders_before_the_last_one_settle_as_the_row_reports() {
    support::run(async {
        let mut bench = start_with_full_workers(3).await;
        cut_off_worker(&bench);
        kill_and_start(&mut bench, Duration::from_millis(500)).await;
        await_holder(&bench).await;
        time::sleep(Duration::from_millis(500)).await;
        let holder = bench.holder();
        let address = bench.kill(holder).await;
        await_holder(&bench).await;
        let back_at = Instant::now();
        bench.start_instance(&address);
        assert_waiting_job_completes_by(&bench, back_at + LEASE_BOUND + WORK_BOUND).await;
    });
}

/// Guards against earlier holders that no instance queries: a successor stops before it has an answer from
/// the holder before it, and the next one queries only that successor.
#[test]
fn each_holder_that_may_go_on_is_asked() {
    support::run(async {
        let mut bench = start_with_full_workers(3).await;
        cut_off_worker(&bench);
        let first = bench.holder();
        let first = bench.kill(first).await;
        await_holder(&bench).await;
        let second = bench.holder();
        let second = bench.kill(second).await;
        bench.start_instance(&second);
        bench.start_instance(&first);
        let back_at = Instant::now();
        await_holder(&bench).await;
        assert_waiting_job_completes_by(&bench, back_at + LEASE_BOUND + WORK_BOUND).await;
    });
}

/// Guards against a tenure that is handed over just after it has settled, before jobs that waited for the
/// settling have started.
#[test]
fn a_tenure_is_kept_for_a_while_after_it_settles() {
    support::run(async {
        let mut bench = start_with_full_workers(1).await;
        cut_off_worker(&bench);
        bench.start_instance_with_strength("10.0.1.1:7000", 400);
        let weak = bench.holder();
        let address = bench.kill(weak).await;
        let weak = bench.start_instance(&address);
        time::sleep(Duration::from_millis(200)).await;
        bench.cancel(weak, 1).await;
        let holder_was_weak = || bench.instances[weak].state.leader().is_some();
        assert!(holder_was_weak());
        bench.await_state(weak, 2, model::GraphState::Completed, Duration::from_secs(9)).await;
        time::sleep(Duration::from_millis(1_500)).await;
        assert!(holder_was_weak());
    });
}

async fn kill_and_start(bench: &mut support::PoolBench, down: Duration) {
    let holder = bench.holder();
    let address = bench.kill(holder).await;
    time::sleep(down).await;
    bench.start_instance(&address);
}
