//! One candidate for one hall on one instance: watches, takes, renews, hands over.

use std::sync::Arc;
use std::time::Duration;

use almondpass_config::active;
use almondpass_membership::{rendezvous, snapshot};
use almondpass_peer::link::PeerLink;
use almondpass_schema::{ids, model};
use tokio::sync::{Notify, watch};
use tokio::time::{self, Instant};

use crate::acquisition;
use crate::actor;
use crate::backend;
use crate::metric;
use crate::options;
use crate::owner_reader;
use crate::ownership;
use crate::takeover;
use crate::tenure;

/// What a seat is built upon.
pub struct ContenderParts<B: backend::HallBackend> {
    /// Clients.
    pub ports: backend::HallPorts<B>,
    /// This instance.
    pub options: options::HallOptions,
    /// The hall.
    pub hall: ids::HallName,
    /// Configuration in force.
    pub config: watch::Receiver<Arc<active::ActiveConfig>>,
    /// Instances and workers.
    pub members: watch::Receiver<Arc<snapshot::MemberSnapshot>>,
    /// Turns true when the hall is to be given up for good.
    pub leaving: watch::Receiver<bool>,
    /// Highest tenure of the hall that anybody was heard to hold.
    pub highest_epoch: watch::Receiver<ids::Epoch>,
    /// Reads the rows of all halls that this instance watches.
    pub reader: owner_reader::OwnerReader,
    /// Rung when a leaving holder asks this instance to take the hall.
    pub hand_over_requested: Arc<Notify>,
    /// Where the seat says how it stands.
    pub state: watch::Sender<ContenderState<B>>,
}

/// How a seat stands.
pub enum ContenderState<B: backend::HallBackend> {
    /// Another instance schedules the hall, if any does.
    Watching {
        /// Its address, if known.
        holder: Option<ids::PeerAddress>,
    },
    /// This instance took the hall and learns how it stands.
    TakingOver,
    /// This instance schedules the hall.
    Holding {
        /// Its scheduler.
        address: xtra::Address<actor::HallActor<B>>,
        /// What it last said of the hall.
        summary: watch::Receiver<Option<model::HallBeat>>,
    },
}

/// Runs the seat until it is to leave.
pub async fn run<B: backend::HallBackend>(mut parts: ContenderParts<B>) {
    loop {
        let Some(owned) = acquisition::wait_and_acquire(&mut parts).await else { return };
        hold(&mut parts, owned).await;
    }
}

