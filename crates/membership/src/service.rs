//! Sends and answers beats, polls the instance list, and publishes snapshots of the member table.

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

/// Deadline of one poll of the instance list.
const LIST_DEADLINE: Duration = Duration::from_secs(2);

/// Intervals at which a member service sends beats and polls.
#[derive(Clone, Copy, Debug)]
pub struct MemberTiming {
    /// Interval between beats; also the deadline of each beat.
    pub beat: Duration,
    /// Interval between polls of the instance list.
    pub poll: Duration,
}

/// Membership service of one instance; clones share its state.
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
    held_halls: Mutex<Vec<HallTenure>>,
}

/// A hall that this instance schedules, and the epoch of its tenure.
type HallTenure = (ids::HallName, ids::Epoch);

impl<L, C> Clone for MemberService<L, C> {
    fn clone(&self) -> MemberService<L, C> {
        MemberService { shared: self.shared.clone() }
    }
}

impl<L: link::PeerLink, C: content::BeatContent> MemberService<L, C> {
    /// Creates a service that knows only this instance; `run` starts beats and polling.
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
            held_halls: Mutex::default(),
        };
        MemberService { shared: Arc::new(shared) }
    }

    /// Subscribes to snapshots of the member table; a new one is published only if it differs from the last.
    pub fn subscribe(&self) -> watch::Receiver<Arc<snapshot::MemberSnapshot>> {
        self.shared.published.subscribe()
    }

    /// Table of the hall holders reported by beats; shared with this service, which updates it.
    pub fn holders(&self) -> holders::HolderTable {
        self.shared.holders.clone()
    }

    /// Applies another instance's beat and returns this instance's beat as the reply.
    pub fn receive_beat(&self, beat: &model::PeerBeat) -> model::PeerBeat {
        self.shared.apply_beat(beat);
        self.shared.beat(Some(&beat.address))
    }

    /// Sends beats and polls `list` until the future is dropped.
    pub async fn run<I: instances::InstanceList>(&self, list: I) {
        tokio::join!(self.poll_list(&list), self.send_beats());
    }

    /// Announces to all live instances that this instance is leaving, and waits until each has answered or
    /// the call has failed, at most one beat interval. The others then stop preferring this instance, and its
    /// halls are scheduled elsewhere.
    pub async fn leave(&self) {
        self.shared.lock().leave();
        self.shared.publish();
        self.announce().await;
    }

    /// Sends a beat to all live instances at once and waits until each call has ended.
    pub async fn announce(&self) {
        let everyone = self.shared.lock().live_addresses();
        self.send_to(everyone).await;
    }

    /// Polls the instance list, and sends a beat to all instances after the first successful poll. The list
    /// may not show this instance to the others for a while, so they wouldn't send beats to it by themselves.
    async fn poll_list<I: instances::InstanceList>(&self, list: &I) {
        let mut interval = time::interval(self.shared.timing.poll);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut announced = false;
        loop {
            interval.tick().await;
            let succeeded = self.shared.poll_once(list).await;
            if succeeded && !announced {
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
    /// Starts a beat and returns the addresses to send it to. These are all live instances if this instance
    /// has just acquired a hall; otherwise callers would be sent to the previous holder until the rotation
    /// has reached every instance.
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
        if self.acquired_hall(&own.halls) {
            return self.lock().live_addresses();
        }
        self.lock().targets()
    }

    fn acquired_hall(&self, halls: &[model::HallBeat]) -> bool {
        let now_held = halls.iter().map(|it| (it.hall.clone(), it.epoch)).collect::<Vec<_>>();
        let mut held_halls = self.held_halls.lock().unwrap_or_else(PoisonError::into_inner);
        let acquired = now_held.iter().any(|it| !held_halls.contains(it));
        *held_halls = now_held;
        acquired
    }

    async fn exchange(&self, peer: ids::PeerAddress) {
        let beat = self.beat(Some(&peer));
        match self.link.call(&peer, beat, self.timing.beat).await {
            Ok(reply) => self.apply_beat(&reply),
            Err(error) => {
                debug!(%error, "a beat failed or was not answered");
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

    /// Polls the instance list and returns whether that succeeded. After a failure the last list stays in
    /// use.
    async fn poll_once<I: instances::InstanceList>(&self, list: &I) -> bool {
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
