//! Writes job rows in batches. Each batch is one table transaction, conditional on the tenure.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_ports::{keys, table::TableService};
use almondpass_schema::{blob, ids, model, time};

use crate::codec;
use crate::job_table;
use crate::tenure;

/// A change of one job's rows.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct JobWrite {
    /// New content of the job row.
    pub(crate) record: model::JobRecord,
    /// Whether the row is new: committing the write accepts the job.
    pub(crate) create: bool,
}

/// Job writes that are committed together; kept and retried until the outcome is certain.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CommitBatch {
    pub(crate) hall: ids::HallName,
    pub(crate) writes: Vec<JobWrite>,
    /// Time at which the batch was created. The retention time of the jobs that ended counts from
    /// here: counted from the end itself, a job that ended during a long table outage would be
    /// deleted as soon as its end became readable.
    pub(crate) created_at: time::WallTime,
    /// Number of the batch, counted from the start of the tenure.
    pub(crate) number: u64,
    /// Version of the commit row before the batch; `None` until it is read from the table.
    ///
    /// A delayed write of an earlier batch may reach the table late, and still meets the condition
    /// on the tenure. It could set the row of an ended job back to running, and that row would
    /// never change again, because the hall no longer has the job. Each batch therefore also
    /// writes the commit row, conditional on its version, so that batches take effect in order.
    pub(crate) expected_version: Option<ids::RowVersion>,
    /// Whether an earlier attempt to commit this batch may have taken effect.
    pub(crate) may_be_committed: bool,
}

/// Sent to the hall actor after an attempt to commit a batch.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CommitReport {
    pub(crate) batch: CommitBatch,
    pub(crate) outcome: CommitOutcome,
}

/// Result of one attempt to commit a batch.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CommitOutcome {
    /// All rows of the batch are durable.
    Committed {
        /// Version of the commit row after the batch.
        version: ids::RowVersion,
    },
    /// Nothing was written: these jobs, which the batch was to create, exist already.
    JobsExist(Vec<model::JobRecord>),
    /// Nothing was written: a newer tenure holds the hall.
    Fenced,
    /// Nothing was written: the batch certainly had no effect on the table.
    NoEffect,
    /// The batch may have been written. The same batch is retried until its outcome is known: it
    /// could otherwise take effect after a different batch sent in its place.
    Unconfirmed,
}

/// Sends a batch to the table once.
pub(crate) async fn try_commit<T: TableService>(
    table: T,
    tenure: tenure::TenureWatch,
    mut batch: CommitBatch,
    deadline: Duration,
) -> CommitReport {
    let expected_version = match batch.expected_version {
        Some(version) => version,
        None => match read_version(&table, &batch.hall, deadline).await {
            Some(version) => version,
            None => return CommitReport { batch, outcome: CommitOutcome::NoEffect },
        },
    };
    batch.expected_version = Some(expected_version);
    let commit_row = model::CommitRow { epoch: tenure.epoch(), number: batch.number };
    let transaction = commit_transaction(&batch, &tenure, expected_version, &commit_row);
    let outcome = match tokio::time::timeout(deadline, table.transact(transaction)).await {
        Ok(Ok(model::TableOutcome::Committed { versions })) => CommitOutcome::Committed {
            version: versions.first().copied().unwrap_or(expected_version + 1),
        },
        Ok(Ok(model::TableOutcome::Conflict { rows })) => {
            conflict_outcome(&batch, &commit_row, &rows)
        }
        // If the batch was sent before, only this attempt had no effect; an earlier one may have.
        Ok(Err(fault)) if fault.fault.had_no_effect() && !batch.may_be_committed => {
            CommitOutcome::NoEffect
        }
        Ok(Err(fault)) => {
            tracing::warn!(hall = batch.hall, %fault, "job commit is unconfirmed; retrying");
            CommitOutcome::Unconfirmed
        }
        Err(_) => CommitOutcome::Unconfirmed,
    };
    CommitReport { batch, outcome }
}

/// Reads the version of the commit row; `None` if the table does not answer. Earlier holders cannot
/// change the version any more: their delayed writes fail the condition on the tenure.
async fn read_version<T: TableService>(
    table: &T,
    hall: &str,
    deadline: Duration,
) -> Option<ids::RowVersion> {
    let get = model::TableGet { keys: vec![keys::commit(hall)] };
    let rows = tokio::time::timeout(deadline, table.get(get)).await.ok()?.ok()?;
    Some(rows.rows.first().map_or(0, |it| it.version))
}

