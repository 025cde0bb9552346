//! State that this instance keeps for each other instance.

use std::time::Duration;

use almondpass_schema::{ids, model};
use tokio::time::Instant;

/// Another instance, live or lost.
#[derive(Clone, Debug)]
pub struct KnownMember {
    /// Instance id: from the instance list until the first beat or rumour, which has the current one.
    pub id: ids::InstanceId,
    /// Data centre in which the instance runs.
    pub data_center: ids::DataCenter,
    /// Whether the latest instance list contains the instance.
    pub listed: bool,
    /// Whether the latest instance list marks the instance as leaving.
    pub listed_leaving: bool,
    /// Whether the instance itself reported that it is leaving; never reset.
    pub leaving: bool,
    /// Number of the newest beat of the instance, received directly or reported by others; 0 if none.
    pub number: u64,
    /// Time of the latest sign of life, or when the instance first appeared on the list.
    pub alive_at: Instant,
    /// Calls that did not reach the instance since its latest sign of life.
    pub failed_calls: u32,
    /// Whether the instance is considered dead.
    pub lost: bool,
    /// Newest configuration version that the instance reported; 0 before its first beat.
    pub config_version: ids::ConfigVersion,
    /// Number of this instance's beats that have reported the latest change of that instance.
    pub change_reports: u32,
}

impl KnownMember {
    /// Creates the state of a listed instance from which no beat has arrived yet.
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

    /// Creates the state of an instance first seen in a beat: its own or a rumour in another instance's.
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

    /// Applies a beat sent by the instance itself. A beat older than the newest known one can set `leaving`
    /// but doesn't count as a sign of life.
    pub fn apply_own_beat(&mut self, own_beat: &model::PeerRumour, now: Instant) {
        self.note_leaving(own_beat.leaving);
        if self.number < own_beat.number {
            self.revive(own_beat.number, now);
        }
    }

    /// Applies another instance's report that this member sent beat `number`. The report may have been
    /// forwarded several times; counted as a sign of life at the time of arrival, it would keep a dead
    /// member alive. A member sends one beat per interval, so the time of sending is estimated from the
    /// beat number.
    pub fn apply_sign_of_life(&mut self, number: u64, beat_interval: Duration, now: Instant) {
        if number <= self.number {
            return;
        }
        let n_beats = u32::try_from(number - self.number).unwrap_or(u32::MAX);
        let sent_at =
            self.alive_at.checked_add(beat_interval.saturating_mul(n_beats)).unwrap_or(now);
        let alive_at = if self.lost || self.number == 0 { now } else { sent_at.min(now) };
        self.revive(number, alive_at);
    }

    /// Records the member's own report that it is leaving; `false` doesn't reset it.
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

    /// Whether the instance is shutting down, as reported by itself or by the platform's list.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.listed_leaving
    }

    /// Whether the time since the latest sign of life is enough to consider the instance dead:
    /// `silence_limit`, or half of it after two failed calls (one if the instance is leaving).
    pub fn is_silent(&self, silence_limit: Duration, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.alive_at);
        let unreachable = 2 <= self.failed_calls || (1 <= self.failed_calls && self.is_leaving());
        silence_limit <= silence || (unreachable && silence_limit / 2 <= silence)
    }
}
