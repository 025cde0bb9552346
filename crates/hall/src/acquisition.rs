//! How a seat watches a hall that another instance schedules, and takes it once it is free.

use std::time::Duration;

use almondpass_membership::rendezvous;
use almondpass_schema::model;
use tokio::time::{self, Instant};

use crate::backend;
use crate::contender;
use crate::ownership;

/// What a watcher saw, by its own monotonic clock.
struct Sighting {
    rows: ownership::OwnerRows,
    since: Instant,
}

/// Watches the hall until this instance took it; `None` once it is to leave.
pub(crate) async fn wait_and_acquire<B: backend::HallBackend>(
    parts: &mut contender::ContenderParts<B>,
) -> Option<ownership::OwnedTenure> {
    let mut sighting: Option<Sighting> = None;
    let mut invited = false;
    let mut due = Instant::now();
    loop {
        let look = tokio::select! {
            biased;
            () = contender::leave_requested(&mut parts.leaving) => return None,
            // What is being read may be from before the hall was given up.
            () = parts.hand_over_requested.notified() => {
                invited = true;
                due = Instant::now();
                continue;
            }
            look = parts.reader.read(&parts.hall, due) => look,
        };
        let mut pause_from = look.read_at;
        match look.rows {
            Some(rows) => {
                let seen_since = match sighting.take() {
                    Some(it) if it.rows.scheduler == rows.scheduler => it.since,
                    _ => look.read_at,
                };
                publish_holder(parts, &rows);
                if may_take(parts, &rows, look.read_at - seen_since, invited) {
                    if let Some(owned) = take(parts, &rows).await {
                        return Some(owned);
                    }
                    pause_from = Instant::now();
                }
                sighting = Some(Sighting { rows, since: seen_since });
            }
            // While the table does not answer, the holder cannot renew either. Counting that
            // time against it would depose a live holder in the moment the table comes back.
            None => sighting = None,
        }
        invited = false;
        due = pause_from + watch_interval(parts, sighting.as_ref());
    }
}

async fn take<B: backend::HallBackend>(
    parts: &contender::ContenderParts<B>,
    rows: &ownership::OwnerRows,
) -> Option<ownership::OwnedTenure> {
    let take = ownership::acquire(&parts.ports.table, &parts.options, &parts.hall, rows);
    match time::timeout(parts.options.call_deadline() * 2, take).await {
        Ok(Ok(owned)) => owned,
        Ok(Err(fault)) => {
            tracing::warn!(hall = parts.hall, %fault, "cannot take the hall");
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
    let found = row.map(|it| it.address.clone());
    parts.state.send_if_modified(|state| match state {
        contender::ContenderState::Watching { holder } if *holder == found => false,
        _ => {
            *state = contender::ContenderState::Watching { holder: found };
            true
        }
    });
}

/// Whether the hall is free for this instance after it saw the same for `seen`. Who was invited by
/// the holder that gave it up leaves it to nobody: others may be preferred by rank alone, but they
/// were not chosen, and the hall would be handed on again.
fn may_take<B: backend::HallBackend>(
    parts: &contender::ContenderParts<B>,
    rows: &ownership::OwnerRows,
    seen: Duration,
    invited: bool,
) -> bool {
    match &rows.scheduler {
        // An earlier try of this very process took effect without its knowledge.
        Some(row) if row.holder == parts.options.instance => true,
        Some(row) if row.released && invited => true,
        Some(row) if !row.released => row.term.0 + preference_delay(parts, Some(row)) <= seen,
        other => preference_delay(parts, other.as_ref()) <= seen,
    }
}

/// How long this instance leaves the hall to more preferred ones. Without it all would write at
/// once, and the halls would not spread.
fn preference_delay<B: backend::HallBackend>(
    parts: &contender::ContenderParts<B>,
    row: Option<&model::SchedulerRow>,
) -> Duration {
    let rank = preference_rank(parts, row);
    (PREFERENCE_STEP * rank).min(PREFERENCE_LIMIT)
}

fn preference_rank<B: backend::HallBackend>(
    parts: &contender::ContenderParts<B>,
    row: Option<&model::SchedulerRow>,
) -> u32 {
    let former = row.map(|it| it.holder.as_str());
    let members = parts.members.borrow();
    let live = members.instances.iter().filter(|(_, it)| !it.leaving);
    let candidates = live.map(|(id, _)| id.as_str()).filter(|it| Some(*it) != former);
    let ranked = rendezvous::ranked(&parts.hall, candidates);
    let rank = ranked.iter().position(|it| *it == parts.options.instance);
    u32::try_from(rank.unwrap_or(ranked.len())).unwrap_or(u32::MAX)
}

/// The most preferred look often, the others seldom: reads are limited.
fn watch_interval<B: backend::HallBackend>(
    parts: &contender::ContenderParts<B>,
    sighting: Option<&Sighting>,
) -> Duration {
    let row = sighting.and_then(|it| it.rows.scheduler.as_ref());
    let free = sighting.is_some() && row.is_none_or(|it| it.released);
    let rank = preference_rank(parts, row);
    let term = parts.options.tenure_term();
    match rank {
        _ if free => term / FREE_LOOKS,
        0 | 1 => term / PREFERRED_LOOKS,
        _ => term / OTHER_LOOKS,
    }
}

/// What each less preferred candidate waits longer.
const PREFERENCE_STEP: Duration = Duration::from_millis(250);
/// What the least preferred waits at most.
const PREFERENCE_LIMIT: Duration = Duration::from_millis(1000);
/// Looks per term of the two most preferred candidates.
const PREFERRED_LOOKS: u32 = 8;
/// Looks per term of the others.
const OTHER_LOOKS: u32 = 3;
/// Looks per term while the hall is free.
const FREE_LOOKS: u32 = 24;
