//! One round of the scheduler: handles timers, executes the policy's decisions and starts writes.

use std::time::Duration;

use almondpass_policy::{decision, hall_policy::HallPolicy};
use almondpass_schema::{model, time};
use tokio::time::Instant;

use crate::actor::{HallActor, RunRound};
use crate::backend;
use crate::metric;

impl<B: backend::HallBackend> HallActor<B> {
    pub(crate) fn on_run_round(&mut self, _: RunRound) -> Instant {
        let now = Instant::now();
        self.stop_lapsed_gangs(now);
        self.expire_grants(now);
        self.apply_deferred_events(now);
        if self.may_act() {
            self.run_policy();
        }
        self.poll_workers(now);
        self.commit_jobs(now);
        self.append_intents(now);
        self.trim_intents(now);
        self.sweep_jobs(now);
        self.publish_summary(now);
        self.finish_freeze();
        self.next_wake(now)
    }

    fn apply_deferred_events(&mut self, now: Instant) {
        for _ in 0..self.deferred_events.len() {
            let Some(deferred) = self.deferred_events.pop_front() else { return };
            if deferred.at <= now {
                self.apply_event(deferred.event);
            } else {
                self.deferred_events.push_back(deferred);
            }
        }
    }

    fn run_policy(&mut self) {
        let started = std::time::Instant::now();
        let wall_now = self.wall_time();
        let decisions = self.policy.run_round(wall_now);
        metric::policy_round(&self.hall, started.elapsed());
        for decision in decisions {
            self.execute(decision);
        }
    }

    fn execute(&mut self, decision: decision::Decision) {
        let work = match &decision {
            decision::Decision::Start { work, .. }
            | decision::Decision::Checkpoint { work, .. }
            | decision::Decision::Stop { work, .. }
            | decision::Decision::Throttle { work, .. }
            | decision::Decision::Requeue { work, .. }
            | decision::Decision::Finish { work, .. } => *work,
            decision::Decision::WorkerChanged { worker, state, reason } => {
                tracing::info!(hall = self.hall, worker, state = %state, reason = reason.text,
                    "worker state changed");
                return;
            }
            decision::Decision::GuaranteeChanged { account, guarantee, state, reason } => {
                tracing::info!(hall = self.hall, account, guarantee, state = %state,
                    reason = reason.text, "a guarantee changed its state");
                return;
            }
        };
        if self.jobs.entries.contains_key(&work) {
            self.apply_job_decision(decision);
        } else if self.is_request(&work) {
            self.apply_request_decision(decision);
        } else {
            self.withdraw_unknown(decision);
        }
    }

    /// Cancels the start of work that is neither a job nor a waiting request any more, since it was answered
    /// after the policy had queued it.
    fn withdraw_unknown(&mut self, decision: decision::Decision) {
        let decision::Decision::Start { work, .. } = decision else { return };
        self.apply_event(almondpass_policy::event::HallEvent::Cancelled(work));
        self.apply_event(almondpass_policy::event::HallEvent::StartFailed {
            work,
            worker: None,
            fault: almondpass_policy::event::StartFault::Withdrawn,
        });
    }

    fn publish_summary(&mut self, now: Instant) {
        if now < self.next_summary {
            return;
        }
        self.next_summary = now + SUMMARY_INTERVAL;
        let picture = self.picture();
        let beat = self.hall_beat(&picture);
        metric::capacity(&self.hall, &beat, picture.fragmentation);
        self.summary.send_replace(Some(beat));
    }

    fn hall_beat(&self, picture: &model::HallPicture) -> model::HallBeat {
        let mut free = 0;
        let mut free_run = 0;
        let mut longest_run = 0;
        for worker in &picture.workers {
            for view in &worker.accelerators {
                let is_free = view.state == model::AcceleratorState::Free
                    && worker.state == model::WorkerState::Live;
                free += u32::from(is_free);
                free_run = if is_free { free_run + 1 } else { 0 };
                longest_run = longest_run.max(free_run);
            }
        }
        let queued = u32::try_from(picture.queue.len()).unwrap_or(u32::MAX);
        model::HallBeat {
            hall: self.hall.clone(),
            epoch: self.tenure.epoch(),
            free_accelerators: free,
            longest_run,
            queued,
            wait: time::TimeSpan(self.oldest_wait()),
        }
    }

    /// Age of the oldest waiting request; zero if none waits.
    fn oldest_wait(&self) -> Duration {
        let waiting = self.grants.waiting_grants();
        let waits = waiting.iter().filter_map(|it| self.grants.get(it));
        waits.map(|it| it.arrived_at.elapsed()).max().unwrap_or_default()
    }

    fn next_wake(&self, now: Instant) -> Instant {
        let wall_now = self.wall_time();
        let policy = self.policy.next_wake(wall_now).filter(|_| self.may_act());
        let policy = policy.map(|it| now + it.since(wall_now).max(MIN_WAKE_DELAY));
        let polls = self.nodes.values().filter(|it| !it.polling).map(|it| it.next_poll).min();
        let commit = self.jobs.next_commit_at.filter(|_| !self.jobs.committing);
        let flush = self.intents.flush_at.filter(|_| self.intents.cursors.is_some());
        let deferred = self.deferred_events.iter().map(|it| it.at).min();
        let timers = [policy, polls, commit, flush, deferred, self.grants.next_expiry()];
        let next = timers.into_iter().flatten().min();
        let latest = now + SUMMARY_INTERVAL;
        next.unwrap_or(latest).clamp(now + MIN_WAKE_DELAY, latest)
    }
}

/// Time between two summaries, and the longest time between two rounds.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time until a round that a timer starts. A notification of `wake` starts one at once.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);
