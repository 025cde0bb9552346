//! Writes to the rows that say who schedules a hall, each settled before it counts.

use std::collections::BTreeMap;

use almondpass_ports::{keys, table::TableService};
use almondpass_schema::{ids, model, time};
use tokio::time::Instant;

use crate::codec;
use crate::error;
use crate::options;

/// The rows of a hall's scheduler at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerRows {
    /// Version of the scheduler row; 0 where there is none.
    pub version: ids::RowVersion,
    /// The scheduler row.
    pub scheduler: Option<model::SchedulerRow>,
    /// Version of the row that changes only with the tenure.
    pub tenure_version: ids::RowVersion,
    /// That row.
    pub tenure: Option<model::TenureRow>,
}

/// A tenure that this instance holds.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedTenure {
    /// The scheduler row as written.
    pub row: model::SchedulerRow,
    /// Its version.
    pub version: ids::RowVersion,
    /// Version of the row that changes only with the tenure.
    pub tenure_version: ids::RowVersion,
    /// From when the term counts: before the write was sent.
    pub term_started_at: Instant,
    /// Number of the last renewal that was tried, so that no two tries write the same row.
    pub renewal_number: u64,
}

/// What became of a renewal.
#[derive(Clone, Debug, PartialEq)]
pub enum RenewalOutcome {
    /// The tenure goes on.
    Renewed(OwnedTenure),
    /// Somebody else holds the hall.
    Lost(Option<model::SchedulerRow>),
}

/// Reads the rows of a hall's scheduler.
pub async fn read<T: TableService>(table: &T, hall: &str) -> Result<OwnerRows, error::HallError> {
    let get = model::TableGet { keys: row_keys(hall).into() };
    owner_rows(hall, &table.get(get).await?.rows)
}

/// Reads the rows of several halls' schedulers at one moment. A hall whose rows cannot be read is
/// left out, so that it keeps nobody from looking at the others.
pub async fn read_all<T: TableService>(
    table: &T,
    halls: &[&str],
) -> Result<BTreeMap<ids::HallName, OwnerRows>, error::HallError> {
    let get = model::TableGet { keys: halls.iter().flat_map(|it| row_keys(it)).collect() };
    let rows = table.get(get).await?.rows;
    let mut found = BTreeMap::new();
    for &hall in halls {
        match owner_rows(hall, &rows) {
            Ok(owner) => {
                found.insert(hall.to_owned(), owner);
            }
            Err(fault) => tracing::debug!(hall, %fault, "cannot read who schedules the hall"),
        }
    }
    Ok(found)
}

fn row_keys(hall: &str) -> [ids::RowKey; 2] {
    [keys::scheduler(hall), keys::tenure(hall)]
}

fn owner_rows(hall: &str, rows: &[model::TableRow]) -> Result<OwnerRows, error::HallError> {
    let [scheduler, tenure] = row_keys(hall).map(|key| rows.iter().find(|it| it.key == key));
    Ok(OwnerRows {
        version: scheduler.map_or(0, |it| it.version),
        scheduler: decode(scheduler)?,
        tenure_version: tenure.map_or(0, |it| it.version),
        tenure: decode(tenure)?,
    })
}

/// Takes a hall that `seen` shows as free or lapsed; `None` where another was faster.
pub async fn acquire<T: TableService>(
    table: &T,
    options: &options::HallOptions,
    hall: &ids::HallName,
    seen: &OwnerRows,
) -> Result<Option<OwnedTenure>, error::HallError> {
    let epoch = next_epoch(seen);
    let row = model::SchedulerRow {
        hall: hall.clone(),
        holder: options.instance.clone(),
        address: options.address.clone(),
        epoch,
        term: time::TimeSpan(options.tenure_term()),
        renewal: 0,
        released: false,
    };
    let tenure = model::TenureRow { epoch, holder: options.instance.clone() };
    let transaction = model::TableTransaction {
        conditions: vec![
            condition(keys::scheduler(hall), seen.version),
            condition(keys::tenure(hall), seen.tenure_version),
        ],
        writes: vec![write(keys::scheduler(hall), &row), write(keys::tenure(hall), &tenure)],
    };
    let term_started_at = Instant::now();
    match table.transact(transaction).await {
        Ok(model::TableOutcome::Committed { versions }) => {
            let [version, tenure_version] = versions[..] else { return Ok(None) };
            Ok(Some(OwnedTenure {
                row,
                version,
                tenure_version,
                term_started_at,
                renewal_number: 0,
            }))
        }
        Ok(model::TableOutcome::Conflict { .. }) => Ok(None),
        Err(fault) if fault.fault.had_no_effect() => Err(fault.into()),
        // The answer is lost and the write may have taken effect. Left alone, the hall would
        // wait a whole term for a holder that does not know that it holds. The row names its
        // writer, so reading it back tells.
        Err(_) => {
            let rows = read(table, hall).await?;
            Ok(owned(rows, &options.instance, epoch, term_started_at))
        }
    }
}

