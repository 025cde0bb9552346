//! Transactions of several callers committed as one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::error;
use almondpass_schema::{ids, model};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{self, Instant};

use crate::commit;
use crate::table;

/// How transactions are grouped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupConfig {
    /// Wait for company of the first transaction.
    pub window: Duration,
    /// Rows that one transaction of the platform takes, conditions and writes together.
    pub rows: usize,
    /// Bytes that one transaction of the platform takes.
    pub bytes: usize,
    /// Groups under way at a time.
    pub flights: usize,
    /// Transactions that wait at a time; more are refused.
    pub queue: usize,
}

/// A transaction that waits for its group.
#[derive(Debug)]
pub(crate) struct WaitingTransaction {
    pub(crate) transaction: model::TableTransaction,
    pub(crate) expires: Instant,
    pub(crate) reply: TransactionReply,
}

/// Where the outcome goes; its caller may have given up.
pub(crate) type TransactionReply = oneshot::Sender<Result<model::TableOutcome, error::CallError>>;

/// A group in the making.
#[derive(Debug, Default)]
struct GroupShape {
    conditions: BTreeMap<ids::RowKey, ids::RowVersion>,
    writes: BTreeSet<ids::RowKey>,
    rows: usize,
    bytes: usize,
}

/// Every so often the use of the cap is measured while there is any.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);

impl Default for GroupConfig {
    fn default() -> GroupConfig {
        GroupConfig {
            window: Duration::from_millis(2),
            rows: 100,
            bytes: 1 << 20,
            flights: 8,
            queue: 4096,
        }
    }
}

/// Groups what arrives until every sender is gone.
pub(crate) async fn run<T: table::TableService>(
    committer: Arc<commit::TableCommitter<T>>,
    config: GroupConfig,
    mut arrivals: mpsc::Receiver<WaitingTransaction>,
) {
    let flights = Arc::new(Semaphore::new(config.flights));
    let mut waiting = VecDeque::new();
    loop {
        if waiting.is_empty() {
            match next(&committer, &mut arrivals).await {
                Some(first) => waiting.push_back(first),
                None => return,
            }
            time::sleep(config.window).await;
        }
        let Ok(flight) = Arc::clone(&flights).acquire_owned().await else { return };
        if !admit(&committer, &mut waiting).await {
            continue;
        }
        while let Ok(arrival) = arrivals.try_recv() {
            waiting.push_back(arrival);
        }
        let group = take_group(&mut waiting, config);
        metrics::histogram!("almondpass_store_group_size").record(group.len() as f64);
        measure(&committer);
        let committer = Arc::clone(&committer);
        tokio::spawn(async move {
            commit_group(&committer, group).await;
            drop(flight);
        });
    }
}

/// The next arrival; keeps the use of the cap current meanwhile.
async fn next<T: table::TableService>(
    committer: &commit::TableCommitter<T>,
    arrivals: &mut mpsc::Receiver<WaitingTransaction>,
) -> Option<WaitingTransaction> {
    while 0.0 < committer.cap.used() {
        if let Ok(arrival) = time::timeout(MEASURE_INTERVAL, arrivals.recv()).await {
            return arrival;
        }
        measure(committer);
    }
    arrivals.recv().await
}

fn measure<T: table::TableService>(committer: &commit::TableCommitter<T>) {
    metrics::gauge!("almondpass_store_write_cap_used_ratio").set(committer.cap.used());
}

/// Waits for the cap to admit one group; those that can't wait so long are refused. `false` where
/// none is left.
async fn admit<T: table::TableService>(
    committer: &commit::TableCommitter<T>,
    waiting: &mut VecDeque<WaitingTransaction>,
) -> bool {
    while let Some(first) = waiting.front() {
        if committer.cap.acquire(first.expires).await.is_some() {
            return true;
        }
        if let Some(first) = waiting.pop_front() {
            let reason = "our own cap on writes used up".to_owned();
            answer(first, Err(committer.not_sent(reason)));
        }
    }
    false
}

/// Takes the first that waits, and whatever can be committed together with it.
fn take_group(
    waiting: &mut VecDeque<WaitingTransaction>,
    config: GroupConfig,
) -> Vec<WaitingTransaction> {
    let mut shape = GroupShape::default();
    let mut group = Vec::new();
    let mut rest = VecDeque::new();
    for it in waiting.drain(..) {
        if shape.takes(&it.transaction, config) {
            shape.add(&it.transaction);
            group.push(it);
        } else {
            rest.push_back(it);
        }
    }
    *waiting = rest;
    group
}

