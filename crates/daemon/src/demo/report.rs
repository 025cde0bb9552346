//! What the demo prints at its end.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use almondpass_schema::{ids, model};
use comfy_table::{Table, presets};
use serde::Serialize;

use crate::demo::checks;
use crate::demo::evidence;
use crate::demo::ledger;

/// The whole report.
#[derive(Clone, Debug, Serialize)]
pub struct DemoReport {
    /// Seed of the traffic.
    pub seed: u64,
    /// One line for each account and class.
    pub classes: Vec<ClassLine>,
    /// Claims of guaranteed shapes.
    pub claims: Vec<ClaimLine>,
    /// One line for each hall.
    pub halls: Vec<HallLine>,
    /// The eight conditions.
    pub conditions: Vec<checks::ConditionResult>,
    /// Whether all of them held.
    pub held: bool,
}

/// What became of the work of one account and class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassLine {
    /// Whose it was.
    pub account: ids::AccountId,
    /// Its class.
    pub class: ids::ClassName,
    /// Requests or jobs.
    pub count: usize,
    /// Done.
    pub done: usize,
    /// Ran and failed.
    pub failed: usize,
    /// Did not run.
    pub not_run: usize,
    /// Nobody can tell.
    pub unknown: usize,
    /// Cancelled at the end of the demo, or still going.
    pub cancelled: usize,
    /// Median completion of what was done, in milliseconds.
    pub median_ms: Option<u64>,
    /// 95th percentile.
    pub p95_ms: Option<u64>,
    /// 99th percentile.
    pub p99_ms: Option<u64>,
}

/// One claim.
#[derive(Clone, Debug, Serialize)]
pub struct ClaimLine {
    /// Whose guarantee.
    pub account: ids::AccountId,
    /// Its name.
    pub guarantee: ids::GuaranteeName,
    /// Its accelerators.
    pub accelerators: u32,
    /// From the submission until the whole gang ran, in milliseconds.
    pub reclaim_ms: Option<u64>,
    /// The bound.
    pub bound_ms: u64,
}

/// One hall over the run.
#[derive(Clone, Debug, Serialize)]
pub struct HallLine {
    /// The hall.
    pub hall: ids::HallName,
    /// Mean share of accelerators in use.
    pub used: f64,
    /// Mean share of free accelerators in no free run of the largest shape wanted.
    pub fragmentation: f64,
}

#[derive(Default)]
struct ClassGroup {
    line: ClassLine,
    completions: Vec<Duration>,
}

impl DemoReport {
    /// Draws the report up.
    pub fn new(seed: u64, evidence: &evidence::DemoEvidence) -> DemoReport {
        let conditions = checks::all(evidence);
        let held = conditions.iter().all(checks::ConditionResult::held);
        let bound_ms = millis(evidence.reclaim_bound);
        let claims = checks::reclaim_times(evidence)
            .into_iter()
            .map(|(claim, took)| ClaimLine {
                account: claim.account.clone(),
                guarantee: claim.guarantee.clone().unwrap_or_default(),
                accelerators: claim.tasks,
                reclaim_ms: took.map(millis),
                bound_ms,
            })
            .collect();
        let classes = class_lines(&evidence.told);
        DemoReport { seed, classes, claims, halls: hall_lines(evidence), conditions, held }
    }

    /// The report for people.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = writeln!(text, "{}\n", class_table(&self.classes).trim_fmt());
        let _ = writeln!(text, "{}\n", claim_table(&self.claims).trim_fmt());
        let _ = writeln!(text, "{}\n", hall_table(&self.halls).trim_fmt());
        for result in &self.conditions {
            let verdict = if result.held() { "held  " } else { "BROKEN" };
            let _ = writeln!(text, "{verdict}  {}", result.condition);
            let _ = writeln!(text, "        {} times: {}", result.times, result.checked);
            for fault in &result.faults {
                let _ = writeln!(text, "        found: {fault}");
            }
            let hidden = result.n_faults - result.faults.len();
            if 0 < hidden {
                let _ = writeln!(text, "        and {hidden} more");
            }
        }
        let verdict = if self.held { "all eight held" } else { "not all held" };
        let _ = writeln!(text, "\n{verdict} (seed {})", self.seed);
        text
    }
}

