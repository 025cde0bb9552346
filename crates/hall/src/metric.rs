//! Metrics of hall schedulers. Label sets are bounded by the configuration.

use std::time::Duration;

use almondpass_schema::{ids, model};
use tokio::time::Instant;

/// Seconds from arrival to start, by account and class.
pub(crate) fn wait_time(account: &str, class: &str, span: Duration) {
    record("almondpass_wait_seconds", account, class, span);
}

/// Seconds from start to end, by account and class.
pub(crate) fn run_time(account: &str, class: &str, span: Duration) {
    record("almondpass_run_seconds", account, class, span);
}

/// Seconds from arrival to end, by account and class.
pub(crate) fn completion_time(account: &str, class: &str, span: Duration) {
    record("almondpass_completion_seconds", account, class, span);
}

/// Seconds from the decision to stop a gang until its accelerators were free.
pub(crate) fn reclaim_time(account: &str, class: &str, span: Duration) {
    record("almondpass_reclaim_seconds", account, class, span);
}

/// Outcomes told, by account and class.
pub(crate) fn outcome(account: &str, class: &str, outcome: model::RequestOutcome) {
    metrics::counter!("almondpass_hall_outcomes_total", "account" => account.to_owned(),
        "class" => class.to_owned(), "outcome" => outcome.to_string())
    .increment(1);
}

/// Whether this instance schedules the hall.
pub(crate) fn hall_held(hall: &str, held: bool) {
    gauge("almondpass_hall_held", hall, f64::from(u8::from(held)));
}

/// What is left of the tenure after a renewal.
pub(crate) fn tenure_margin(hall: &str, firm_until: Instant) {
    let left = firm_until.saturating_duration_since(Instant::now());
    histogram("almondpass_tenure_margin_seconds", hall, left);
}

/// A renewal of the tenure went without an answer.
pub(crate) fn renewal_failed(hall: &str) {
    count("almondpass_tenure_renewal_failures_total", hall);
}

/// From taking a hall to deciding for it.
pub(crate) fn takeover_time(hall: &str, span: Duration) {
    histogram("almondpass_takeover_seconds", hall, span);
}

/// From the decision to leave to the successor having been told.
pub(crate) fn hand_over_time(hall: &str, span: Duration) {
    histogram("almondpass_hand_over_seconds", hall, span);
}

/// What was left of a worker lease when it was renewed.
pub(crate) fn lease_margin(hall: &str, left: Duration) {
    histogram("almondpass_lease_margin_seconds", hall, left);
}

/// A worker lease lapsed under its holder.
pub(crate) fn lease_lapsed(hall: &str) {
    count("almondpass_leases_lapsed_total", hall);
}

/// A gang start was rolled back.
pub(crate) fn start_failed(hall: &str) {
    count("almondpass_gang_starts_failed_total", hall);
}

/// Seconds until an intent was durable, by where it went.
pub(crate) fn intent_write_time(hall: &str, place: &'static str, span: Duration) {
    metrics::histogram!("almondpass_intent_seconds", "hall" => hall.to_owned(), "place" => place)
        .record(span.as_secs_f64());
}

/// Keys of which the hall keeps a record.
pub(crate) fn intent_keys(hall: &str, n_keys: usize) {
    gauge("almondpass_intent_keys", hall, n_keys as f64);
}

/// Seconds of one turn of the policy.
pub(crate) fn policy_round(hall: &str, span: Duration) {
    histogram("almondpass_policy_turn_seconds", hall, span);
}

/// Free runs, fragmentation and queue of a hall.
pub(crate) fn capacity(hall: &ids::HallName, beat: &model::HallBeat, fragmentation: f64) {
    gauge("almondpass_free_accelerators", hall, f64::from(beat.free_accelerators));
    gauge("almondpass_longest_free_run", hall, f64::from(beat.longest_run));
    gauge("almondpass_queued", hall, f64::from(beat.queued));
    gauge("almondpass_fragmentation", hall, fragmentation);
}

fn record(name: &'static str, account: &str, class: &str, span: Duration) {
    metrics::histogram!(name, "account" => account.to_owned(), "class" => class.to_owned())
        .record(span.as_secs_f64());
}

fn histogram(name: &'static str, hall: &str, span: Duration) {
    metrics::histogram!(name, "hall" => hall.to_owned()).record(span.as_secs_f64());
}

fn gauge(name: &'static str, hall: &str, value: f64) {
    metrics::gauge!(name, "hall" => hall.to_owned()).set(value);
}

fn count(name: &'static str, hall: &str) {
    metrics::counter!(name, "hall" => hall.to_owned()).increment(1);
}
