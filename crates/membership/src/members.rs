//! The table of instances and workers: a list that lags, joined with beats. No I/O.

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

/// Peers that each beat goes to. Each also gets about as many beats of others, and rumours bring
/// news of the rest meanwhile.
const FAN_OUT: usize = 1;
/// Rumours in a beat.
const RUMOURS: usize = 3;
/// Beats that tell of a change; the list has it later.
const TELLINGS: u32 = 8;
/// Signs of life in a beat. With sixteen, news of thirty instances is a few seconds old.
const SIGNS: usize = 16;
/// Beats of silence after which an instance is taken for dead, in a small fleet.
const LAPSE_BEATS: u32 = 5;
/// Peers for each further beat of silence, since news takes longer in a larger fleet.
const PEERS_PER_LAPSE_BEAT: u32 = 2;
/// Lost instances are tried at each so many beats only.
const LOST_TRIAL: u64 = 4;
/// Beats after which a lost instance that the list does not have is forgotten.
const FORGET_BEATS: u32 = 120;
/// Ids of replaced processes that are remembered.
const REPLACED_IDS: usize = 256;
/// A gap of this many beats between two ticks means that this process was paused.
const PAUSE_BEATS: u32 = 3;

/// Who this instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Its id, new at each start.
    pub id: ids::InstanceId,
    /// Its peer address.
    pub address: ids::PeerAddress,
    /// Where it is.
    pub data_center: ids::DataCenter,
}

/// Instances by address, and workers.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberIdentity,
    beat: Duration,
    leaving: bool,
    number: u64,
    known: BTreeMap<ids::PeerAddress, known_member::KnownMember>,
    workers: BTreeMap<ids::WorkerId, snapshot::WorkerEntry>,
    revision: Option<u64>,
    replaced: VecDeque<ids::InstanceId>,
    next_target: ids::PeerAddress,
    rng: SmallRng,
    ticked_at: Instant,
}

impl MemberTable {
    /// A table that knows only of the instance itself.
    pub fn new(own: MemberIdentity, beat: Duration, now: Instant) -> MemberTable {
        MemberTable {
            next_target: own.address.clone(),
            rng: SmallRng::seed_from_u64(xxh3::xxh3_64(own.id.as_bytes())),
            own,
            beat,
            leaving: false,
            number: 0,
            known: BTreeMap::new(),
            workers: BTreeMap::new(),
            revision: None,
            replaced: VecDeque::new(),
            ticked_at: now,
        }
    }

