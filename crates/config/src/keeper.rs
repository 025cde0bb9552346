//! Keeps the newest accepted configuration in force on this instance.

use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::link;
use almondpass_ports::{clock, table};
use almondpass_schema::{ids, model};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{Notify, watch};
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::active;
use crate::heard;
use crate::history;
use crate::proposal;
use crate::rules;
use crate::store;

/// Peers asked at once for a version; one that is slow must not hold up the others' answers.
const ASKED_PEERS: usize = 3;

/// Intervals and deadlines of a keeper.
#[derive(Clone, Copy, Debug)]
pub struct KeeperTiming {
    /// Between looks at the newest number.
    pub poll: Duration,
    /// For one read of the table, or one answer of a peer.
    pub deadline: Duration,
}

impl From<&model::TimingSettings> for KeeperTiming {
    fn from(timing: &model::TimingSettings) -> KeeperTiming {
        KeeperTiming { poll: timing.config_poll.0, deadline: timing.store_deadline.0 }
    }
}

/// A version that this release refused; the one before stays in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedVersion {
    /// Its number.
    pub version: ids::ConfigVersion,
    /// Why.
    pub reason: String,
}

/// Polls the newest number, hears of others through beats, and publishes the configuration in
/// force. Cheap to clone; all clones are one keeper.
#[derive(Debug)]
pub struct ConfigKeeper<T, L> {
    state: Arc<KeeperState<T, L>>,
}

#[derive(Debug)]
struct KeeperState<T, L> {
    store: store::ConfigStore<T>,
    link: L,
    clock: clock::WallClock,
    timing: KeeperTiming,
    active: watch::Sender<Arc<active::ActiveConfig>>,
    refused: watch::Sender<Option<RefusedVersion>>,
    heard: std::sync::Mutex<heard::HeardVersions>,
    wake: Notify,
}

impl<T, L> Clone for ConfigKeeper<T, L> {
    fn clone(&self) -> ConfigKeeper<T, L> {
        ConfigKeeper { state: Arc::clone(&self.state) }
    }
}

impl<T: table::TableService, L: link::PeerLink> ConfigKeeper<T, L> {
    /// A keeper without a configuration; [`ConfigKeeper::run`] finds the newest.
    pub fn new(
        table: T,
        link: L,
        clock: clock::WallClock,
        timing: KeeperTiming,
    ) -> ConfigKeeper<T, L> {
        let state = KeeperState {
            store: store::ConfigStore::new(table, timing.deadline),
            link,
            clock,
            timing,
            active: watch::Sender::new(Arc::new(active::ActiveConfig::none())),
            refused: watch::Sender::new(None),
            heard: std::sync::Mutex::default(),
            wake: Notify::new(),
        };
        ConfigKeeper { state: Arc::new(state) }
    }

    /// The configuration in force, as it changes; the number only grows.
    pub fn subscribe(&self) -> watch::Receiver<Arc<active::ActiveConfig>> {
        self.state.active.subscribe()
    }

    /// The configuration in force now.
    pub fn active(&self) -> Arc<active::ActiveConfig> {
        Arc::clone(&self.state.active.borrow())
    }

    /// The newest version that was refused, while none after it is in force.
    pub fn refused(&self) -> Option<RefusedVersion> {
        self.state.refused.borrow().clone()
    }

    /// Takes note of the number that a peer's beat carried.
    pub fn heard(&self, version: ids::ConfigVersion, from: &ids::PeerAddress) {
        if !self.is_news(version) {
            return;
        }
        self.lock_heard().insert(from, version);
        self.state.wake.notify_one();
    }

    /// Answers a peer that asks for the configuration in force here.
    pub fn fetched(&self, fetch: &model::ConfigFetch) -> model::ConfigFetched {
        let active = self.active();
        if active.version == 0 || active.version < fetch.version {
            return model::ConfigFetched { version: active.version, document: None };
        }
        let document = model::ConfigDocument::clone(&active.document);
        model::ConfigFetched { version: active.version, document: Some(document) }
    }

    /// Makes an operator's draft the newest version, in force here at once.
    pub async fn propose(
        &self,
        proposal: model::ConfigProposal,
    ) -> Result<model::ConfigAccepted, proposal::ProposalError> {
        let state = &self.state;
        let accepted = proposal::accept(&state.store, &state.clock, &self.active(), proposal).await;
        let row = accepted.inspect_err(|error| count_proposal(error.label()))?;
        count_proposal("accepted");
        tracing::info!(version = row.version, operator = %row.operator, "configuration accepted");
        self.apply(row.version, row.document);
        Ok(model::ConfigAccepted { version: row.version })
    }

    /// Reads one accepted version.
    pub async fn version(
        &self,
        version: ids::ConfigVersion,
    ) -> Result<Option<model::ConfigRow>, store::StoreFault> {
        self.state.store.version(version).await
    }

    /// Reads a page of accepted versions below `before`, or the newest.
    pub async fn history(
        &self,
        before: Option<ids::ConfigVersion>,
        limit: u32,
    ) -> Result<model::ConfigHistory, store::StoreFault> {
        history::page(&self.state.store, before, limit).await
    }

    /// Runs until `stop`. The poll and the reaction to beats are apart, so that a table service
    /// that hangs does not hold up what a peer could give.
    pub async fn run(&self, stop: CancellationToken) {
        let work = async { tokio::join!(self.poll_table(), self.follow_peers()) };
        tokio::select! {
            _ = work => {}
            () = stop.cancelled() => {}
        }
    }

