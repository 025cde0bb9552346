//! Sends and answers beats, polls the list, and publishes what is believed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use almondpass_peer::link;
use almondpass_ports::instances;
use almondpass_schema::{ids, model};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{self, Instant, MissedTickBehavior};
use tracing::{debug, info};

use crate::content;
use crate::holders;
use crate::members;
use crate::snapshot;

/// For one look at the instance list.
const LIST_DEADLINE: Duration = Duration::from_secs(2);

/// Intervals of membership.
#[derive(Clone, Copy, Debug)]
pub struct MemberTiming {
    /// Between beats.
    pub beat: Duration,
    /// Between looks at the instance list.
    pub poll: Duration,
}

/// Membership of one instance.
#[derive(Debug)]
pub struct MemberService<L, C> {
    shared: Arc<SharedState<L, C>>,
}

#[derive(Debug)]
struct SharedState<L, C> {
    timing: MemberTiming,
    link: L,
    content: C,
    holders: holders::HolderTable,
    table: Mutex<members::MemberTable>,
    published: watch::Sender<Arc<snapshot::MemberSnapshot>>,
    held: Mutex<Vec<HallTenure>>,
}

/// A hall and the tenure in which it is held.
type HallTenure = (ids::HallName, ids::Epoch);

impl<L, C> Clone for MemberService<L, C> {
    fn clone(&self) -> MemberService<L, C> {
        MemberService { shared: self.shared.clone() }
    }
}

impl<L: link::PeerLink, C: content::BeatContent> MemberService<L, C> {
    /// Membership that knows only of the instance itself; `run` makes it go.
    pub fn new(
        own: members::MemberIdentity,
        timing: MemberTiming,
        link: L,
        content: C,
    ) -> MemberService<L, C> {
        let table = members::MemberTable::new(own, timing.beat, Instant::now());
        let snapshot = table.snapshot(content.config_version());
        let (published, _) = watch::channel(Arc::new(snapshot));
        let shared = SharedState {
            timing,
            link,
            content,
            holders: holders::HolderTable::default(),
            table: Mutex::new(table),
            published,
            held: Mutex::default(),
        };
        MemberService { shared: Arc::new(shared) }
    }

    /// What is believed; changes only when something changed.
    pub fn subscribe(&self) -> watch::Receiver<Arc<snapshot::MemberSnapshot>> {
        self.shared.published.subscribe()
    }

    /// Holders of halls, as far as heard.
    pub fn holders(&self) -> holders::HolderTable {
        self.shared.holders.clone()
    }

    /// Takes another instance's beat and answers with our own.
    pub fn receive_beat(&self, beat: &model::PeerBeat) -> model::PeerBeat {
        self.shared.apply_beat(beat);
        self.shared.beat(Some(&beat.address))
    }

    /// Beats and polls until dropped.
    pub async fn run<I: instances::InstanceList>(&self, list: I) {
        tokio::join!(self.poll_list(&list), self.send_beats());
    }

    /// Tells everyone that this instance leaves, and waits for them to know or for one beat to
    /// pass. Halls then go elsewhere, and nobody prefers this instance any more.
    pub async fn leave(&self) {
        self.shared.lock().leave();
        self.shared.publish();
        self.announce().await;
    }

    /// Beats to everyone at once.
    pub async fn announce(&self) {
        let everyone = self.shared.lock().live_addresses();
        self.send_to(everyone).await;
    }

    /// Looks at the list, and makes this instance known to all on it once it was read. The list
    /// may not show this instance for a while, so nobody would come to it by themselves.
    async fn poll_list<I: instances::InstanceList>(&self, list: &I) {
        let mut interval = time::interval(self.shared.timing.poll);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut announced = false;
        loop {
            interval.tick().await;
            let read = self.shared.look(list).await;
            if read && !announced {
                announced = true;
                self.announce().await;
            }
        }
    }

