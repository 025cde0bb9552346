//! Summary of the load that the holder of the tenure measures: how long a job that is submitted now waits, by
//! class, and how much guaranteed capacity each account needs.
//!
//! The wait follows from the work that the order of the scheduler places before a new job of the class, and
//! from the rate at which work of the class started lately while more of it waited.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::core;
use crate::dispatch;
use crate::job;
use crate::order;
use crate::preemption;
use crate::prospect;
use crate::task_key;

/// Shortest interval between two summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two samples of which classes wait.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time constant of the rates at which classes start.
const AVERAGING_TIME: Duration = Duration::from_secs(8);

/// Time constant of the rates over a long time, about as long as a job of the least urgent classes is of use.
const LONG_AVERAGING_TIME: Duration = Duration::from_secs(30);

/// A rate is known once the class has waited for this long within the averaging time.
const MIN_WAITED: Duration = Duration::from_secs(5);

/// Starts from which on a rate is known; older ones count less.
const MIN_STARTS: f64 = 1.0;

/// A job of the class must have waited for this long, or the class counts as served at once.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// Most classes in a summary, those with the longest waits.
pub const MAX_CLASSES: usize = 16;

/// Most accounts in a summary, those that need most.
pub const MAX_ACCOUNTS: usize = 64;

/// Longest wait in a summary. No objective is that long.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// What the core measures for the summary of its load.
#[derive(Clone, Debug, Default)]
pub struct LoadMeter {
    rates: BTreeMap<ids::ClassName, StartRate>,
    /// Classes that waited at the last sample.
    waiting: BTreeSet<ids::ClassName>,
    sampled_at: Option<Duration>,
    summary: Option<(Duration, model::LoadSummary)>,
}

/// Work of a class that started while more of it waited; older work counts less.
#[derive(Clone, Copy, Debug, Default)]
struct StartRate {
    /// Weight of the starts since the last sample.
    unsampled: f64,
    unsampled_squares: f64,
    started: f64,
    squares: f64,
    /// Seconds in which the class waited.
    waited_s: f64,
    /// Weight of all starts over a long time, whether or not the class waited.
    long_started: f64,
    long_squares: f64,
    /// Seconds of that time.
    long_s: f64,
}

impl StartRate {
    fn sample(&mut self, elapsed: Duration, waited: bool) {
        let decay = (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        let long_decay = (-elapsed.as_secs_f64() / LONG_AVERAGING_TIME.as_secs_f64()).exp();
        self.long_started = self.long_started * long_decay + self.unsampled;
        self.long_squares = self.long_squares * long_decay + self.unsampled_squares;
        self.long_s = self.long_s * long_decay + elapsed.as_secs_f64();
        let share = f64::from(waited);
        self.started = self.started * decay + share * self.unsampled;
        self.squares = self.squares * decay + share * self.unsampled_squares;
        self.waited_s = self.waited_s * decay + share * elapsed.as_secs_f64();
        (self.unsampled, self.unsampled_squares) = (0.0, 0.0);
    }

    /// Time in which `weight` starts: as expected, and the low end of it.
    fn waits(&self, weight: f64) -> Option<(Duration, Duration)> {
        // A class of which nothing started for long has no known rate: capacity may come free at once.
        let n_starts = n_equal(self.long_started, self.long_squares);
        if self.waited_s < MIN_WAITED.as_secs_f64() || n_starts < MIN_STARTS {
            return None;
        }
        // Starts come one by one, so the rate is uncertain by the root of the sum of their squares.
        let short = (self.started + self.squares.sqrt()) / self.waited_s;
        // A class that gets nothing for some seconds may soon get as much as it usually does.
        let long = self.long_started / self.long_s;
        let has_started = n_equal(self.started, self.squares) >= MIN_STARTS;
        let likely = if has_started { self.started / self.waited_s } else { long };
        let high = short.max(long);
        let time = |rate: f64| {
            Duration::try_from_secs_f64(weight / rate).unwrap_or(MAX_WAIT).min(MAX_WAIT)
        };
        Some((time(likely), time(high)))
    }
}

/// Number of equal starts that have this sum of weights and of their squares.
fn n_equal(sum: f64, squares: f64) -> f64 {
    sum * sum / squares.max(f64::MIN_POSITIVE)
}

/// Work that the order of the scheduler places before a new job of a class.
#[derive(Clone, Copy, Debug, Default)]
struct WorkAhead {
    in_time: f64,
    late: f64,
}

impl core::PoolCore {
    /// Summary of the load at `now`, measured at most once a second; `None` while no class waits, and while
    /// `refuse_hopeless` is off.
    pub fn load_summary(&mut self, now: Duration) -> Option<model::LoadSummary> {
        if !self.scheduling.refuse_hopeless {
            return None;
        }
        let is_due = |(measured_at, _): &(Duration, _)| now >= *measured_at + SUMMARY_INTERVAL;
        if self.load.summary.as_ref().is_none_or(is_due) {
            self.load.summary = Some((now, self.measure_load(now)));
        }
        let (measured_at, summary) = self.load.summary.clone()?;
        let age_ms = now.saturating_sub(measured_at).as_millis() as u64;
        (!summary.classes.is_empty()).then_some(model::LoadSummary { age_ms, ..summary })
    }

    /// Counts starts for the rates of their classes, and samples which classes wait.
    pub(crate) fn meter_starts(&mut self, orders: &[order::PoolOrder]) {
        if !self.scheduling.refuse_hopeless {
            return;
        }
        for order in orders {
            if let order::PoolOrder::Start(start) = order {
                self.meter_start(start.task);
            }
        }
        self.sample_waits(self.last_round_at);
    }

