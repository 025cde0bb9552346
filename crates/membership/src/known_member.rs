//! What is remembered of one other instance.

use std::time::Duration;

use almondpass_schema::{ids, model};
use tokio::time::Instant;

/// One other instance, live or lost.
#[derive(Clone, Debug)]
pub struct KnownMember {
    /// Its id; the list's name for it until it was heard.
    pub id: ids::InstanceId,
    /// Where it is.
    pub data_center: ids::DataCenter,
    /// Whether the latest list has it.
    pub listed: bool,
    /// Whether the latest list says that it leaves.
    pub listed_leaving: bool,
    /// Whether it said itself that it leaves; never taken back.
    pub leaving: bool,
    /// Newest beat of it that was heard or heard of; 0 while there was none.
    pub number: u64,
    /// Latest sign of life, or when it first stood on the list.
    pub alive_at: Instant,
    /// Calls in a row that did not reach it, since the latest sign of life.
    pub failed_calls: u32,
    /// Whether it is taken for dead.
    pub lost: bool,
    /// Configuration in force there when it last said so; 0 where it never did.
    pub config_version: ids::ConfigVersion,
    /// Beats that told of its latest change.
    pub change_reports: u32,
}

impl KnownMember {
    /// An instance of the list that was not heard yet.
    pub fn from_listing(entry: &model::InstanceEntry, now: Instant) -> KnownMember {
        KnownMember {
            id: entry.id.clone(),
            data_center: entry.data_center.clone(),
            listed: true,
            listed_leaving: entry.state == model::InstanceState::Leaving,
            leaving: false,
            number: 0,
            alive_at: now,
            failed_calls: 0,
            lost: false,
            config_version: 0,
            change_reports: 0,
        }
    }

    /// An instance that a beat told of, by itself or through another.
    pub fn from_rumour(rumour: &model::PeerRumour, now: Instant) -> KnownMember {
        KnownMember {
            id: rumour.from.clone(),
            data_center: rumour.data_center.clone(),
            listed: false,
            listed_leaving: false,
            leaving: rumour.leaving,
            number: rumour.number,
            alive_at: now,
            failed_calls: 0,
            lost: false,
            config_version: 0,
            change_reports: 0,
        }
    }

    /// It said itself that it lives. A beat that was overtaken by a newer one changes nothing.
    pub fn apply_own_beat(&mut self, word: &model::PeerRumour, now: Instant) {
        self.note_leaving(word.leaving);
        if self.number < word.number {
            self.revive(word.number, now);
        }
    }

    /// Another instance said that it lived when it sent beat `number`. Such news may have gone
    /// round for a while; taken for a sign of life of this moment it would keep a dead instance
    /// alive. It sends one beat an interval, so the number tells about when that was.
    pub fn apply_sign_of_life(&mut self, number: u64, beat: Duration, now: Instant) {
        if number <= self.number {
            return;
        }
        let n_beats = u32::try_from(number - self.number).unwrap_or(u32::MAX);
        let sent_at = self.alive_at.checked_add(beat.saturating_mul(n_beats)).unwrap_or(now);
        let alive_at = if self.lost || self.number == 0 { now } else { sent_at.min(now) };
        self.revive(number, alive_at);
    }

    /// It leaves, by its own word.
    pub fn note_leaving(&mut self, leaving: bool) {
        if leaving && !self.leaving {
            self.leaving = true;
            self.change_reports = 0;
        }
    }

    fn revive(&mut self, number: u64, alive_at: Instant) {
        if self.lost {
            self.change_reports = 0;
        }
        self.number = number;
        self.alive_at = alive_at;
        self.failed_calls = 0;
        self.lost = false;
    }

    /// Whether it shuts down, by its own word or the platform's.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.listed_leaving
    }

    /// Whether it has been silent for so long that it is taken for dead.
    pub fn is_silent(&self, lapse: Duration, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.alive_at);
        let refused = 2 <= self.failed_calls || (1 <= self.failed_calls && self.is_leaving());
        lapse <= silence || (refused && lapse / 2 <= silence)
    }
}
