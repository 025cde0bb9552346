//! The operators' interface.

use almondpass_schema::{ids, model};
use base64::Engine;
use base64::engine::general_purpose;

use crate::api;
use crate::arguments;
use crate::connection;
use crate::error;

/// Speaks as an operator.
pub(crate) struct OperatorClient {
    api: api::ApiClient,
    name: String,
}

impl OperatorClient {
    /// A client by the command line.
    pub(crate) fn new(
        common: &arguments::CommonArgs,
        operator: &arguments::OperatorArgs,
    ) -> Result<OperatorClient, error::Error> {
        let connection =
            connection::ServerConnection::new(&operator.console, common.ca.as_deref())?;
        let credentials = format!("{}:{}", operator.operator, operator.password);
        let authorization = format!("Basic {}", general_purpose::STANDARD.encode(credentials));
        let api = api::ApiClient::new(connection, &authorization, common)?;
        Ok(OperatorClient { api, name: operator.operator.clone() })
    }

    /// Sign-in name of the operator.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Lists the halls.
    pub(crate) async fn halls(&self) -> Result<model::HallListing, error::Error> {
        self.api.call(api::ApiCall::get("list halls", "/v1/halls".to_owned())).await
    }

    /// Reads the picture of a hall.
    pub(crate) async fn hall(&self, hall: &str) -> Result<model::HallPicture, error::Error> {
        self.api.call(api::ApiCall::get("read hall", format!("/v1/halls/{hall}"))).await
    }

    /// Lists the workers.
    pub(crate) async fn workers(&self) -> Result<model::WorkerListing, error::Error> {
        self.api.call(api::ApiCall::get("list workers", "/v1/workers".to_owned())).await
    }

    /// Lists the upstreams.
    pub(crate) async fn upstreams(&self) -> Result<model::UpstreamListing, error::Error> {
        self.api.call(api::ApiCall::get("list upstreams", "/v1/upstreams".to_owned())).await
    }

    /// Lists the drains.
    pub(crate) async fn drains(&self) -> Result<model::DrainListing, error::Error> {
        self.api.call(api::ApiCall::get("list drains", "/v1/drains".to_owned())).await
    }

    /// Drains; repeated, it changes nothing.
    pub(crate) async fn drain(
        &self,
        drain: &model::DrainRequest,
    ) -> Result<model::DrainListing, error::Error> {
        let path = "/v1/drains".to_owned();
        let call = api::ApiCall::change("drain", http::Method::POST, path).with_json(drain);
        self.api.call(call).await
    }

    /// Calls a drain off; repeated, it changes nothing.
    pub(crate) async fn undrain(
        &self,
        drain: &model::DrainRequest,
    ) -> Result<model::DrainListing, error::Error> {
        let path = "/v1/drains".to_owned();
        let call = api::ApiCall::change("undrain", http::Method::DELETE, path).with_json(drain);
        self.api.call(call).await
    }

    /// Reads the configuration in force.
    pub(crate) async fn config(&self) -> Result<model::ConfigInForce, error::Error> {
        self.api.call(api::ApiCall::get("read configuration", "/v1/config".to_owned())).await
    }

    /// Reads an accepted version.
    pub(crate) async fn config_version(
        &self,
        version: ids::ConfigVersion,
    ) -> Result<model::ConfigRow, error::Error> {
        let path = format!("/v1/config/{version}");
        self.api.call(api::ApiCall::get("read configuration version", path)).await
    }

    /// Lists accepted versions before `before`, newest first.
    pub(crate) async fn history(
        &self,
        before: Option<ids::ConfigVersion>,
    ) -> Result<model::ConfigHistory, error::Error> {
        let before = before.map(|it| format!("?before={it}")).unwrap_or_default();
        let path = format!("/v1/config/history{before}");
        self.api.call(api::ApiCall::get("list configuration versions", path)).await
    }

    /// Proposes a document; the proposal's id makes a repeat harmless.
    pub(crate) async fn propose(
        &self,
        proposal: &model::ConfigProposal,
    ) -> Result<model::ConfigAccepted, error::Error> {
        let path = "/v1/config".to_owned();
        let call = api::ApiCall::change("apply configuration", http::Method::POST, path)
            .with_json(proposal);
        self.api.call(call).await
    }
}
