//! The only writer of a tenure: renews the tenure and saves the core's changes, one write at a time.
//!
//! Each write is conditional on the version of the tenure's row and rewrites that row. So a write of an
//! earlier holder never succeeds after a write of a later holder, and a delayed copy of a write whose answer
//! was lost never succeeds after a newer write of the same holder.

use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{save_queue, saving};
use almondpass_peer::{codec, error};
use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::keys;
use almondpass_schema::{blob, ids, model};
use tokio::time;

use crate::leader;
use crate::state;
use crate::store_call;

/// Changes are collected for this long before they are saved. Ends of tasks come in bursts and each call to
/// the store is paid for, while latency objectives of jobs are seconds.
const SAVE_BATCH_DELAY: Duration = Duration::from_millis(50);

/// Most rows of one write: the platform takes 100 entries per call, conditions included.
const MAX_ROWS: usize = 90;

/// Content of the rows of one write, in bytes, after which no further row is added: the platform takes calls
/// of 1 MB with content as base64, and a single row is limited to half of that.
const MAX_BYTES: usize = 512 << 10;

/// Wait before a failed write is tried again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Writes until the tenure ends or its release is due, which it also is when the instance leaves; then
/// releases the tenure.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    leader: &Arc<leader::LeaderState>,
    taken: ids::RowVersion,
) {
    let mut writer = TenureWriter { state, leader, version: taken, renewal: 0 };
    while !leader.ended.is_cancelled() {
        let is_release = writer.wait_for_work().await;
        if is_release {
            // No order is sent from here on; the release also saves the remaining changes.
            leader.tenure().end();
        }
        if !writer.save(is_release).await || is_release {
            return;
        }
    }
}

struct TenureWriter<'a, S> {
    state: &'a state::PoolState<S>,
    leader: &'a leader::LeaderState,
    version: ids::RowVersion,
    renewal: u64,
}

/// Rows to be written, both as the core knows them and as they are sent.
#[derive(Default)]
struct WriteBatch {
    rows: Vec<saving::SaveRow>,
    writes: Vec<model::TableWrite>,
}

impl WriteBatch {
    /// Splits the rows into two halves.
    fn halves(mut self) -> (WriteBatch, WriteBatch) {
        let middle = self.rows.len() / 2;
        let rows = self.rows.split_off(middle);
        let writes = self.writes.split_off(middle);
        (self, WriteBatch { rows, writes })
    }
}

/// Outcome of a write.
enum WriteOutcome {
    /// The write is durable.
    Written,
    /// The tenure is lost, or the write was abandoned.
    Stopped,
    /// The store permanently rejects one of the rows.
    Rejected(error::CallError),
}

