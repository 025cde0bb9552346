//! The contender for one hall on one instance: it watches the tenure of the hall, acquires the tenure when
//! it is free, renews it, and hands the hall over.

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

/// Dependencies of a contender.
pub struct ContenderParts<B: backend::HallBackend> {
    /// Clients of the table, the object store, the workers and the other instances.
    pub ports: backend::HallPorts<B>,
    /// Identity and timing of this instance.
    pub options: options::HallOptions,
    /// Hall that the contender competes for.
    pub hall: ids::HallName,
    /// Active configuration; its list of halls decides which instance a hall is assigned to.
    pub config: watch::Receiver<Arc<active::ActiveConfig>>,
    /// Known instances and workers; instances that are leaving are not assigned any hall.
    pub members: watch::Receiver<Arc<snapshot::MemberSnapshot>>,
    /// Turns true when this instance has to give the hall up and must not acquire it again.
    pub leaving: watch::Receiver<bool>,
    /// Highest epoch of the hall that any instance has reported.
    pub highest_epoch: watch::Receiver<ids::Epoch>,
    /// Reads the scheduler rows for all contenders of this instance.
    pub reader: owner_reader::OwnerReader,
    /// Notified when the holder asks this instance to acquire the hall that it hands over.
    pub hand_over_requested: Arc<Notify>,
    /// Receives each new state of the contender.
    pub state: watch::Sender<ContenderState<B>>,
}

/// State of a contender, as [`crate::service::HallService`] sees it.
pub enum ContenderState<B: backend::HallBackend> {
    /// Another instance schedules the hall, if any does.
    Watching {
        /// Address of the instance that schedules the hall, if known.
        holder: Option<ids::PeerAddress>,
    },
    /// This instance acquired the hall and reads its jobs, intents and worker leases.
    TakingOver,
    /// This instance schedules the hall.
    Holding {
        /// Actor that schedules the hall.
        address: xtra::Address<actor::HallActor<B>>,
        /// Last summary of the hall that the actor published.
        summary: watch::Receiver<Option<model::HallBeat>>,
    },
}

