//! The table of points.

use std::time::Duration;

use crate::cost;

/// What was measured at one size.
pub(crate) struct BenchPoint {
    /// Instances.
    pub(crate) n_instances: usize,
    /// Worker stand-ins.
    pub(crate) n_workers: usize,
    /// Costs without work.
    pub(crate) idle: cost::ControlCost,
    /// Tasks that ran while loaded.
    pub(crate) tasks: usize,
    /// Costs while they ran.
    pub(crate) loaded: cost::ControlCost,
    /// From acceptance to in force everywhere.
    pub(crate) versions: Vec<Duration>,
    /// Without a scheduler at a hand-over.
    pub(crate) hand_overs: Vec<Duration>,
    /// Without a scheduler at a crash.
    pub(crate) takeovers: Vec<Duration>,
    /// Resident memory of the whole process.
    pub(crate) rss_mb: f64,
}

/// Prints the head of the table.
pub(crate) fn print_head() {
    println!(
        "| instances | workers | tasks | core % mean (max) | peer B/s mean (max) \
         | platform B/s mean (max) | B/s a worker | table reads/s | writes/s \
         | version ms median (max) | hand-over ms median (max) | takeover ms median (max) \
         | process MB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
}

/// Prints two lines: idle, and loaded with what moved.
pub(crate) fn print(point: &BenchPoint) {
    let line = |tasks: usize, cost: &cost::ControlCost, moves: &str| {
        println!(
            "| {} | {} | {tasks} | {:.2} ({:.2}) | {:.0} ({:.0}) | {:.0} ({:.0}) | {:.0} | {:.1} \
             | {:.1} | {moves} |",
            point.n_instances,
            point.n_workers,
            cost.cores.mean * 100.0,
            cost.cores.max * 100.0,
            cost.peer_bytes.mean,
            cost.peer_bytes.max,
            cost.platform_bytes.mean,
            cost.platform_bytes.max,
            cost.worker_bytes,
            cost.reads,
            cost.writes,
        );
    };
    line(0, &point.idle, " | | | ");
    let moves = format!(
        "{} | {} | {} | {:.0}",
        spans(&point.versions),
        spans(&point.hand_overs),
        spans(&point.takeovers),
        point.rss_mb,
    );
    line(point.tasks, &point.loaded, &moves);
}

fn spans(spans: &[Duration]) -> String {
    let mut millis = spans.iter().map(Duration::as_millis).collect::<Vec<_>>();
    millis.sort_unstable();
    let median = millis.get(millis.len() / 2).copied().unwrap_or_default();
    let max = millis.last().copied().unwrap_or_default();
    format!("{median} ({max})")
}