impl<S: state::PoolAdapters> TenureWriter<'_, S> {
    /// Waits until a write is due. Returns whether it is to release the tenure.
    async fn wait_for_work(&self) -> bool {
        let renewal = self.state.settings.tenure.renewal_interval;
        if !self.leader.is_exclusive(self.state.adapters.clock()) {
            return self.should_release();
        }
        tokio::select! {
            biased;
            () = self.state.shutdown.cancelled() => return true,
            () = self.leader.release_requested.cancelled() => return true,
            () = self.leader.ended.cancelled() => return false,
            () = time::sleep(renewal) => return false,
            () = self.leader.save_due.notified() => {}
        }
        time::sleep(SAVE_BATCH_DELAY).await;
        self.should_release()
    }

    fn should_release(&self) -> bool {
        self.state.shutdown.is_cancelled() || self.leader.release_requested.is_cancelled()
    }

    /// Saves the core's changes and renews the tenure with them. Returns whether this instance still holds
    /// the tenure.
    ///
    /// A row that the store rejects permanently, such as one that is too large, would otherwise be sent until
    /// the tenure lapses, and then by each successor. Halving the batch isolates it in a few writes, each of
    /// which renews the tenure.
    async fn save(&mut self, released: bool) -> bool {
        let mut pending = vec![self.take_rows()];
        while let Some(sent) = pending.pop() {
            let released = released && pending.is_empty();
            match self.write(&sent.writes, released).await {
                WriteOutcome::Written => self.mark_saved(sent.rows),
                WriteOutcome::Stopped => return false,
                WriteOutcome::Rejected(error) if sent.rows.len() == 1 => {
                    self.exclude_refused_row(&sent, &error);
                    if released {
                        pending.push(WriteBatch::default());
                    }
                }
                WriteOutcome::Rejected(_) => {
                    let (first, second) = sent.halves();
                    pending.extend([second, first]);
                }
            }
        }
        true
    }

    fn take_rows(&self) -> WriteBatch {
        let now = self.state.adapters.clock().now();
        let mut writes = Vec::new();
        let mut n_bytes = 0;
        let batch = self.leader.core().take_save_batch(now, |row| {
            let write = encode_row(row);
            n_bytes += encoded_size(&write);
            writes.push(write);
            writes.len() < MAX_ROWS && n_bytes < MAX_BYTES
        });
        WriteBatch { rows: batch.map(|it| it.rows).unwrap_or_default(), writes }
    }

    fn mark_saved(&self, rows: Vec<saving::SaveRow>) {
        if rows.is_empty() {
            return;
        }
        self.leader.core().batch_saved(saving::SaveBatch { rows });
        self.leader.saved.notify_waiters();
        self.leader.round_due.notify_one();
    }

    fn exclude_refused_row(&self, sent: &WriteBatch, error: &error::CallError) {
        for (row, write) in sent.rows.iter().zip(&sent.writes) {
            let n_bytes = encoded_size(write);
            tracing::error!(key = write.key, n_bytes, %error, "row is refused and set apart");
            metrics::counter!("almondpass_pool_rows_refused_total").increment(1);
            let mut core = self.leader.core();
            core.row_refused(row.key, self.state.adapters.clock().now());
            metrics::gauge!("almondpass_pool_rows_set_apart").set(core.n_refused_rows() as f64);
        }
    }

    /// Writes until the outcome is certain.
    async fn write(&mut self, rows: &[model::TableWrite], released: bool) -> WriteOutcome {
        self.renewal += 1;
        let first_sent = self.state.adapters.clock().now();
        let writes = self.with_tenure(rows, released);
        let renewed_from = loop {
            let sent_at = self.state.adapters.clock().now();
            let outcome = self.transact(writes.clone()).await;
            match outcome {
                Ok(model::TableOutcome::Committed { versions }) => {
                    self.version = versions.first().copied().unwrap_or_default();
                    break sent_at;
                }
                Ok(model::TableOutcome::Conflict { rows }) => match self.classify_conflict(&rows) {
                    // Any of the attempts may have succeeded, so the term counts from the first one.
                    ConflictKind::Written(version) => {
                        self.version = version;
                        break first_sent;
                    }
                    ConflictKind::Outdated(version) => self.version = version,
                    ConflictKind::Lost => return WriteOutcome::Stopped,
                },
                Err(error) if error.fault.is_permanent() && !rows.is_empty() => {
                    return WriteOutcome::Rejected(error);
                }
                Err(error) => {
                    self.record_failure(&error);
                    if released || self.leader.ended.is_cancelled() {
                        return WriteOutcome::Stopped;
                    }
                    time::sleep(WRITE_RETRY_DELAY).await;
                }
            }
        };
        self.leader.tenure().record_renewal(renewed_from);
        WriteOutcome::Written
    }

    fn record_failure(&self, error: &error::CallError) {
        let now = self.state.adapters.clock().now();
        let status = self.leader.tenure().status(now);
        tracing::warn!(%error, standing = ?status, renewal = self.renewal, "write of the tenure failed");
        self.leader.tenure().record_failure(self.state.adapters.clock().now());
    }

    async fn transact(
        &self,
        writes: Vec<model::TableWrite>,
    ) -> Result<model::TableOutcome, error::CallError> {
        let condition = model::TableCondition { key: keys::pool_tenure(), version: self.version };
        let transaction = model::TableTransaction { conditions: vec![condition], writes };
        store_call::transact(self.state, transaction).await
    }

    /// The writes of the rows, preceded by that of the tenure's row.
    fn with_tenure(&self, rows: &[model::TableWrite], released: bool) -> Vec<model::TableWrite> {
        let settings = &self.state.settings;
        let now = self.state.adapters.clock().now();
        let (losses, settles_in, notes_silence) = {
            let core = self.leader.core();
            (core.recent_losses(now), core.settles_in(now), core.keeps_silence_notes())
        };
        let tenure = model::PoolTenure {
            holder: settings.instance.clone(),
            address: settings.peer_address.clone(),
            epoch: self.leader.epoch,
            renewal: self.renewal,
            released,
            settles_in_ms: settles_in.as_millis() as u64,
            notes_silence,
            strongest_milli: self.state.strongest_milli(),
            earlier: self.leader.predecessors().row_entries(now),
            names_earlier: true,
            n_unserved: self.n_unserved(now),
            losses: Some(losses),
        };
        let mut writes = vec![encode_write(keys::pool_tenure(), &tenure)];
        writes.extend_from_slice(rows);
        writes
    }

    /// Number of tenures in a row that were not served, as the row tells it. A holder that leaves because it was
    /// asked to would have served its tenure.
    fn n_unserved(&self, now: Duration) -> u32 {
        if self.state.shutdown.is_cancelled() { 0 } else { self.leader.n_unserved(now) }
    }

    /// Interprets a failed condition by the tenure's row as it stands in the store.
    fn classify_conflict(&self, rows: &[model::TableRow]) -> ConflictKind {
        let row = rows.iter().find(|it| it.key == keys::pool_tenure());
        let tenure = row.and_then(|it| it.value.as_ref());
        let tenure = tenure.and_then(|it| codec::decode::<model::PoolTenure>(it).ok());
        let (Some(row), Some(tenure)) = (row, tenure) else { return ConflictKind::Lost };
        let is_ours =
            tenure.holder == self.state.settings.instance && tenure.epoch == self.leader.epoch;
        if !is_ours {
            self.log_lost_tenure(&tenure);
            return ConflictKind::Lost;
        }
        // An earlier attempt of this write succeeded and its answer was lost.
        if tenure.renewal == self.renewal {
            return ConflictKind::Written(row.version);
        }
        ConflictKind::Outdated(row.version)
    }

    fn log_lost_tenure(&self, successor: &model::PoolTenure) {
        let now = self.state.adapters.clock().now();
        let exclusive_until = self.leader.tenure().exclusive_until();
        let ordered_at = self.leader.ordered_at();
        let ordered_past_term = ordered_at.map(|it| it.saturating_sub(exclusive_until));
        tracing::warn!(
            holder = successor.holder,
            epoch = successor.epoch,
            past_term_ms = now.saturating_sub(exclusive_until).as_millis() as u64,
            ordered_past_term_ms = ordered_past_term.map(|it| it.as_millis() as u64),
            "tenure was lost"
        );
    }
}

