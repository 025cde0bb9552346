//! The seats of one instance, and the calls that reach them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_config::active;
use almondpass_membership::{local, snapshot};
use almondpass_peer::call::{HallCall, PeerCall};
use almondpass_peer::{codec, dispatch, error, link};
use almondpass_schema::{ids, model};
use bytes::Bytes;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time;

use crate::backend;
use crate::contender::{self, ContenderState};
use crate::options;
use crate::owner_reader;
use crate::request::SchedulerCall;

/// Everything that an instance needs to take part in scheduling halls.
pub struct ServiceDependencies<B: backend::HallBackend> {
    /// Clients.
    pub ports: backend::HallPorts<B>,
    /// This instance.
    pub options: options::HallOptions,
    /// Configuration in force.
    pub config: watch::Receiver<Arc<active::ActiveConfig>>,
    /// Instances and workers.
    pub members: watch::Receiver<Arc<snapshot::MemberSnapshot>>,
}

/// The seats of one instance.
pub struct HallService<B: backend::HallBackend> {
    inner: Arc<ServiceInner<B>>,
}

struct ServiceInner<B: backend::HallBackend> {
    parts: ServiceDependencies<B>,
    reader: owner_reader::OwnerReader,
    seats: Mutex<BTreeMap<ids::HallName, SeatHandle<B>>>,
    leaving: watch::Sender<bool>,
}

/// One seat, from outside.
struct SeatHandle<B: backend::HallBackend> {
    view: watch::Receiver<ContenderState<B>>,
    nudge: Arc<Notify>,
    heard: watch::Sender<ids::Epoch>,
    leaving: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl<B: backend::HallBackend> Clone for HallService<B> {
    fn clone(&self) -> HallService<B> {
        HallService { inner: Arc::clone(&self.inner) }
    }
}

impl<B: backend::HallBackend> HallService<B> {
    /// Starts a seat for every hall of the configuration, and keeps to its changes.
    pub fn start(parts: ServiceDependencies<B>) -> HallService<B> {
        let (leaving, left) = watch::channel(false);
        let config = parts.config.clone();
        let reader = owner_reader::OwnerReader::start(parts.ports.table.clone(), &parts.options);
        let inner = ServiceInner { parts, reader, seats: Mutex::default(), leaving };
        let service = HallService { inner: Arc::new(inner) };
        service.fit_seats();
        tokio::spawn(follow_config(service.clone(), config, left));
        service
    }

    /// Answers a call, or says who may. `None` where this instance stopped scheduling the hall
    /// while the call was under way, and nobody can tell whether it had an effect.
    pub async fn ask<C: SchedulerCall>(&self, call: C) -> Option<C::Reply> {
        let Some(mut view) = self.view(call.hall()) else { return Some(C::not_holder(None)) };
        // Between taking a hall and knowing how it stands a call waits instead of being refused.
        let taken = view.wait_for(|it| !matches!(it, ContenderState::TakingOver));
        let address = match time::timeout(TAKEOVER_WAIT, taken).await {
            Ok(Ok(view)) => match &*view {
                ContenderState::Holding { address, .. } => address.clone(),
                ContenderState::Watching { holder } => return Some(C::not_holder(holder.clone())),
                ContenderState::TakingOver => return Some(C::not_holder(None)),
            },
            _ => return Some(C::not_holder(None)),
        };
        let (reply, answer) = oneshot::channel();
        let passed = address.send(call.request(reply)).await.is_ok();
        match answer.await {
            Ok(answer) if C::redirect(&answer) != Some(None) => return Some(answer),
            Err(_) if passed && !C::MAY_RESEND => return None,
            Ok(_) | Err(_) => {}
        }
        Some(C::not_holder(successor(view).await))
    }

    /// A leaving holder asks this instance to take a hall.
    pub fn on_hand_over_request(&self, call: &model::HandOver) -> model::Ack {
        if let Some(handle) = self.seats().get(&call.hall) {
            handle.nudge.notify_one();
        }
        model::Ack {}
    }

