//! Runs the core's scheduling rounds and passes its orders to the senders.

use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{core, fair_share, job, late_runs, losses, pool_speeds, task_ends, waiting};
use almondpass_ports::boot_clock::BootClock;
use tokio::time::{self, Instant};

use crate::leader;
use crate::order_sender;
use crate::sessions;
use crate::state;

/// Longest interval between rounds while tasks run or wait: the core's own time limits are a few hundred
/// milliseconds.
const MAX_BUSY_INTERVAL: Duration = Duration::from_millis(100);

/// Longest interval between rounds while nothing runs or waits.
const MAX_IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Events are collected for this long before a round: a task's end and the next end from the same poll of its
/// worker arrive together, and each round goes over all waiting tasks.
const EVENT_BATCH_DELAY: Duration = Duration::from_millis(2);

/// A round that takes longer than this is followed by a pause. With 48 workers a round takes about 1 ms of a
/// quarter of a core.
const LONG_ROUND: Duration = Duration::from_millis(5);

/// The pause after a long round is this many times the round's duration. On a small instance with many
/// workers, rounds after each event would leave no time for polls and renewals.
const PAUSE_FACTOR: u32 = 3;

/// Longest pause after a long round.
const MAX_PAUSE: Duration = Duration::from_millis(150);

/// Interval between two updates of the pool's size metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs scheduling rounds until the tenure ends.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
) {
    let mut sessions = sessions::WorkerSessions::default();
    let mut versions = state.document.subscribe();
    let mut evacuations = state.evacuations.subscribe();
    let mut metrics_at = Instant::now();
    loop {
        sessions.maintain(&state, &leader);
        let interval = if leader.core().is_busy() { MAX_BUSY_INTERVAL } else { MAX_IDLE_INTERVAL };
        tokio::select! {
            biased;
            () = leader.round_due.notified() => time::sleep(EVENT_BATCH_DELAY).await,
            () = time::sleep(interval) => {}
            Ok(()) = versions.changed() => {}
            Ok(()) = evacuations.changed() => {}
        }
        leader.core().set_evacuated(state.evacuations.data_centers());
        if let Some(document) = state.document.current() {
            leader.core().set_catalog(Arc::clone(&document.catalog));
        }
        let started_at = Instant::now();
        if started_at >= metrics_at + METRICS_INTERVAL {
            record_pool_size(&leader.core().summary());
            record_waits(&leader.core().take_wait_counts());
            metrics_at = started_at;
        }
        run_round(&state, &leader);
        let duration = started_at.elapsed();
        if duration >= LONG_ROUND {
            time::sleep((duration * PAUSE_FACTOR).min(MAX_PAUSE)).await;
        }
    }
}

fn record_pool_size(summary: &core::PoolSummary) {
    let sizes = [
        ("jobs", summary.n_jobs),
        ("waiting_tasks", summary.n_waiting),
        ("running_tasks", summary.n_running),
        ("suspected_tasks", summary.n_suspects),
        ("task_records", summary.n_task_records),
        ("workers", summary.n_workers),
        ("accelerators", summary.accelerators as usize),
        ("accelerators_used", summary.accelerators_used as usize),
    ];
    for (kind, count) in sizes {
        metrics::gauge!("almondpass_pool_size", "of" => kind).set(count as f64);
    }
}

fn record_waits(counts: &waiting::WaitCounts) {
    let sizes = [("standing_jobs", counts.n_idle), ("standing_jobs_beside_room", counts.n_starved)];
    for (kind, count) in sizes {
        metrics::gauge!("almondpass_pool_size", "of" => kind).set(count as f64);
    }
    metrics::counter!("almondpass_pool_jobs_left_standing_total").increment(counts.n_newly_starved);
}

fn record_finished(job: &core::FinishedJob) {
    let labels = [
        ("account", job.account.clone().unwrap_or_default()),
        ("class", job.class.clone()),
        ("state", job.state.to_string()),
    ];
    metrics::histogram!("almondpass_pool_completion_seconds", &labels).record(job.took);
}

fn record_losses(counts: &losses::LossCounts) {
    for evidence in &counts.evidence {
        metrics::counter!("almondpass_pool_workers_lost_total", "sign" => evidence.name())
            .increment(1);
    }
    metrics::counter!("almondpass_pool_jobs_given_up_total").increment(counts.n_given_up);
}

fn record_ends(counts: task_ends::EndCounts) {
    metrics::counter!("almondpass_pool_done_beside_other_runs_total")
        .increment(counts.n_done_beside_others);
    metrics::counter!("almondpass_pool_ends_of_unknown_jobs_total")
        .increment(counts.n_of_unknown_jobs);
}

/// Counts starts of urgent tasks by what was known of the speeds of their workers.
fn record_urgent_starts(counts: pool_speeds::StartCounts) {
    let by_speed =
        [("unknown", counts.n_unknown), ("slow", counts.n_slow), ("usual", counts.n_usual)];
    for (speed, count) in by_speed.into_iter().filter(|(_, it)| *it > 0) {
        metrics::counter!("almondpass_pool_urgent_starts_by_speed_total", "speed" => speed)
            .increment(count);
    }
}

fn record_moves(counts: &late_runs::MoveCounts) {
    for decision in &counts.decisions {
        metrics::counter!("almondpass_pool_late_units_total", "decision" => decision.name())
            .increment(1);
    }
    metrics::counter!("almondpass_pool_early_polls_total").increment(counts.n_early_polls);
}

fn record_overdue(phases: &[job::RunPhase]) {
    for phase in phases {
        metrics::counter!("almondpass_pool_overdue_starts_total", "belief" => phase.name())
            .increment(1);
    }
}

fn record_fair_order(counts: fair_share::FairCounts) {
    let starts = [
        ("owed", counts.n_owed),
        ("overdue", counts.n_overdue),
        ("begun", counts.n_begun),
        ("use", counts.n_preferred),
    ];
    for (reason, n) in starts {
        metrics::counter!("almondpass_pool_fair_starts_total", "reason" => reason).increment(n);
    }
    metrics::gauge!("almondpass_pool_short_classes").set(counts.n_short_classes as f64);
}

fn run_round<S: state::PoolAdapters>(state: &state::PoolState<S>, leader: &leader::LeaderState) {
    if !leader.permit_order(state.adapters.clock()) {
        return;
    }
    let mut core = leader.core();
    core.set_wall_time(state.adapters.clock().wall());
    core.set_exclusive_until(leader.tenure().exclusive_until());
    core.run_round(state.adapters.clock().now());
    let orders = core.take_orders();
    core.take_finished().iter().for_each(record_finished);
    metrics::counter!("almondpass_pool_worker_restarts_total").increment(core.take_n_restarts());
    record_losses(&core.take_loss_counts());
    record_ends(core.take_end_counts());
    record_urgent_starts(core.take_start_counts());
    record_moves(&core.take_move_counts());
    record_overdue(&core.take_overdue_phases());
    if let Some(counts) = core.take_fair_counts() {
        record_fair_order(counts);
    }
    let (is_fenced_off, has_changes) = (core.is_fenced_off(), core.has_rows_to_save());
    drop(core);
    if is_fenced_off {
        tracing::warn!(epoch = leader.epoch, "a later scheduler is at work");
        leader.end();
        return;
    }
    for order in orders {
        if let Some(unsent) = leader.send_order(order) {
            order_sender::report_unsent(state, leader, &unsent);
        }
    }
    if has_changes {
        leader.save_due.notify_one();
    }
}
