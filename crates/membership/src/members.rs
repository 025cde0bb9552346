//! Table of instances and workers, from the platform's delayed instance list and received beats. No I/O.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use almondpass_schema::{ids, model};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use crate::known_member;
use crate::snapshot;

/// Number of peers that each beat is sent to. An instance receives about as many beats as it sends, and
/// learns about the other instances from the rumours in these beats.
const FAN_OUT: usize = 1;
/// Maximum number of rumours (reports of changed instances) in a beat.
const RUMOURS_PER_BEAT: usize = 3;
/// Number of beats that report a change. The platform's list contains it too, later.
const REPORTS_PER_CHANGE: u32 = 8;
/// Maximum number of signs of life in a beat. With 16, the information about 30 instances is a few seconds
/// old.
const LIFE_SIGNS_PER_BEAT: usize = 16;
/// Beat intervals without a sign of life after which an instance is considered dead, in a small fleet.
const SILENCE_LIMIT_BEATS: u32 = 5;
/// Number of peers per additional beat interval of the silence limit: reports take longer to reach everyone
/// in a larger fleet.
const PEERS_PER_EXTRA_BEAT: u32 = 2;
/// Lost instances are possible targets only in one of this many beats.
const LOST_PROBE_BEATS: u64 = 4;
/// A lost instance that is not on the list is removed this many beat intervals after its last sign of life.
const FORGET_AFTER_BEATS: u32 = 120;
/// Maximum number of ids of replaced processes that are kept; the oldest is dropped first.
const MAX_REPLACED_IDS: usize = 256;
/// This process is assumed to have been paused if two ticks are at least this many beat intervals apart.
const PAUSE_DETECTION_BEATS: u32 = 3;

/// Id and location of this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Instance id, new at each start of the process.
    pub id: ids::InstanceId,
    /// Address at which this instance answers its peers.
    pub address: ids::PeerAddress,
    /// Data centre in which this instance runs.
    pub data_center: ids::DataCenter,
}

/// Other instances by address, and the workers of the instance list.
#[derive(Debug)]
pub struct MemberTable {
    identity: MemberIdentity,
    beat_interval: Duration,
    leaving: bool,
    number: u64,
    known: BTreeMap<ids::PeerAddress, known_member::KnownMember>,
    workers: BTreeMap<ids::WorkerId, snapshot::WorkerEntry>,
    revision: Option<u64>,
    replaced_ids: VecDeque<ids::InstanceId>,
    next_target: ids::PeerAddress,
    rng: SmallRng,
    ticked_at: Instant,
}

impl MemberTable {
    /// Creates a table that contains only this instance.
    pub fn new(identity: MemberIdentity, beat_interval: Duration, now: Instant) -> MemberTable {
        MemberTable {
            next_target: identity.address.clone(),
            rng: SmallRng::seed_from_u64(xxh3::xxh3_64(identity.id.as_bytes())),
            identity,
            beat_interval,
            leaving: false,
            number: 0,
            known: BTreeMap::new(),
            workers: BTreeMap::new(),
            revision: None,
            replaced_ids: VecDeque::new(),
            ticked_at: now,
        }
    }

    /// Applies the platform's instance list. It replaces the workers. An instance that is not on the list
    /// yet, or no longer, stays in the table while it gives signs of life.
    pub fn apply_listing(&mut self, listing: &model::InstanceListing, now: Instant) {
        if listing.unchanged {
            return;
        }
        self.revision = listing.revision;
        for member in self.known.values_mut() {
            member.listed = false;
        }
        self.workers.clear();
        for entry in &listing.instances {
            match entry.role {
                model::InstanceRole::Scheduler => self.apply_listed_instance(entry, now),
                model::InstanceRole::Worker => self.apply_listed_worker(entry),
            }
        }
    }

    /// Revision of the list applied last, for queries that return only a changed list. With 1,300 workers a
    /// list has about 200 KB; read in full at each poll, it would be nearly all of the control traffic.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Applies a beat received from its sender, with the sender's rumours and signs of life of other
    /// instances.
    pub fn apply_beat(&mut self, beat: &model::PeerBeat, now: Instant) {
        let sender = model::PeerRumour {
            from: beat.from.clone(),
            address: beat.address.clone(),
            data_center: beat.data_center.clone(),
            leaving: beat.leaving,
            number: beat.number,
        };
        self.apply_sender(&sender, now);
        if let Some(member) = self.known.get_mut(&beat.address) {
            member.config_version = member.config_version.max(beat.config_version);
        }
        for rumour in &beat.rumours {
            self.apply_rumour(rumour, now);
        }
        for sign in &beat.signs {
            self.apply_life_sign(sign, now);
        }
    }

    /// Counts a call that did not reach the instance at `address`; two since its latest sign of life halve its
    /// silence limit.
    pub fn count_failed_call(&mut self, address: &str) {
        if let Some(member) = self.known.get_mut(address) {
            member.failed_calls += 1;
        }
    }

