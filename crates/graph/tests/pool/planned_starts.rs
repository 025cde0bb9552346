//! Starts of suspects that are planned and saved before they are sent, and what a successor makes of them.

use std::time::Duration;

use almondpass_graph::{order, resources, tenure_report, worker};
use almondpass_schema::model;

use crate::support;

/// Four workers, each with a task of job 1 that takes all of it; the first worker is then replaced by a
/// smaller one, so that its task is a suspect without a place.
fn bench_with_waiting_suspect() -> (support::PoolBench, Vec<order::StartOrder>) {
    let mut bench = support::PoolBench::new(4);
    bench.admit(1, support::job(1, support::whole_workers(4)));
    let mut starts = bench.run_round_and_start();
    assert_eq!(starts.len(), 4);
    bench.advance(1_000);
    let lost = support::index_of(&starts[0].worker);
    support::replace_worker(&mut bench, lost);
    shrink_worker(&mut bench, lost);
    starts.remove(0);
    (bench, starts)
}

/// The same once another worker is free: the suspect has a place there, and its start is neither saved nor sent.
fn bench_with_planned_start() -> (support::PoolBench, Vec<order::StartOrder>) {
    let (mut bench, starts) = bench_with_waiting_suspect();
    bench.save();
    let ended = support::listed_end(1, &starts[0], order::EndKind::Done);
    bench.answer_poll(support::index_of(&starts[0].worker), &[], &[ended]);
    assert!(bench.run_round_and_start().is_empty());
    (bench, starts)
}

/// A worker has half of its accelerators from now on.
fn shrink_worker(bench: &mut support::PoolBench, index: usize) {
    let capacity = resources::Resources { accelerators: 4, ..support::CAPACITY };
    let entry = worker::WorkerEntry { capacity, ..support::worker_entry(index) };
    bench.core.update_worker(support::worker_id(index), entry, bench.now);
}

/// The successor of a scheduler whose four workers run `starts`; its first worker to be lost is small.
fn successor_of(bench: &support::PoolBench, starts: &[order::StartOrder]) -> support::PoolBench {
    let mut next = support::PoolBench::with_unanswered_workers(4, Duration::from_secs(2_000));
    let row = support::job(1, support::whole_workers(4));
    next.saved = bench.saved.clone();
    next.inherit(1, row, next.saved.get(&1).cloned());
    for index in 0..4 {
        let here = starts.iter().filter(|it| support::index_of(&it.worker) == index);
        let running = here.map(|it| support::listed_run(it, 1)).collect::<Vec<_>>();
        if running.is_empty() {
            shrink_worker(&mut next, index);
        }
        next.answer_poll(index, &running, &[]);
    }
    next
}

/// Number of losses on record, and of saved starts, in the rows of job 1.
fn n_saved(bench: &support::PoolBench) -> (usize, usize) {
    let chunks = bench.saved.get(&1).map(|it| format!("{it:?}")).unwrap_or_default();
    let n_losses = chunks.matches("odds_ppm").count();
    let n_starts = chunks.matches("trials: [SavedStart").count();
    (n_losses, n_starts)
}

/// Failure: the start of a suspect that waited for room was saved although it was never sent, and each
/// successor counted it as another loss, until the job was given up.
#[test]
fn a_suspect_that_waits_through_takeovers_is_not_given_up() {
    let (mut bench, starts) = bench_with_waiting_suspect();
    for _ in 0..4 {
        assert!(support::run_rounds_with_save(&mut bench).is_empty());
        bench.save();
        assert_eq!(bench.core.state_of(1).map(|it| it.state), Some(model::GraphState::Running));
        assert_eq!(bench.core.summary().n_suspects, 1);
        bench = successor_of(&bench, &starts);
    }
}

/// Failure: the place of a suspect was taken before its saved start was sent, and the start stayed in the
/// store, where a successor counted it as a loss.
#[test]
fn a_saved_start_is_withdrawn_when_its_place_is_taken() {
    let (mut bench, starts) = bench_with_waiting_suspect();
    let ended = support::index_of(&starts[0].worker);
    bench.answer_poll(ended, &[], &[support::listed_end(1, &starts[0], order::EndKind::Done)]);
    assert!(bench.run_round_and_start().is_empty());
    bench.save();
    assert_eq!(n_saved(&bench), (1, 1));
    bench.admit(2, support::job(0, support::whole_workers(1)));
    let urgent = bench.run_round_and_start();
    assert_eq!(urgent.iter().map(|it| it.task.graph).collect::<Vec<_>>(), [2]);
    bench.save();
    assert_eq!(n_saved(&bench), (1, 0));
}

/// Failure: a suspect without a place was written to the store in each round in which it waited.
#[test]
fn a_waiting_suspect_is_not_written_in_each_round() {
    let (mut bench, starts) = bench_with_waiting_suspect();
    support::run_rounds_with_save(&mut bench);
    bench.save();
    for _ in 0..20 {
        support::answer_with_runs(&mut bench, &starts, 4);
        bench.run_round();
        let batch = bench.take_save_batch();
        assert!(batch.is_none(), "{batch:?}");
    }
}

/// Failure: a scheduler that could not save the start of a suspect, and so never sent it, reported it to its
/// successor, which counted it as a loss.
#[test]
fn a_start_that_was_planned_and_not_sent_is_not_reported() {
    let (bench, _) = bench_with_planned_start();
    let report = bench.core.tenure_report(bench.now);
    let told = report.suspicions.iter().flat_map(|it| &it.steps);
    assert_eq!(told.flat_map(|it| &it.trials).count(), 0);
}

