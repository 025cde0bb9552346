//! The platform's lagging instance list.

use std::future::Future;

use almondpass_peer::error;
use almondpass_schema::model;

/// Tells which instances are live and which are leaving, as of a while ago.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads the list, unless the asker has its newest revision.
    fn list(
        &self,
        query: model::InstanceQuery,
    ) -> impl Future<Output = Result<model::InstanceListing, error::CallError>> + Send;
}
