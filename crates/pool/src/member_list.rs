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
use almondpass_schema::{blob, ids, model};
use tokio::time::{self, Instant};
use xxhash_rust::xxh3;

use crate::spread;
use crate::state;
use crate::store_call;
use crate::writer;

/// Number of the strongest instances that each instance knows.
const N_STRONGEST: u32 = 16;

/// Number of the strongest instances that are the first to take over the tenure.
const N_EARLY_CONTENDERS: usize = 8;

/// Number of rows behind the own one that each instance reads.
const N_NEIGHBOURS: u32 = 8;

/// Interval between two reads. Peers are needed while the store is unavailable, and the peers known from before
/// are enough then.
const REFRESH_INTERVAL: Duration = Duration::from_secs(600);

/// Interval between the first reads, shorter because all instances start at about the same time. While the own
/// row can't be written, it doubles with each read.
const EARLY_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Number of reads at the shorter interval.
const N_EARLY_READS: u32 = 2;

/// Longest interval between reads while the own row can't be written.
const MAX_WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(64);

/// Share of an interval over which the reads of different instances are spread. The store takes a bounded number
/// of writes a second, and refuses all if many instances try again at the same time.
const MAX_SPREAD_SHARE: f64 = 1.0;

/// Interval at which the tenure holder reads the rows that have changed: a stronger instance may have started.
const HOLDER_READ_INTERVAL: Duration = Duration::from_secs(6);

/// The own row is written again when it is older than this.
const RENEW_AFTER: Duration = Duration::from_secs(300);

/// A row that was not renewed for this long belongs to a machine that is gone. Rows of machines that are gone
/// would in time take the places of all strongest instances.
const OBSOLETE_AFTER: Duration = Duration::from_secs(3_600);

/// Reads the rows of others and keeps the row of this instance in the store.
pub(crate) async fn run<S: state::PoolAdapters>(state: Arc<state::PoolState<S>>) {
    let mut list = MemberList::default();
    let mut n_reads = 0;
    loop {
        if let Some(read) = read_rows(&state).await {
            list = MemberList { after: list.after, ..read };
            list.publish(&state);
        }
        let mut is_listed = list.has_fresh_row_of(&state);
        if !is_listed {
            list.after = write_own_row(&state).await;
            is_listed = list.after.is_some();
        }
        n_reads += 1;
        let interval = read_interval(&state.settings.instance, n_reads, is_listed);
        follow_as_holder(&state, &mut list, Instant::now() + interval).await;
    }
}

/// Wait after the first `n_reads` reads.
fn read_interval(instance: &str, n_reads: u32, is_listed: bool) -> Duration {
    if n_reads <= N_EARLY_READS {
        return EARLY_READ_INTERVAL;
    }
    let interval = if is_listed {
        REFRESH_INTERVAL
    } else {
        let n_doublings = n_reads.min(u32::BITS - 1) - N_EARLY_READS;
        EARLY_READ_INTERVAL.saturating_mul(1 << n_doublings).min(MAX_WRITE_RETRY_INTERVAL)
    };
    spread::lengthen(instance, interval, MAX_SPREAD_SHARE)
}

/// The rows that this instance knows, by their keys within the table.
#[derive(Debug, Default)]
struct MemberList {
    members: BTreeMap<String, model::InstanceRow>,
    /// Version of the store up to which the holder has followed the rows; `None` before it has begun to.
    after: Option<ids::RowVersion>,
}

impl MemberList {
    fn apply(&mut self, row: row_feed::FeedRow) {
        match decode_member(row.value.as_ref()) {
            Some(member) => self.members.insert(row.key, member),
            None => self.members.remove(&row.key),
        };
    }

    fn has_fresh_row_of<S: state::PoolAdapters>(&self, state: &state::PoolState<S>) -> bool {
        let own_key = own_key(state);
        let own = self.members.get(within_table(&own_key));
        own.is_some_and(|it| age(state, it) < RENEW_AFTER)
    }

    fn publish<S: state::PoolAdapters>(&self, state: &state::PoolState<S>) {
        let own_key = own_key(state);
        let own_key = within_table(&own_key);
        let n_stronger = self.members.keys().filter(|it| it.as_str() < own_key).count();
        state.set_early_contender(n_stronger < N_EARLY_CONTENDERS);
        state.set_members(self.members.values().cloned().collect());
    }
}

/// Waits until `deadline`; follows the rows of the instances meanwhile where this instance holds the tenure.
async fn follow_as_holder<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    list: &mut MemberList,
    deadline: Instant,
) {
    while Instant::now() < deadline {
        time::sleep_until(deadline.min(Instant::now() + HOLDER_READ_INTERVAL)).await;
        if state.leader().is_some() {
            follow(state, list).await;
        }
    }
}

/// Reads the rows that have changed. Where it is not known since when, the strongest are read anew.
async fn follow<S: state::PoolAdapters>(state: &state::PoolState<S>, list: &mut MemberList) {
    let Some(after) = list.after else {
        // The feed is followed from a version that is older than the read.
        let Some(after) = write_own_row(state).await else { return };
        if let Some(read) = read_rows(state).await {
            *list = MemberList { after: Some(after), ..read };
            list.publish(state);
        }
        return;
    };
    match store_call::follow(state, keys::INSTANCES, after, Duration::ZERO).await {
        Ok(rows) => {
            list.after = Some(rows.version.max(after));
            rows.rows.into_iter().for_each(|it| list.apply(it));
            list.publish(state);
        }
        Err(row_feed::FeedFault::HistoryGone) => list.after = None,
        Err(row_feed::FeedFault::Call(error)) => {
            tracing::debug!(%error, "changes of the instances cannot be read");
        }
    }
}

/// Reads the rows of the strongest instances, and the own row with those behind it.
async fn read_rows<S: state::PoolAdapters>(state: &state::PoolState<S>) -> Option<MemberList> {
    let mut before_own = own_key(state);
    before_own.pop();
    let strongest = scan(state, None, N_STRONGEST).await?;
    let neighbours = scan(state, Some(before_own), 1 + N_NEIGHBOURS).await?;
    let mut list = MemberList::default();
    for row in strongest.into_iter().chain(neighbours) {
        let Some(member) = decode_member(row.value.as_ref()) else { continue };
        if age(state, &member) > OBSOLETE_AFTER {
            remove_obsolete(state, row).await;
            continue;
        }
        list.members.insert(within_table(&row.key).to_owned(), member);
    }
    Some(list)
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

/// The instance that a row describes; `None` for a removed row, or one that can't be read.
fn decode_member(value: Option<&blob::Blob>) -> Option<model::InstanceRow> {
    value.and_then(|it| codec::decode(it).ok())
}

/// Time since a row was last written.
fn age<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    member: &model::InstanceRow,
) -> Duration {
    state.adapters.clock().wall().saturating_sub(Duration::from_millis(member.renewed_ms))
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
) -> Option<ids::RowVersion> {
    let settings = &state.settings;
    // One row per address, so that a restarted process replaces its former row.
    let row = model::InstanceRow {
        instance: settings.peer_address.clone(),
        address: settings.peer_address.clone(),
        strength_milli: settings.strength_milli,
        renewed_ms: state.adapters.clock().wall().as_millis() as u64,
    };
    let write = writer::encode_write(own_key(state), &row);
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