/// Renews a tenure.
pub async fn renew<T: TableService>(
    table: &T,
    tenure: &mut OwnedTenure,
) -> Result<RenewalOutcome, error::HallError> {
    tenure.renewal_number += 1;
    let row = model::SchedulerRow { renewal: tenure.renewal_number, ..tenure.row.clone() };
    write_owned(table, tenure, row).await
}

/// Gives a tenure up, so that the next holder need not wait for the term.
pub async fn release<T: TableService>(
    table: &T,
    tenure: &mut OwnedTenure,
) -> Result<RenewalOutcome, error::HallError> {
    tenure.renewal_number += 1;
    let renewal = tenure.renewal_number;
    let row = model::SchedulerRow { renewal, released: true, ..tenure.row.clone() };
    write_owned(table, tenure, row).await
}

async fn write_owned<T: TableService>(
    table: &T,
    tenure: &OwnedTenure,
    row: model::SchedulerRow,
) -> Result<RenewalOutcome, error::HallError> {
    let hall = &tenure.row.hall;
    let transaction = model::TableTransaction {
        conditions: vec![condition(keys::scheduler(hall), tenure.version)],
        writes: vec![write(keys::scheduler(hall), &row)],
    };
    let term_started_at = Instant::now();
    match table.transact(transaction).await {
        Ok(model::TableOutcome::Committed { versions }) => {
            let version = versions.first().copied().unwrap_or(tenure.version + 1);
            let written = OwnedTenure { row, version, term_started_at, ..tenure.clone() };
            Ok(RenewalOutcome::Renewed(written))
        }
        Err(fault) if fault.fault.had_no_effect() => Err(fault.into()),
        // Either the answer of this write is lost, or that of an earlier one which landed late
        // and moved the version. A holder that took the conflict for a defeat would leave its
        // hall without a scheduler for a term. The row names its writer.
        Ok(model::TableOutcome::Conflict { .. }) | Err(_) => {
            let rows = read(table, hall).await?;
            let found = match rows.scheduler {
                Some(found) if same_tenure(&found, &row) => found,
                other => return Ok(RenewalOutcome::Lost(other)),
            };
            // An earlier try that landed: watchers count from that one, so the term must not
            // count from this one. The next renewal goes out from the version found.
            let term_started_at =
                if found.renewal == row.renewal { term_started_at } else { tenure.term_started_at };
            Ok(RenewalOutcome::Renewed(OwnedTenure {
                row: found,
                version: rows.version,
                term_started_at,
                ..tenure.clone()
            }))
        }
    }
}

fn same_tenure(found: &model::SchedulerRow, ours: &model::SchedulerRow) -> bool {
    found.holder == ours.holder && found.epoch == ours.epoch
}

/// The tenure of `holder` and `epoch` if `rows` show it.
fn owned(
    rows: OwnerRows,
    holder: &str,
    epoch: ids::Epoch,
    term_started_at: Instant,
) -> Option<OwnedTenure> {
    let row = rows.scheduler?;
    let ours = row.holder == holder && row.epoch == epoch;
    ours.then_some(OwnedTenure {
        row,
        version: rows.version,
        tenure_version: rows.tenure_version,
        term_started_at,
        renewal_number: 0,
    })
}

fn next_epoch(seen: &OwnerRows) -> ids::Epoch {
    let scheduler = seen.scheduler.as_ref().map_or(0, |it| it.epoch);
    let tenure = seen.tenure.as_ref().map_or(0, |it| it.epoch);
    scheduler.max(tenure) + 1
}

fn decode<R: serde::de::DeserializeOwned>(
    row: Option<&model::TableRow>,
) -> Result<Option<R>, error::HallError> {
    let row = row.map(|it| codec::decode_row("read who schedules the hall", it)).transpose()?;
    Ok(row.flatten())
}

fn condition(key: ids::RowKey, version: ids::RowVersion) -> model::TableCondition {
    model::TableCondition { key, version }
}

fn write<R: serde::Serialize>(key: ids::RowKey, row: &R) -> model::TableWrite {
    model::TableWrite { key, value: Some(codec::encode(row)) }
}
