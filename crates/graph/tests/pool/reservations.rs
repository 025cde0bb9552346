//! Room that gathers for units that wait.

use almondpass_graph::order;
use almondpass_schema::model;

use crate::support;

/// Small tasks of a class below don't start on the worker that a gang waits for, and the gang starts
/// once the other worker is free as well.
#[test]
fn room_gathers_for_a_gang() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::whole_workers(1)));
    let first = bench.run_round_and_start();
    assert_eq!(first.len(), 1);
    bench.admit(2, support::job(1, support::gang(support::whole_workers(2))));
    bench.admit(3, support::job(2, support::tasks(4)));
    assert_eq!(support::starts(&bench.run_round()), []);
    let ended = support::listed_end(1, &first[0], order::EndKind::Done);
    bench.advance(200);
    bench.answer_poll(support::index_of(&first[0].worker), &[], &[ended]);
    let starts = support::starts(&bench.run_round());
    assert_eq!(starts.iter().map(|it| it.task.graph).collect::<Vec<_>>(), [2, 2]);
}

/// Of the workers that could hold it, a unit reserves the one that lacks least; the room of the others
/// stays open to the classes below.
#[test]
fn other_room_stays_open() {
    let mut bench = support::PoolBench::new(3);
    for (graph, accelerators) in [(1, 8), (2, 6), (3, 4)] {
        let step = model::GraphStep { accelerators, ..support::tasks(1) };
        bench.admit(graph, support::job(1, step));
        assert_eq!(bench.run_round_and_start().len(), 1);
    }
    bench.admit(4, support::job(1, support::gang(support::whole_workers(1))));
    bench.admit(5, support::job(2, support::tasks(4)));
    let starts = support::starts(&bench.run_round());
    assert_eq!(starts.iter().map(|it| it.task.graph).collect::<Vec<_>>(), [5, 5]);
}

/// A unit that no rack could ever hold reserves nothing.
#[test]
fn what_could_never_fit_reserves_nothing() {
    let mut bench = support::PoolBench::new(2);
    bench.admit(1, support::job(1, support::gang(support::whole_workers(3))));
    bench.admit(2, support::job(2, support::tasks(4)));
    let starts = support::starts(&bench.run_round());
    assert_eq!(starts.iter().map(|it| it.task.graph).collect::<Vec<_>>(), [2; 4]);
}

/// Symptom: tasks ran away from their data, for three times as long, and ended later than those that
/// had waited. Sequence: all workers of the rack are busy; the task waits for the mean run time of
/// its class and starts in another rack. Cause: the wait did not go by what the other place costs,
/// two more run times. One of 5 s, which is assumed of unknown classes, waits for 10 s.
#[test]
fn a_task_waits_for_its_rack_as_long_as_another_place_costs() {
    let mut bench = support::PoolBench::new(16);
    let near = |n| model::GraphStep { rack: Some("r0".to_owned()), ..support::whole_workers(n) };
    bench.admit(1, support::job(1, near(8)));
    let others = bench.run_round_and_start();
    assert_eq!(others.len(), 8);
    bench.admit(2, support::job(1, near(1)));
    let mut n_waits = 0;
    while n_waits < 40 && support::starts(&bench.run_round()).is_empty() {
        n_waits += 1;
        bench.advance(500);
        bench.core.set_wall_time(bench.now);
        for worker in 0..16 {
            let on_it = others.iter().filter(|it| support::index_of(&it.worker) == worker);
            let running = on_it.map(|it| support::listed_run(it, n_waits)).collect::<Vec<_>>();
            bench.answer_poll(worker, &running, &[]);
        }
    }
    assert_eq!(n_waits, 20);
}

/// Symptom: on heavy days jobs of the least urgent class lay for 50 s with one task left to run.
/// Sequence: one gang after the other reserves what comes free. Cause: what is reserved was kept from
/// the classes below without end. Now it is for the slack of a job, 10 s where its class is unknown.
#[test]
fn reserved_room_is_not_kept_from_others_for_ever() {
    let mut bench = support::PoolBench::new(2);
    bench.core.set_wall_time(bench.now);
    bench.admit(1, support::job(1, support::whole_workers(1)));
    let first = bench.run_round_and_start().remove(0);
    bench.admit(2, support::job(1, support::gang(support::whole_workers(2))));
    bench.admit(3, support::job(2, support::tasks(1)));
    let mut n_waits = 0;
    while n_waits < 40 && support::starts(&bench.run_round()).is_empty() {
        n_waits += 1;
        bench.advance(500);
        bench.core.set_wall_time(bench.now);
        bench.answer_poll(
            support::index_of(&first.worker),
            &[support::listed_run(&first, n_waits)],
            &[],
        );
        bench.answer_poll(1 - support::index_of(&first.worker), &[], &[]);
    }
    assert_eq!(n_waits, 20);
}