/// Runs the contender until `parts.leaving` turns true.
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
    let acquired_at = Instant::now();
    let hall = parts.hall.clone();
    let epoch = owned.row.epoch;
    tracing::info!(hall, epoch, "acquired the tenure of the hall");
    metric::hall_held(&hall, true);
    let (tenure_sender, watch) = tenure::TenureWatch::new(tenure_state(parts, &owned));
    parts.state.send_replace(ContenderState::TakingOver);

    let mut takeover_task = tokio::spawn(takeover::run(takeover::TakeoverParts {
        ports: parts.ports.clone(),
        options: parts.options.clone(),
        hall: hall.clone(),
        config: parts.config.clone(),
        members: parts.members.clone(),
        tenure: watch,
    }));
    let mut scheduler: Option<xtra::Address<actor::HallActor<B>>> = None;
    let mut next_renewal = owned.term_started_at + parts.options.renewal_interval();
    let mut leave_deadline: Option<Instant> = None;
    let mut fence_receiver: Option<watch::Receiver<bool>> = None;
    let mut misplaced_since: Option<Instant> = None;
    let successor = loop {
        tokio::select! {
            started = &mut takeover_task, if scheduler.is_none() => {
                let Ok(Some(takeover::StartedScheduler { address, summary, fenced })) = started else {
                    tracing::error!(hall, epoch, "takeover of the hall failed; releasing its tenure");
                    let _ = ownership::release(&parts.ports.table, &mut owned).await;
                    tokio::select! {
                        () = time::sleep(FAILED_TAKEOVER_PAUSE) => {}
                        () = leave_requested(&mut parts.leaving) => {}
                    }
                    break None;
                };
                let takeover_time = acquired_at.elapsed();
                metric::takeover_time(&hall, takeover_time);
                tracing::info!(hall, epoch, seconds = takeover_time.as_secs_f64(), "took over the hall");
                parts.state.send_replace(ContenderState::Holding { address: address.clone(), summary });
                scheduler = Some(address);
                fence_receiver = Some(fenced);
            }
            () = time::sleep_until(next_renewal) => {
                match renew(parts, &tenure_sender, &mut owned).await {
                    RenewalStep::Next(at) => next_renewal = at,
                    RenewalStep::Lost(holder) => break holder,
                }
                let is_firm = Instant::now() < valid_until(parts, &owned);
                if leave_deadline.is_some_and(|it| is_firm || it <= Instant::now()) {
                    break hand_over(parts, &mut owned, scheduler.as_ref()).await;
                }
                misplaced_since = is_misplaced(parts).then(|| misplaced_since.unwrap_or_else(Instant::now));
                let spread_due = misplaced_since.is_some_and(|it| SPREAD_DELAY <= it.elapsed());
                if spread_due && is_firm && scheduler.is_some() {
                    tracing::info!(hall, epoch, "handing the hall over to its assigned instance");
                    break hand_over(parts, &mut owned, scheduler.as_ref()).await;
                }
            }
            // A higher epoch proves that this tenure is over, even if this instance cannot reach the table:
            // an epoch increases only by a conditional write.
            () = newer_epoch_reported(&mut parts.highest_epoch, epoch) => {
                tracing::warn!(hall, epoch, "another instance holds a newer tenure");
                break None;
            }
            () = scheduler_fenced(fence_receiver.as_mut()) => {
                // If the row still names this tenure, no newer tenure exists and the scheduler was fenced by
                // mistake. Releasing the tenure lets another instance, or this one, acquire the hall again.
                let _ = ownership::release(&parts.ports.table, &mut owned).await;
                break None;
            }
            () = leave_requested(&mut parts.leaving), if leave_deadline.is_none() => {
                if Instant::now() < valid_until(parts, &owned) {
                    break hand_over(parts, &mut owned, scheduler.as_ref()).await;
                }
                // No instance can acquire the hall while the table is unavailable. Leaving the hall now
                // would let the leases of its gangs expire: a restart during an outage would lose hours of
                // work.
                tracing::warn!(hall, epoch, "cannot hand the hall over during a table outage; keeping it");
                leave_deadline = Some(Instant::now() + LEAVE_TIMEOUT);
            }
        }
    };
    tenure_sender.send_modify(|it| it.ended = true);
    takeover_task.abort();
    parts.state.send_replace(ContenderState::Watching { holder: successor });
    metric::hall_held(&hall, false);
    if let Some(address) = scheduler {
        let _ = address.send(actor::Resign).await;
    }
    tracing::info!(hall, epoch, "stopped scheduling the hall");
}

async fn newer_epoch_reported(highest_epoch: &mut watch::Receiver<ids::Epoch>, epoch: ids::Epoch) {
    if highest_epoch.wait_for(|it| epoch < *it).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn scheduler_fenced(fence_receiver: Option<&mut watch::Receiver<bool>>) {
    let Some(fence_receiver) = fence_receiver else { return std::future::pending().await };
    if fence_receiver.wait_for(|it| *it).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits until `leaving` turns true, or until its sender is dropped.
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
            // An unchanged start of the term means that the row shows an earlier renewal, of which
            // this instance got no answer. It yields the version of the row but does not extend the term, so the
            // next renewal follows at once.
            let renew_at_once = renewed.term_started_at == owned.term_started_at;
            *owned = renewed;
            tenure_sender.send_modify(|it| {
                it.valid_until = valid_until(parts, owned);
                it.outage_seen_at = None;
            });
            metric::tenure_margin(&parts.hall, valid_until(parts, owned));
            RenewalStep::Next(if renew_at_once { Instant::now() } else { sent_at + interval })
        }
        Ok(Ok(ownership::RenewalOutcome::Lost(row))) => {
            tracing::warn!(hall = parts.hall, "another instance took the hall");
            RenewalStep::Lost(row.filter(|it| !it.released).map(|it| it.address))
        }
        Ok(Err(_)) | Err(_) => {
            // The outage is dated from before the call: a process that was paused during the call must not
            // assume at the moment it wakes that the table is unavailable.
            tenure_sender.send_modify(|it| it.outage_seen_at = Some(sent_at));
            metric::renewal_failed(&parts.hall);
            RenewalStep::Next(Instant::now() + interval / FAILED_RENEWAL_DIVISOR)
        }
    }
}

