//! The learned speeds of workers that a successor reads: one row of bounded size.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::core;
use crate::save_queue;
use crate::worker;
use crate::worker_speed;

/// Most entries of the row.
pub const MAX_ENTRIES: usize = 1_000;

/// Most bytes of the row.
pub const MAX_BYTES: usize = 32 << 10;

/// Upper bound for the bytes of the row without its entries.
const HEAD_BYTES: usize = 64;

/// Upper bound for the bytes of an entry without the id of its worker.
const ENTRY_BYTES: usize = 60;

/// Least time between two writes of the row.
const WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// An estimate has changed if it differs by more than this many hundredths.
const MIN_CHANGE_PERCENT: u32 = 3;

/// Part of the samples of an earlier holder that counts, as the worker may have changed since.
const INHERITED_SHARE: f64 = 0.5;

/// What was last written of the speeds, and when.
#[derive(Clone, Debug, Default)]
pub struct SpeedRowState {
    written: Option<model::SpeedRow>,
    written_at: Option<Duration>,
}

impl SpeedRowState {
    fn is_due(&self, now: Duration) -> bool {
        self.written_at.is_none_or(|it| now >= it + WRITE_INTERVAL)
    }

    fn differs_from(&self, row: &model::SpeedRow) -> bool {
        let Some(written) = &self.written else { return !row.workers.is_empty() };
        let by_worker =
            written.workers.iter().map(|it| (&it.worker, it)).collect::<BTreeMap<_, _>>();
        let is_same = |entry: &model::SpeedEntry| {
            by_worker.get(&entry.worker).is_some_and(|it| !has_changed(it, entry))
        };
        row.workers.len() != written.workers.len() || !row.workers.iter().all(is_same)
    }
}

/// Whether an entry differs by more than rounding, or is known far better.
fn has_changed(written: &model::SpeedEntry, entry: &model::SpeedEntry) -> bool {
    written.incarnation != entry.incarnation
        || written.percent.abs_diff(entry.percent) > MIN_CHANGE_PERCENT
        || entry.samples >= 2 * written.samples
}

impl core::PoolCore {
    /// Marks the row of speeds as changed if it differs from what was written, once the last write is long
    /// enough ago. The row then goes with the next write of the tenure and costs no call of its own.
    pub(crate) fn mark_speeds_changed(&mut self, now: Duration) {
        if !self.scheduling.remember_speeds || !self.speeds.row.is_due(now) {
            return;
        }
        self.speeds.row.written_at = Some(now);
        let Some(row) = self.speed_row() else { return };
        if self.speeds.row.differs_from(&row) {
            self.unsaved.mark_changed(save_queue::SaveRowKey::Speeds);
        }
    }

    /// The row as it is written now.
    pub(crate) fn speed_row_to_save(&mut self) -> model::SpeedRow {
        let row = self.speed_row().or_else(|| self.speeds.row.written.clone());
        let row = row.unwrap_or(model::SpeedRow { noise_percent: 0, workers: Vec::new() });
        tracing::debug!(n_workers = row.workers.len(), "learned speeds of workers are written");
        self.speeds.row.written = Some(row.clone());
        row
    }

    /// The learned speeds of the workers that differ most from the usual one and are known best, as many as
    /// the bounds allow; `None` while no workers were seen to differ.
    pub fn speed_row(&self) -> Option<model::SpeedRow> {
        let noise = self.speeds.noise()?;
        let known = self.workers.iter().filter(|(_, it)| self.has_lasting_speed(it));
        let mut known = known.collect::<Vec<_>>();
        known.sort_by_cached_key(|(_, it)| {
            // The estimate is drawn towards the usual speed, less so the more samples there are. Its distance
            // therefore ranks workers by difference and by certainty.
            Reverse((it.speed.log_factor().abs() * 1e6) as u64)
        });
        let mut n_bytes = HEAD_BYTES;
        let fitting = known.into_iter().take(MAX_ENTRIES).take_while(|(id, _)| {
            n_bytes += ENTRY_BYTES + id.len();
            n_bytes <= MAX_BYTES
        });
        let workers = fitting.map(|(id, it)| speed_entry(id, it)).collect();
        Some(model::SpeedRow { noise_percent: (100.0 * noise.sqrt()).round() as u32, workers })
    }

    /// Whether the speed of a worker is known and is that of the incarnation in the list.
    fn has_lasting_speed(&self, worker: &worker::WorkerRecord) -> bool {
        worker.listed
            && worker.is_listed_incarnation()
            && worker.speed.n_runs() > 0.0
            && self.speeds.spread(&worker.place.upstream).is_some()
    }

    /// Takes over the speeds that an earlier holder learned of the listed incarnations of workers.
    pub fn inherit_speeds(&mut self, row: model::SpeedRow, now: Duration) {
        if !self.scheduling.remember_speeds {
            return;
        }
        let noise = f64::from(row.noise_percent) / 100.0;
        let mut n_inherited = 0;
        for entry in row.workers.iter().take(MAX_ENTRIES).filter(|it| it.percent > 0) {
            let Some(record) = self.workers.get_mut(&entry.worker).filter(|it| it.listed) else {
                continue;
            };
            if record.entry.incarnation != entry.incarnation {
                continue;
            }
            let mean = (f64::from(entry.percent) / 100.0).ln();
            let n_runs = INHERITED_SHARE * f64::from(entry.samples);
            record.speed = worker_speed::WorkerSpeed::inherited(mean, n_runs, noise);
            n_inherited += 1;
        }
        tracing::info!(
            n_entries = row.workers.len(),
            n_inherited,
            noise_percent = row.noise_percent,
            "learned speeds of workers are taken over"
        );
        self.speeds.row = SpeedRowState { written: Some(row), written_at: Some(now) };
    }
}

impl worker::WorkerRecord {
    /// Forgets an inherited speed if the worker answers in another incarnation than the listed one.
    pub(crate) fn drop_speed_of_other_incarnation(&mut self) {
        if !self.is_listed_incarnation() {
            self.speed = worker_speed::WorkerSpeed::default();
        }
    }
}

fn speed_entry(id: &ids::WorkerId, worker: &worker::WorkerRecord) -> model::SpeedEntry {
    model::SpeedEntry {
        worker: id.clone(),
        incarnation: worker.entry.incarnation,
        percent: (100.0 * worker.speed.mean().exp()).round() as u32,
        samples: (worker.speed.n_runs().round() as u32).max(1),
    }
}
