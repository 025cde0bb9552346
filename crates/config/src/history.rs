//! Pages of accepted versions.

use almondpass_ports::table;
use almondpass_schema::{ids, model};

use crate::store;

/// Most versions of one page: each row carries its whole document.
const MAX_PAGE: u32 = 50;

/// The versions below `before`, or the newest, newest first.
pub(crate) async fn page<T: table::TableService>(
    store: &store::ConfigStore<T>,
    before: Option<ids::ConfigVersion>,
    limit: u32,
) -> Result<model::ConfigHistory, store::StoreFault> {
    let newest = match before {
        Some(before) => before.saturating_sub(1),
        None => store.head().await?.version,
    };
    let rows = store.versions(newest, limit.clamp(1, MAX_PAGE)).await?;
    let oldest = rows.last().map(|it| it.version);
    let versions = rows.into_iter().map(summary).collect();
    Ok(model::ConfigHistory { versions, before: oldest.filter(|it| 1 < *it) })
}

/// A version without its document.
pub(crate) fn summary(row: model::ConfigRow) -> model::ConfigSummary {
    model::ConfigSummary {
        version: row.version,
        accepted_at: row.accepted_at,
        operator: row.operator,
        note: row.note,
    }
}
