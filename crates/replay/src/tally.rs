//! What a replay measured.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_schema::ids;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Digits kept by the histograms.
const DIGITS: u8 = 3;
/// Slowdowns are recorded in thousandths.
const SLOWDOWN_UNIT: f64 = 1_000.0;
/// Run times below this count as this in a slowdown, so that a blink does not dominate.
const SLOWDOWN_FLOOR: Duration = Duration::from_secs(1);

/// Spans in milliseconds or plain numbers, merged over seeds.
#[derive(Clone, Debug)]
pub struct SpanHistogram {
    values: Histogram<u64>,
}

impl Default for SpanHistogram {
    fn default() -> SpanHistogram {
        SpanHistogram { values: Histogram::new(DIGITS).expect("digits in range") }
    }
}

impl SpanHistogram {
    /// Records a span in milliseconds.
    pub fn record(&mut self, span: Duration) {
        self.record_number(span.as_millis() as u64);
    }

    /// Records a number.
    pub fn record_number(&mut self, number: u64) {
        self.values.record(number).expect("a histogram that resizes");
    }

    /// Adds what another one recorded.
    pub fn merge(&mut self, other: &SpanHistogram) {
        self.values.add(&other.values).expect("histograms that resize");
    }

    /// Its count, percentiles and greatest value.
    pub fn summary(&self, unit: f64) -> SpanSummary {
        let at = |quantile| self.values.value_at_quantile(quantile) as f64 / unit;
        SpanSummary {
            n: self.values.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: self.values.max() as f64 / unit,
        }
    }
}

/// Count and percentiles.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SpanSummary {
    /// Samples.
    pub n: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Greatest.
    pub max: f64,
}

/// Measures of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassTally {
    completion: SpanHistogram,
    slowdown: SpanHistogram,
    start_wait: SpanHistogram,
    done: u64,
    failed: u64,
    unfinished: u64,
}

impl ClassTally {
    /// Work of this class ended well.
    pub fn done(&mut self, completion: Duration, run: Duration) {
        self.done += 1;
        self.took(completion, run);
    }

    /// Work of this class did not end within the replay; its age is a lower bound.
    pub fn unfinished(&mut self, age: Duration, run: Duration) {
        self.unfinished += 1;
        self.took(age, run);
    }

    /// Work of this class was given up.
    pub fn failed(&mut self) {
        self.failed += 1;
    }

    /// Work of this class started for the first time, or never did in this long.
    pub fn started(&mut self, wait: Duration) {
        self.start_wait.record(wait);
    }

    fn took(&mut self, completion: Duration, run: Duration) {
        self.completion.record(completion);
        let slowdown = completion.as_secs_f64() / run.max(SLOWDOWN_FLOOR).as_secs_f64();
        self.slowdown.record_number((slowdown * SLOWDOWN_UNIT) as u64);
    }

    fn merge(&mut self, other: &ClassTally) {
        self.completion.merge(&other.completion);
        self.slowdown.merge(&other.slowdown);
        self.start_wait.merge(&other.start_wait);
        self.done += other.done;
        self.failed += other.failed;
        self.unfinished += other.unfinished;
    }
}

/// Accelerator time in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcceleratorTime {
    /// Of live workers.
    pub live: f64,
    /// Held.
    pub held: f64,
    /// Free.
    pub free: f64,
    /// Free but in no run of the largest guaranteed or waiting shape.
    pub fragmented: f64,
    /// Run and thrown away.
    pub lost: f64,
}

/// Everything one or several replays measured.
#[derive(Clone, Debug, Default)]
pub struct ReplayTally {
    /// By class.
    pub classes: BTreeMap<ids::ClassName, ClassTally>,
    /// Accelerator time while work arrived.
    pub time: AcceleratorTime,
    /// Wait of claims of a guarantee until they started.
    pub reclaim: SpanHistogram,
    /// Claims that started within the reclaim bound.
    pub reclaims_met: u64,
    /// Claims.
    pub reclaims: u64,
    /// Claims past the bound while no worker was dead, drained or poisoned.
    pub reclaims_missed_healthy: u64,
    /// Wait of gangs until their first start.
    pub gang_wait: SpanHistogram,
    /// Gangs' time from arrival to end less their own run time.
    pub gang_delay: SpanHistogram,
    /// Work stopped for the sake of other work and queued again.
    pub preemptions: u64,
    /// Urgent work that started within its bound, and all urgent work.
    pub urgent_met: u64,
    /// Urgent work.
    pub urgent: u64,
    /// Work refused on arrival.
    pub refused: u64,
    /// Impossible work that was not refused.
    pub impossible_accepted: u64,
    /// Real time of the turns in nanoseconds.
    pub turn_cost: SpanHistogram,
}

