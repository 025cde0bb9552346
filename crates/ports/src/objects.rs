//! The object store.

use std::future::Future;

use almondpass_peer::error;
use almondpass_schema::model;

/// Put-if-absent, get, and list by prefix.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Writes an object unless one exists.
    fn put(
        &self,
        put: model::ObjectPut,
    ) -> impl Future<Output = Result<model::ObjectPutOutcome, error::CallError>> + Send;

    /// Reads an object.
    fn get(
        &self,
        get: model::ObjectGet,
    ) -> impl Future<Output = Result<model::ObjectFound, error::CallError>> + Send;

    /// Lists keys below a prefix.
    fn list(
        &self,
        list: model::ObjectList,
    ) -> impl Future<Output = Result<model::ObjectKeys, error::CallError>> + Send;
}
