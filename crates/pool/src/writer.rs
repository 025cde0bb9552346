//! The only writer of a tenure: renews it and saves what has changed, one write after the other.
//!
//! Each write is conditional on the tenure's row and writes it anew. So no write of an earlier
//! holder can follow one of a later holder, and no late copy of a write, whose answer was lost,
//! can follow a newer one of the same holder.

use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::progress;
use almondpass_peer::{codec, error};
use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::keys;
use almondpass_schema::{blob, ids, model};
use tokio::time;

use crate::lead;
use crate::state;
use crate::store_call;

/// Changes gather for this long before they are saved. Ends of tasks come in bursts, and each
/// call to the store is paid for; a job's objective is seconds.
const GATHERING: Duration = Duration::from_millis(50);

/// Rows of one write: the platform takes 100 entries, conditions included.
const MOST_ROWS: usize = 90;

/// Wait before a failed write is tried again.
const WRITE_AGAIN: Duration = Duration::from_millis(120);

/// Writes until the tenure is over or to be given up, as it is when the instance leaves; then gives
/// it up.
pub(crate) async fn run<S: state::PoolSite>(
    state: &Arc<state::PoolState<S>>,
    lead: &Arc<lead::LeadState>,
    taken: ids::RowVersion,
) {
    let mut writer = TenureWriter { state, lead, version: taken, renewal: 0 };
    while !lead.over.is_cancelled() {
        let is_last = writer.wait().await;
        if is_last {
            // No order leaves from here on; what is known is saved with the release.
            lead.tenure().end();
        }
        let batch = lead.core().take_batch(MOST_ROWS);
        if !writer.write(batch, is_last).await || is_last {
            return;
        }
    }
}

struct TenureWriter<'a, S> {
    state: &'a state::PoolState<S>,
    lead: &'a lead::LeadState,
    version: ids::RowVersion,
    renewal: u64,
}

impl<S: state::PoolSite> TenureWriter<'_, S> {
    /// Waits for a reason to write. Tells whether the tenure is to be given up.
    async fn wait(&self) -> bool {
        let renewal = self.state.settings.tenure.renewal;
        if !self.lead.is_firm(self.state.site.clock()) {
            return self.is_to_be_given_up();
        }
        tokio::select! {
            () = self.state.leaving.cancelled() => return true,
            () = self.lead.giving_up.cancelled() => return true,
            () = self.lead.over.cancelled() => return false,
            () = time::sleep(renewal) => return false,
            () = self.lead.save_due.notified() => {}
        }
        time::sleep(GATHERING).await;
        self.is_to_be_given_up()
    }

    fn is_to_be_given_up(&self) -> bool {
        self.state.leaving.is_cancelled() || self.lead.giving_up.is_cancelled()
    }

    /// Writes until the outcome is certain. Tells whether the tenure is still held.
    async fn write(&mut self, batch: Option<progress::SaveBatch>, released: bool) -> bool {
        self.renewal += 1;
        let first_sent = self.state.site.clock().now();
        let writes = self.writes(batch.as_ref(), released);
        let counts_from = loop {
            let sent_at = self.state.site.clock().now();
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
                    ConflictVerdict::Lost => return false,
                },
                Err(error) => {
                    self.missed(&error);
                    if released || self.lead.over.is_cancelled() {
                        return false;
                    }
                    time::sleep(WRITE_AGAIN).await;
                }
            }
        };
        self.lead.tenure().renewed(counts_from);
        if let Some(batch) = &batch {
            self.lead.core().batch_saved(batch);
            self.lead.saved.notify_waiters();
            self.lead.turn_due.notify_one();
        }
        true
    }

    fn missed(&self, error: &error::CallError) {
        let now = self.state.site.clock().now();
        let standing = self.lead.tenure().standing(now);
        tracing::warn!(%error, ?standing, renewal = self.renewal, "write of the tenure failed");
        self.lead.tenure().missed(self.state.site.clock().now());
    }

    async fn transact(
        &self,
        writes: Vec<model::TableWrite>,
    ) -> Result<model::TableOutcome, error::CallError> {
        let condition = model::TableCondition { key: keys::pool_tenure(), version: self.version };
        let transaction = model::TableTransaction { conditions: vec![condition], writes };
        store_call::transact(self.state, transaction).await
    }

    fn writes(
        &self,
        batch: Option<&progress::SaveBatch>,
        released: bool,
    ) -> Vec<model::TableWrite> {
        let settings = &self.state.settings;
        let tenure = model::PoolTenure {
            holder: settings.instance.clone(),
            address: settings.peer_address.clone(),
            epoch: self.lead.epoch,
            renewal: self.renewal,
            released,
        };
        let mut writes = vec![write_of(keys::pool_tenure(), &tenure)];
        let Some(batch) = batch else { return writes };
        writes.extend(batch.rows.iter().map(|(graph, row)| write_of(keys::progress(*graph), row)));
        let removed = batch.removed.iter().map(|it| removal_of(keys::progress(*it)));
        writes.extend(removed);
        writes.extend(batch.roster.iter().map(|it| write_of(keys::roster(), it)));
        writes
    }

    /// What a failed condition tells.
    fn judge(&self, rows: &[model::TableRow]) -> ConflictVerdict {
        let row = rows.iter().find(|it| it.key == keys::pool_tenure());
        let tenure = row.and_then(|it| it.value.as_ref());
        let tenure = tenure.and_then(|it| codec::decode::<model::PoolTenure>(it).ok());
        let (Some(row), Some(tenure)) = (row, tenure) else { return ConflictVerdict::Lost };
        let is_ours =
            tenure.holder == self.state.settings.instance && tenure.epoch == self.lead.epoch;
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

/// A write that removes a row.
pub(crate) fn removal_of(key: ids::RowKey) -> model::TableWrite {
    model::TableWrite { key, value: None }
}

/// A write of a message.
pub(crate) fn write_of<M: serde::Serialize>(key: ids::RowKey, content: &M) -> model::TableWrite {
    // Encoding fails only for types that no message has, such as maps with odd keys.
    let value = codec::encode(content).map(|it| blob::Blob::from(it.to_vec())).ok();
    model::TableWrite { key, value }
}
