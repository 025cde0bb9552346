//! Group commit: merges the transactions of several callers into one transaction of the platform.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::error;
use almondpass_schema::{ids, model};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{self, Instant};

use crate::commit;
use crate::table;

/// Limits for grouping transactions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupConfig {
    /// How long the first transaction of a group waits for others to join.
    pub window: Duration,
    /// Most rows that the platform accepts in one transaction, counting conditions and writes.
    pub max_rows: usize,
    /// Most bytes that the platform accepts in one transaction.
    pub max_bytes: usize,
    /// Most groups that are being committed at a time.
    pub max_in_flight: usize,
    /// Most transactions that wait to be received by the grouping task; further ones are rejected.
    pub max_waiting: usize,
}

/// A transaction that waits to be committed in a group.
#[derive(Debug)]
pub(crate) struct WaitingTransaction {
    pub(crate) transaction: model::TableTransaction,
    pub(crate) expires: Instant,
    pub(crate) reply: TransactionReply,
}

/// Channel for the outcome of a transaction. The receiver may have been dropped by the caller.
pub(crate) type TransactionReply = oneshot::Sender<Result<model::TableOutcome, error::CallError>>;

/// Rows and sizes of the transactions added to a group so far.
#[derive(Debug, Default)]
struct GroupContents {
    conditions: BTreeMap<ids::RowKey, ids::RowVersion>,
    writes: BTreeSet<ids::RowKey>,
    rows: usize,
    bytes: usize,
}

/// Interval at which the use of the write cap is recorded while the cap is in use but no transaction waits.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);

impl Default for GroupConfig {
    fn default() -> GroupConfig {
        GroupConfig {
            window: Duration::from_millis(2),
            max_rows: 100,
            max_bytes: 1 << 20,
            max_in_flight: 8,
            max_waiting: 4096,
        }
    }
}

/// Groups and commits arriving transactions until all senders are dropped.
pub(crate) async fn run<T: table::TableService>(
    committer: Arc<commit::TableCommitter<T>>,
    config: GroupConfig,
    mut arrivals: mpsc::Receiver<WaitingTransaction>,
) {
    let in_flight = Arc::new(Semaphore::new(config.max_in_flight));
    let mut waiting = VecDeque::new();
    loop {
        if waiting.is_empty() {
            match next_arrival(&committer, &mut arrivals).await {
                Some(first) => waiting.push_back(first),
                None => return,
            }
            time::sleep(config.window).await;
        }
        let Ok(permit) = Arc::clone(&in_flight).acquire_owned().await else { return };
        if !wait_for_cap(&committer, &mut waiting).await {
            continue;
        }
        while let Ok(arrival) = arrivals.try_recv() {
            waiting.push_back(arrival);
        }
        let group = take_group(&mut waiting, config);
        metrics::histogram!("almondpass_store_group_size").record(group.len() as f64);
        record_cap_use(&committer);
        let committer = Arc::clone(&committer);
        tokio::spawn(async move {
            commit_group(&committer, group).await;
            drop(permit);
        });
    }
}

/// Waits for the next transaction, recording the use of the write cap at intervals meanwhile.
async fn next_arrival<T: table::TableService>(
    committer: &commit::TableCommitter<T>,
    arrivals: &mut mpsc::Receiver<WaitingTransaction>,
) -> Option<WaitingTransaction> {
    while 0.0 < committer.cap.used_ratio() {
        if let Ok(arrival) = time::timeout(MEASURE_INTERVAL, arrivals.recv()).await {
            return arrival;
        }
        record_cap_use(committer);
    }
    arrivals.recv().await
}

fn record_cap_use<T: table::TableService>(committer: &commit::TableCommitter<T>) {
    metrics::gauge!("almondpass_store_write_cap_used_ratio").set(committer.cap.used_ratio());
}

/// Waits until the write cap admits one group. Rejects transactions that would expire before that;
/// returns `false` if none is left.
async fn wait_for_cap<T: table::TableService>(
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

/// Removes the first waiting transaction and all others that can be committed together with it.
fn take_group(
    waiting: &mut VecDeque<WaitingTransaction>,
    config: GroupConfig,
) -> Vec<WaitingTransaction> {
    let mut contents = GroupContents::default();
    let mut group = Vec::new();
    let mut rest = VecDeque::new();
    for it in waiting.drain(..) {
        if contents.can_add(&it.transaction, config) {
            contents.add(&it.transaction);
            group.push(it);
        } else {
            rest.push_back(it);
        }
    }
    *waiting = rest;
    group
}

impl GroupContents {
    /// Whether the transaction can join the group: it stays within the limits, no row is written twice,
    /// and no two conditions on a row differ. Committing the group then has the same effect as
    /// committing its members one after the other. An empty group accepts any transaction.
    fn can_add(&self, transaction: &model::TableTransaction, config: GroupConfig) -> bool {
        if self.rows == 0 {
            return true;
        }
        let condition_agrees = |it: &model::TableCondition| {
            self.conditions.get(&it.key).is_none_or(|version| *version == it.version)
        };
        self.rows + row_count(transaction) <= config.max_rows
            && self.bytes + byte_count(transaction) <= config.max_bytes
            && transaction.conditions.iter().all(condition_agrees)
            && !transaction.writes.iter().any(|it| self.writes.contains(&it.key))
    }

    fn add(&mut self, transaction: &model::TableTransaction) {
        self.rows += row_count(transaction);
        self.bytes += byte_count(transaction);
        let conditions = transaction.conditions.iter();
        self.conditions.extend(conditions.map(|it| (it.key.clone(), it.version)));
        self.writes.extend(transaction.writes.iter().map(|it| it.key.clone()));
    }
}

fn row_count(transaction: &model::TableTransaction) -> usize {
    transaction.conditions.len() + transaction.writes.len()
}

fn byte_count(transaction: &model::TableTransaction) -> usize {
    let written = transaction.writes.iter();
    written.map(|it| it.key.len() + it.value.as_ref().map_or(0, |it| it.len())).sum()
}

/// Commits a group. A member whose condition fails is answered with a conflict, and the others are
/// committed without it.
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
                let (conflicting, rest) = group.into_iter().partition(|it| conflicts(it, &rows));
                group = rest;
                answer_conflict(conflicting, &rows, &mut group);
            }
            // Nothing was written, and a single member may be the cause: commit each on its own.
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

/// Answers the conflicting members. If the rows belong to no member, all members are answered with a
/// conflict: committing them again would meet the same conflict forever.
fn answer_conflict(
    conflicting: Vec<WaitingTransaction>,
    rows: &[model::TableRow],
    rest: &mut Vec<WaitingTransaction>,
) {
    let conflicting = if conflicting.is_empty() { std::mem::take(rest) } else { conflicting };
    for it in conflicting {
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
