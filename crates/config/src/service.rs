//! What a keeper answers its peers.

use almondpass_peer::call::PeerCall;
use almondpass_peer::{dispatch, link};
use almondpass_ports::table;
use almondpass_schema::model;
use bytes::Bytes;

use crate::keeper;

impl<T: table::TableService, L: link::PeerLink> link::PeerService for keeper::ConfigKeeper<T, L> {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        match path {
            model::ConfigFetch::PATH => {
                dispatch::answer(&body, async |call: model::ConfigFetch| self.fetched(&call)).await
            }
            _ => None,
        }
    }
}
