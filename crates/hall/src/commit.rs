//! Writes the rows of jobs in groups, each group a transaction under the tenure.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_ports::{keys, table::TableService};
use almondpass_schema::{blob, ids, model, time};

use crate::codec;
use crate::job_table;
use crate::tenure;

/// One job's rows.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct JobWrite {
    /// The job as it is to stand.
    pub(crate) record: model::JobRecord,
    /// Whether the job is accepted by this write.
    pub(crate) create: bool,
}

/// A group of writes; kept until its outcome is certain.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CommitPlan {
    /// The hall.
    pub(crate) hall: ids::HallName,
    /// Jobs.
    pub(crate) writes: Vec<JobWrite>,
    /// When it was put together; ended jobs are kept from then on. One that ended in an outage
    /// would otherwise be dropped in the moment in which its end can be read.
    pub(crate) at: time::WallTime,
    /// Number of the group in its tenure.
    pub(crate) number: u64,
    /// Version of the commit row before the group; read where it is not known yet.
    ///
    /// A try of an earlier group that was lost on its way may still arrive, and the condition on
    /// the tenure lets it pass: a job that ended would run again by its row. One would see a row
    /// that never changes while the hall has no such job. Each group therefore writes the commit
    /// row under a condition on its version, so that groups take effect in their order.
    pub(crate) after: Option<ids::RowVersion>,
    /// Whether an earlier try of the same group may have taken effect.
    pub(crate) unsure: bool,
}

/// What became of a group.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CommitReport {
    /// The group.
    pub(crate) plan: CommitPlan,
    /// How it went.
    pub(crate) outcome: CommitOutcome,
}

/// How a group went.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CommitOutcome {
    /// Every row is durable.
    Committed {
        /// Version of the commit row after the group.
        version: ids::RowVersion,
    },
    /// Nothing was written: these jobs existed before.
    Known(Vec<model::JobRecord>),
    /// Nothing was written: a newer tenure holds the hall.
    Fenced,
    /// Nothing was written, for the table did not get it.
    Unsent,
    /// It may have been written. The same group is tried again until that is known: another one
    /// in its place could be overtaken by it.
    Unsure,
}

/// Tries a group once.
pub(crate) async fn run<T: TableService>(
    table: T,
    tenure: tenure::TenureWatch,
    mut plan: CommitPlan,
    deadline: Duration,
) -> CommitReport {
    let after = match plan.after {
        Some(after) => after,
        None => match read_version(&table, &plan.hall, deadline).await {
            Some(after) => after,
            None => return CommitReport { plan, outcome: CommitOutcome::Unsent },
        },
    };
    plan.after = Some(after);
    let mark = model::CommitRow { epoch: tenure.epoch(), number: plan.number };
    let transaction = transaction(&plan, &tenure, after, &mark);
    let outcome = match tokio::time::timeout(deadline, table.transact(transaction)).await {
        Ok(Ok(model::TableOutcome::Committed { versions })) => {
            CommitOutcome::Committed { version: versions.first().copied().unwrap_or(after + 1) }
        }
        Ok(Ok(model::TableOutcome::Conflict { rows })) => conflict(&plan, &mark, &rows),
        // Only this try had no effect; an earlier one of the same group may have.
        Ok(Err(fault)) if fault.fault.had_no_effect() && !plan.unsure => CommitOutcome::Unsent,
        Ok(Err(fault)) => {
            tracing::warn!(hall = plan.hall, %fault, "a commit of jobs has no answer");
            CommitOutcome::Unsure
        }
        Err(_) => CommitOutcome::Unsure,
    };
    CommitReport { plan, outcome }
}

/// Reads the version of the commit row. Under a new tenure it is final: what former holders still
/// have on its way fails by the condition on the tenure.
async fn read_version<T: TableService>(
    table: &T,
    hall: &str,
    deadline: Duration,
) -> Option<ids::RowVersion> {
    let get = model::TableGet { keys: vec![keys::commit(hall)] };
    let rows = tokio::time::timeout(deadline, table.get(get)).await.ok()?.ok()?;
    Some(rows.rows.first().map_or(0, |it| it.version))
}

fn conflict(plan: &CommitPlan, mark: &model::CommitRow, rows: &[model::TableRow]) -> CommitOutcome {
    let commit = keys::commit(&plan.hall);
    if let Some(row) = rows.iter().find(|it| it.key == commit) {
        // The mark is of this group alone: an earlier try committed, as a whole.
        let ours = row.value.as_ref() == Some(&codec::encode(mark));
        let version = row.version;
        return if ours { CommitOutcome::Committed { version } } else { CommitOutcome::Fenced };
    }
    let found = rows.iter().filter_map(|it| Some((it.key.as_str(), it.value.as_ref()?)));
    let found = found.collect::<BTreeMap<_, _>>();
    let creates = plan.writes.iter().filter(|it| it.create);
    let existing = creates.filter_map(|it| found.get(job_key(it).as_str()));
    let records = existing.filter_map(|it| decode(it)).collect::<Vec<_>>();
    if records.is_empty() {
        return CommitOutcome::Fenced;
    }
    CommitOutcome::Known(records)
}

fn decode(value: &blob::Blob) -> Option<model::JobRecord> {
    codec::decode("read a job", value).ok()
}

fn transaction(
    plan: &CommitPlan,
    tenure: &tenure::TenureWatch,
    after: ids::RowVersion,
    mark: &model::CommitRow,
) -> model::TableTransaction {
    let commit = keys::commit(&plan.hall);
    let mut conditions =
        vec![tenure.condition(), model::TableCondition { key: commit.clone(), version: after }];
    let mut writes = vec![model::TableWrite { key: commit, value: Some(codec::encode(mark)) }];
    for write in &plan.writes {
        let record = &write.record;
        if write.create {
            conditions.push(model::TableCondition { key: job_key(write), version: 0 });
        }
        let value = Some(codec::encode(record));
        writes.push(model::TableWrite { key: job_key(write), value });
        let index = keys::hall_job(&plan.hall, &record.job);
        let account = blob::Blob::from(record.account.as_bytes());
        if job_table::is_terminal(record.state) {
            writes.push(model::TableWrite { key: index, value: None });
            let ended = keys::ended_job(&plan.hall, plan.at, &record.job);
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

/// Drops jobs that ended before `oldest`, a page at a time; whether there may be more.
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

const SWEEP_PAGE: u32 = 64;
