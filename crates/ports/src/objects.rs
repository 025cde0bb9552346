//! Interface of the platform's object store.

use std::future::Future;

use almondpass_peer::error;
use almondpass_schema::model;

/// An object store with put-if-absent, get, and list by prefix. Objects are never overwritten.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Writes an object unless one exists under its key.
    fn put(
        &self,
        put: model::ObjectPut,
    ) -> impl Future<Output = Result<model::ObjectPutOutcome, error::CallError>> + Send;

    /// Reads an object; its value is absent if no object has the key.
    fn get(
        &self,
        get: model::ObjectGet,
    ) -> impl Future<Output = Result<model::ObjectFound, error::CallError>> + Send;

    /// Lists the keys that begin with a prefix.
    fn list(
        &self,
        list: model::ObjectList,
    ) -> impl Future<Output = Result<model::ObjectKeys, error::CallError>> + Send;
}