    /// Starts a beat: increments the beat number and marks silent instances as lost. Returns the addresses of
    /// the newly lost instances.
    pub fn tick(&mut self, now: Instant) -> Vec<ids::PeerAddress> {
        self.number += 1;
        self.compensate_pause(now);
        let silence_limit = self.silence_limit();
        let forget_after = self.beat_interval * FORGET_AFTER_BEATS;
        let mut lost = Vec::new();
        for (address, member) in &mut self.known {
            if !member.lost && member.is_silent(silence_limit, now) {
                member.lost = true;
                lost.push(address.clone());
            }
        }
        self.known.retain(|_, it| {
            it.listed || !it.lost || now.saturating_duration_since(it.alive_at) < forget_after
        });
        lost
    }

    /// Returns the addresses to send this beat to, in rotation, so that each instance is reached within a
    /// bounded number of beats. Some beats also consider lost instances; otherwise the end of a partition
    /// would never be noticed.
    pub fn targets(&mut self) -> Vec<ids::PeerAddress> {
        let probes_lost = self.number.is_multiple_of(LOST_PROBE_BEATS);
        let candidates = self.ring_after(&self.next_target, |it| probes_lost || !it.lost);
        let targets = candidates.into_iter().take(FAN_OUT).collect::<Vec<_>>();
        if let Some(last) = targets.last() {
            self.next_target = last.clone();
        }
        targets
    }

    /// Addresses of all instances that are not lost, for changes that must reach everyone at once.
    pub fn live_addresses(&self) -> Vec<ids::PeerAddress> {
        let live = self.known.iter().filter(|(_, it)| !it.lost);
        live.map(|(address, _)| address.clone()).collect()
    }

    /// Returns rumours about recently changed instances for a beat to `receiver`, and counts them as
    /// reported.
    pub fn rumours(&mut self, receiver: &str) -> Vec<model::PeerRumour> {
        let changed = self.known.iter_mut().filter(|(address, it)| {
            !it.lost
                && 0 < it.number
                && it.change_reports < REPORTS_PER_CHANGE
                && *address != receiver
        });
        let reported = changed.take(RUMOURS_PER_BEAT).map(|(address, member)| {
            member.change_reports += 1;
            to_rumour(address, member)
        });
        reported.collect()
    }

    /// Returns signs of life of some other instances for a beat to `receiver`. They are chosen at random: in
    /// rotation, as the targets are, some receivers would get signs of the same few instances for a long
    /// time.
    pub fn life_signs(&mut self, receiver: &str) -> Vec<model::LifeSign> {
        let known = self.known.iter();
        let others =
            known.filter(|(it, member)| !member.lost && 0 < member.number && *it != receiver);
        let chosen = others.sample(&mut self.rng, LIFE_SIGNS_PER_BEAT);
        let to_sign = |it: &known_member::KnownMember| model::LifeSign {
            id: short_id(&it.id),
            number: it.number,
        };
        chosen.into_iter().map(|(_, it)| to_sign(it)).collect()
    }