impl ReplayTally {
    /// The tally of a class.
    pub fn class(&mut self, class: &ids::ClassName) -> &mut ClassTally {
        self.classes.entry(class.clone()).or_default()
    }

    /// Adds what another replay measured.
    pub fn merge(&mut self, other: &ReplayTally) {
        for (class, tally) in &other.classes {
            self.class(class).merge(tally);
        }
        self.time.live += other.time.live;
        self.time.held += other.time.held;
        self.time.free += other.time.free;
        self.time.fragmented += other.time.fragmented;
        self.time.lost += other.time.lost;
        self.reclaim.merge(&other.reclaim);
        self.reclaims_met += other.reclaims_met;
        self.reclaims += other.reclaims;
        self.reclaims_missed_healthy += other.reclaims_missed_healthy;
        self.gang_wait.merge(&other.gang_wait);
        self.gang_delay.merge(&other.gang_delay);
        self.preemptions += other.preemptions;
        self.urgent_met += other.urgent_met;
        self.urgent += other.urgent;
        self.refused += other.refused;
        self.impossible_accepted += other.impossible_accepted;
        self.turn_cost.merge(&other.turn_cost);
    }

    /// The figures.
    pub fn summary(&self) -> ReplaySummary {
        let classes = self.classes.iter().map(|(name, it)| it.summary(name)).collect();
        ReplaySummary {
            classes,
            fragmentation: ratio(self.time.fragmented, self.time.free),
            utilisation: ratio(self.time.held, self.time.live),
            lost_share: ratio(self.time.lost, self.time.held),
            lost_accelerator_hours: self.time.lost / 3_600.0,
            reclaim_seconds: self.reclaim.summary(1_000.0),
            reclaim_met: ratio(self.reclaims_met as f64, self.reclaims as f64),
            reclaims_missed_healthy: self.reclaims_missed_healthy,
            gang_wait_seconds: self.gang_wait.summary(1_000.0),
            gang_delay_seconds: self.gang_delay.summary(1_000.0),
            urgent_met: ratio(self.urgent_met as f64, self.urgent as f64),
            preemptions: self.preemptions,
            refused: self.refused,
            impossible_accepted: self.impossible_accepted,
            turn_milliseconds: self.turn_cost.summary(1_000_000.0),
        }
    }
}

impl ClassTally {
    fn summary(&self, class: &ids::ClassName) -> ClassSummary {
        ClassSummary {
            class: class.clone(),
            completion_seconds: self.completion.summary(1_000.0),
            slowdown: self.slowdown.summary(SLOWDOWN_UNIT),
            start_wait_seconds: self.start_wait.summary(1_000.0),
            done: self.done,
            failed: self.failed,
            unfinished: self.unfinished,
        }
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole == 0.0 { 0.0 } else { part / whole }
}

/// Figures of one policy at one load.
#[derive(Clone, Debug, Serialize)]
pub struct ReplaySummary {
    /// By class.
    pub classes: Vec<ClassSummary>,
    /// Share of free accelerator time in no run of the largest guaranteed or waiting shape.
    pub fragmentation: f64,
    /// Held share of the live accelerator time.
    pub utilisation: f64,
    /// Share of the held accelerator time that was thrown away.
    pub lost_share: f64,
    /// Accelerator time thrown away.
    pub lost_accelerator_hours: f64,
    /// Wait of claims.
    pub reclaim_seconds: SpanSummary,
    /// Share of claims within the bound.
    pub reclaim_met: f64,
    /// Claims past the bound with no worker faulty meanwhile.
    pub reclaims_missed_healthy: u64,
    /// Wait of gangs until their first start.
    pub gang_wait_seconds: SpanSummary,
    /// Completion of gangs less their own run time.
    pub gang_delay_seconds: SpanSummary,
    /// Share of urgent work that started within the urgent bound.
    pub urgent_met: f64,
    /// Work stopped and queued again.
    pub preemptions: u64,
    /// Work refused on arrival.
    pub refused: u64,
    /// Impossible work that was accepted.
    pub impossible_accepted: u64,
    /// Real time of a turn.
    pub turn_milliseconds: SpanSummary,
}

/// Figures of one class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassSummary {
    /// The class.
    pub class: ids::ClassName,
    /// Arrival to end.
    pub completion_seconds: SpanSummary,
    /// Completion over own run time.
    pub slowdown: SpanSummary,
    /// Arrival to first start.
    pub start_wait_seconds: SpanSummary,
    /// Ended well.
    pub done: u64,
    /// Given up.
    pub failed: u64,
    /// Did not end within the replay.
    pub unfinished: u64,
}