impl GroupShape {
    /// Whether the transaction can join: no row is written twice, and no two conditions on a row
    /// differ. The group then equals its members made one after the other.
    fn takes(&self, transaction: &model::TableTransaction, config: GroupConfig) -> bool {
        if self.rows == 0 {
            return true;
        }
        let agrees = |it: &model::TableCondition| {
            self.conditions.get(&it.key).is_none_or(|version| *version == it.version)
        };
        self.rows + rows_of(transaction) <= config.rows
            && self.bytes + bytes_of(transaction) <= config.bytes
            && transaction.conditions.iter().all(agrees)
            && !transaction.writes.iter().any(|it| self.writes.contains(&it.key))
    }

    fn add(&mut self, transaction: &model::TableTransaction) {
        self.rows += rows_of(transaction);
        self.bytes += bytes_of(transaction);
        let conditions = transaction.conditions.iter();
        self.conditions.extend(conditions.map(|it| (it.key.clone(), it.version)));
        self.writes.extend(transaction.writes.iter().map(|it| it.key.clone()));
    }
}

fn rows_of(transaction: &model::TableTransaction) -> usize {
    transaction.conditions.len() + transaction.writes.len()
}

fn bytes_of(transaction: &model::TableTransaction) -> usize {
    let written = transaction.writes.iter();
    written.map(|it| it.key.len() + it.value.as_ref().map_or(0, |it| it.len())).sum()
}

/// Commits a group. A member whose condition fails gets its conflict, and the others are committed
/// without it.
async fn commit_group<T: table::TableService>(
    committer: &commit::TableCommitter<T>,
    mut group: Vec<WaitingTransaction>,
) {
    while let Some(expires) = group.iter().map(|it| it.expires).min() {
        let merged = merge(&group);
        let members = group.iter().map(|it| &it.transaction).collect::<Vec<_>>();
        match committer.commit(&merged, &members, expires).await {
            Ok(model::TableOutcome::Committed { versions }) => {
                return answer_committed(group, &versions);
            }
            Ok(model::TableOutcome::Conflict { rows }) => {
                let (lost, rest) = group.into_iter().partition(|it| conflicts(it, &rows));
                group = rest;
                answer_conflict(lost, &rows, &mut group);
            }
            // Nothing was written, and one member may be the reason: each is tried alone.
            Err(error)
                if error.fault.had_no_effect() && error.fault.is_permanent() && 1 < group.len() =>
            {
                for member in group {
                    Box::pin(commit_group(committer, vec![member])).await;
                }
                return;
            }
            Err(error) => {
                group.into_iter().for_each(|it| answer(it, Err(error.clone())));
                return;
            }
        }
        if !group.is_empty() && committer.cap.acquire(expires).await.is_none() {
            let error = committer.not_sent("our own cap on writes used up".to_owned());
            group.into_iter().for_each(|it| answer(it, Err(error.clone())));
            return;
        }
    }
}

fn merge(group: &[WaitingTransaction]) -> model::TableTransaction {
    let mut conditions = Vec::<model::TableCondition>::new();
    for condition in group.iter().flat_map(|it| &it.transaction.conditions) {
        if !conditions.contains(condition) {
            conditions.push(condition.clone());
        }
    }
    let writes = group.iter().flat_map(|it| it.transaction.writes.clone()).collect();
    model::TableTransaction { conditions, writes }
}

fn conflicts(waiting: &WaitingTransaction, rows: &[model::TableRow]) -> bool {
    let failed = |condition: &model::TableCondition| {
        rows.iter().any(|it| it.key == condition.key && it.version != condition.version)
    };
    waiting.transaction.conditions.iter().any(failed)
}

fn answer_committed(group: Vec<WaitingTransaction>, versions: &[ids::RowVersion]) {
    let mut versions = versions.iter().copied();
    for it in group {
        let own = versions.by_ref().take(it.transaction.writes.len()).collect();
        answer(it, Ok(model::TableOutcome::Committed { versions: own }));
    }
}

/// Answers those that lost. Where the rows name none of the group, all of it lost: going on would
/// repeat the same conflict for ever.
fn answer_conflict(
    lost: Vec<WaitingTransaction>,
    rows: &[model::TableRow],
    rest: &mut Vec<WaitingTransaction>,
) {
    let lost = if lost.is_empty() { std::mem::take(rest) } else { lost };
    for it in lost {
        let own = |row: &&model::TableRow| {
            it.transaction.conditions.iter().any(|condition| condition.key == row.key)
        };
        let rows = rows.iter().filter(own).cloned().collect();
        answer(it, Ok(model::TableOutcome::Conflict { rows }));
    }
}

fn answer(waiting: WaitingTransaction, outcome: Result<model::TableOutcome, error::CallError>) {
    let _ = waiting.reply.send(outcome);
}