/// Failure: the store carried out the save of a planned start and its answer was lost, so the start was never
/// sent. The successor read it from the store, was not told otherwise, and counted it as a loss; after three
/// takeovers the job was given up.
#[test]
fn a_planned_start_whose_save_had_no_answer_is_no_loss() {
    let (mut bench, starts) = bench_with_waiting_suspect();
    bench.save();
    let ended = support::listed_end(1, &starts[0], order::EndKind::Done);
    let free = support::index_of(&starts[0].worker);
    bench.answer_poll(free, &[], std::slice::from_ref(&ended));
    for _ in 0..3 {
        assert!(bench.run_round_and_start().is_empty());
        bench.run_round();
        let batch = bench.take_save_batch().expect("the planned start");
        bench.record_progress(&batch);
        let report = bench.core.tenure_report(bench.now);
        let mut next = support::PoolBench::with_unanswered_workers(4, Duration::from_secs(2_000));
        next.saved = bench.saved.clone();
        let row = support::job(1, support::whole_workers(4));
        next.inherit(1, row, next.saved.get(&1).cloned());
        next.core.merge_last_report(report, next.now);
        for index in 0..4 {
            let here = starts.iter().skip(1).find(|it| support::index_of(&it.worker) == index);
            if let Some(start) = here {
                next.answer_poll(index, &[support::listed_run(start, 1)], &[]);
            } else if index == free {
                next.answer_poll(index, &[], std::slice::from_ref(&ended));
            } else {
                shrink_worker(&mut next, index);
                next.answer_poll(index, &[], &[]);
            }
        }
        bench = next;
    }
    bench.run_round();
    bench.save();
    assert_eq!(bench.core.state_of(1).map(|it| it.state), Some(model::GraphState::Running));
    assert_eq!(n_saved(&bench).0, 1, "the one worker that was lost");
}

/// Failure: a holder ended between the durable save of a planned start and its order. It reported only rows that the
/// store lacked, and its successor counted the start as a loss.
#[test]
fn a_durable_planned_start_that_was_not_sent_is_no_loss() {
    let (mut bench, starts) = bench_with_planned_start();
    bench.save();
    let report = bench.core.tenure_report(bench.now);
    assert_eq!(losses_after(&bench, &starts, report), 1);
}

/// Failure: a worker refused the start of a suspect, so that nothing ran, and the store was unavailable. The
/// successor found the start there, was not told of the refusal, and counted a loss.
#[test]
fn a_refused_start_whose_withdrawal_is_not_saved_is_no_loss() {
    let (mut bench, starts) = bench_with_planned_start();
    bench.save();
    let start = support::starts(&bench.run_round()).remove(0);
    bench.save();
    let refusal = order::StartAnswer::Refused(order::StartRefusal::Room);
    bench.core.start_answered(&start, refusal, bench.now);
    let report = bench.core.tenure_report(bench.now);
    assert_eq!(losses_after(&bench, &starts, report), 1);
}

/// Failure: the report of a former holder that is slow to answer came after its successor had counted a start that
/// was not sent, and the loss stood.
#[test]
fn a_late_report_withdraws_the_loss_of_a_start_that_was_not_sent() {
    let (mut bench, starts) = bench_with_planned_start();
    bench.save();
    let report = bench.core.tenure_report(bench.now);
    let mut next = successor_of(&bench, &starts);
    next.run_round();
    next.save();
    assert_eq!(n_saved(&next).0, 2);
    next.core.merge_last_report(report, next.now);
    next.save();
    assert_eq!(n_saved(&next).0, 1);
}

/// Failure: a successor that is told of a start that counts no more forgets the loss that the former holder has
/// recorded for it.
#[test]
fn a_recorded_loss_stands_beside_the_report_of_its_settled_start() {
    let (mut bench, starts) = bench_with_waiting_suspect();
    let report = bench.core.tenure_report(bench.now);
    assert_eq!(losses_after(&bench, &starts, report), 1);
    bench.save();
    let report = bench.core.tenure_report(bench.now);
    assert_eq!(losses_after(&bench, &starts, report), 1);
}

/// Losses that the successor of a scheduler has on record after a round and a save, having merged the report.
fn losses_after(
    bench: &support::PoolBench,
    starts: &[order::StartOrder],
    report: tenure_report::TenureReport,
) -> usize {
    let mut next = successor_of(bench, starts);
    next.core.merge_last_report(report, next.now);
    next.run_round();
    next.save();
    n_saved(&next).0
}

/// Failure: while the store gives no answers, the start of a suspect is not sent, and the place that it is
/// planned for stays empty although another job waits for it.
#[test]
fn a_suspect_that_awaits_a_save_keeps_no_place_from_others_in_an_outage() {
    let (mut bench, starts) = bench_with_waiting_suspect();
    bench.save();
    bench.admit(2, support::job(1, support::whole_workers(1)));
    let free = support::index_of(&starts[0].worker);
    bench.answer_poll(free, &[], &[support::listed_end(1, &starts[0], order::EndKind::Done)]);
    let mut started = Vec::new();
    for _ in 0..50 {
        started.extend(bench.run_round_and_start().iter().map(|it| it.task.graph));
        if !started.is_empty() {
            break;
        }
        support::answer_with_runs(&mut bench, &starts[1..], 4);
    }
    assert_eq!(started, [2]);
}
