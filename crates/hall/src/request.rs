//! Calls on their way to the scheduler, each with where its answer goes.

use almondpass_peer::call;
use almondpass_schema::{ids, model};
use tokio::sync::oneshot;

/// A call with where its answer goes. A dropped sender means that this instance stopped
/// scheduling the hall while the call was under way.
pub struct PendingCall<C: call::PeerCall> {
    /// The call.
    pub call: C,
    /// Where the answer goes.
    pub reply: oneshot::Sender<C::Reply>,
}

/// Any call that a hall scheduler answers.
pub enum HallRequest {
    /// A slot for a request.
    Grant(PendingCall<model::GrantRequest>),
    /// Slots given back.
    Returns(PendingCall<model::GrantReturns>),
    /// Slots of an earlier tenure that are in use.
    Report(PendingCall<model::GrantReport>),
    /// A job.
    Submit(PendingCall<model::JobSubmit>),
    /// How a job stands.
    Query(PendingCall<model::JobQuery>),
    /// No more of a job.
    Cancel(PendingCall<model::JobCancel>),
    /// A picture for operators.
    Picture(PendingCall<model::HallQuery>),
}

impl<C: SchedulerCall> PendingCall<C> {
    /// Says that this instance does not schedule the hall; the call had no effect.
    pub(crate) fn decline(self) {
        let _ = self.reply.send(C::not_holder(None));
    }
}

/// A call that a seat can pass to its scheduler.
pub trait SchedulerCall: call::HallCall {
    /// Whether a call that was under way when its scheduler stopped may be sent to the next one as
    /// if it had had no effect. A submission may not: its row may be on its way to the table, and
    /// an entry that goes on to another hall and is refused there would say "not run".
    const MAY_RESEND: bool;

    /// The call as a request.
    fn request(self, reply: oneshot::Sender<Self::Reply>) -> HallRequest;

    /// The answer of an instance that does not schedule the hall.
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
