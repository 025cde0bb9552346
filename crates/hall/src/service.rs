//! The contenders of one instance, and the routing of calls to the schedulers of its halls.

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

/// Clients, settings and watched state that a [`HallService`] is started with.
pub struct ServiceDependencies<B: backend::HallBackend> {
    /// Clients of the store, the workers and the other instances.
    pub ports: backend::HallPorts<B>,
    /// Settings of this instance.
    pub options: options::HallOptions,
    /// Configuration in force; version 0 until the first one is known.
    pub config: watch::Receiver<Arc<active::ActiveConfig>>,
    /// Instance list with the workers, as last received.
    pub members: watch::Receiver<Arc<snapshot::MemberSnapshot>>,
}

/// The contenders of one instance, one for each hall. Clones share them.
pub struct HallService<B: backend::HallBackend> {
    inner: Arc<ServiceInner<B>>,
}

struct ServiceInner<B: backend::HallBackend> {
    dependencies: ServiceDependencies<B>,
    reader: owner_reader::OwnerReader,
    contenders: Mutex<BTreeMap<ids::HallName, ContenderHandle<B>>>,
    leaving: watch::Sender<bool>,
}

/// Channels to one contender, and its task.
struct ContenderHandle<B: backend::HallBackend> {
    state: watch::Receiver<ContenderState<B>>,
    hand_over_requested: Arc<Notify>,
    highest_epoch: watch::Sender<ids::Epoch>,
    leaving: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl<B: backend::HallBackend> Clone for HallService<B> {
    fn clone(&self) -> HallService<B> {
        HallService { inner: Arc::clone(&self.inner) }
    }
}

impl<B: backend::HallBackend> HallService<B> {
    /// Starts a contender for every hall of the configuration, and a task that starts and stops contenders
    /// when the configuration changes.
    pub fn start(dependencies: ServiceDependencies<B>) -> HallService<B> {
        let (leaving, leaving_receiver) = watch::channel(false);
        let config = dependencies.config.clone();
        let reader = owner_reader::OwnerReader::start(
            dependencies.ports.table.clone(),
            &dependencies.options,
        );
        let inner = ServiceInner { dependencies, reader, contenders: Mutex::default(), leaving };
        let service = HallService { inner: Arc::new(inner) };
        service.update_contenders();
        tokio::spawn(follow_config(service.clone(), config, leaving_receiver));
        service
    }

    /// Passes a call to the scheduler of its hall and returns the reply. If another instance schedules the
    /// hall, the reply redirects to it. `None` if the scheduler stopped during a call that must not
    /// be resent: then it is unknown whether the call had an effect.
    pub async fn ask<C: SchedulerCall>(&self, call: C) -> Option<C::Reply> {
        let Some(mut state) = self.state(call.hall()) else { return Some(C::not_holder(None)) };
        // During a takeover a call waits until the scheduler runs, instead of being refused.
        let taken_over = state.wait_for(|it| !matches!(it, ContenderState::TakingOver));
        let address = match time::timeout(TAKEOVER_WAIT, taken_over).await {
            Ok(Ok(state)) => match &*state {
                ContenderState::Holding { address, .. } => address.clone(),
                ContenderState::Watching { holder } => return Some(C::not_holder(holder.clone())),
                ContenderState::TakingOver => return Some(C::not_holder(None)),
            },
            _ => return Some(C::not_holder(None)),
        };
        let (reply, answer) = oneshot::channel();
        let sent = address.send(call.request(reply)).await.is_ok();
        match answer.await {
            Ok(answer) if C::redirect(&answer) != Some(None) => return Some(answer),
            Err(_) if sent && !C::MAY_RESEND => return None,
            Ok(_) | Err(_) => {}
        }
        Some(C::not_holder(successor(state).await))
    }

    /// Handles the request of a leaving holder that this instance acquire a hall.
    pub fn on_hand_over_request(&self, call: &model::HandOver) -> model::Ack {
        if let Some(handle) = self.contenders().get(&call.hall) {
            handle.hand_over_requested.notify_one();
        }
        model::Ack {}
    }

    /// Summaries of the halls that this instance schedules, which it publishes in its beats.
    pub fn summaries(&self) -> Vec<model::HallBeat> {
        let contenders = self.contenders();
        let beats = contenders.values().filter_map(|it| match &*it.state.borrow() {
            ContenderState::Holding { summary, .. } => summary.borrow().clone(),
            ContenderState::Watching { .. } | ContenderState::TakingOver => None,
        });
        beats.collect()
    }