    /// What is known of the halls that this instance schedules, for its beats.
    pub fn summaries(&self) -> Vec<model::HallBeat> {
        let seats = self.seats();
        let beats = seats.values().filter_map(|it| match &*it.view.borrow() {
            ContenderState::Holding { summary, .. } => summary.borrow().clone(),
            ContenderState::Watching { .. } | ContenderState::TakingOver => None,
        });
        beats.collect()
    }

    /// Learns of tenures from the beats of others. A holder that is cut off from the table, but
    /// not from its peers, learns in this way that it is one no longer.
    pub fn observe_epochs(&self, beats: &[model::HallBeat]) {
        let seats = self.seats();
        for beat in beats {
            if let Some(handle) = seats.get(&beat.hall) {
                handle.heard.send_if_modified(|it| {
                    let newer = *it < beat.epoch;
                    *it = beat.epoch.max(*it);
                    newer
                });
            }
        }
    }

    /// Halls that this instance schedules.
    pub fn held_halls(&self) -> Vec<ids::HallName> {
        let seats = self.seats();
        let held = seats.iter().filter(|(_, it)| {
            matches!(
                &*it.view.borrow(),
                ContenderState::Holding { .. } | ContenderState::TakingOver
            )
        });
        held.map(|(hall, _)| hall.clone()).collect()
    }

    /// Hands every hall over and takes no more.
    pub async fn shutdown(&self) {
        self.inner.leaving.send_replace(true);
        let handles = std::mem::take(&mut *self.seats());
        for handle in handles.values() {
            handle.leaving.send_replace(true);
        }
        for (hall, handle) in handles {
            if time::timeout(SHUTDOWN_LIMIT, handle.task).await.is_err() {
                tracing::warn!(hall, "the hall was not handed over in time");
            }
        }
    }

    fn seats(&self) -> std::sync::MutexGuard<'_, BTreeMap<ids::HallName, SeatHandle<B>>> {
        self.inner.seats.lock().expect("no holder of the lock panics")
    }

    fn view(&self, hall: &str) -> Option<watch::Receiver<ContenderState<B>>> {
        self.seats().get(hall).map(|it| it.view.clone())
    }

    /// Starts and stops seats as the configuration says.
    fn fit_seats(&self) {
        let config = Arc::clone(&self.inner.parts.config.borrow());
        let mut seats = self.seats();
        if *self.inner.leaving.borrow() || config.version == 0 {
            return;
        }
        for (hall, handle) in seats.iter() {
            if config.hall(hall).is_none() {
                handle.leaving.send_replace(true);
            }
        }
        seats.retain(|hall, _| config.hall(hall).is_some());
        for layout in &config.document.halls {
            if !seats.contains_key(&layout.name) {
                seats.insert(layout.name.clone(), self.start_seat(&layout.name));
            }
        }
    }

    fn start_seat(&self, hall: &ids::HallName) -> SeatHandle<B> {
        let parts = &self.inner.parts;
        let (view, views) = watch::channel(ContenderState::Watching { holder: None });
        let (heard, hears) = watch::channel(0);
        let (leaving, leaves) = watch::channel(false);
        let nudge = Arc::new(Notify::new());
        let task = tokio::spawn(contender::run(contender::ContenderParts {
            ports: parts.ports.clone(),
            options: parts.options.clone(),
            hall: hall.clone(),
            config: parts.config.clone(),
            members: parts.members.clone(),
            leaving: leaves,
            highest_epoch: hears,
            reader: self.inner.reader.clone(),
            hand_over_requested: Arc::clone(&nudge),
            state: view,
        }));
        SeatHandle { view: views, nudge, heard, leaving, task }
    }
}

