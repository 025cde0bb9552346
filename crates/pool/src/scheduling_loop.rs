//! Lets the core decide, and hands its orders to the senders.

use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{core, job, losses, waiting};
use almondpass_ports::boot_clock::BootClock;
use tokio::time::{self, Instant};

use crate::leader;
use crate::order_sender;
use crate::sessions;
use crate::state;

/// A turn at least this often while anything runs or waits: the core's own time limits are a few
/// hundred milliseconds.
const BUSY_TICK: Duration = Duration::from_millis(100);

/// A turn at least this often otherwise.
const IDLE_TICK: Duration = Duration::from_millis(500);

/// Events gather for this long before a turn: an end and the next one of the same worker's look
/// arrive together, and a turn goes over all waiting tasks.
const GATHERING: Duration = Duration::from_millis(2);

/// A turn that takes longer than this is followed by a rest. On 48 workers a turn takes about 1 ms
/// of a quarter of a core.
const LONG_TURN: Duration = Duration::from_millis(5);

/// After a long turn nothing is decided for this many times what it took. On a small instance with many
/// workers, turns that follow each event would leave no time for the looks and renewals.
const PAUSE_FACTOR: u32 = 3;

/// Longest pause between two turns.
const LONGEST_PAUSE: Duration = Duration::from_millis(150);

/// The figures of the pool are measured this often.
const METER_INTERVAL: Duration = Duration::from_secs(1);

/// Turns until the tenure is over.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<leader::LeaderState>,
) {
    let mut sessions = sessions::WorkerSessions::default();
    let mut versions = state.document.subscribe();
    let mut evacuations = state.evacuations.subscribe();
    let mut metered_at = Instant::now();
    loop {
        sessions.keep(&state, &leader);
        let tick = if leader.core().is_busy() { BUSY_TICK } else { IDLE_TICK };
        tokio::select! {
            biased;
            () = leader.round_due.notified() => time::sleep(GATHERING).await,
            () = time::sleep(tick) => {}
            Ok(()) = versions.changed() => {}
            Ok(()) = evacuations.changed() => {}
        }
        leader.core().set_evacuated(state.evacuations.data_centers());
        if let Some(document) = state.document.current() {
            leader.core().set_catalog(Arc::clone(&document.catalog));
        }
        let began = Instant::now();
        if began >= metered_at + METER_INTERVAL {
            meter(&leader.core().summary());
            meter_waits(&leader.core().take_wait_counts());
            metered_at = began;
        }
        turn(&state, &leader);
        let took = began.elapsed();
        if took >= LONG_TURN {
            time::sleep((took * PAUSE_FACTOR).min(LONGEST_PAUSE)).await;
        }
    }
}

fn meter(summary: &core::PoolSummary) {
    let figures = [
        ("jobs", summary.n_jobs),
        ("waiting_tasks", summary.n_waiting),
        ("running_tasks", summary.n_running),
        ("suspected_tasks", summary.n_suspects),
        ("workers", summary.n_workers),
        ("accelerators", summary.accelerators as usize),
        ("accelerators_used", summary.accelerators_used as usize),
    ];
    for (of, figure) in figures {
        metrics::gauge!("almondpass_pool_size", "of" => of).set(figure as f64);
    }
}

fn meter_waits(counts: &waiting::WaitCounts) {
    let figures =
        [("standing_jobs", counts.n_idle), ("standing_jobs_beside_room", counts.n_starved)];
    for (of, figure) in figures {
        metrics::gauge!("almondpass_pool_size", "of" => of).set(figure as f64);
    }
    metrics::counter!("almondpass_pool_jobs_left_standing_total").increment(counts.n_newly_starved);
}

fn meter_finished(job: &core::FinishedJob) {
    let labels = [
        ("account", job.account.clone().unwrap_or_default()),
        ("class", job.class.clone()),
        ("state", job.state.to_string()),
    ];
    metrics::histogram!("almondpass_pool_completion_seconds", &labels).record(job.took);
}

fn meter_losses(counts: &losses::LossCounts) {
    for sign in &counts.evidence {
        metrics::counter!("almondpass_pool_workers_lost_total", "sign" => sign.name()).increment(1);
    }
    metrics::counter!("almondpass_pool_jobs_given_up_total").increment(counts.n_given_up);
}

fn meter_overdue(beliefs: &[job::RunPhase]) {
    for belief in beliefs {
        metrics::counter!("almondpass_pool_overdue_starts_total", "belief" => belief.name())
            .increment(1);
    }
}

fn turn<S: state::PoolAdapters>(state: &state::PoolState<S>, leader: &leader::LeaderState) {
    if !leader.permit_order(state.adapters.clock()) {
        return;
    }
    let mut core = leader.core();
    core.set_wall_time(state.adapters.clock().wall());
    core.run_round(state.adapters.clock().now());
    let orders = core.take_orders();
    core.take_finished().iter().for_each(meter_finished);
    metrics::counter!("almondpass_pool_worker_restarts_total").increment(core.take_n_restarts());
    meter_losses(&core.take_loss_counts());
    meter_overdue(&core.take_overdue_phases());
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