    async fn poll_table(&self) {
        let mut ticks = time::interval(self.state.timing.poll);
        // An instance that was paused would otherwise make up for all missed polls at once.
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if let Err(fault) = self.poll_once().await {
                metrics::counter!("almondpass_config_poll_failures_total").increment(1);
                tracing::debug!(%fault, "configuration number not read");
            }
        }
    }

    async fn poll_once(&self) -> Result<(), store::StoreFault> {
        let head = self.state.store.head().await?;
        if !self.wants(head.version) {
            return Ok(());
        }
        self.fetch_stored(head.version).await?;
        Ok(())
    }

    async fn follow_peers(&self) {
        loop {
            self.state.wake.notified().await;
            while let Some(version) = self.newest_heard() {
                if self.fetch_heard(version).await.is_none() {
                    break;
                }
            }
        }
    }

    /// Gets a version that a peer has, from the table or, failing that, from the peers. `None`
    /// where nobody gave it; the next beat asks again.
    async fn fetch_heard(&self, version: ids::ConfigVersion) -> Option<()> {
        match self.fetch_stored(version).await {
            Ok(true) => return Some(()),
            Ok(false) => tracing::debug!(version, "version heard of is not in the table's answer"),
            Err(fault) => tracing::debug!(version, %fault, "version heard of not read"),
        }
        self.ask_peers(version).await
    }

    /// Whether the version was in the table's answer; one that was refused counts too.
    async fn fetch_stored(&self, version: ids::ConfigVersion) -> Result<bool, store::StoreFault> {
        match self.state.store.version(version).await {
            Ok(Some(row)) => {
                self.apply(row.version, row.document);
                Ok(true)
            }
            Ok(None) => Ok(false),
            Err(store::StoreFault::Unreadable { key, detail }) => {
                self.refuse(version, format!("{key}: {detail}"));
                Ok(true)
            }
            Err(fault) => Err(fault),
        }
    }

    async fn ask_peers(&self, version: ids::ConfigVersion) -> Option<()> {
        let peers = self.lock_heard().ahead(ASKED_PEERS);
        let mut answers = FuturesUnordered::new();
        for peer in peers {
            let call = model::ConfigFetch { version };
            let deadline = self.state.timing.deadline;
            let link = &self.state.link;
            answers.push(async move { (link.call(&peer, call, deadline).await, peer) });
        }
        while let Some((answer, peer)) = answers.next().await {
            match answer {
                Ok(model::ConfigFetched { version: given, document: Some(document) }) => {
                    self.apply(given, document);
                    if version <= given {
                        return Some(());
                    }
                }
                Ok(model::ConfigFetched { document: None, .. }) => {}
                Err(error) => tracing::debug!(%error, "peer gave no configuration"),
            }
            // It says so again with its next beat, if it is still there.
            self.lock_heard().forget_peer(&peer);
        }
        None
    }

    /// Puts a version in force if it is newer. Answers may come late and out of order, from a
    /// stale replica or a slow peer; an older one must never replace a newer one.
    fn apply(&self, version: ids::ConfigVersion, document: model::ConfigDocument) {
        if !self.wants(version) {
            return;
        }
        if let Err(faults) = rules::check("the accepted version", &document) {
            return self.refuse(version, faults.to_string());
        }
        let config = Arc::new(active::ActiveConfig { version, document: Arc::new(document) });
        let applied = self.state.active.send_if_modified(|active| {
            let newer = active.version < version;
            if newer {
                *active = config;
            }
            newer
        });
        if !applied {
            return;
        }
        self.lock_heard().forget_until(version);
        self.state
            .refused
            .send_if_modified(|refused| refused.take_if(|it| it.version < version).is_some());
        metrics::gauge!("almondpass_config_version").set(version as f64);
        tracing::info!(version, "configuration in force");
    }

    /// Keeps the configuration in force where a newer one cannot be read, such as one written by
    /// a later release: half of a document would drop guarantees. An operator notices by the log,
    /// by the metric, and by the console's count of instances.
    fn refuse(&self, version: ids::ConfigVersion, reason: String) {
        self.lock_heard().forget_until(version);
        if self.refused().is_some_and(|it| it.version == version) {
            return;
        }
        metrics::gauge!("almondpass_config_refused_version").set(version as f64);
        let in_force = self.active().version;
        tracing::error!(version, in_force, reason, "configuration refused, the old one stays");
        self.state.refused.send_replace(Some(RefusedVersion { version, reason }));
    }

    fn wants(&self, version: ids::ConfigVersion) -> bool {
        self.active().version < version
    }

    /// Whether a peer's number is worth asking about. A refused version is read again only by
    /// the poll: beats of all peers would ask for it many times a second.
    fn is_news(&self, version: ids::ConfigVersion) -> bool {
        let refused = self.refused().map_or(0, |it| it.version);
        self.wants(version) && refused < version
    }

    fn newest_heard(&self) -> Option<ids::ConfigVersion> {
        self.lock_heard().newest().filter(|it| self.is_news(*it))
    }

    fn lock_heard(&self) -> std::sync::MutexGuard<'_, heard::HeardVersions> {
        self.state.heard.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn count_proposal(outcome: &'static str) {
    metrics::counter!("almondpass_config_proposals_total", "outcome" => outcome).increment(1);
}
