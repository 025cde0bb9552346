//! Calls to a hall scheduler, each with the sender for its answer.

use almondpass_peer::call;
use almondpass_schema::{ids, model};
use tokio::sync::oneshot;

/// A call with the sender for its answer. If the sender is dropped, this instance stopped scheduling
/// the hall while the call was in progress.
pub struct PendingCall<C: call::PeerCall> {
    /// Call as received from the peer.
    pub call: C,
    /// Sender for the answer; the caller waits until it is used or dropped.
    pub reply: oneshot::Sender<C::Reply>,
}

/// Any call that a hall scheduler answers.
pub enum HallRequest {
    /// Requests a slot for a request.
    Grant(PendingCall<model::GrantRequest>),
    /// Returns slots with the outcomes of their requests.
    Returns(PendingCall<model::GrantReturns>),
    /// Reports the grants of earlier tenures that an entry still uses.
    Report(PendingCall<model::GrantReport>),
    /// Submits a job.
    Submit(PendingCall<model::JobSubmit>),
    /// Queries the state of a job.
    Query(PendingCall<model::JobQuery>),
    /// Cancels a job.
    Cancel(PendingCall<model::JobCancel>),
    /// Queries the state of the hall, for operators.
    Picture(PendingCall<model::HallQuery>),
}

impl<C: SchedulerCall> PendingCall<C> {
    /// Answers that this instance does not schedule the hall; the call had no effect.
    pub(crate) fn decline(self) {
        let _ = self.reply.send(C::not_holder(None));
    }
}

/// A call that an instance can pass to the scheduler of a hall.
pub trait SchedulerCall: call::HallCall {
    /// Whether a call that was in progress when its scheduler stopped may be sent to the next scheduler
    /// as if it had had no effect. A submission may not: the write of its row may be in progress, and
    /// an entry that continues with another hall and is refused there would answer "not run".
    const MAY_RESEND: bool;

    /// Wraps the call, with the sender for its answer, as a request to the scheduler.
    fn request(self, reply: oneshot::Sender<Self::Reply>) -> HallRequest;

    /// Answer of an instance that does not schedule the hall; `holder` is the address of the one that does.
    fn not_holder(holder: Option<ids::PeerAddress>) -> Self::Reply;
}

macro_rules! scheduler_calls {
    ($($call:ident => $reply:ident as $request:ident, may resend: $may_resend:literal;)*) => {
        $(impl SchedulerCall for model::$call {
            const MAY_RESEND: bool = $may_resend;

            fn request(self, reply: oneshot::Sender<Self::Reply>) -> HallRequest {
                HallRequest::$request(PendingCall { call: self, reply })
            }

            fn not_holder(holder: Option<ids::PeerAddress>) -> Self::Reply {
                model::$reply::NotHolder { holder }
            }
        })*
    };
}

scheduler_calls! {
    GrantRequest => GrantReply as Grant, may resend: true;
    GrantReturns => ReturnReply as Returns, may resend: true;
    GrantReport => ReturnReply as Report, may resend: true;
    JobSubmit => JobReply as Submit, may resend: false;
    JobQuery => JobReply as Query, may resend: true;
    JobCancel => JobReply as Cancel, may resend: true;
    HallQuery => HallReply as Picture, may resend: true;
}
