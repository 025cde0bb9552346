//! Discovery of instances: each instance writes one row into the store and reads a bounded number of others.
//!
//! If each instance read the rows of all, the number of rows read would grow with the square of the number of
//! instances. The strongest instances are the ones that may hold the tenure; the rows next to the own one, in
//! the order of a hash, give each instance other peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::codec;
use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::{keys, row_feed};
use almondpass_schema::{ids, model};
use tokio::time::{self, Instant};
use xxhash_rust::xxh3;

use crate::spread;
use crate::state;
use crate::store_call;
use crate::writer;

/// Number of the strongest instances that each instance knows.
const N_STRONGEST: u32 = 16;

/// Number of the strongest instances that are the first to take over the tenure.
const N_CANDIDATES: usize = 8;

/// Number of rows behind the own one that each instance reads.
const N_NEIGHBOURS: u32 = 8;

/// Interval between two reads, and between two writes of the own row. Peers are needed while the store is
/// unavailable, and the peers known from before are enough then.
const REFRESH_INTERVAL: Duration = Duration::from_secs(600);

/// Share of the interval over which the reads of different instances are spread.
const MAX_SPREAD_SHARE: f64 = 0.5;

/// Interval between the first reads, shorter because all instances start at about the same time.
const EARLY_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Number of reads at the shorter interval.
const N_EARLY_READS: u32 = 2;

/// Wait after a failed read or write.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Interval at which the tenure holder reads the rows that have changed: a stronger instance may have started.
const HOLDER_READ_INTERVAL: Duration = Duration::from_secs(6);

/// A row that was not renewed for this long belongs to a machine that is gone. Rows of machines that are gone
/// would in time take the places of all strongest instances.
const OBSOLETE_AFTER: Duration = Duration::from_secs(3_600);

/// Writes the row of this instance and reads the rows of others, again and again.
pub(crate) async fn run<S: state::PoolAdapters>(state: Arc<state::PoolState<S>>) {
    let mut list = MemberList::default();
    for _ in 0..N_EARLY_READS {
        refresh(&state, &mut list).await;
        time::sleep(EARLY_READ_INTERVAL).await;
    }
    let interval = spread::lengthen(&state.settings.instance, REFRESH_INTERVAL, MAX_SPREAD_SHARE);
    loop {
        refresh(&state, &mut list).await;
        let refresh_at = Instant::now() + interval;
        while Instant::now() < refresh_at {
            time::sleep(HOLDER_READ_INTERVAL).await;
            if state.leader().is_some() && !follow(&state, &mut list).await {
                break;
            }
        }
    }
}

/// The rows that this instance knows, by their keys within the table.
#[derive(Debug, Default)]
struct MemberList {
    members: BTreeMap<String, model::InstanceRow>,
    /// Version of the store up to which the holder has followed the rows.
    after: ids::RowVersion,
}

impl MemberList {
    fn apply(&mut self, row: row_feed::FeedRow) {
        let member = row.value.as_ref().and_then(|it| codec::decode(it).ok());
        match member {
            Some(member) => self.members.insert(row.key, member),
            None => self.members.remove(&row.key),
        };
    }

    fn publish<S: state::PoolAdapters>(&self, state: &state::PoolState<S>, own_key: &str) {
        let n_stronger = self.members.keys().filter(|it| it.as_str() < own_key).count();
        state.set_candidate(n_stronger < N_CANDIDATES);
        state.set_members(self.members.values().cloned().collect());
    }
}

/// Writes the own row and reads the others anew.
async fn refresh<S: state::PoolAdapters>(state: &state::PoolState<S>, list: &mut MemberList) {
    let own_key = own_key(state);
    loop {
        if let Some(after) = write_own_row(state, &own_key).await
            && let Some(members) = read_rows(state, &own_key).await
        {
            *list = MemberList { members, after };
            list.publish(state, within_table(&own_key));
            return;
        }
        time::sleep(RETRY_DELAY).await;
    }
}

