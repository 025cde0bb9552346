//! Interface of the platform's transactional table service.

use std::future::Future;

use almondpass_peer::error;
use almondpass_schema::model;

/// A table with multi-row transactions under conditions on row versions, and point and prefix reads.
pub trait TableService: Clone + Send + Sync + 'static {
    /// Commits the transaction if all its conditions hold. After an error that may have had an effect,
    /// the caller reads back the rows that the transaction writes.
    fn transact(
        &self,
        transaction: model::TableTransaction,
    ) -> impl Future<Output = Result<model::TableOutcome, error::CallError>> + Send;

    /// Reads rows, all from one snapshot.
    fn get(
        &self,
        get: model::TableGet,
    ) -> impl Future<Output = Result<model::TableRows, error::CallError>> + Send;

    /// Reads the rows whose keys begin with a prefix.
    fn scan(
        &self,
        scan: model::TableScan,
    ) -> impl Future<Output = Result<model::TableRows, error::CallError>> + Send;
}
