//! The console: what it needs of its instance, and which request goes where.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

use almondpass_config::keeper;
use almondpass_membership::snapshot;
use almondpass_peer::link;
use almondpass_ports::{clock, table};
use almondpass_schema::{ids, model};
use bytes::Bytes;
use http::Request;
use hyper::body::Body;
use tokio::sync::watch;

use crate::api;
use crate::histogram;
use crate::operators;
use crate::pages;
use crate::reply;
use crate::session;

/// What an instance gives its console.
#[derive(Clone)]
pub struct ConsoleSettings {
    /// Operators that may sign in.
    pub operators: Vec<model::OperatorSettings>,
    /// The cluster key, from which the key of the sessions is derived.
    pub cluster_key: Vec<u8>,
    /// Whether the listener speaks TLS, so that cookies must never travel without.
    pub secure_cookies: bool,
    /// This instance.
    pub instance: ids::InstanceId,
}

/// The operators' interface of one instance. Cheap to clone.
#[derive(Debug)]
pub struct OperatorConsole<T, L, H> {
    pub(crate) state: Arc<ConsoleState<T, L, H>>,
}

#[derive(Debug)]
pub(crate) struct ConsoleState<T, L, H> {
    pub(crate) keeper: keeper::ConfigKeeper<T, L>,
    pub(crate) halls: H,
    pub(crate) members: watch::Receiver<Arc<snapshot::MemberSnapshot>>,
    pub(crate) histograms: histogram::HistogramBook,
    pub(crate) clock: clock::WallClock,
    pub(crate) operators: operators::OperatorBook,
    pub(crate) signer: session::SessionSigner,
    pub(crate) secure_cookies: bool,
    pub(crate) instance: ids::InstanceId,
}

impl<T, L, H> Clone for OperatorConsole<T, L, H> {
    fn clone(&self) -> OperatorConsole<T, L, H> {
        OperatorConsole { state: Arc::clone(&self.state) }
    }
}

impl<T, L, H> OperatorConsole<T, L, H>
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    /// A console over the instance's keeper, hall directory, members and histograms.
    pub fn new(
        settings: ConsoleSettings,
        keeper: keeper::ConfigKeeper<T, L>,
        halls: H,
        members: watch::Receiver<Arc<snapshot::MemberSnapshot>>,
        histograms: histogram::HistogramBook,
        clock: clock::WallClock,
    ) -> OperatorConsole<T, L, H> {
        let state = ConsoleState {
            keeper,
            halls,
            members,
            histograms,
            clock,
            operators: operators::OperatorBook::new(settings.operators),
            signer: session::SessionSigner::new(&settings.cluster_key),
            secure_cookies: settings.secure_cookies,
            instance: settings.instance,
        };
        OperatorConsole { state: Arc::new(state) }
    }

    /// Answers a request of the operators' listener; `None` for paths that are not the console's.
    pub async fn route<B>(&self, request: Request<B>) -> Option<reply::ConsoleResponse>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let path = request.uri().path().to_owned();
        let mut segments = path.split('/').skip(1).filter(|it| !it.is_empty());
        match segments.next() {
            None => Some(reply::see_other("/console")),
            Some("console") => Some(pages::route(self, segments.collect(), request).await),
            Some("v1") => Some(api::route(self, segments.collect(), request).await),
            Some(_) => None,
        }
    }
}

impl fmt::Debug for ConsoleSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConsoleSettings").field("instance", &self.instance).finish_non_exhaustive()
    }
}