async fn follow_config<B: backend::HallBackend>(
    service: HallService<B>,
    mut config: watch::Receiver<Arc<active::ActiveConfig>>,
    mut leaving: watch::Receiver<bool>,
) {
    loop {
        tokio::select! {
            changed = config.changed() => {
                if changed.is_err() {
                    return;
                }
                service.fit_seats();
            }
            _ = leaving.changed() => return,
        }
    }
}

/// Who schedules the hall after its holder stopped in the middle of a call.
async fn successor<B: backend::HallBackend>(
    mut view: watch::Receiver<ContenderState<B>>,
) -> Option<ids::PeerAddress> {
    let left = view.wait_for(|it| !matches!(it, ContenderState::Holding { .. }));
    match &*time::timeout(SUCCESSOR_WAIT, left).await.ok()?.ok()? {
        ContenderState::Watching { holder } => holder.clone(),
        ContenderState::Holding { .. } | ContenderState::TakingOver => None,
    }
}

impl<B: backend::HallBackend> link::PeerService for HallService<B> {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        match path {
            model::GrantRequest::PATH => self.serve_call::<model::GrantRequest>(&body).await,
            model::GrantReturns::PATH => self.serve_call::<model::GrantReturns>(&body).await,
            model::GrantReport::PATH => self.serve_call::<model::GrantReport>(&body).await,
            model::JobSubmit::PATH => self.serve_call::<model::JobSubmit>(&body).await,
            model::JobQuery::PATH => self.serve_call::<model::JobQuery>(&body).await,
            model::JobCancel::PATH => self.serve_call::<model::JobCancel>(&body).await,
            model::HallQuery::PATH => self.serve_call::<model::HallQuery>(&body).await,
            model::HandOver::PATH => {
                dispatch::answer(&body, async |call| self.on_hand_over_request(&call)).await
            }
            _ => None,
        }
    }
}

impl<B: backend::HallBackend> HallService<B> {
    async fn serve_call<C: SchedulerCall>(&self, body: &Bytes) -> Option<link::ServedReply> {
        dispatch::try_answer(body, async |call: C| {
            self.ask(call).await.ok_or(error::ServeFault::Silent)
        })
        .await
    }
}

impl<B: backend::HallBackend> local::LocalHalls for HallService<B> {
    fn holds(&self, hall: &ids::HallName) -> bool {
        self.view(hall).is_some_and(|it| !matches!(&*it.borrow(), ContenderState::Watching { .. }))
    }

    async fn answer<C: HallCall>(&self, call: C) -> Result<C::Reply, error::CallError> {
        let fault = |fault| error::CallError {
            step: C::PATH,
            peer: self.inner.parts.options.address.clone(),
            fault,
        };
        let malformed = |detail: String| error::CallFault::Malformed(detail);
        let body = codec::encode(&call).map_err(|it| fault(malformed(it.to_string())))?;
        match link::PeerService::serve(self, C::PATH, body).await {
            Some(Ok(reply)) => codec::decode(&reply).map_err(|it| fault(malformed(it.to_string()))),
            Some(Err(error::ServeFault::Silent)) => {
                Err(fault(error::CallFault::NoAnswer("a scheduler that stopped".to_owned())))
            }
            Some(Err(refusal)) => Err(fault(error::CallFault::Refused {
                status: REFUSED_STATUS,
                detail: refusal.to_string(),
            })),
            None => Err(fault(error::CallFault::Refused {
                status: REFUSED_STATUS,
                detail: format!("no such path: {}", C::PATH),
            })),
        }
    }
}

/// Status of a call that could not be read.
const REFUSED_STATUS: u16 = 400;
/// How long a call waits for a takeover.
const TAKEOVER_WAIT: Duration = Duration::from_secs(2);
/// How long a call of a holder that stopped waits to learn who follows.
const SUCCESSOR_WAIT: Duration = Duration::from_secs(1);
/// For handing one hall over.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(contender::LEAVE_TIMEOUT.as_secs() + 5);