    /// Records the epochs that the beats of other instances report. A holder that can't reach the table but
    /// can reach its peers finds out in this way that it has lost its tenure.
    pub fn observe_epochs(&self, beats: &[model::HallBeat]) {
        let contenders = self.contenders();
        for beat in beats {
            if let Some(handle) = contenders.get(&beat.hall) {
                handle.highest_epoch.send_if_modified(|it| {
                    let newer = *it < beat.epoch;
                    *it = beat.epoch.max(*it);
                    newer
                });
            }
        }
    }

    /// Halls whose tenure this instance holds, including those that it is taking over.
    pub fn held_halls(&self) -> Vec<ids::HallName> {
        let contenders = self.contenders();
        let held = contenders.iter().filter(|(_, it)| {
            matches!(
                &*it.state.borrow(),
                ContenderState::Holding { .. } | ContenderState::TakingOver
            )
        });
        held.map(|(hall, _)| hall.clone()).collect()
    }

    /// Hands over every hall and acquires no more. Returns when all contenders have ended or timed out.
    pub async fn shutdown(&self) {
        self.inner.leaving.send_replace(true);
        let handles = std::mem::take(&mut *self.contenders());
        for handle in handles.values() {
            handle.leaving.send_replace(true);
        }
        for (hall, handle) in handles {
            if time::timeout(SHUTDOWN_LIMIT, handle.task).await.is_err() {
                tracing::warn!(hall, "hall was not handed over within the time limit");
            }
        }
    }

    fn contenders(&self) -> std::sync::MutexGuard<'_, BTreeMap<ids::HallName, ContenderHandle<B>>> {
        self.inner.contenders.lock().expect("no holder of the lock panics")
    }

    fn state(&self, hall: &str) -> Option<watch::Receiver<ContenderState<B>>> {
        self.contenders().get(hall).map(|it| it.state.clone())
    }

    /// Starts contenders for new halls of the configuration and stops those of removed halls.
    fn update_contenders(&self) {
        let config = Arc::clone(&self.inner.dependencies.config.borrow());
        let mut contenders = self.contenders();
        if *self.inner.leaving.borrow() || config.version == 0 {
            return;
        }
        for (hall, handle) in contenders.iter() {
            if config.hall(hall).is_none() {
                handle.leaving.send_replace(true);
            }
        }
        contenders.retain(|hall, _| config.hall(hall).is_some());
        for layout in &config.document.halls {
            if !contenders.contains_key(&layout.name) {
                contenders.insert(layout.name.clone(), self.start_contender(&layout.name));
            }
        }
    }

    fn start_contender(&self, hall: &ids::HallName) -> ContenderHandle<B> {
        let dependencies = &self.inner.dependencies;
        let (state, state_receiver) = watch::channel(ContenderState::Watching { holder: None });
        let (highest_epoch, epoch_receiver) = watch::channel(0);
        let (leaving, leaving_receiver) = watch::channel(false);
        let hand_over_requested = Arc::new(Notify::new());
        let task = tokio::spawn(contender::run(contender::ContenderParts {
            ports: dependencies.ports.clone(),
            options: dependencies.options.clone(),
            hall: hall.clone(),
            config: dependencies.config.clone(),
            members: dependencies.members.clone(),
            leaving: leaving_receiver,
            highest_epoch: epoch_receiver,
            reader: self.inner.reader.clone(),
            hand_over_requested: Arc::clone(&hand_over_requested),
            state,
        }));
        ContenderHandle { state: state_receiver, hand_over_requested, highest_epoch, leaving, task }
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
                service.update_contenders();
            }
            _ = leaving.changed() => return,
        }
    }
}

/// Address of the next holder of a hall, for a call whose scheduler on this instance stopped. `None` if it
/// isn't known within the time limit.
async fn successor<B: backend::HallBackend>(
    mut state: watch::Receiver<ContenderState<B>>,
) -> Option<ids::PeerAddress> {
    let relinquished = state.wait_for(|it| !matches!(it, ContenderState::Holding { .. }));
    match &*time::timeout(SUCCESSOR_WAIT, relinquished).await.ok()?.ok()? {
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
        self.state(hall).is_some_and(|it| !matches!(&*it.borrow(), ContenderState::Watching { .. }))
    }

    async fn answer<C: HallCall>(&self, call: C) -> Result<C::Reply, error::CallError> {
        let fault = |fault| error::CallError {
            step: C::PATH,
            peer: self.inner.dependencies.options.address.clone(),
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

/// HTTP status in the error of a local call that was refused.
const REFUSED_STATUS: u16 = 400;
/// How long a call waits for the end of a takeover.
const TAKEOVER_WAIT: Duration = Duration::from_secs(2);
/// How long a call waits for the address of the next holder after the scheduler stopped.
const SUCCESSOR_WAIT: Duration = Duration::from_secs(1);
/// How long a shutdown waits for the handover of one hall: the contender's own time limit and some slack.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(contender::LEAVE_TIMEOUT.as_secs() + 5);
