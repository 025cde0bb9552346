//! Finds out whether a transaction whose answer was lost took effect.
//!
//! It works for transactions that write at least one row under a condition on that row, with a
//! value that no other writer writes: one that holds the writer's id, say. Such a row is a
//! witness, since a transaction commits as a whole.

use almondpass_peer::error;
use almondpass_schema::{ids, model};

use crate::table;

/// What the rows tell about a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It committed.
    Committed {
        /// Versions of the written rows as read back, in the order of the writes.
        versions: Vec<ids::RowVersion>,
    },
    /// Another writer was first; it never will commit.
    Conflict {
        /// The witnesses that tell so.
        rows: Vec<model::TableRow>,
    },
    /// It has not committed, but may yet; repeating it is safe.
    Pending,
    /// The rows don't tell: later writers covered its traces, or it has no witness.
    Unclear,
}

/// Reads the rows of a transaction back and judges by them; see [`judge_group`].
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
    Ok(judge_group(transaction, members, &read.rows))
}

/// Judges by rows that were read after the transaction was sent; others than its own are ignored.
///
/// It committed only if every witness shows it. One row that holds the same value by chance, such
/// as a number that two writers counted up alike, would otherwise pass for proof, and its writer
/// would go on as though all its rows were durable.
pub fn judge(transaction: &model::TableTransaction, rows: &[model::TableRow]) -> Verdict {
    let mut pending = false;
    let mut covered = false;
    let mut foreign = Vec::new();
    let mut n_ours = 0;
    for (condition, write) in witnesses(transaction) {
        let Some(row) = rows.iter().find(|it| it.key == write.key) else { continue };
        if row.version == condition.version {
            pending = true;
        } else if row.value == write.value {
            n_ours += 1;
        } else if row.version == condition.version + 1 {
            // The very next version is another's: ours cannot have come between.
            foreign.push(row.clone());
        } else {
            covered = true;
        }
    }
    if !foreign.is_empty() {
        return Verdict::Conflict { rows: foreign };
    }
    if pending {
        return Verdict::Pending;
    }
    if covered || n_ours == 0 {
        return Verdict::Unclear;
    }
    Verdict::Committed { versions: versions(transaction, rows) }
}

/// Judges a transaction that was put together from `members`: what is known of one holds for all.
pub fn judge_group(
    transaction: &model::TableTransaction,
    members: &[&model::TableTransaction],
    rows: &[model::TableRow],
) -> Verdict {
    let verdicts = members.iter().map(|it| judge(it, rows)).collect::<Vec<_>>();
    let foreign = verdicts.iter().filter_map(|it| match it {
        Verdict::Conflict { rows } => Some(rows.clone()),
        _ => None,
    });
    let foreign = foreign.flatten().collect::<Vec<_>>();
    if !foreign.is_empty() {
        return Verdict::Conflict { rows: foreign };
    }
    if verdicts.contains(&Verdict::Pending) {
        return Verdict::Pending;
    }
    if verdicts.iter().any(|it| matches!(it, Verdict::Committed { .. })) {
        return Verdict::Committed { versions: versions(transaction, rows) };
    }
    Verdict::Unclear
}

/// Judges by the conflict that met a repetition of the transaction: `rows` are all whose condition
/// failed. Since versions only grow, the conflict is for good.
pub fn judge_conflict(
    transaction: &model::TableTransaction,
    members: &[&model::TableTransaction],
    rows: &[model::TableRow],
) -> Verdict {
    let failed = |key: &ids::RowKey| rows.iter().any(|it| it.key == *key);
    if witnesses(transaction).any(|(condition, _)| !failed(&condition.key)) {
        // That row stands as before, so nothing of the transaction was written.
        return Verdict::Conflict { rows: rows.to_vec() };
    }
    judge_group(transaction, members, rows)
}

/// Whether [`settle`] can find anything out about it.
pub fn has_witness(transaction: &model::TableTransaction) -> bool {
    witnesses(transaction).next().is_some()
}

/// Conditioned writes of a value. A deleted row is none: it looks the same whoever deleted it.
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