    async fn send_beats(&self) {
        let mut interval = time::interval(self.shared.timing.beat);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut calls = JoinSet::new();
        loop {
            interval.tick().await;
            while calls.try_join_next().is_some() {}
            let targets = self.shared.tick();
            for peer in targets {
                let shared = self.shared.clone();
                calls.spawn(async move { shared.exchange(peer).await });
            }
        }
    }

    async fn send_to(&self, peers: Vec<ids::PeerAddress>) {
        let mut calls = JoinSet::new();
        for peer in peers {
            let shared = self.shared.clone();
            calls.spawn(async move { shared.exchange(peer).await });
        }
        while calls.join_next().await.is_some() {}
    }
}

impl<L: link::PeerLink, C: content::BeatContent> SharedState<L, C> {
    /// Begins a beat and tells whom it goes to: to everyone when a hall was just taken, or callers
    /// would be sent to the former holder until the rotation comes round.
    fn tick(&self) -> Vec<ids::PeerAddress> {
        let own = self.beat(None);
        self.holders.apply_beat(&own);
        let lost = self.lock().tick(Instant::now());
        for address in &lost {
            info!(step = "membership", peer = address, "an instance is silent and taken for dead");
            self.holders.remove_instance(address);
            metrics::counter!("almondpass_membership_lost_total").increment(1);
        }
        self.publish();
        if self.took_hall(&own.halls) {
            return self.lock().live_addresses();
        }
        self.lock().targets()
    }

    fn took_hall(&self, halls: &[model::HallBeat]) -> bool {
        let now_held = halls.iter().map(|it| (it.hall.clone(), it.epoch)).collect::<Vec<_>>();
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let took = now_held.iter().any(|it| !held.contains(it));
        *held = now_held;
        took
    }

    async fn exchange(&self, peer: ids::PeerAddress) {
        let beat = self.beat(Some(&peer));
        match self.link.call(&peer, beat, self.timing.beat).await {
            Ok(reply) => self.apply_beat(&reply),
            Err(error) => {
                debug!(%error, "a beat was not answered");
                metrics::counter!("almondpass_membership_beats_unanswered_total").increment(1);
                if error.fault.had_no_effect() {
                    self.lock().count_failed_call(&peer);
                }
            }
        }
    }

    fn apply_beat(&self, beat: &model::PeerBeat) {
        self.lock().apply_beat(beat, Instant::now());
        self.holders.apply_beat(beat);
        self.content.on_beat(beat);
        self.publish();
    }

    /// Reads the list and tells whether that went well; where it fails the last one stays in use.
    async fn look<I: instances::InstanceList>(&self, list: &I) -> bool {
        let query = model::InstanceQuery { known: self.lock().revision() };
        match time::timeout(LIST_DEADLINE, list.list(query)).await {
            Ok(Ok(listing)) => {
                self.lock().apply_listing(&listing, Instant::now());
                self.publish();
                true
            }
            Ok(Err(error)) => {
                debug!(%error, "the instance list cannot be read; the last one stays");
                false
            }
            Err(_) => {
                debug!(step = "instance list", "no answer within {LIST_DEADLINE:?}");
                false
            }
        }
    }

    fn beat(&self, receiver: Option<&str>) -> model::PeerBeat {
        let config_version = self.content.config_version();
        let halls = self.content.halls();
        let mut table = self.lock();
        let rumours = receiver.map(|it| table.rumours(it)).unwrap_or_default();
        let signs = receiver.map(|it| table.life_signs(it)).unwrap_or_default();
        let own = table.identity();
        model::PeerBeat {
            from: own.id.clone(),
            address: own.address.clone(),
            data_center: own.data_center.clone(),
            leaving: table.is_leaving(),
            config_version,
            halls,
            number: table.number(),
            rumours,
            signs,
        }
    }

    fn publish(&self) {
        let snapshot = self.lock().snapshot(self.content.config_version());
        metrics::gauge!("almondpass_membership_instances").set(snapshot.instances.len() as f64);
        self.published.send_if_modified(|published| {
            let changed = **published != snapshot;
            if changed {
                *published = Arc::new(snapshot);
            }
            changed
        });
    }

    fn lock(&self) -> MutexGuard<'_, members::MemberTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