    fn meter_start(&mut self, key: task_key::TaskKey) {
        let Some(job) = self.jobs.get(&key.graph) else { return };
        let Some(step) = job.step(key) else { return };
        let weight = step.task_resources().weight() as f64;
        let rate = self.load.rates.entry(job.class.clone()).or_default();
        rate.unsampled += weight;
        rate.unsampled_squares += weight * weight;
    }

    fn sample_waits(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(*self.load.sampled_at.get_or_insert(now));
        if elapsed < SAMPLE_INTERVAL {
            return;
        }
        self.load.sampled_at = Some(now);
        let waits =
            |(graph, job): &(ids::GraphId, &job::JobRecord)| self.waits_long(*graph, job, now);
        let waiting = self.active_jobs().filter(waits).map(|(_, it)| it.class.clone());
        let waiting = waiting.collect::<BTreeSet<_>>();
        for class in &waiting {
            self.load.rates.entry(class.clone()).or_default();
        }
        for (class, rate) in &mut self.load.rates {
            rate.sample(elapsed, waiting.contains(class));
        }
        self.load.rates.retain(|class, it| waiting.contains(class) || it.long_started > 1.0);
        self.load.waiting = waiting;
    }

    /// Whether a unit of a job has been ready for a while and has not started.
    fn waits_long(&self, graph: ids::GraphId, job: &job::JobRecord, now: Duration) -> bool {
        let units = dispatch::waiting_units_of(graph, job, self.wall_time);
        let Some(unit) = units.first() else { return false };
        let step = job.steps.get(unit.step as usize);
        let task = step.and_then(|it| it.tasks.get(unit.task.unwrap_or_default() as usize));
        task.is_some_and(|it| now >= it.waiting_since + MIN_WAIT)
    }

    fn measure_load(&self, now: Duration) -> model::LoadSummary {
        let mut ahead = BTreeMap::<&str, WorkAhead>::new();
        for (_, job) in self.active_jobs() {
            let weight = unstarted_weight(job);
            let work = ahead.entry(&job.class).or_default();
            match self.prospect(job, now) {
                prospect::JobProspect::InTime => work.in_time += weight,
                prospect::JobProspect::Late => work.late += weight,
                // Such a job starts after all others of its class.
                prospect::JobProspect::Expired => {}
            }
        }
        let loads = ahead.into_iter().filter_map(|(class, it)| self.class_load(class, it));
        let mut classes = loads.collect::<Vec<_>>();
        classes.sort_by_key(|it| std::cmp::Reverse(it.late_wait_ms));
        classes.truncate(MAX_CLASSES);
        let accounts = if classes.is_empty() { Vec::new() } else { self.guaranteed_needs() };
        model::LoadSummary { age_ms: 0, classes, accounts }
    }

    /// Load of a class; `None` if a new job of it does not wait, or for an unknown time.
    fn class_load(&self, class: &str, ahead: WorkAhead) -> Option<model::ClassLoad> {
        let spec = self.catalog.classes.get(class)?;
        if !self.load.waiting.contains(class) || self.underused.contains(&spec.upstream) {
            return None;
        }
        let rate = self.load.rates.get(class)?;
        let (wait, low_wait) = rate.waits(ahead.in_time)?;
        let (late_wait, low_late_wait) = rate.waits(ahead.in_time + ahead.late)?;
        let whole_ms = |it: Duration| it.as_millis() as u64;
        Some(model::ClassLoad {
            class: class.to_owned(),
            wait_ms: whole_ms(wait),
            low_wait_ms: whole_ms(low_wait),
            late_wait_ms: whole_ms(late_wait),
            low_late_wait_ms: whole_ms(low_late_wait),
            run_ms: whole_ms(self.run_times.known_mean(class)?),
        })
    }

    /// Accelerators that the urgent work of the accounts with a guarantee needs.
    fn guaranteed_needs(&self) -> Vec<model::AccountLoad> {
        let mut needs = BTreeMap::<&ids::AccountId, u32>::new();
        let urgent =
            self.active_jobs().filter(|(_, it)| it.priority == preemption::URGENT_PRIORITY);
        for (_, job) in urgent {
            if let Some(account) = &job.account {
                *needs.entry(account).or_default() += job.accelerators();
            }
        }
        let guaranteed =
            needs.into_iter().filter(|(it, _)| self.catalog.guaranteed.contains_key(*it));
        let needed = |(account, urgent_accelerators): (&ids::AccountId, u32)| model::AccountLoad {
            account: account.clone(),
            urgent_accelerators,
        };
        let mut accounts = guaranteed.map(needed).collect::<Vec<_>>();
        accounts.sort_by_key(|it| std::cmp::Reverse(it.urgent_accelerators));
        accounts.truncate(MAX_ACCOUNTS);
        accounts
    }
}

/// Weight of the tasks of a job that have not started; zero for a timed job, whose runs are not due yet.
fn unstarted_weight(job: &job::JobRecord) -> f64 {
    if job.schedule.is_some() {
        return 0.0;
    }
    let weight = |it: &job::StepRecord| {
        let n_unstarted = it.tasks.iter().filter(|it| !it.done && it.run.is_none()).count();
        n_unstarted as f64 * it.task_resources().weight() as f64
    };
    job.steps.iter().map(weight).sum()
}
