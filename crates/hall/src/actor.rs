//! The scheduler of one hall: an actor that owns the scheduling policy and the hall's state. Its message
//! handlers never await a call; calls run in spawned tasks that send their result back as a message.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use almondpass_config::active;
use almondpass_membership::snapshot;
use almondpass_policy::{event, hall_policy::HallPolicy};
use almondpass_schema::{ids, model, time};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::Instant;
use xtra::{Actor, Context, Handler, Mailbox};

use crate::backend;
use crate::commit;
use crate::gang_task;
use crate::grant_table;
use crate::intent_task;
use crate::job_table;
use crate::lease_table;
use crate::options;
use crate::request;
use crate::reserve_task;
use crate::tenure;
use crate::worker_node;
use crate::worker_poll_task;

/// The scheduler of one hall. Runs only on the instance that holds the hall's tenure.
pub struct HallActor<B: backend::HallBackend> {
    pub(crate) ports: backend::HallPorts<B>,
    pub(crate) options: options::HallOptions,
    pub(crate) hall: ids::HallName,
    pub(crate) tenure: tenure::TenureWatch,
    pub(crate) config: Arc<active::ActiveConfig>,
    pub(crate) members: Arc<snapshot::MemberSnapshot>,
    pub(crate) policy: B::Policy,
    pub(crate) nodes: BTreeMap<ids::WorkerId, worker_node::WorkerNode>,
    pub(crate) leases: lease_table::LeaseTable,
    pub(crate) grants: grant_table::GrantTable,
    pub(crate) jobs: job_table::JobTable,
    pub(crate) intents: intent_task::IntentState,
    /// Events that are applied to the policy after a delay, such as a start withdrawn during an outage:
    /// if the policy saw it at once, it would make the same decision again in a tight loop.
    pub(crate) deferred_events: VecDeque<DeferredEvent>,
    /// Set once a newer tenure of the hall was observed; never reset.
    pub(crate) fenced: bool,
    /// Mirrors `fenced` to the contender, which then relinquishes the hall.
    pub(crate) fence_signal: watch::Sender<bool>,
    /// Reply channel of a handover: answered once no write and no start is in flight.
    pub(crate) freeze_reply: Option<oneshot::Sender<()>>,
    /// Set by a handover: the scheduler begins no new work.
    pub(crate) frozen: bool,
    pub(crate) summary: watch::Sender<Option<model::HallBeat>>,
    pub(crate) next_summary: Instant,
    pub(crate) next_lapse_check: Instant,
    /// Requests a round before the next timer is due.
    pub(crate) wake: Arc<Notify>,
    pub(crate) address: Option<xtra::WeakAddress<HallActor<B>>>,
}

/// An event that is applied to the policy at a later time.
pub(crate) struct DeferredEvent {
    pub(crate) at: Instant,
    pub(crate) event: event::HallEvent,
}

/// Message: runs one scheduling round and returns when the next one is due.
pub(crate) struct RunRound;
/// Message before a handover: begin no new work, and reply once no write and no start is in flight.
pub struct Freeze;
/// Message: stop the actor, because this instance no longer schedules the hall.
pub struct Resign;
/// Message: a configuration was put in force. Versions that aren't newer are ignored.
pub(crate) struct ConfigChanged(pub(crate) Arc<active::ActiveConfig>);
/// Message: the list of instances and workers changed.
pub(crate) struct MembersChanged(pub(crate) Arc<snapshot::MemberSnapshot>);

impl<B: backend::HallBackend> Actor for HallActor<B> {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), ()> {
        self.address = Some(mailbox.address());
        spawn_round_loop(mailbox.address(), Arc::clone(&self.wake));
        Ok(())
    }

    async fn stopped(self) {}
}

/// Starts a round whenever `wake` was notified or a timer is due. Notifications that arrive during a
/// round are merged into one further round.
fn spawn_round_loop<B: backend::HallBackend>(
    address: xtra::WeakAddress<HallActor<B>>,
    wake: Arc<Notify>,
) {
    tokio::spawn(async move {
        loop {
            let Ok(next) = address.send(RunRound).await else { return };
            tokio::select! {
                () = wake.notified() => {}
                () = tokio::time::sleep_until(next) => {}
            }
        }
    });
}

macro_rules! handlers {
    ($($message:ty => $method:ident -> $return:ty;)*) => {
        $(impl<B: backend::HallBackend> Handler<$message> for HallActor<B> {
            type Return = $return;

            async fn handle(&mut self, message: $message, _: &mut Context<Self>) -> $return {
                self.$method(message)
            }
        })*
    };
}