    /// Takes the platform's list. Workers are as it says; an instance that it does not have yet,
    /// or no more, stays for as long as it is heard.
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
                model::InstanceRole::Scheduler => self.list_instance(entry, now),
                model::InstanceRole::Worker => self.list_worker(entry),
            }
        }
    }

    /// Revision of the list that was taken last. With 1,300 workers a list is some 200 KB; read
    /// whole at each look it would be nearly all control traffic.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Takes a beat that its sender gave itself, and what it heard of others.
    pub fn apply_beat(&mut self, beat: &model::PeerBeat, now: Instant) {
        let word = model::PeerRumour {
            from: beat.from.clone(),
            address: beat.address.clone(),
            data_center: beat.data_center.clone(),
            leaving: beat.leaving,
            number: beat.number,
        };
        self.apply_sender(&word, now);
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

    /// A call did not reach the instance at `address`.
    pub fn count_failed_call(&mut self, address: &str) {
        if let Some(member) = self.known.get_mut(address) {
            member.failed_calls += 1;
        }
    }

    /// Begins a beat: counts it and takes silent instances for dead. Returns those lost just now.
    pub fn tick(&mut self, now: Instant) -> Vec<ids::PeerAddress> {
        self.number += 1;
        self.credit_pause(now);
        let lapse = self.lapse();
        let forget = self.beat * FORGET_BEATS;
        let mut lost = Vec::new();
        for (address, member) in &mut self.known {
            if !member.lost && member.is_silent(lapse, now) {
                member.lost = true;
                lost.push(address.clone());
            }
        }
        self.known.retain(|_, it| {
            it.listed || !it.lost || now.saturating_duration_since(it.alive_at) < forget
        });
        lost
    }

    /// Whom this beat goes to: a few, in turn, so that each is reached within a bounded number of
    /// beats. Lost ones are tried now and then, or a healed partition would never be noticed.
    pub fn targets(&mut self) -> Vec<ids::PeerAddress> {
        let trial = self.number.is_multiple_of(LOST_TRIAL);
        let candidates = self.ring(&self.next_target, |it| trial || !it.lost);
        let targets = candidates.into_iter().take(FAN_OUT).collect::<Vec<_>>();
        if let Some(last) = targets.last() {
            self.next_target = last.clone();
        }
        targets
    }

    /// Everyone not lost, for news that cannot wait.
    pub fn live_addresses(&self) -> Vec<ids::PeerAddress> {
        let live = self.known.iter().filter(|(_, it)| !it.lost);
        live.map(|(address, _)| address.clone()).collect()
    }

    /// What changed of late, for one beat to `receiver`.
    pub fn rumours(&mut self, receiver: &str) -> Vec<model::PeerRumour> {
        let news = self.known.iter_mut().filter(|(address, it)| {
            !it.lost && 0 < it.number && it.change_reports < TELLINGS && *address != receiver
        });
        let told = news.take(RUMOURS).map(|(address, member)| {
            member.change_reports += 1;
            rumour(address, member)
        });
        told.collect()
    }

    /// Signs of life of some others, for one beat to `receiver`. Chosen at random: taken in turn,
    /// as the targets are, they would tell some instances of the same few others for long.
    pub fn life_signs(&mut self, receiver: &str) -> Vec<model::LifeSign> {
        let known = self.known.iter();
        let others =
            known.filter(|(it, member)| !member.lost && 0 < member.number && *it != receiver);
        let chosen = others.sample(&mut self.rng, SIGNS);
        let sign = |it: &known_member::KnownMember| model::LifeSign {
            id: hash(&it.id),
            number: it.number,
        };
        chosen.into_iter().map(|(_, it)| sign(it)).collect()
    }

    /// This instance shuts down.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.number += 1;
    }

    /// Whether this instance shuts down.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Number of this instance's newest beat.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Who this instance is.
    pub fn identity(&self) -> &MemberIdentity {
        &self.own
    }

    /// What is believed now, while `config_version` is in force here.
    pub fn snapshot(&self, config_version: ids::ConfigVersion) -> snapshot::MemberSnapshot {
        let own = snapshot::MemberEntry {
            address: self.own.address.clone(),
            data_center: self.own.data_center.clone(),
            leaving: self.leaving,
            config_version,
        };
        let mut instances = self
            .known
            .iter()
            .filter(|(_, it)| !it.lost)
            .map(|(address, it)| (it.id.clone(), entry(address, it)))
            .collect::<BTreeMap<_, _>>();
        instances.insert(self.own.id.clone(), own);
        snapshot::MemberSnapshot { instances, workers: self.workers.clone() }
    }

    fn list_instance(&mut self, entry: &model::InstanceEntry, now: Instant) {
        if entry.address == self.own.address {
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

    fn list_worker(&mut self, entry: &model::InstanceEntry) {
        let worker = snapshot::WorkerEntry {
            address: entry.address.clone(),
            leaving: entry.state == model::InstanceState::Leaving,
            upstreams: entry.upstreams.iter().map(snapshot::UpstreamEntry::from).collect(),
        };
        self.workers.insert(entry.id.clone(), worker);
    }

    /// The sender's own word: whoever else was known at its address is gone.
    fn apply_sender(&mut self, word: &model::PeerRumour, now: Instant) {
        if word.address == self.own.address || self.replaced.contains(&word.from) {
            return;
        }
        match self.known.get_mut(&word.address) {
            Some(member) if member.id == word.from => member.apply_own_beat(word, now),
            Some(_) => self.replace(word, now),
            None => self.insert(word, now),
        }
    }

    /// A sign of life of an instance that is known; of others a rumour tells more.
    fn apply_life_sign(&mut self, sign: &model::LifeSign, now: Instant) {
        let beat = self.beat;
        let members = self.known.values_mut();
        for member in members.filter(|it| it.number < sign.number && hash(&it.id) == sign.id) {
            member.apply_sign_of_life(sign.number, beat, now);
        }
    }

    /// Another's word about a third: believed unless it speaks of a process known to be replaced,
    /// or puts a new process where another one was heard a moment ago.
    fn apply_rumour(&mut self, word: &model::PeerRumour, now: Instant) {
        if word.address == self.own.address || self.replaced.contains(&word.from) {
            return;
        }
        let quiet = self.beat * 2;
        match self.known.get_mut(&word.address) {
            Some(member) if member.id == word.from => {
                member.note_leaving(word.leaving);
                member.apply_sign_of_life(word.number, self.beat, now);
            }
            Some(member)
                if 0 < member.number && now.saturating_duration_since(member.alive_at) < quiet => {}
            Some(_) => self.replace(word, now),
            None => self.insert(word, now),
        }
    }

    fn insert(&mut self, word: &model::PeerRumour, now: Instant) {
        let member = known_member::KnownMember::from_rumour(word, now);
        self.known.insert(word.address.clone(), member);
    }

    /// A new process answers where an older one did. The older one's beats may still be passed on
    /// by others; without a note of its id they would bring it back.
    fn replace(&mut self, word: &model::PeerRumour, now: Instant) {
        let mut member = known_member::KnownMember::from_rumour(word, now);
        if let Some(older) = self.known.get(&word.address) {
            member.listed = older.listed;
            if REPLACED_IDS <= self.replaced.len() {
                self.replaced.pop_front();
            }
            self.replaced.push_back(older.id.clone());
        }
        self.known.insert(word.address.clone(), member);
    }

    /// A process that was paused has heard nobody meanwhile, and would take everyone for dead at
    /// its first tick; what it missed says nothing about the others.
    fn credit_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.ticked_at);
        self.ticked_at = now;
        if gap < self.beat * PAUSE_BEATS {
            return;
        }
        for member in self.known.values_mut() {
            member.alive_at = (member.alive_at + gap).min(now);
        }
    }

    fn lapse(&self) -> Duration {
        let n_peers = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        self.beat * (LAPSE_BEATS + n_peers / PEERS_PER_LAPSE_BEAT)
    }

    /// Addresses that pass, beginning behind `after` and going round.
    fn ring(
        &self,
        after: &ids::PeerAddress,
        pass: impl Fn(&known_member::KnownMember) -> bool,
    ) -> Vec<ids::PeerAddress> {
        let behind = self.known.iter().filter(|(address, _)| after < *address);
        let before = self.known.iter().filter(|(address, _)| *address <= after);
        behind
            .chain(before)
            .filter(|(_, it)| pass(it))
            .map(|(address, _)| address.clone())
            .collect()
    }
}

fn entry(address: &ids::PeerAddress, member: &known_member::KnownMember) -> snapshot::MemberEntry {
    snapshot::MemberEntry {
        address: address.clone(),
        data_center: member.data_center.clone(),
        leaving: member.is_leaving(),
        config_version: member.config_version,
    }
}

fn rumour(address: &ids::PeerAddress, member: &known_member::KnownMember) -> model::PeerRumour {
    model::PeerRumour {
        from: member.id.clone(),
        address: address.clone(),
        data_center: member.data_center.clone(),
        leaving: member.leaving,
        number: member.number,
    }
}

/// Short name of an instance. Two that share one would keep each other alive; among a hundred
/// instances the odds are one in a million, and the table's rows decide anyway.
fn hash(id: &str) -> u32 {
    xxh3::xxh3_64(id.as_bytes()) as u32
}