/// Reads the rows that have changed. Returns false if the list has to be read anew.
async fn follow<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    list: &mut MemberList,
) -> bool {
    match store_call::follow(state, keys::INSTANCES, list.after, Duration::ZERO).await {
        Ok(rows) => {
            list.after = list.after.max(rows.version);
            rows.rows.into_iter().for_each(|it| list.apply(it));
            list.publish(state, within_table(&own_key(state)));
            true
        }
        Err(row_feed::FeedFault::HistoryGone) => false,
        Err(row_feed::FeedFault::Call(error)) => {
            tracing::debug!(%error, "changes of the instances cannot be read");
            true
        }
    }
}

/// Reads the rows of the strongest instances and of the neighbours of this one.
async fn read_rows<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    own_key: &str,
) -> Option<BTreeMap<String, model::InstanceRow>> {
    let strongest = scan(state, None, N_STRONGEST).await?;
    let neighbours = scan(state, Some(own_key.to_owned()), N_NEIGHBOURS).await?;
    let mut members = BTreeMap::new();
    for row in strongest.into_iter().chain(neighbours) {
        let member = row.value.as_ref().and_then(|it| codec::decode(it).ok());
        let Some(member): Option<model::InstanceRow> = member else { continue };
        if is_obsolete(state, &member) {
            remove_obsolete(state, row).await;
            continue;
        }
        members.insert(within_table(&row.key).to_owned(), member);
    }
    Some(members)
}

async fn scan<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    after: Option<ids::RowKey>,
    limit: u32,
) -> Option<Vec<model::TableRow>> {
    let scan = model::TableScan { prefix: keys::instances(), after, limit };
    let scanned = store_call::scan(state, scan).await;
    scanned
        .inspect_err(|error| tracing::debug!(%error, "rows of the instances cannot be read"))
        .ok()
        .map(|it| it.rows)
}

fn is_obsolete<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    member: &model::InstanceRow,
) -> bool {
    let renewed_at = Duration::from_millis(member.renewed_ms);
    state.adapters.clock().wall() > renewed_at + OBSOLETE_AFTER
}

/// Removes a row unless it was renewed meanwhile. A machine that is there after all writes its row again.
async fn remove_obsolete<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    row: model::TableRow,
) {
    let condition = model::TableCondition { key: row.key.clone(), version: row.version };
    let writes = vec![writer::removal_write(row.key)];
    let transaction = model::TableTransaction { conditions: vec![condition], writes };
    if let Err(error) = store_call::transact(state, transaction).await {
        tracing::debug!(%error, "row of an instance that is gone cannot be removed");
    }
}

/// Writes the own row; returns its version.
async fn write_own_row<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    own_key: &str,
) -> Option<ids::RowVersion> {
    let settings = &state.settings;
    // One row per address, so that a restarted process replaces its former row.
    let row = model::InstanceRow {
        instance: settings.peer_address.clone(),
        address: settings.peer_address.clone(),
        strength_milli: settings.strength_milli,
        renewed_ms: state.adapters.clock().wall().as_millis() as u64,
    };
    let write = writer::encode_write(own_key.to_owned(), &row);
    let transaction = model::TableTransaction { conditions: Vec::new(), writes: vec![write] };
    match store_call::transact(state, transaction).await {
        Ok(model::TableOutcome::Committed { versions }) => versions.first().copied(),
        Ok(model::TableOutcome::Conflict { .. }) => None,
        Err(error) => {
            tracing::debug!(%error, "row of this instance cannot be written");
            None
        }
    }
}

fn own_key<S: state::PoolAdapters>(state: &state::PoolState<S>) -> ids::RowKey {
    let settings = &state.settings;
    let hash = xxh3::xxh3_64(settings.peer_address.as_bytes());
    keys::instance(settings.strength_milli, hash)
}

/// The part of a row's key behind the names of its table and part.
fn within_table(key: &str) -> &str {
    key.rsplit('/').next().unwrap_or_default()
}
