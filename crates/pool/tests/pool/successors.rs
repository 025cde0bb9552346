//! How long a successor waits for what holders before it may have left on a worker that does not answer.

use std::time::Duration;

use almondpass_peer::link::PeerLink;
use almondpass_schema::model;
use almondpass_standin::fault;
use tokio::time::{self, Instant};

use crate::support;

/// The last order of a holder extends leases for this long, on a clock that is 2% slow, and what is found then
/// starts within a turn.
const LEASE: Duration = Duration::from_millis(6_900);

/// The work of the task that waits, and looks at it.
const WORK: Duration = Duration::from_millis(700);

/// Accepted work of a pool of two workers: job 1 fills both for long, job 2 waits for it.
async fn start_full(n_instances: usize) -> support::PoolBench {
    let bench = support::PoolBench::start(n_instances, 2).await;
    bench.submit(0, 1, support::job(16, 60_000)).await;
    bench.submit(0, 2, support::job(1, 500)).await;
    time::sleep(Duration::from_secs(3)).await;
    bench
}

/// Nobody reaches a worker any more.
fn silence_worker(bench: &support::PoolBench) {
    bench.fleet.faults(&support::worker_id(1)).set(fault::Condition::Dropping);
}

/// Job 1 is cancelled, and job 2 has to be done in its room by `due`.
async fn assert_waiting_job_is_done_by(bench: &support::PoolBench, due: Instant) {
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

/// A successor counts the lease from the moment at which a former holder answers it, not from its last order.
#[test]
fn a_former_holder_tells_since_when_it_has_given_no_orders() {
    support::run(async {
        let bench = start_full(2).await;
        let (former, other) = (bench.holder(), bench.non_holder());
        let address = &bench.instances[former].address;
        let other = &bench.instances[other].address;
        bench.net.partition(&[address], &[other], fault::Condition::Dropping);
        bench.instances[former].store_faults.set(fault::Condition::Dropping);
        time::sleep(Duration::from_secs(12)).await;
        bench.net.partition(&[address], &[other], fault::Condition::Up);
        let holder = bench.instances[former].state.settings.instance.clone();
        let query = model::TenureQuery { holder, epoch: 1 };
        let answer = bench.net.link(other).call(address, query, Duration::from_secs(1)).await;
        let over_for_ms = answer.expect("an answer").over_for_ms.expect("it is over");
        // Its term, and as long as it may go on without the store.
        assert!((4_000..12_000).contains(&over_for_ms), "{over_for_ms}");
    });
}

/// Accepted work waits for a lease from the moment at which a successor reads that the tenure was given up.
#[test]
fn a_holder_that_has_given_up_is_asked_since_when() {
    support::run(async {
        let mut bench = start_full(2).await;
        let former = bench.holder();
        let other = bench.non_holder();
        let stronger = bench.start_instance_with_strength("10.0.1.1:7000", 400);
        for index in [other, stronger] {
            bench.instances[index]
                .store_faults
                .set(fault::Condition::Slow(Duration::from_millis(50)));
        }
        while bench.instances[former].state.leader().is_some() {
            time::sleep(Duration::from_millis(10)).await;
        }
        let given_up_at = Instant::now();
        silence_worker(&bench);
        for instance in &bench.instances {
            instance.store_faults.set(fault::Condition::Refusing);
        }
        time::sleep(Duration::from_secs(5)).await;
        for instance in &bench.instances {
            instance.store_faults.set(fault::Condition::Up);
        }
        await_holder(&bench).await;
        assert_waiting_job_is_done_by(&bench, given_up_at + LEASE + Duration::from_secs(1)).await;
    });
}

/// Accepted work waits for holders before the last one as if nothing were known of them.
#[test]
fn holders_before_the_last_one_are_over_as_the_row_tells() {
    support::run(async {
        let mut bench = start_full(3).await;
        silence_worker(&bench);
        kill_and_start(&mut bench, Duration::from_millis(500)).await;
        await_holder(&bench).await;
        time::sleep(Duration::from_millis(500)).await;
        let holder = bench.holder();
        let address = bench.kill(holder).await;
        await_holder(&bench).await;
        let back_at = Instant::now();
        bench.start_instance(&address);
        assert_waiting_job_is_done_by(&bench, back_at + LEASE + WORK).await;
    });
}

/// A successor that goes before the holder ahead of it was heard of leaves nobody who would ask that one.
#[test]
fn each_holder_that_may_go_on_is_asked() {
    support::run(async {
        let mut bench = start_full(3).await;
        silence_worker(&bench);
        let first = bench.holder();
        let first = bench.kill(first).await;
        await_holder(&bench).await;
        let second = bench.holder();
        let second = bench.kill(second).await;
        bench.start_instance(&second);
        bench.start_instance(&first);
        let back_at = Instant::now();
        await_holder(&bench).await;
        assert_waiting_job_is_done_by(&bench, back_at + LEASE + WORK).await;
    });
}

/// A tenure that has just settled is given away before what has waited for that has started.
#[test]
fn a_tenure_is_kept_for_a_while_behind_its_settling() {
    support::run(async {
        let mut bench = start_full(1).await;
        silence_worker(&bench);
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
