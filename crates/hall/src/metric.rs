//! Metrics of hall schedulers. Label sets are bounded by the configuration.

use std::time::Duration;

use almondpass_schema::{ids, model};
use tokio::time::Instant;

/// Records the seconds from the arrival of work to its start.
pub(crate) fn wait_time(account: &str, class: &str, span: Duration) {
    record("almondpass_wait_seconds", account, class, span);
}

/// Records the seconds from the start of work to its end.
pub(crate) fn run_time(account: &str, class: &str, span: Duration) {
    record("almondpass_run_seconds", account, class, span);
}

/// Records the seconds from the arrival of work to its end.
pub(crate) fn completion_time(account: &str, class: &str, span: Duration) {
    record("almondpass_completion_seconds", account, class, span);
}

/// Records the seconds from the decision to stop a gang until its accelerators were free.
pub(crate) fn reclaim_time(account: &str, class: &str, span: Duration) {
    record("almondpass_reclaim_seconds", account, class, span);
}

/// Counts the outcome of a request or job.
pub(crate) fn outcome(account: &str, class: &str, outcome: model::RequestOutcome) {
    metrics::counter!("almondpass_hall_outcomes_total", "account" => account.to_owned(),
        "class" => class.to_owned(), "outcome" => outcome.to_string())
    .increment(1);
}

/// Sets whether this instance holds the hall: 1 or 0.
pub(crate) fn hall_held(hall: &str, held: bool) {
    gauge("almondpass_hall_held", hall, f64::from(u8::from(held)));
}

/// Records the remaining validity of the tenure, in seconds, just after its renewal.
pub(crate) fn tenure_margin(hall: &str, valid_until: Instant) {
    let remaining = valid_until.saturating_duration_since(Instant::now());
    histogram("almondpass_tenure_margin_seconds", hall, remaining);
}

/// Counts a renewal of the tenure that failed or timed out.
pub(crate) fn renewal_failed(hall: &str) {
    count("almondpass_tenure_renewal_failures_total", hall);
}

/// Records the seconds from acquiring a hall's tenure to the first scheduling decision.
pub(crate) fn takeover_time(hall: &str, span: Duration) {
    histogram("almondpass_takeover_seconds", hall, span);
}

/// Records the seconds from the start of a handover to the end of the successor's notification.
pub(crate) fn hand_over_time(hall: &str, span: Duration) {
    histogram("almondpass_hand_over_seconds", hall, span);
}

/// Records the remaining validity of a worker lease, in seconds, just before its renewal.
pub(crate) fn lease_margin(hall: &str, remaining: Duration) {
    histogram("almondpass_lease_margin_seconds", hall, remaining);
}

/// Counts a worker lease that lapsed although the scheduler still held it.
pub(crate) fn lease_lapsed(hall: &str) {
    count("almondpass_leases_lapsed_total", hall);
}

/// Counts a gang start that was rolled back.
pub(crate) fn start_failed(hall: &str) {
    count("almondpass_gang_starts_failed_total", hall);
}

/// Records the seconds until an intent was durable; `place` is the store that holds it.
pub(crate) fn intent_write_time(hall: &str, place: &'static str, span: Duration) {
    metrics::histogram!("almondpass_intent_seconds", "hall" => hall.to_owned(), "place" => place)
        .record(span.as_secs_f64());
}

/// Sets how many idempotency keys the hall keeps a record of.
pub(crate) fn intent_keys(hall: &str, n_keys: usize) {
    gauge("almondpass_intent_keys", hall, n_keys as f64);
}

/// Records the seconds that one round of the policy took.
pub(crate) fn policy_round(hall: &str, span: Duration) {
    histogram("almondpass_policy_turn_seconds", hall, span);
}

/// Sets the gauges of a hall's free accelerators, longest run of adjacent free accelerators, queue length
/// and fragmentation.
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