async fn hold<B: backend::HallBackend>(
    parts: &mut ContenderParts<B>,
    mut owned: ownership::OwnedTenure,
) {
    let taken_at = Instant::now();
    let hall = parts.hall.clone();
    let epoch = owned.row.epoch;
    tracing::info!(hall, epoch, "took the hall");
    metric::hall_held(&hall, true);
    let (tenure_sender, watch) = tenure::TenureWatch::new(tenure_state(parts, &owned));
    parts.state.send_replace(ContenderState::TakingOver);

    let mut launch = tokio::spawn(takeover::run(takeover::TakeoverParts {
        ports: parts.ports.clone(),
        options: parts.options.clone(),
        hall: hall.clone(),
        config: parts.config.clone(),
        members: parts.members.clone(),
        tenure: watch,
    }));
    let mut scheduler: Option<xtra::Address<actor::HallActor<B>>> = None;
    let mut next_renewal = owned.term_started_at + parts.options.renewal_interval();
    let mut leave_by: Option<Instant> = None;
    let mut fences: Option<watch::Receiver<bool>> = None;
    let mut misplaced_since: Option<Instant> = None;
    let successor = loop {
        tokio::select! {
            started = &mut launch, if scheduler.is_none() => {
                let Ok(Some(takeover::StartedScheduler { address, summary, fenced })) = started else {
                    tracing::error!(hall, epoch, "the hall could not be taken over");
                    let _ = ownership::release(&parts.ports.table, &mut owned).await;
                    tokio::select! {
                        () = time::sleep(FAILED_TAKEOVER_PAUSE) => {}
                        () = leave_requested(&mut parts.leaving) => {}
                    }
                    break None;
                };
                let took = taken_at.elapsed();
                metric::takeover_time(&hall, took);
                tracing::info!(hall, epoch, seconds = took.as_secs_f64(), "took the hall over");
                parts.state.send_replace(ContenderState::Holding { address: address.clone(), summary });
                scheduler = Some(address);
                fences = Some(fenced);
            }
            () = time::sleep_until(next_renewal) => {
                match renew(parts, &tenure_sender, &mut owned).await {
                    RenewalStep::Next(at) => next_renewal = at,
                    RenewalStep::Lost(holder) => break holder,
                }
                let firm = Instant::now() < valid_until(parts, &owned);
                if leave_by.is_some_and(|it| firm || it <= Instant::now()) {
                    break hand_over(parts, &mut owned, scheduler.as_ref()).await;
                }
                misplaced_since = misplaced(parts).then(|| misplaced_since.unwrap_or_else(Instant::now));
                let settled = misplaced_since.is_some_and(|it| SPREAD_AFTER <= it.elapsed());
                if settled && firm && scheduler.is_some() {
                    tracing::info!(hall, epoch, "hands the hall on, so that halls spread");
                    break hand_over(parts, &mut owned, scheduler.as_ref()).await;
                }
            }
            // A higher tenure is proof that this one is over, also where the table cannot be
            // reached from here: tenures only grow by conditional writes.
            () = heard_newer(&mut parts.highest_epoch, epoch) => {
                tracing::warn!(hall, epoch, "another instance holds a newer tenure");
                break None;
            }
            () = fenced(fences.as_mut()) => {
                // Where the row still names this tenure, the sign was wrong: somebody else, or
                // this instance, takes the hall afresh.
                let _ = ownership::release(&parts.ports.table, &mut owned).await;
                break None;
            }
            () = leave_requested(&mut parts.leaving), if leave_by.is_none() => {
                if Instant::now() < valid_until(parts, &owned) {
                    break hand_over(parts, &mut owned, scheduler.as_ref()).await;
                }
                // Nobody can take the hall while the table is down. Leaving it now would let the
                // leases of its gangs lapse: hours of work lost to a restart in an outage.
                tracing::warn!(hall, epoch, "stays until the hall can be handed over");
                leave_by = Some(Instant::now() + LEAVE_TIMEOUT);
            }
        }
    };
    tenure_sender.send_modify(|it| it.ended = true);
    launch.abort();
    parts.state.send_replace(ContenderState::Watching { holder: successor });
    metric::hall_held(&hall, false);
    if let Some(address) = scheduler {
        let _ = address.send(actor::Resign).await;
    }
    tracing::info!(hall, epoch, "gave the hall up");
}

