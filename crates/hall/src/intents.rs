//! The hall actor's part in the intent log: queues entries, appends them, loads and trims the log.

use std::time::Duration;

use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::actor::HallActor;
use crate::backend;
use crate::intent_index;
use crate::intent_log;
use crate::intent_task;
use crate::metric;

impl<B: backend::HallBackend> HallActor<B> {
    /// Queues an intent and starts an append unless one is in flight.
    pub(crate) fn log_intent(&mut self, entry: model::IntentEntry) {
        self.intents.pending_intents.push(entry);
        self.append_intents(Instant::now());
    }

    /// Records the outcome of a grant with an idempotency key, and queues it for the log.
    pub(crate) fn log_outcome(&mut self, grant: ids::GrantId, outcome: model::RequestOutcome) {
        let Some(entry) = self.intents.index.record_outcome(grant, outcome) else { return };
        self.intents.pending_outcomes.push(entry);
        let flush_at = Instant::now() + OUTCOME_DELAY;
        self.intents.flush_at.get_or_insert(flush_at);
        self.wake.notify_one();
    }

    /// Appends the pending entries if some are due and no append is in flight. Entries queued during
    /// an append go out together in the next one.
    pub(crate) fn append_intents(&mut self, now: Instant) {
        let outcomes_due = self.intents.flush_at.is_some_and(|it| it <= now) || self.frozen;
        let due = !self.intents.pending_intents.is_empty()
            || (outcomes_due && !self.intents.pending_outcomes.is_empty());
        if !due || !self.tenure.may_act() || self.fenced {
            return;
        }
        let Some(previous_cursors) = self.intents.cursors.take() else { return };
        let mut entries = std::mem::take(&mut self.intents.pending_outcomes);
        entries.append(&mut self.intents.pending_intents);
        self.intents.flush_at = None;
        let log = self.intent_log();
        let reports = self.own_address();
        tokio::spawn(async move {
            let report = intent_task::append(log, previous_cursors, entries).await;
            let _ = reports.send(report).await;
        });
    }

    pub(crate) fn on_appended(&mut self, report: intent_task::AppendReport) {
        let durable = match report.outcome {
            intent_log::AppendOutcome::InTable => Some("table"),
            intent_log::AppendOutcome::InObjects => Some("objects"),
            intent_log::AppendOutcome::NotDurable => None,
            intent_log::AppendOutcome::Fenced => {
                self.fence();
                None
            }
        };
        self.track_batches(&report);
        self.intents.cursors = Some(report.cursors);
        for grant in intent_task::intent_grants(&report.entries) {
            match durable {
                Some(place) => self.on_intent_durable(grant, place),
                // Proof of "not run": the grant was not and never will be sent to an entry, so no
                // entry can send the request. The intent itself may be in a store, where a later
                // holder would read it as "unknown"; the outcome appended next corrects that.
                None => self.withdraw_intent(grant),
            }
        }
        if durable.is_none() {
            self.retry_outcomes(report.entries);
        }
        self.append_intents(Instant::now());
        self.finish_freeze();
    }

    fn retry_outcomes(&mut self, entries: Vec<model::IntentEntry>) {
        let outcomes = entries.into_iter();
        let outcomes = outcomes.filter(|it| matches!(it, model::IntentEntry::Outcome { .. }));
        self.intents.pending_outcomes.extend(outcomes);
        if !self.intents.pending_outcomes.is_empty() {
            self.intents.flush_at = Some(Instant::now() + OUTCOME_RETRY);
        }
    }

    fn track_batches(&mut self, report: &intent_task::AppendReport) {
        // This append may also have written the unconfirmed batch of an earlier append, so the
        // expiry is that of the newest key that any entry can have.
        let window = self.config.document.bounds.idempotency_window.0;
        let expires_at = self.wall_time() + window + intent_index::CLOCK_SLACK * 2;
        for number in report.previous_cursors.table.next..report.cursors.table.next {
            self.intents.table_batches.push_back(intent_task::BatchExpiry { number, expires_at });
        }
        for number in report.previous_cursors.objects.next..report.cursors.objects.next {
            self.intents.object_batches.push_back(intent_task::BatchExpiry { number, expires_at });
        }
    }

