//! Settles transactions whose answer was lost: finds out whether they took effect.
//!
//! This works for transactions that write at least one row under a condition on that row, with a
//! value that no other writer writes, for example one that contains the writer's id. Such a row is
//! called a witness: since a transaction commits as a whole, the row shows whether it committed.

use almondpass_peer::error;
use almondpass_schema::{ids, model};

use crate::table;

/// What the rows show about a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The transaction committed.
    Committed {
        /// Versions of the written rows as read back, in the order of the writes.
        versions: Vec<ids::RowVersion>,
    },
    /// Another writer changed a row first; the transaction will never commit.
    Conflict {
        /// Rows that prove it: witnesses of the transaction, or the rows whose conditions failed.
        rows: Vec<model::TableRow>,
    },
    /// The transaction has not committed, but still may; repeating it is safe.
    Pending,
    /// The rows don't show the outcome: later writers overwrote the witnesses, or there is no witness.
    Unclear,
}

/// Reads the rows of a transaction back and returns what they show; see [`verdict_of_group`].
pub async fn settle<T: table::TableService>(
    table: &T,
    transaction: &model::TableTransaction,
    members: &[&model::TableTransaction],
) -> Result<Verdict, error::CallError> {
    if witnesses(transaction).next().is_none() {
        return Ok(Verdict::Unclear);
    }
    let keys = transaction.writes.iter().map(|it| it.key.clone()).collect();
    let read = table.get(model::TableGet { keys }).await?;
    Ok(verdict_of_group(transaction, members, &read.rows))
}

/// Returns what `rows`, read after the transaction was sent, show about it. Rows that the transaction
/// doesn't write are ignored.
///
/// The transaction counts as committed only if every witness shows it. Otherwise a single row that holds
/// the same value by chance, such as a counter that two writers increased to the same number, would
/// count as proof, and the writer would continue as though all its rows were durable.
pub fn verdict_of_member(
    transaction: &model::TableTransaction,
    rows: &[model::TableRow],
) -> Verdict {
    let mut is_pending = false;
    let mut is_overwritten = false;
    let mut others_rows = Vec::new();
    let mut n_matching = 0;
    for (condition, write) in witnesses(transaction) {
        let Some(row) = rows.iter().find(|it| it.key == write.key) else { continue };
        if row.version == condition.version {
            is_pending = true;
        } else if row.value == write.value {
            n_matching += 1;
        } else if row.version == condition.version + 1 {
            // Another writer wrote the version right after the condition's, so this transaction can't have
            // written the row in between.
            others_rows.push(row.clone());
        } else {
            is_overwritten = true;
        }
    }
    if !others_rows.is_empty() {
        return Verdict::Conflict { rows: others_rows };
    }
    if is_pending {
        return Verdict::Pending;
    }
    if is_overwritten || n_matching == 0 {
        return Verdict::Unclear;
    }
    Verdict::Committed { versions: versions(transaction, rows) }
}

/// Returns what `rows` show about a transaction that was merged from `members`. Since the merged
/// transaction commits as a whole, the outcome of one member is the outcome of all.
pub fn verdict_of_group(
    transaction: &model::TableTransaction,
    members: &[&model::TableTransaction],
    rows: &[model::TableRow],
) -> Verdict {
    let verdicts = members.iter().map(|it| verdict_of_member(it, rows)).collect::<Vec<_>>();
    let others_rows = verdicts.iter().filter_map(|it| match it {
        Verdict::Conflict { rows } => Some(rows.clone()),
        _ => None,
    });
    let others_rows = others_rows.flatten().collect::<Vec<_>>();
    if !others_rows.is_empty() {
        return Verdict::Conflict { rows: others_rows };
    }
    if verdicts.contains(&Verdict::Pending) {
        return Verdict::Pending;
    }
    if verdicts.iter().any(|it| matches!(it, Verdict::Committed { .. })) {
        return Verdict::Committed { versions: versions(transaction, rows) };
    }
    Verdict::Unclear
}

/// Returns what the conflict of a repeated transaction shows about the earlier attempts. `rows` are all
/// rows whose condition failed. Since versions only increase, the conflict is permanent.
pub fn verdict_of_conflict(
    transaction: &model::TableTransaction,
    members: &[&model::TableTransaction],
    rows: &[model::TableRow],
) -> Verdict {
    let failed = |key: &ids::RowKey| rows.iter().any(|it| it.key == *key);
    if witnesses(transaction).any(|(condition, _)| !failed(&condition.key)) {
        // A witness has its old version, so no row of the transaction was written.
        return Verdict::Conflict { rows: rows.to_vec() };
    }
    verdict_of_group(transaction, members, rows)
}

/// Whether the transaction has a witness, without which [`settle`] returns [`Verdict::Unclear`].
pub fn has_witness(transaction: &model::TableTransaction) -> bool {
    witnesses(transaction).next().is_some()
}

/// Writes of a value under a condition on the same row. A deletion is no witness: a deleted row looks
/// the same whoever deleted it.
fn witnesses(
    transaction: &model::TableTransaction,
) -> impl Iterator<Item = (&model::TableCondition, &model::TableWrite)> {
    let written = transaction.writes.iter().filter(|it| it.value.is_some());
    written.filter_map(|write| {
        let condition = transaction.conditions.iter().find(|it| it.key == write.key)?;
        Some((condition, write))
    })
}

fn versions(
    transaction: &model::TableTransaction,
    rows: &[model::TableRow],
) -> Vec<ids::RowVersion> {
    let version_of = |key: &ids::RowKey| rows.iter().find(|it| it.key == *key).map(|it| it.version);
    transaction.writes.iter().map(|it| version_of(&it.key).unwrap_or_default()).collect()
}
