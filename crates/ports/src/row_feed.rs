//! Reading whole tables, and what changes in them.

use std::future::Future;
use std::time::Duration;

use almondpass_peer::error;
use almondpass_schema::{blob, ids};
use thiserror::Error;

/// A row, or that it is gone.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedRow {
    /// Its key within the table.
    pub key: String,
    /// The version that this change gave it.
    pub version: ids::RowVersion,
    /// Its content; nothing where the row was deleted.
    pub value: Option<blob::Blob>,
}

/// Rows of one table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedRows {
    /// The rows, in the order of their changes where they were followed.
    pub rows: Vec<FeedRow>,
    /// Follow on behind this version.
    pub version: ids::RowVersion,
    /// Whether more has changed than one answer tells: the next one is there at once.
    pub more: bool,
}

/// Why no rows were read.
#[derive(Clone, Debug, Error)]
pub enum FeedFault {
    /// The store no longer knows what has changed since; the table has to be read anew.
    #[error("expected the changes since that version, found that they are forgotten")]
    HistoryGone,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] error::CallError),
}

/// Tables by name.
pub trait RowFeed: Clone + Send + Sync + 'static {
    /// Reads a table, all its rows as of `version` or later. Each answer has to come within `deadline`; a
    /// long table takes several, one behind the other.
    fn snapshot(
        &self,
        table: &str,
        deadline: Duration,
    ) -> impl Future<Output = Result<FeedRows, error::CallError>> + Send;

    /// Waits at most `wait` for rows that changed behind `after`.
    fn follow(
        &self,
        table: &str,
        after: ids::RowVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedRows, FeedFault>> + Send;
}