    /// Seals and reads the log after `delay`; repeated until both stores have answered.
    pub(crate) fn seal_intents(&self, delay: Duration) {
        let log = self.intent_log();
        let reports = self.own_address();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let report = intent_task::seal(log).await;
            let _ = reports.send(report).await;
        });
    }

    pub(crate) fn on_sealed(&mut self, report: intent_task::SealReport) {
        if report.fenced {
            self.fence();
            return;
        }
        let Some(sealed) = report.sealed else {
            self.seal_intents(SEAL_RETRY);
            return;
        };
        self.load_intent_log(sealed);
        self.wake.notify_one();
    }

    /// Loads the entries that earlier tenures logged into the index, and the expiry of their batches.
    pub(crate) fn load_intent_log(&mut self, sealed: intent_task::SealedLog) {
        let window = self.config.document.bounds.idempotency_window.0;
        let batches = || sealed.table.iter().chain(&sealed.objects);
        for stored in batches() {
            self.intents.index.replay_intents(&stored.batch.entries);
        }
        for stored in batches() {
            self.intents.index.replay_outcomes(&stored.batch.entries);
        }
        let expiry = |stored: &intent_log::StoredBatch| intent_task::BatchExpiry {
            number: stored.number,
            expires_at: stored
                .batch
                .entries
                .iter()
                .map(|it| intent_index::entry_expiry(it, window))
                .max()
                .unwrap_or_default(),
        };
        self.intents.table_batches = sealed.table.iter().map(expiry).collect();
        self.intents.object_batches = sealed.objects.iter().map(expiry).collect();
        self.intents.cursors = Some(sealed.cursors);
        self.intents.sealed = true;
        let n_open = self.intents.index.open_grants().len();
        tracing::info!(
            hall = self.hall,
            n_keys = self.intents.index.n_keys(),
            n_open,
            "intent log loaded"
        );
    }

    /// Removes expired keys from the index and expired batches from the stores.
    pub(crate) fn trim_intents(&mut self, now: Instant) {
        if self.intents.next_trim_at.is_some_and(|it| now < it) || !self.is_sole_holder() {
            return;
        }
        self.intents.next_trim_at = Some(now + TRIM_INTERVAL);
        let wall = self.wall_time();
        let window = self.config.document.bounds.idempotency_window.0;
        self.intents.index.trim(wall - (window + intent_index::CLOCK_SLACK));
        metric::intent_keys(&self.hall, self.intents.index.n_keys());
        let Some(cursors) = self.intents.cursors.clone() else { return };
        let objects = &mut self.intents.object_batches;
        let n_objects = objects.len();
        while objects.front().is_some_and(|it| it.expires_at < wall) {
            objects.pop_front();
        }
        let old = self.intents.table_batches.iter().take_while(|it| it.expires_at < wall);
        let numbers = old.map(|it| it.number).take(TRIM_PAGE).collect::<Vec<_>>();
        if numbers.is_empty() && n_objects == self.intents.object_batches.len() {
            return;
        }
        let kept = self.intents.table_batches.get(numbers.len());
        let object = self.intents.object_batches.front();
        let floor = model::IntentFloor {
            table: kept.map_or(cursors.table.next, |it| it.number),
            objects: object.map_or(cursors.objects.next, |it| it.number),
        };
        let log = self.intent_log();
        let reports = self.own_address();
        tokio::spawn(async move {
            let _ = reports.send(intent_task::trim(log, numbers, floor).await).await;
        });
    }

    pub(crate) fn on_trimmed(&mut self, report: intent_task::TrimReport) {
        if !report.done {
            return;
        }
        let batches = &mut self.intents.table_batches;
        while batches.front().is_some_and(|it| report.numbers.contains(&it.number)) {
            batches.pop_front();
        }
    }

    fn intent_log(&self) -> intent_log::IntentLog<B> {
        intent_log::IntentLog {
            ports: self.ports.clone(),
            hall: self.hall.clone(),
            tenure: self.tenure.clone(),
            deadline: self.options.call_deadline(),
        }
    }
}

/// Time that outcomes wait for an intent to be appended together with.
const OUTCOME_DELAY: Duration = Duration::from_millis(300);
/// Pause before outcomes are appended again after an append that was not durable.
const OUTCOME_RETRY: Duration = Duration::from_secs(2);
/// Pause before another attempt to seal the log.
pub(crate) const SEAL_RETRY: Duration = Duration::from_secs(1);
/// Interval between two trims of the log.
const TRIM_INTERVAL: Duration = Duration::from_secs(60);
/// Largest number of batches deleted from the table in one transaction.
const TRIM_PAGE: usize = 64;
