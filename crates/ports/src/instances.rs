//! Interface of the platform's instance list, which lags behind the actual state.

use std::future::Future;

use almondpass_peer::error;
use almondpass_schema::model;

/// Lists which instances are live and which are leaving, as of some time ago.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads the list, unless the query names its newest revision.
    fn list(
        &self,
        query: model::InstanceQuery,
    ) -> impl Future<Output = Result<model::InstanceListing, error::CallError>> + Send;
}