/// Releases the tenure and asks the successor to acquire it. Returns the address of the successor.
async fn hand_over<B: backend::HallBackend>(
    parts: &ContenderParts<B>,
    owned: &mut ownership::OwnedTenure,
    scheduler: Option<&xtra::Address<actor::HallActor<B>>>,
) -> Option<ids::PeerAddress> {
    let hand_over_started = Instant::now();
    if let Some(address) = scheduler {
        let writes_settled = address.send(actor::Freeze);
        let writes_settled = async { writes_settled.await.ok()?.await.ok() };
        let _ = time::timeout(FREEZE_TIMEOUT, writes_settled).await;
    }
    let released = ownership::release(&parts.ports.table, owned);
    let released = time::timeout(parts.options.call_deadline(), released).await;
    if !matches!(released, Ok(Ok(_))) {
        // The table is unavailable. The tenure expires instead, and no instance can acquire the hall before
        // the table answers again.
        tracing::warn!(
            hall = parts.hall,
            "cannot release the tenure in the table; it expires instead"
        );
        return None;
    }
    let successor = successor(parts)?;
    let call = model::HandOver { hall: parts.hall.clone(), epoch: owned.row.epoch };
    let notified = parts.ports.link.call(&successor, call, HAND_OVER_DEADLINE).await;
    if let Err(fault) = notified {
        // The successor finds the released row when it next reads the table.
        tracing::warn!(hall = parts.hall, %fault, "cannot notify the successor of the hall");
    }
    metric::hand_over_time(&parts.hall, hand_over_started.elapsed());
    Some(successor)
}

/// Address of the instance that the hall is assigned to; a leaving instance leaves itself out of the choice.
/// `None` if that is this instance or if no other instance is live.
fn successor<B: backend::HallBackend>(parts: &ContenderParts<B>) -> Option<ids::PeerAddress> {
    let members = parts.members.borrow();
    let leaving = *parts.leaving.borrow();
    let others = live_instances(&members).filter(|it| !leaving || *it != parts.options.instance);
    let assigned = assigned_instance(parts, &others.collect::<Vec<_>>())?;
    if assigned == parts.options.instance {
        return None;
    }
    members.instances.get(&assigned).map(|it| it.address.clone())
}

/// Whether the hall is assigned to another instance. The instance that starts first acquires every hall and
/// would otherwise keep them all: it would carry the load of the whole site, and its loss would affect
/// every hall.
fn is_misplaced<B: backend::HallBackend>(parts: &ContenderParts<B>) -> bool {
    let members = parts.members.borrow();
    let assigned = assigned_instance(parts, &live_instances(&members).collect::<Vec<_>>());
    assigned.is_some_and(|it| it != parts.options.instance)
}

fn live_instances(members: &snapshot::MemberSnapshot) -> impl Iterator<Item = &str> {
    members.instances.iter().filter(|(_, it)| !it.leaving).map(|(id, _)| id.as_str())
}

fn assigned_instance<B: backend::HallBackend>(
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

/// A failed renewal is retried after the renewal interval divided by this.
const FAILED_RENEWAL_DIVISOR: u32 = 4;
/// How long a leaving instance keeps a hall that no other instance can acquire.
pub(crate) const LEAVE_TIMEOUT: Duration = Duration::from_secs(120);
/// A hall is handed over after it has been assigned to another instance for this long. The delay is longer
/// than a restart, so that a rolling upgrade does not move halls back and forth.
const SPREAD_DELAY: Duration = Duration::from_secs(120);
/// How long a hand-over waits for the scheduler to finish its writes in flight.
const FREEZE_TIMEOUT: Duration = Duration::from_millis(400);
/// After a failed takeover this instance leaves the hall to other instances for this long.
const FAILED_TAKEOVER_PAUSE: Duration = Duration::from_secs(3);
/// Deadline of the call that asks the successor to acquire the hall.
const HAND_OVER_DEADLINE: Duration = Duration::from_millis(400);