handlers! {
    RunRound => on_run_round -> Instant;
    Freeze => on_freeze -> oneshot::Receiver<()>;
    ConfigChanged => on_config_changed -> ();
    MembersChanged => on_members_changed -> ();
    request::HallRequest => on_request -> ();
    worker_poll_task::PollReport => on_poll_report -> ();
    gang_task::GangReserved => on_gang_reserved -> oneshot::Receiver<bool>;
    gang_task::GangStartReport => on_gang_start_report -> ();
    reserve_task::ReserveReport => on_reserve_report -> ();
    commit::CommitReport => on_committed -> ();
    intent_task::AppendReport => on_appended -> ();
    intent_task::SealReport => on_sealed -> ();
    intent_task::TrimReport => on_trimmed -> ();
}

impl<B: backend::HallBackend> Handler<Resign> for HallActor<B> {
    type Return = ();

    async fn handle(&mut self, _: Resign, context: &mut Context<Self>) {
        context.stop_self();
    }
}

impl<B: backend::HallBackend> HallActor<B> {
    /// Stops beginning work and makes the contender relinquish the hall. If only the scheduler stopped
    /// while the contender went on renewing the tenure, the hall would stay without a scheduler.
    pub(crate) fn fence(&mut self) {
        tracing::warn!(
            hall = self.hall,
            epoch = self.tenure.epoch(),
            "newer tenure observed, scheduler is fenced"
        );
        self.fenced = true;
        self.fence_signal.send_replace(true);
    }

    /// Whether the scheduler may begin new work.
    pub(crate) fn may_act(&self) -> bool {
        !self.frozen && !self.fenced && self.tenure.may_act()
    }

    /// Whether the tenure is certainly valid, so that no other instance can hold the hall.
    pub(crate) fn is_sole_holder(&self) -> bool {
        !self.fenced && self.tenure.status() == tenure::TenureStatus::Firm
    }

    pub(crate) fn wall_time(&self) -> time::WallTime {
        self.options.clock.now()
    }

    /// Applies an event to the policy, which decides on it in the next round.
    pub(crate) fn apply_event(&mut self, event: event::HallEvent) {
        let now = self.wall_time();
        self.policy.apply(event, now);
        self.wake.notify_one();
    }

    /// Applies an event to the policy in the first round after `at`.
    pub(crate) fn defer_event(&mut self, at: Instant, event: event::HallEvent) {
        self.deferred_events.push_back(DeferredEvent { at, event });
    }

    /// Address of this actor, to which spawned tasks send their results.
    pub(crate) fn own_address(&self) -> xtra::WeakAddress<HallActor<B>> {
        self.address.clone().expect("a started actor knows its address")
    }

    fn on_request(&mut self, request: request::HallRequest) {
        match request {
            request::HallRequest::Grant(it) => self.on_grant_request(it),
            request::HallRequest::Returns(it) => self.on_grant_returns(it),
            request::HallRequest::Report(it) => self.on_grant_report(it),
            request::HallRequest::Submit(it) => self.on_job_submit(it),
            request::HallRequest::Query(it) => self.on_job_query(it),
            request::HallRequest::Cancel(it) => self.on_job_cancel(it),
            request::HallRequest::Picture(it) => self.on_picture(it),
        }
    }

    fn on_picture(&mut self, pending: request::PendingCall<model::HallQuery>) {
        let picture = self.picture();
        let _ = pending.reply.send(model::HallReply::Picture { picture });
    }

    pub(crate) fn picture(&self) -> model::HallPicture {
        let mut picture = self.policy.picture(self.wall_time());
        picture.epoch = self.tenure.epoch();
        picture.holder = self.options.instance.clone();
        picture
    }

    fn on_freeze(&mut self, _: Freeze) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.frozen = true;
        self.freeze_reply = Some(sender);
        self.finish_freeze();
        receiver
    }

    /// Replies to a pending [`Freeze`] once no write and no start is in flight. The successor reads rows
    /// and leases, and would treat a gang in the middle of its start as incomplete.
    pub(crate) fn finish_freeze(&mut self) {
        if self.freeze_reply.is_none() {
            return;
        }
        let busy = self.jobs.is_busy() || self.intents.is_busy() || self.grants.is_starting();
        if busy {
            return;
        }
        if let Some(reply) = self.freeze_reply.take() {
            self.grants.drop_reply_senders();
            let _ = reply.send(());
        }
    }
}
