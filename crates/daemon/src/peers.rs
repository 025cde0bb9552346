//! Calls of the other instances.

use almondpass_peer::call::PeerCall;
use almondpass_peer::{dispatch, link};
use almondpass_schema::model;
use bytes::Bytes;

use crate::wiring;

/// Answers the calls of the other instances.
#[derive(Clone)]
pub struct InstancePeers {
    /// Answers beats.
    pub members: wiring::Members,
    /// Gives the configuration in force.
    pub keeper: wiring::Keeper,
    /// Answers calls of halls.
    pub halls: wiring::Halls,
}

impl link::PeerService for InstancePeers {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        match path {
            model::PeerBeat::PATH => {
                dispatch::answer(&body, async |beat| self.members.receive_beat(&beat)).await
            }
            model::ConfigFetch::PATH => {
                dispatch::answer(&body, async |fetch| self.keeper.fetched(&fetch)).await
            }
            _ => self.halls.serve(path, body).await,
        }
    }
}