fn class_lines(told: &ledger::LedgerState) -> Vec<ClassLine> {
    let mut groups = BTreeMap::<(ids::AccountId, ids::ClassName), ClassGroup>::new();
    for record in &told.requests {
        let group = groups.entry((record.account.clone(), record.class.clone())).or_default();
        group.count(record.outcome, record.elapsed);
    }
    for job in &told.jobs {
        let group = groups.entry((job.account.clone(), job.class.clone())).or_default();
        match outcome_of(job.end) {
            Some(outcome) => group.count(outcome, job.elapsed),
            None => {
                group.line.count += 1;
                group.line.cancelled += 1;
            }
        }
    }
    let lines = groups.into_iter().map(|((account, class), group)| group.into_line(account, class));
    lines.collect()
}

/// The outcome of a job; none where the demo cancelled it.
fn outcome_of(end: ledger::JobEnd) -> Option<model::RequestOutcome> {
    match end {
        ledger::JobEnd::State(model::JobState::Done) => Some(model::RequestOutcome::Done),
        ledger::JobEnd::State(model::JobState::Failed) => Some(model::RequestOutcome::Failed),
        ledger::JobEnd::State(model::JobState::NotRun) => Some(model::RequestOutcome::NotRun),
        ledger::JobEnd::State(model::JobState::Unknown) => Some(model::RequestOutcome::Unknown),
        ledger::JobEnd::Refused(outcome) => Some(outcome),
        ledger::JobEnd::State(_) | ledger::JobEnd::Unended => None,
    }
}

impl ClassGroup {
    fn count(&mut self, outcome: model::RequestOutcome, elapsed: Duration) {
        self.line.count += 1;
        match outcome {
            model::RequestOutcome::Done => {
                self.line.done += 1;
                self.completions.push(elapsed);
            }
            model::RequestOutcome::Failed => self.line.failed += 1,
            model::RequestOutcome::NotRun => self.line.not_run += 1,
            model::RequestOutcome::Unknown => self.line.unknown += 1,
        }
    }

    fn into_line(mut self, account: ids::AccountId, class: ids::ClassName) -> ClassLine {
        self.completions.sort_unstable();
        let at = |percent: usize| {
            let last = self.completions.len().checked_sub(1)?;
            self.completions.get((last * percent).div_ceil(100)).copied().map(millis)
        };
        ClassLine { account, class, median_ms: at(50), p95_ms: at(95), p99_ms: at(99), ..self.line }
    }
}

fn hall_lines(evidence: &evidence::DemoEvidence) -> Vec<HallLine> {
    let mut halls = BTreeMap::<&ids::HallName, Vec<&evidence::FragmentationSample>>::new();
    for sample in &evidence.fragmentation {
        halls.entry(&sample.hall).or_default().push(sample);
    }
    let mean = |samples: &[&evidence::FragmentationSample],
                of: fn(&evidence::FragmentationSample) -> f64| {
        samples.iter().map(|it| of(it)).sum::<f64>() / samples.len() as f64
    };
    let lines = halls.into_iter().map(|(hall, samples)| HallLine {
        hall: hall.clone(),
        used: mean(&samples, |it| it.used),
        fragmentation: mean(&samples, |it| it.share),
    });
    lines.collect()
}

fn class_table(lines: &[ClassLine]) -> Table {
    let mut table = table([
        "account",
        "class",
        "count",
        "done",
        "failed",
        "not run",
        "unknown",
        "cancelled",
        "median",
        "95th",
        "99th",
    ]);
    for line in lines {
        table.add_row([
            line.account.clone(),
            line.class.clone(),
            line.count.to_string(),
            line.done.to_string(),
            line.failed.to_string(),
            line.not_run.to_string(),
            line.unknown.to_string(),
            line.cancelled.to_string(),
            shown(line.median_ms),
            shown(line.p95_ms),
            shown(line.p99_ms),
        ]);
    }
    table
}

fn claim_table(lines: &[ClaimLine]) -> Table {
    let mut table = table(["guarantee", "of", "accelerators", "reclaimed in", "bound"]);
    for line in lines {
        table.add_row([
            line.guarantee.clone(),
            line.account.clone(),
            line.accelerators.to_string(),
            shown(line.reclaim_ms),
            shown(Some(line.bound_ms)),
        ]);
    }
    table
}

fn hall_table(lines: &[HallLine]) -> Table {
    let mut table = table(["hall", "accelerators in use", "fragmentation"]);
    for line in lines {
        table.add_row([
            line.hall.clone(),
            format!("{:.1}%", line.used * 100.0),
            format!("{:.1}%", line.fragmentation * 100.0),
        ]);
    }
    table
}

fn table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(header.map(str::to_uppercase));
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
    }
    table
}

fn shown(millis: Option<u64>) -> String {
    millis.map_or_else(|| "-".to_owned(), |it| format!("{it} ms"))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
