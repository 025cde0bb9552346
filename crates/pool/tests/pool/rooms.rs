//! Rooms of workers that shrink and grow while they run, on workers that start whatever they are told to.

use std::time::Duration;

use almondpass_schema::model;
use almondpass_standin::fault;
use tokio::time;

use crate::support;

const SOON: Duration = Duration::from_secs(60);

/// Two workers that refuse nothing.
async fn unguarded_bench() -> support::PoolBench {
    let bench = support::PoolBench::start(2, 2).await;
    bench.fleet.disable_capacity_check();
    bench.start_heartbeats();
    bench.set_document_unguarded(2).await;
    time::sleep(Duration::from_secs(2)).await;
    bench
}

fn assert_none_overfull(bench: &support::PoolBench) {
    assert_eq!(bench.fleet.oversubscribed_starts(), []);
}

/// Work goes where there is room now, and back once the room has grown again.
#[test]
fn work_goes_by_the_room_as_it_is() {
    support::run(async {
        let bench = unguarded_bench().await;
        bench.set_accelerators(&support::worker_id(0), 2);
        time::sleep(Duration::from_secs(6)).await;
        bench.submit(0, 1, support::job(30, 2_000)).await;
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        assert_none_overfull(&bench);
        bench.set_accelerators(&support::worker_id(0), 8);
        time::sleep(Duration::from_secs(6)).await;
        bench.submit(0, 2, support::job(16, 2_000)).await;
        time::sleep(Duration::from_millis(500)).await;
        assert_eq!(bench.fleet.n_running(), 16);
    });
}

/// What is beyond a room that has shrunk goes on, and nothing starts beside it.
#[test]
fn nothing_starts_beside_what_is_beyond_a_shrunken_room() {
    support::run(async {
        let bench = unguarded_bench().await;
        bench.submit(0, 1, support::job(14, 12_000)).await;
        time::sleep(Duration::from_millis(500)).await;
        bench.set_accelerators(&support::worker_id(0), 4);
        bench.set_accelerators(&support::worker_id(1), 4);
        for graph in 2..12 {
            time::sleep(Duration::from_secs(1)).await;
            bench.submit(0, graph, support::job(2, 1_000)).await;
        }
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        bench.await_state(0, 11, model::GraphState::Completed, SOON).await;
        assert_none_overfull(&bench);
    });
}

/// Symptom, by reading: a worker gets more than it offers. Sequence: the store is away, and a room
/// shrinks; the scheduler goes on with what it knows. Cause: nothing bounded how old that may be.
#[test]
fn news_of_rooms_that_can_t_be_read_stops_starts() {
    support::run(async {
        let bench = unguarded_bench().await;
        bench.submit(0, 1, support::job(160, 1_000)).await;
        time::sleep(Duration::from_millis(100)).await;
        bench.store.faults().set(fault::Condition::Dropping);
        bench.set_accelerators(&support::worker_id(0), 2);
        bench.set_accelerators(&support::worker_id(1), 2);
        time::sleep(Duration::from_secs(8)).await;
        bench.store.faults().set(fault::Condition::Up);
        bench.await_state(0, 1, model::GraphState::Completed, SOON).await;
        assert_none_overfull(&bench);
    });
}

/// Symptom, by reading: a worker gets more than it offers. Sequence: a job is cancelled while no scheduler
/// is there; the next one finds its tasks on the workers and stops them, and starts others meanwhile.
/// Cause: only the room of tasks that somebody wants counted.
#[test]
fn what_is_being_stopped_still_counts() {
    support::run(async {
        let mut bench = unguarded_bench().await;
        bench.submit(0, 1, support::job(16, 30_000)).await;
        time::sleep(Duration::from_secs(1)).await;
        let holder = bench.holder();
        bench.kill(holder).await;
        bench.submit(0, 2, support::job(16, 1_500)).await;
        assert_eq!(bench.cancel(0, 1).await, model::CancelOutcome::Cancelled);
        bench.await_state(0, 2, model::GraphState::Completed, SOON).await;
        assert_none_overfull(&bench);
    });
}
