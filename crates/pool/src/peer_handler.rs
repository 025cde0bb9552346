//! Handles the calls of peers.

use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_peer::{dispatch, link};
use almondpass_schema::model;
use bytes::Bytes;
use tokio::time::Instant;

use crate::cancel;
use crate::graph_follower;
use crate::job_query;
use crate::predecessor;
use crate::state;
use crate::submit;

/// Serves the calls of peers from the state of one instance. `serve` returns `None` for an unknown path.
#[derive(Debug)]
pub struct PeerHandler<S> {
    state: Arc<state::PoolState<S>>,
}

impl<S> Clone for PeerHandler<S> {
    fn clone(&self) -> PeerHandler<S> {
        PeerHandler { state: Arc::clone(&self.state) }
    }
}

impl<S: state::PoolAdapters> PeerHandler<S> {
    /// Creates the handler of an instance; clones share `state`.
    pub fn new(state: Arc<state::PoolState<S>>) -> PeerHandler<S> {
        PeerHandler { state }
    }

    fn document(&self, pull: &model::DocumentPull) -> model::DocumentPulled {
        let newer = self.state.document.current().filter(|it| it.version > pull.have);
        let document = newer.map(|it| it.source.clone());
        model::DocumentPulled { document, evacuations: self.state.evacuations.view() }
    }

    fn nudge(&self, nudge: &model::GraphNudge) -> model::NudgeTaken {
        let leader = self.state.leader();
        let known = leader.is_some_and(|it| graph_follower::accept_nudge(&self.state, &it, nudge));
        model::NudgeTaken { known: Some(known), load: self.state.own_load() }
    }

    fn answer_job_query(&self, query: &model::GraphQuery) -> model::GraphAnswer {
        let leader = self.state.leader();
        let answer = leader.map(|it| job_query::answer_as_holder(&it, query.graph));
        model::GraphAnswer { load: self.state.own_load(), ..answer.unwrap_or_default() }
    }

    async fn submit(&self, call: model::GraphSubmit) -> model::GraphSubmitted {
        // Proof that the job has not run: nothing of the call is written here.
        if self.state.refuses_store_calls() {
            return model::GraphSubmitted { outcome: model::SubmitOutcome::NotRun };
        }
        let deadline = deadline_after(call.patience_ms);
        let outcome = submit::submit_directly(&self.state, call.graph, &call.row, deadline).await;
        model::GraphSubmitted { outcome }
    }

    async fn cancel(&self, call: model::GraphCancel) -> model::GraphCancelled {
        let deadline = deadline_after(call.patience_ms);
        let account = call.account.as_deref();
        let outcome = cancel::cancel_directly(&self.state, call.graph, account, deadline).await;
        model::GraphCancelled { outcome }
    }

    async fn job_state(&self, call: model::GraphLook) -> model::GraphLooked {
        let deadline = deadline_after(call.patience_ms);
        let account = call.account.as_deref();
        job_query::direct_job_state(&self.state, call.graph, account, deadline).await
    }

    fn tenure(&self, query: &model::TenureQuery) -> model::TenureAnswer {
        predecessor::answer(&self.state, query)
    }

    fn backlog(&self, query: &model::BacklogQuery) -> model::BacklogAnswer {
        let leader = self.state.leader();
        let waiting = leader.map(|it| it.core().backlog(&query.class));
        model::BacklogAnswer { waiting, load: self.state.own_load() }
    }
}

impl<S: state::PoolAdapters> link::PeerService for PeerHandler<S> {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        match path {
            model::DocumentPull::PATH => {
                dispatch::answer(&body, async |it| self.document(&it)).await
            }
            model::GraphNudge::PATH => dispatch::answer(&body, async |it| self.nudge(&it)).await,
            model::GraphQuery::PATH => {
                dispatch::answer(&body, async |it| self.answer_job_query(&it)).await
            }
            model::GraphSubmit::PATH => {
                dispatch::answer(&body, async |it| self.submit(it).await).await
            }
            model::GraphCancel::PATH => {
                dispatch::answer(&body, async |it| self.cancel(it).await).await
            }
            model::GraphLook::PATH => {
                dispatch::answer(&body, async |it| self.job_state(it).await).await
            }
            model::TenureQuery::PATH => dispatch::answer(&body, async |it| self.tenure(&it)).await,
            model::BacklogQuery::PATH => {
                dispatch::answer(&body, async |it| self.backlog(&it)).await
            }
            _ => None,
        }
    }
}

fn deadline_after(timeout_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(timeout_ms)
}