enum ConflictKind {
    Written(ids::RowVersion),
    Outdated(ids::RowVersion),
    Lost,
}

fn encode_row(row: &saving::SaveRow) -> model::TableWrite {
    let key = match row.key {
        save_queue::SaveRowKey::Progress { graph, chunk } => keys::progress(graph, chunk),
        save_queue::SaveRowKey::Roster { page } => keys::roster(page),
        save_queue::SaveRowKey::Speeds => keys::speeds(),
    };
    match &row.content {
        saving::SaveContent::Progress(content) => encode_write(key, content),
        saving::SaveContent::Roster(content) => encode_write(key, content),
        saving::SaveContent::Speeds(content) => encode_write(key, content),
        saving::SaveContent::Removed => removal_write(key),
    }
}

/// Bytes that a write sends, before they are encoded for the store.
pub(crate) fn encoded_size(write: &model::TableWrite) -> usize {
    write.key.len() + write.value.as_ref().map_or(0, |it| it.len())
}

/// A write that removes the row of `key`.
pub(crate) fn removal_write(key: ids::RowKey) -> model::TableWrite {
    model::TableWrite { key, value: None }
}

/// A write that stores the encoded message under `key`.
pub(crate) fn encode_write<M: serde::Serialize>(
    key: ids::RowKey,
    content: &M,
) -> model::TableWrite {
    // Encoding fails only for types that no message has, such as maps with keys that are not strings.
    let value = codec::encode(content).map(|it| blob::Blob::from(it.to_vec())).ok();
    model::TableWrite { key, value }
}
