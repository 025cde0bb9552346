//! What an instance answers its peers.

use std::sync::Arc;

use almondpass_peer::call::PeerCall;
use almondpass_peer::{codec, dispatch, link};
use almondpass_ports::row_feed;
use almondpass_schema::{blob, model};
use bytes::Bytes;

use crate::graph_follower;
use crate::state;

/// Answers the calls of peers.
#[derive(Debug)]
pub struct PeerDesk<S> {
    state: Arc<state::PoolState<S>>,
}

impl<S> Clone for PeerDesk<S> {
    fn clone(&self) -> PeerDesk<S> {
        PeerDesk { state: Arc::clone(&self.state) }
    }
}

impl<S: state::PoolSite> PeerDesk<S> {
    /// A desk for an instance.
    pub fn new(state: Arc<state::PoolState<S>>) -> PeerDesk<S> {
        PeerDesk { state }
    }

    fn document(&self, pull: &model::DocumentPull) -> model::DocumentPulled {
        let newer = self.state.document.current().filter(|it| it.version > pull.have);
        model::DocumentPulled { document: newer.map(|it| it.source.clone()) }
    }

    fn nudge(&self, nudge: model::GraphNudge) -> model::Ack {
        if let Some(lead) = self.state.lead()
            && let Ok(value) = codec::encode(&nudge.row)
        {
            let row = row_feed::FeedRow {
                key: format!("{:016x}", nudge.graph),
                version: nudge.version,
                value: Some(blob::Blob::from(value.to_vec())),
            };
            // Where it can't be taken, the feed brings it again.
            let _ = graph_follower::take(&self.state, &lead, &[row]);
        }
        model::Ack {}
    }

    fn graph(&self, query: &model::GraphQuery) -> model::GraphAnswer {
        let Some(lead) = self.state.lead() else { return model::GraphAnswer::default() };
        let core = lead.core();
        let Some((state, account)) = core.state_of(query.graph) else {
            return model::GraphAnswer::default();
        };
        model::GraphAnswer { account: account.map(str::to_owned), state: Some(state) }
    }

    fn backlog(&self, query: &model::BacklogQuery) -> model::BacklogAnswer {
        let lead = self.state.lead();
        model::BacklogAnswer { waiting: lead.map(|it| it.core().backlog(&query.class)) }
    }
}

impl<S: state::PoolSite> link::PeerService for PeerDesk<S> {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        match path {
            model::DocumentPull::PATH => {
                dispatch::answer(&body, async |it| self.document(&it)).await
            }
            model::GraphNudge::PATH => dispatch::answer(&body, async |it| self.nudge(it)).await,
            model::GraphQuery::PATH => dispatch::answer(&body, async |it| self.graph(&it)).await,
            model::BacklogQuery::PATH => {
                dispatch::answer(&body, async |it| self.backlog(&it)).await
            }
            _ => None,
        }
    }
}
