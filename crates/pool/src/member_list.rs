//! Discovery of instances: each instance writes one row into the store.
//!
//! A row changes only when its instance starts. So each instance reads all rows once, and then only
//! the changes: if every instance read all rows each time, the number of rows read would grow with the
//! square of the number of instances.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::codec;
use almondpass_ports::keys;
use almondpass_ports::row_feed;
use almondpass_schema::{ids, model};
use tokio::time;

use crate::state;
use crate::store_call;
use crate::writer;

/// Interval between two reads of the changes. Peers are needed while the store is unavailable, and the
/// peers known from before are enough then.
const READ_INTERVAL: Duration = Duration::from_secs(6);

/// Interval between the first reads, shorter because all instances start at about the same time.
const EARLY_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Number of reads at the shorter interval.
const N_EARLY_READS: u32 = 3;

/// Writes the row of this instance, then follows the rows of all instances.
pub(crate) async fn run<S: state::PoolAdapters>(state: Arc<state::PoolState<S>>) {
    while !write_own_row(&state).await {
        time::sleep(EARLY_READ_INTERVAL).await;
    }
    let mut list = MemberList::default();
    let mut n_reads = 0;
    loop {
        match read_rows(&state, list.after).await {
            Ok(rows) => {
                list.apply(rows);
                state.set_members(list.members.values().cloned().collect());
            }
            Err(row_feed::FeedFault::HistoryGone) => list.after = None,
            Err(row_feed::FeedFault::Call(error)) => {
                tracing::debug!(%error, "rows of the instances cannot be read");
            }
        }
        n_reads += 1;
        let interval = if n_reads < N_EARLY_READS { EARLY_READ_INTERVAL } else { READ_INTERVAL };
        time::sleep(interval).await;
    }
}

/// The rows read so far, by key.
#[derive(Debug, Default)]
struct MemberList {
    members: BTreeMap<String, model::InstanceRow>,
    after: Option<ids::RowVersion>,
}

impl MemberList {
    fn apply(&mut self, rows: row_feed::FeedRows) {
        if self.after.is_none() {
            self.members.clear();
        }
        self.after = Some(rows.version);
        for row in rows.rows {
            let member = row.value.as_ref().and_then(|it| codec::decode(it).ok());
            match member {
                Some(member) => self.members.insert(row.key, member),
                None => self.members.remove(&row.key),
            };
        }
    }
}

async fn read_rows<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    after: Option<ids::RowVersion>,
) -> Result<row_feed::FeedRows, row_feed::FeedFault> {
    match after {
        Some(after) => store_call::follow(state, keys::INSTANCES, after, Duration::ZERO).await,
        None => Ok(store_call::snapshot(state, keys::INSTANCES).await?),
    }
}

async fn write_own_row<S: state::PoolAdapters>(state: &state::PoolState<S>) -> bool {
    let settings = &state.settings;
    // One row per address, so that a restarted process replaces its former row.
    let row = model::InstanceRow {
        instance: settings.peer_address.clone(),
        address: settings.peer_address.clone(),
        strength_milli: settings.strength_milli,
    };
    let write = writer::encode_write(keys::instance(&settings.peer_address), &row);
    let transaction = model::TableTransaction { conditions: Vec::new(), writes: vec![write] };
    let written = store_call::transact(state, transaction).await;
    if let Err(error) = &written {
        tracing::debug!(%error, "row of this instance cannot be written");
    }
    written.is_ok()
}
