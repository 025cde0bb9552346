//! The transactional table service.

use std::future::Future;

use almondpass_peer::error;
use almondpass_schema::model;

/// Multi-row transactions with conditions on row versions; point and prefix reads.
pub trait TableService: Clone + Send + Sync + 'static {
    /// Commits the transaction if all its conditions hold. On an error that may have had an
    /// effect the caller reads back what it wrote.
    fn transact(
        &self,
        transaction: model::TableTransaction,
    ) -> impl Future<Output = Result<model::TableOutcome, error::CallError>> + Send;

    /// Reads rows, all at one moment.
    fn get(
        &self,
        get: model::TableGet,
    ) -> impl Future<Output = Result<model::TableRows, error::CallError>> + Send;

    /// Reads the rows below a prefix.
    fn scan(
        &self,
        scan: model::TableScan,
    ) -> impl Future<Output = Result<model::TableRows, error::CallError>> + Send;
}