    /// Marks this instance as shutting down and increments the beat number.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.number += 1;
    }

    /// Whether `leave` was called.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Number of this instance's newest beat; 0 before the first.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Identity of this instance, as given to `new`.
    pub fn identity(&self) -> &MemberIdentity {
        &self.identity
    }

    /// Returns this instance (with `config_version`), all instances that are not lost, and the listed
    /// workers.
    pub fn snapshot(&self, config_version: ids::ConfigVersion) -> snapshot::MemberSnapshot {
        let own = snapshot::MemberEntry {
            address: self.identity.address.clone(),
            data_center: self.identity.data_center.clone(),
            leaving: self.leaving,
            config_version,
        };
        let mut instances = self
            .known
            .iter()
            .filter(|(_, it)| !it.lost)
            .map(|(address, it)| (it.id.clone(), member_entry(address, it)))
            .collect::<BTreeMap<_, _>>();
        instances.insert(self.identity.id.clone(), own);
        snapshot::MemberSnapshot { instances, workers: self.workers.clone() }
    }

    fn apply_listed_instance(&mut self, entry: &model::InstanceEntry, now: Instant) {
        if entry.address == self.identity.address {
            return;
        }
        let Some(member) = self.known.get_mut(&entry.address) else {
            let member = known_member::KnownMember::from_listing(entry, now);
            self.known.insert(entry.address.clone(), member);
            return;
        };
        member.listed = true;
        member.listed_leaving = entry.state == model::InstanceState::Leaving;
    }

    fn apply_listed_worker(&mut self, entry: &model::InstanceEntry) {
        let worker = snapshot::WorkerEntry {
            address: entry.address.clone(),
            leaving: entry.state == model::InstanceState::Leaving,
            upstreams: entry.upstreams.iter().map(snapshot::UpstreamEntry::from).collect(),
        };
        self.workers.insert(entry.id.clone(), worker);
    }

    /// Applies what a beat says about its sender. A process with another id known at the sender's address is
    /// replaced.
    fn apply_sender(&mut self, sender: &model::PeerRumour, now: Instant) {
        if sender.address == self.identity.address || self.replaced_ids.contains(&sender.from) {
            return;
        }
        match self.known.get_mut(&sender.address) {
            Some(member) if member.id == sender.from => member.apply_own_beat(sender, now),
            Some(_) => self.replace(sender, now),
            None => self.insert(sender, now),
        }
    }

    /// Applies a sign of life to a known instance. An unknown instance is added by a rumour instead, which
    /// has its address.
    fn apply_life_sign(&mut self, sign: &model::LifeSign, now: Instant) {
        let beat_interval = self.beat_interval;
        let members = self.known.values_mut();
        for member in members.filter(|it| it.number < sign.number && short_id(&it.id) == sign.id) {
            member.apply_sign_of_life(sign.number, beat_interval, now);
        }
    }

    /// Applies a beat sender's report about another instance. Ignored if the report is about a process known
    /// to be replaced, or names a new process at an address where another process gave a sign of life within
    /// the last two beat intervals.
    fn apply_rumour(&mut self, rumour: &model::PeerRumour, now: Instant) {
        if rumour.address == self.identity.address || self.replaced_ids.contains(&rumour.from) {
            return;
        }
        let limit = self.beat_interval * 2;
        match self.known.get_mut(&rumour.address) {
            Some(member) if member.id == rumour.from => {
                member.note_leaving(rumour.leaving);
                member.apply_sign_of_life(rumour.number, self.beat_interval, now);
            }
            Some(member)
                if 0 < member.number && now.saturating_duration_since(member.alive_at) < limit => {}
            Some(_) => self.replace(rumour, now),
            None => self.insert(rumour, now),
        }
    }

    fn insert(&mut self, rumour: &model::PeerRumour, now: Instant) {
        let member = known_member::KnownMember::from_rumour(rumour, now);
        self.known.insert(rumour.address.clone(), member);
    }

    /// Replaces the process known at an address by a new one and records the old id. Other instances may
    /// still forward beats of the old process, which would otherwise add it to the table again.
    fn replace(&mut self, rumour: &model::PeerRumour, now: Instant) {
        let mut member = known_member::KnownMember::from_rumour(rumour, now);
        if let Some(older) = self.known.get(&rumour.address) {
            member.listed = older.listed;
            if MAX_REPLACED_IDS <= self.replaced_ids.len() {
                self.replaced_ids.pop_front();
            }
            self.replaced_ids.push_back(older.id.clone());
        }
        self.known.insert(rumour.address.clone(), member);
    }

    /// After a pause of this process, adds the pause to the time of each instance's latest sign of life. No
    /// beats are received during a pause, so without this the first tick would mark all instances as lost.
    fn compensate_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.ticked_at);
        self.ticked_at = now;
        if gap < self.beat_interval * PAUSE_DETECTION_BEATS {
            return;
        }
        for member in self.known.values_mut() {
            member.alive_at = (member.alive_at + gap).min(now);
        }
    }

    fn silence_limit(&self) -> Duration {
        let n_peers = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        self.beat_interval * (SILENCE_LIMIT_BEATS + n_peers / PEERS_PER_EXTRA_BEAT)
    }

    /// Addresses whose member satisfies `include`, in address order from the first after `after`, wrapping
    /// around.
    fn ring_after(
        &self,
        after: &ids::PeerAddress,
        include: impl Fn(&known_member::KnownMember) -> bool,
    ) -> Vec<ids::PeerAddress> {
        let following = self.known.iter().filter(|(address, _)| after < *address);
        let preceding = self.known.iter().filter(|(address, _)| *address <= after);
        following
            .chain(preceding)
            .filter(|(_, it)| include(it))
            .map(|(address, _)| address.clone())
            .collect()
    }
}

fn member_entry(
    address: &ids::PeerAddress,
    member: &known_member::KnownMember,
) -> snapshot::MemberEntry {
    snapshot::MemberEntry {
        address: address.clone(),
        data_center: member.data_center.clone(),
        leaving: member.is_leaving(),
        config_version: member.config_version,
    }
}

fn to_rumour(address: &ids::PeerAddress, member: &known_member::KnownMember) -> model::PeerRumour {
    model::PeerRumour {
        from: member.id.clone(),
        address: address.clone(),
        data_center: member.data_center.clone(),
        leaving: member.leaving,
        number: member.number,
    }
}

/// Hash of an instance id, used in signs of life. Two instances with the same hash would keep each other
/// alive; among 100 instances the probability is one in a million, and the hall rows in the store decide who
/// schedules a hall in any case.
fn short_id(id: &str) -> u32 {
    xxh3::xxh3_64(id.as_bytes()) as u32
}