fn conflict_outcome(
    batch: &CommitBatch,
    commit_row: &model::CommitRow,
    rows: &[model::TableRow],
) -> CommitOutcome {
    let commit_key = keys::commit(&batch.hall);
    if let Some(row) = rows.iter().find(|it| it.key == commit_key) {
        // Only this batch writes this epoch and number, so an earlier attempt committed all of it.
        let is_own = row.value.as_ref() == Some(&codec::encode(commit_row));
        let version = row.version;
        return if is_own { CommitOutcome::Committed { version } } else { CommitOutcome::Fenced };
    }
    let found = rows.iter().filter_map(|it| Some((it.key.as_str(), it.value.as_ref()?)));
    let found = found.collect::<BTreeMap<_, _>>();
    let creates = batch.writes.iter().filter(|it| it.create);
    let existing = creates.filter_map(|it| found.get(job_key(it).as_str()));
    let records = existing.filter_map(|it| decode(it)).collect::<Vec<_>>();
    if records.is_empty() {
        return CommitOutcome::Fenced;
    }
    CommitOutcome::JobsExist(records)
}

fn decode(value: &blob::Blob) -> Option<model::JobRecord> {
    codec::decode("read a job", value).ok()
}

fn commit_transaction(
    batch: &CommitBatch,
    tenure: &tenure::TenureWatch,
    expected_version: ids::RowVersion,
    commit_row: &model::CommitRow,
) -> model::TableTransaction {
    let commit_key = keys::commit(&batch.hall);
    let mut conditions = vec![
        tenure.condition(),
        model::TableCondition { key: commit_key.clone(), version: expected_version },
    ];
    let mut writes =
        vec![model::TableWrite { key: commit_key, value: Some(codec::encode(commit_row)) }];
    for write in &batch.writes {
        let record = &write.record;
        if write.create {
            conditions.push(model::TableCondition { key: job_key(write), version: 0 });
        }
        let value = Some(codec::encode(record));
        writes.push(model::TableWrite { key: job_key(write), value });
        let index = keys::hall_job(&batch.hall, &record.job);
        let account = blob::Blob::from(record.account.as_bytes());
        if job_table::is_terminal(record.state) {
            writes.push(model::TableWrite { key: index, value: None });
            let ended = keys::ended_job(&batch.hall, batch.created_at, &record.job);
            writes.push(model::TableWrite { key: ended, value: Some(account) });
        } else if write.create {
            writes.push(model::TableWrite { key: index, value: Some(account) });
        }
    }
    model::TableTransaction { conditions, writes }
}

fn job_key(write: &JobWrite) -> ids::RowKey {
    keys::job(&write.record.account, &write.record.job)
}

/// Deletes one page of the jobs that ended before `oldest`. Returns whether there may be more.
pub(crate) async fn sweep<T: TableService>(
    table: T,
    tenure: tenure::TenureWatch,
    hall: ids::HallName,
    oldest: time::WallTime,
) -> bool {
    let prefix = keys::ended_jobs(&hall);
    let scan = model::TableScan { prefix: prefix.clone(), after: None, limit: SWEEP_PAGE };
    let Ok(page) = table.scan(scan).await else { return false };
    let bound = keys::ended_job(&hall, oldest, &ids::JobId::nil());
    let mut writes = Vec::new();
    for row in page.rows.iter().filter(|it| it.key < bound) {
        let job = row.key.rsplit('/').next().and_then(|it| it.parse::<ids::JobId>().ok());
        let account = row.value.as_ref().and_then(|it| std::str::from_utf8(it).ok());
        if let (Some(job), Some(account)) = (job, account) {
            writes.push(model::TableWrite { key: keys::job(account, &job), value: None });
        }
        writes.push(model::TableWrite { key: row.key.clone(), value: None });
    }
    if writes.is_empty() {
        return false;
    }
    let transaction = model::TableTransaction { conditions: vec![tenure.condition()], writes };
    matches!(table.transact(transaction).await, Ok(model::TableOutcome::Committed { .. }))
}

/// Rows of ended jobs read in one scan and deleted in one transaction.
const SWEEP_PAGE: u32 = 64;
