//! Watching a hall that another instance schedules, and acquiring it once it is free.

use std::time::Duration;

use almondpass_membership::rendezvous;
use almondpass_schema::model;
use tokio::time::{self, Instant};

use crate::backend;
use crate::contender;
use crate::ownership;

/// Rows that the contender last read.
struct ObservedRows {
    rows: ownership::OwnerRows,
    /// When the contender first read the current scheduler row, by the monotonic clock of this instance.
    unchanged_since: Instant,
}

/// Watches the hall until this instance has acquired it; `None` once this instance has to leave.
pub(crate) async fn wait_and_acquire<B: backend::HallBackend>(
    parts: &mut contender::ContenderParts<B>,
) -> Option<ownership::OwnedTenure> {
    let mut observed: Option<ObservedRows> = None;
    let mut invited = false;
    let mut next_read_at = Instant::now();
    loop {
        let read_result = tokio::select! {
            biased;
            () = contender::leave_requested(&mut parts.leaving) => return None,
            // The read in progress may return rows from before the holder released the hall, so a new read
            // starts.
            () = parts.hand_over_requested.notified() => {
                invited = true;
                next_read_at = Instant::now();
                continue;
            }
            read_result = parts.reader.read(&parts.hall, next_read_at) => read_result,
        };
        let mut interval_start = read_result.read_at;
        match read_result.rows {
            Some(rows) => {
                let unchanged_since = match observed.take() {
                    Some(it) if it.rows.scheduler == rows.scheduler => it.unchanged_since,
                    _ => read_result.read_at,
                };
                publish_holder(parts, &rows);
                if may_acquire(parts, &rows, read_result.read_at - unchanged_since, invited) {
                    if let Some(owned) = acquire(parts, &rows).await {
                        return Some(owned);
                    }
                    interval_start = Instant::now();
                }
                observed = Some(ObservedRows { rows, unchanged_since });
            }
            // While the table does not answer, the holder cannot renew its tenure either. Counting that time
            // against the holder would depose a live holder as soon as the table is available again.
            None => observed = None,
        }
        invited = false;
        next_read_at = interval_start + watch_interval(parts, observed.as_ref());
    }
}

async fn acquire<B: backend::HallBackend>(
    parts: &contender::ContenderParts<B>,
    rows: &ownership::OwnerRows,
) -> Option<ownership::OwnedTenure> {
    let acquisition = ownership::acquire(&parts.ports.table, &parts.options, &parts.hall, rows);
    match time::timeout(parts.options.call_deadline() * 2, acquisition).await {
        Ok(Ok(owned)) => owned,
        Ok(Err(fault)) => {
            tracing::warn!(hall = parts.hall, %fault, "cannot acquire the hall");
            None
        }
        Err(_) => None,
    }
}

fn publish_holder<B: backend::HallBackend>(
    parts: &contender::ContenderParts<B>,
    rows: &ownership::OwnerRows,
) {
    let row = rows.scheduler.as_ref().filter(|it| !it.released);
    let holder_address = row.map(|it| it.address.clone());
    parts.state.send_if_modified(|state| match state {
        contender::ContenderState::Watching { holder } if *holder == holder_address => false,
        _ => {
            *state = contender::ContenderState::Watching { holder: holder_address };
            true
        }
    });
}

/// Whether this instance may acquire the hall after the scheduler row has been unchanged for
/// `unchanged_for`. An instance that the releasing holder has `invited` does not wait for instances with a
/// better preference rank: the hall is not assigned to those, so they would hand it over again.
fn may_acquire<B: backend::HallBackend>(
    parts: &contender::ContenderParts<B>,
    rows: &ownership::OwnerRows,
    unchanged_for: Duration,
    invited: bool,
) -> bool {
    match &rows.scheduler {
        // An earlier write of this process took effect, but its answer was lost.
        Some(row) if row.holder == parts.options.instance => true,
        Some(row) if row.released && invited => true,
        Some(row) if !row.released => {
            row.term.0 + preference_delay(parts, Some(row)) <= unchanged_for
        }
        other => preference_delay(parts, other.as_ref()) <= unchanged_for,
    }
}

/// How long this instance leaves a free hall to instances with a better preference rank. Without the delay
/// all instances would write at once, and the halls would not spread over the instances.
fn preference_delay<B: backend::HallBackend>(
    parts: &contender::ContenderParts<B>,
    row: Option<&model::SchedulerRow>,
) -> Duration {
    let rank = preference_rank(parts, row);
    (PREFERENCE_STEP * rank).min(MAX_PREFERENCE_DELAY)
}

fn preference_rank<B: backend::HallBackend>(
    parts: &contender::ContenderParts<B>,
    row: Option<&model::SchedulerRow>,
) -> u32 {
    let previous_holder = row.map(|it| it.holder.as_str());
    let members = parts.members.borrow();
    let live_instances = members.instances.iter().filter(|(_, it)| !it.leaving);
    let candidates =
        live_instances.map(|(id, _)| id.as_str()).filter(|it| Some(*it) != previous_holder);
    let ranked = rendezvous::ranked(&parts.hall, candidates);
    let rank = ranked.iter().position(|it| *it == parts.options.instance);
    u32::try_from(rank.unwrap_or(ranked.len())).unwrap_or(u32::MAX)
}

/// Time between two reads of the rows. The instances with the best ranks read often and the others seldom,
/// because the number of table reads is limited.
fn watch_interval<B: backend::HallBackend>(
    parts: &contender::ContenderParts<B>,
    observed: Option<&ObservedRows>,
) -> Duration {
    let row = observed.and_then(|it| it.rows.scheduler.as_ref());
    let is_free = observed.is_some() && row.is_none_or(|it| it.released);
    let rank = preference_rank(parts, row);
    let term = parts.options.tenure_term();
    match rank {
        _ if is_free => term / FREE_READS,
        0 | 1 => term / PREFERRED_READS,
        _ => term / OTHER_READS,
    }
}

/// Each preference rank adds this to the delay before an instance acquires a free hall.
const PREFERENCE_STEP: Duration = Duration::from_millis(250);
/// Upper bound of the delay by preference rank.
const MAX_PREFERENCE_DELAY: Duration = Duration::from_millis(1000);
/// Reads per term by the two instances with the best preference ranks.
const PREFERRED_READS: u32 = 8;
/// Reads per term by the instances with lower preference ranks.
const OTHER_READS: u32 = 3;
/// Reads per term by every instance while the hall is free.
const FREE_READS: u32 = 24;