async fn heard_newer(highest_epoch: &mut watch::Receiver<ids::Epoch>, epoch: ids::Epoch) {
    if highest_epoch.wait_for(|it| epoch < *it).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn fenced(fences: Option<&mut watch::Receiver<bool>>) {
    let Some(fences) = fences else { return std::future::pending().await };
    if fences.wait_for(|it| *it).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Also when nobody is left who could tell.
pub(crate) async fn leave_requested(leaving: &mut watch::Receiver<bool>) {
    let _ = leaving.wait_for(|it| *it).await;
}

enum RenewalStep {
    Next(Instant),
    Lost(Option<ids::PeerAddress>),
}

async fn renew<B: backend::HallBackend>(
    parts: &ContenderParts<B>,
    tenure_sender: &watch::Sender<tenure::TenureState>,
    owned: &mut ownership::OwnedTenure,
) -> RenewalStep {
    let interval = parts.options.renewal_interval();
    let deadline = parts.options.call_deadline();
    let sent_at = Instant::now();
    let renewal = ownership::renew(&parts.ports.table, owned);
    match time::timeout(deadline, renewal).await {
        Ok(Ok(ownership::RenewalOutcome::Renewed(renewed))) => {
            // What was found is an earlier try that landed unheard: it only tells the version.
            let at_once = renewed.term_started_at == owned.term_started_at;
            *owned = renewed;
            tenure_sender.send_modify(|it| {
                it.valid_until = valid_until(parts, owned);
                it.outage_seen_at = None;
            });
            metric::tenure_margin(&parts.hall, valid_until(parts, owned));
            RenewalStep::Next(if at_once { Instant::now() } else { sent_at + interval })
        }
        Ok(Ok(ownership::RenewalOutcome::Lost(row))) => {
            tracing::warn!(hall = parts.hall, "another instance took the hall");
            RenewalStep::Lost(row.filter(|it| !it.released).map(|it| it.address))
        }
        Ok(Err(_)) | Err(_) => {
            // Seen from before the try: a process paused during the call must not take the
            // table for down at the moment it wakes.
            tenure_sender.send_modify(|it| it.outage_seen_at = Some(sent_at));
            metric::renewal_failed(&parts.hall);
            RenewalStep::Next(Instant::now() + interval / FAILED_RENEWAL_SHARE)
        }
    }
}

/// Gives the hall to the preferred live instance; returns its address.
async fn hand_over<B: backend::HallBackend>(
    parts: &ContenderParts<B>,
    owned: &mut ownership::OwnedTenure,
    scheduler: Option<&xtra::Address<actor::HallActor<B>>>,
) -> Option<ids::PeerAddress> {
    let started = Instant::now();
    if let Some(address) = scheduler {
        let settled = address.send(actor::Freeze);
        let settled = async { settled.await.ok()?.await.ok() };
        let _ = time::timeout(FREEZE_LIMIT, settled).await;
    }
    let released = ownership::release(&parts.ports.table, owned);
    let released = time::timeout(parts.options.call_deadline(), released).await;
    if !matches!(released, Ok(Ok(_))) {
        // The table is down: the hall lapses instead, and nobody can take it before it is back.
        tracing::warn!(hall = parts.hall, "cannot give the hall up in the table");
        return None;
    }
    let successor = successor(parts)?;
    let call = model::HandOver { hall: parts.hall.clone(), epoch: owned.row.epoch };
    let told = parts.ports.link.call(&successor, call, HAND_OVER_DEADLINE).await;
    if let Err(fault) = told {
        // The successor sees the released row at its next look.
        tracing::warn!(hall = parts.hall, %fault, "cannot tell the successor of the hall");
    }
    metric::hand_over_time(&parts.hall, started.elapsed());
    Some(successor)
}

/// The instance whose share the hall is in, or who else should have it.
fn successor<B: backend::HallBackend>(parts: &ContenderParts<B>) -> Option<ids::PeerAddress> {
    let members = parts.members.borrow();
    let leaving = *parts.leaving.borrow();
    let others = live(&members).filter(|it| !leaving || *it != parts.options.instance);
    let chosen = chosen(parts, &others.collect::<Vec<_>>())?;
    if chosen == parts.options.instance {
        return None;
    }
    members.instances.get(&chosen).map(|it| it.address.clone())
}

/// Whether the hall is in another instance's share. Whoever starts first takes every hall, and
/// would keep them all: its load, and the halls lost with it, would be the whole site's.
fn misplaced<B: backend::HallBackend>(parts: &ContenderParts<B>) -> bool {
    let members = parts.members.borrow();
    let chosen = chosen(parts, &live(&members).collect::<Vec<_>>());
    chosen.is_some_and(|it| it != parts.options.instance)
}

fn live(members: &snapshot::MemberSnapshot) -> impl Iterator<Item = &str> {
    members.instances.iter().filter(|(_, it)| !it.leaving).map(|(id, _)| id.as_str())
}

fn chosen<B: backend::HallBackend>(
    parts: &ContenderParts<B>,
    candidates: &[&str],
) -> Option<ids::InstanceId> {
    let config = parts.config.borrow();
    let halls = config.document.halls.iter().map(|it| it.name.as_str());
    rendezvous::balanced_candidate(&parts.hall, halls, candidates).map(str::to_owned)
}

fn tenure_state<B: backend::HallBackend>(
    parts: &ContenderParts<B>,
    owned: &ownership::OwnedTenure,
) -> tenure::TenureState {
    tenure::TenureState {
        hall: parts.hall.clone(),
        epoch: owned.row.epoch,
        row_version: owned.tenure_version,
        valid_until: valid_until(parts, owned),
        outage_seen_at: None,
        outage_assumed_for: parts.options.renewal_interval() + parts.options.call_deadline(),
        ended: false,
    }
}

fn valid_until<B: backend::HallBackend>(
    parts: &ContenderParts<B>,
    owned: &ownership::OwnedTenure,
) -> Instant {
    owned.term_started_at + owned.row.term.0.saturating_sub(parts.options.tenure_margin())
}

/// A failed renewal is tried again after this part of the interval.
const FAILED_RENEWAL_SHARE: u32 = 4;
/// How long an instance that leaves keeps a hall that nobody can take over.
pub(crate) const LEAVE_TIMEOUT: Duration = Duration::from_secs(120);
/// A hall is handed on after it was in another's share for this long: longer than a restart, so
/// that a rolling upgrade does not send halls to and fro.
const SPREAD_AFTER: Duration = Duration::from_secs(120);
/// How long a hand-over waits for writes in flight.
const FREEZE_LIMIT: Duration = Duration::from_millis(400);
/// A hall that could not be taken over is left to others for this long.
const FAILED_TAKEOVER_PAUSE: Duration = Duration::from_secs(3);
/// For telling the successor.
const HAND_OVER_DEADLINE: Duration = Duration::from_millis(400);
