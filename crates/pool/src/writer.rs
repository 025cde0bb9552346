//! The only writer of a tenure: renews it and saves what has changed, one write after the other.
//!
//! Each write is conditional on the tenure's row and writes it anew. So no write of an earlier
//! holder can follow one of a later holder, and no late copy of a write, whose answer was lost,
//! can follow a newer one of the same holder.

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

/// Changes gather for this long before they are saved. Ends of tasks come in bursts, and each
/// call to the store is paid for; a job's objective is seconds.
const GATHERING: Duration = Duration::from_millis(50);

/// Rows of one write: the platform takes 100 entries, conditions included.
const MOST_ROWS: usize = 90;

/// Content of the rows of one write, in bytes, the last row beyond it: the platform takes calls of
/// 1 MB, content as base64, and a row is bounded to half of what it takes.
const MOST_BYTES: usize = 512 << 10;

/// Wait before a failed write is tried again.
const WRITE_AGAIN: Duration = Duration::from_millis(120);

/// Writes until the tenure is over or to be given up, as it is when the instance leaves; then gives
/// it up.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    leader: &Arc<leader::LeaderState>,
    taken: ids::RowVersion,
) {
    let mut writer = TenureWriter { state, leader, version: taken, renewal: 0 };
    while !leader.ended.is_cancelled() {
        let is_last = writer.wait().await;
        if is_last {
            // No order leaves from here on; what is known is saved with the release.
            leader.tenure().end();
        }
        if !writer.save(is_last).await || is_last {
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

/// Rows that are to be written, as they are known to the core and as they are sent.
#[derive(Default)]
struct SentRows {
    rows: Vec<saving::SaveRow>,
    writes: Vec<model::TableWrite>,
}

impl SentRows {
    /// Halves of the rows.
    fn halves(mut self) -> (SentRows, SentRows) {
        let middle = self.rows.len() / 2;
        let rows = self.rows.split_off(middle);
        let writes = self.writes.split_off(middle);
        (self, SentRows { rows, writes })
    }
}

/// What became of a write.
enum WriteOutcome {
    /// It is durable.
    Written,
    /// The tenure is lost, or the write was given up.
    Over,
    /// The store refuses one of the rows, and would again.
    Refused(error::CallError),
}

impl<S: state::PoolAdapters> TenureWriter<'_, S> {
    /// Waits for a reason to write. Tells whether the tenure is to be given up.
    async fn wait(&self) -> bool {
        let renewal = self.state.settings.tenure.renewal_interval;
        if !self.leader.is_exclusive(self.state.adapters.clock()) {
            return self.is_to_be_given_up();
        }
        tokio::select! {
            biased;
            () = self.state.shutdown.cancelled() => return true,
            () = self.leader.release_requested.cancelled() => return true,
            () = self.leader.ended.cancelled() => return false,
            () = time::sleep(renewal) => return false,
            () = self.leader.save_due.notified() => {}
        }
        time::sleep(GATHERING).await;
        self.is_to_be_given_up()
    }

    fn is_to_be_given_up(&self) -> bool {
        self.state.shutdown.is_cancelled() || self.leader.release_requested.is_cancelled()
    }

    /// Saves what has changed, and renews the tenure with it. Tells whether the tenure is still held.
    ///
    /// A row that the store refuses for good, such as one that is too large, would otherwise be sent
    /// until the tenure lapses, and by each successor after that. Halving the rows finds it in a few
    /// writes, each of which renews the tenure.
    async fn save(&mut self, released: bool) -> bool {
        let mut waiting = vec![self.take_rows()];
        while let Some(sent) = waiting.pop() {
            let released = released && waiting.is_empty();
            match self.write(&sent.writes, released).await {
                WriteOutcome::Written => self.saved(sent.rows),
                WriteOutcome::Over => return false,
                WriteOutcome::Refused(error) if sent.rows.len() == 1 => {
                    self.set_apart(&sent, &error);
                    if released {
                        waiting.push(SentRows::default());
                    }
                }
                WriteOutcome::Refused(_) => {
                    let (first, second) = sent.halves();
                    waiting.extend([second, first]);
                }
            }
        }
        true
    }

    fn take_rows(&self) -> SentRows {
        let now = self.state.adapters.clock().now();
        let mut writes = Vec::new();
        let mut n_bytes = 0;
        let batch = self.leader.core().take_save_batch(now, |row| {
            let write = row_write(row);
            n_bytes += encoded_size(&write);
            writes.push(write);
            writes.len() < MOST_ROWS && n_bytes < MOST_BYTES
        });
        SentRows { rows: batch.map(|it| it.rows).unwrap_or_default(), writes }
    }

    fn saved(&self, rows: Vec<saving::SaveRow>) {
        if rows.is_empty() {
            return;
        }
        self.leader.core().batch_saved(saving::SaveBatch { rows });
        self.leader.saved.notify_waiters();
        self.leader.round_due.notify_one();
    }

    fn set_apart(&self, sent: &SentRows, error: &error::CallError) {
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
        let counts_from = loop {
            let sent_at = self.state.adapters.clock().now();
            let outcome = self.transact(writes.clone()).await;
            match outcome {
                Ok(model::TableOutcome::Committed { versions }) => {
                    self.version = versions.first().copied().unwrap_or_default();
                    break sent_at;
                }
                Ok(model::TableOutcome::Conflict { rows }) => match self.judge(&rows) {
                    // Any of the tries may have been the one, so the term counts from the first.
                    ConflictVerdict::Written(version) => {
                        self.version = version;
                        break first_sent;
                    }
                    ConflictVerdict::Behind(version) => self.version = version,
                    ConflictVerdict::Lost => return WriteOutcome::Over,
                },
                Err(error) if error.fault.is_permanent() && !rows.is_empty() => {
                    return WriteOutcome::Refused(error);
                }
                Err(error) => {
                    self.record_failure(&error);
                    if released || self.leader.ended.is_cancelled() {
                        return WriteOutcome::Over;
                    }
                    time::sleep(WRITE_AGAIN).await;
                }
            }
        };
        self.leader.tenure().record_renewal(counts_from);
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

    /// The rows behind that of the tenure.
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
            earlier: self.leader.predecessors().row_entries(now),
            names_earlier: true,
            losses: Some(losses),
        };
        let mut writes = vec![encode_write(keys::pool_tenure(), &tenure)];
        writes.extend_from_slice(rows);
        writes
    }

    /// What a failed condition tells.
    fn judge(&self, rows: &[model::TableRow]) -> ConflictVerdict {
        let row = rows.iter().find(|it| it.key == keys::pool_tenure());
        let tenure = row.and_then(|it| it.value.as_ref());
        let tenure = tenure.and_then(|it| codec::decode::<model::PoolTenure>(it).ok());
        let (Some(row), Some(tenure)) = (row, tenure) else { return ConflictVerdict::Lost };
        let is_ours =
            tenure.holder == self.state.settings.instance && tenure.epoch == self.leader.epoch;
        if !is_ours {
            tracing::warn!(holder = tenure.holder, epoch = tenure.epoch, "tenure was lost");
            return ConflictVerdict::Lost;
        }
        // An earlier try whose answer was lost went through.
        if tenure.renewal == self.renewal {
            return ConflictVerdict::Written(row.version);
        }
        ConflictVerdict::Behind(row.version)
    }
}

enum ConflictVerdict {
    Written(ids::RowVersion),
    Behind(ids::RowVersion),
    Lost,
}

/// The write of a row of the core.
fn row_write(row: &saving::SaveRow) -> model::TableWrite {
    let key = match row.key {
        save_queue::SaveRowKey::Progress { graph, chunk } => keys::progress(graph, chunk),
        save_queue::SaveRowKey::Roster { page } => keys::roster(page),
    };
    match &row.content {
        saving::SaveContent::Progress(content) => encode_write(key, content),
        saving::SaveContent::Roster(content) => encode_write(key, content),
        saving::SaveContent::Removed => removal_write(key),
    }
}

/// Bytes that a write sends, before they are encoded for the store.
pub(crate) fn encoded_size(write: &model::TableWrite) -> usize {
    write.key.len() + write.value.as_ref().map_or(0, |it| it.len())
}

/// A write that removes a row.
pub(crate) fn removal_write(key: ids::RowKey) -> model::TableWrite {
    model::TableWrite { key, value: None }
}

/// A write of a message.
pub(crate) fn encode_write<M: serde::Serialize>(
    key: ids::RowKey,
    content: &M,
) -> model::TableWrite {
    // Encoding fails only for types that no message has, such as maps with odd keys.
    let value = codec::encode(content).map(|it| blob::Blob::from(it.to_vec())).ok();
    model::TableWrite { key, value }
}
