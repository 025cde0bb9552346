//! Reads and writes the table rows that record which instance schedules a hall. If the answer to a write is
//! lost, the rows are read back to find out whether the write took effect.

use std::collections::BTreeMap;

use almondpass_ports::{keys, table::TableService};
use almondpass_schema::{ids, model, time};
use tokio::time::Instant;

use crate::codec;
use crate::error;
use crate::options;

/// The scheduler row and the tenure row of a hall, read in one call.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerRows {
    /// Version of the scheduler row; 0 if the row does not exist.
    pub version: ids::RowVersion,
    /// Names the holder of the hall; every renewal changes it.
    pub scheduler: Option<model::SchedulerRow>,
    /// Version of the tenure row; 0 if the row does not exist.
    pub tenure_version: ids::RowVersion,
    /// Names the holder and its epoch; a renewal does not change it.
    pub tenure: Option<model::TenureRow>,
}

/// A tenure that this instance holds.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedTenure {
    /// The scheduler row as this instance last wrote it.
    pub row: model::SchedulerRow,
    /// Version of the scheduler row, the condition of the next renewal.
    pub version: ids::RowVersion,
    /// Version of the tenure row, the condition of the other writes of the tenure.
    pub tenure_version: ids::RowVersion,
    /// Start of the term: the time just before the write was sent.
    pub term_started_at: Instant,
    /// Number of the last renewal that was attempted. It makes the row of each attempt different.
    pub renewal_number: u64,
}

/// Result of renewing or releasing a tenure.
#[derive(Clone, Debug, PartialEq)]
pub enum RenewalOutcome {
    /// The scheduler row still names this tenure.
    Renewed(OwnedTenure),
    /// The scheduler row, if any, names another tenure.
    Lost(Option<model::SchedulerRow>),
}

/// Reads the scheduler row and the tenure row of a hall. Fails if the table does not answer or a row is
/// malformed.
pub async fn read<T: TableService>(table: &T, hall: &str) -> Result<OwnerRows, error::HallError> {
    let get = model::TableGet { keys: row_keys(hall).into() };
    owner_rows(hall, &table.get(get).await?.rows)
}

/// Reads the scheduler rows and tenure rows of several halls in one call. A hall with a malformed row is
/// left out, so that it does not block reading the others.
pub async fn read_all<T: TableService>(
    table: &T,
    halls: &[&str],
) -> Result<BTreeMap<ids::HallName, OwnerRows>, error::HallError> {
    let get = model::TableGet { keys: halls.iter().flat_map(|it| row_keys(it)).collect() };
    let rows = table.get(get).await?.rows;
    let mut rows_by_hall = BTreeMap::new();
    for &hall in halls {
        match owner_rows(hall, &rows) {
            Ok(owner) => {
                rows_by_hall.insert(hall.to_owned(), owner);
            }
            Err(fault) => {
                tracing::debug!(hall, %fault, "cannot decode the scheduler rows of the hall")
            }
        }
    }
    Ok(rows_by_hall)
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

/// Acquires a hall that is free or expired according to `observed`; `None` if another instance changed the
/// rows since.
pub async fn acquire<T: TableService>(
    table: &T,
    options: &options::HallOptions,
    hall: &ids::HallName,
    observed: &OwnerRows,
) -> Result<Option<OwnedTenure>, error::HallError> {
    let epoch = next_epoch(observed);
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
            condition(keys::scheduler(hall), observed.version),
            condition(keys::tenure(hall), observed.tenure_version),
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
        // The answer is lost and the write may have taken effect. Without a check the hall would wait a whole
        // term for a holder that does not know that it holds the hall. The row names its writer, so reading
        // the row back settles it.
        Err(_) => {
            let rows = read(table, hall).await?;
            Ok(owned_tenure(rows, &options.instance, epoch, term_started_at))
        }
    }
}

/// Renews a tenure, whether or not its term has expired.
pub async fn renew<T: TableService>(
    table: &T,
    tenure: &mut OwnedTenure,
) -> Result<RenewalOutcome, error::HallError> {
    tenure.renewal_number += 1;
    let row = model::SchedulerRow { renewal: tenure.renewal_number, ..tenure.row.clone() };
    write_owned(table, tenure, row).await
}

/// Marks a tenure as released, so that the next holder need not wait for the term to expire.
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
        // Either the answer to this write is lost, or an earlier write took effect late and changed the
        // version. A holder that treated the conflict as the loss of its tenure would leave the hall
        // without a scheduler for a term. The row names its writer, so it is read back.
        Ok(model::TableOutcome::Conflict { .. }) | Err(_) => {
            let rows = read(table, hall).await?;
            let found = match rows.scheduler {
                Some(found) if is_same_tenure(&found, &row) => found,
                other => return Ok(RenewalOutcome::Lost(other)),
            };
            // If an earlier renewal took effect instead of this one, watchers count the term from the earlier
            // one, so the start of the term must not move. The next renewal uses the version found.
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

fn is_same_tenure(found: &model::SchedulerRow, ours: &model::SchedulerRow) -> bool {
    found.holder == ours.holder && found.epoch == ours.epoch
}

/// The tenure that `rows` show, if `holder` has it with `epoch`.
fn owned_tenure(
    rows: OwnerRows,
    holder: &str,
    epoch: ids::Epoch,
    term_started_at: Instant,
) -> Option<OwnedTenure> {
    let row = rows.scheduler?;
    let is_ours = row.holder == holder && row.epoch == epoch;
    is_ours.then_some(OwnedTenure {
        row,
        version: rows.version,
        tenure_version: rows.tenure_version,
        term_started_at,
        renewal_number: 0,
    })
}

fn next_epoch(observed: &OwnerRows) -> ids::Epoch {
    let scheduler = observed.scheduler.as_ref().map_or(0, |it| it.epoch);
    let tenure = observed.tenure.as_ref().map_or(0, |it| it.epoch);
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
