//! Calls on their way to the scheduler, each with where its answer goes.

use almondpass_peer::call;
use almondpass_schema::{ids, model};
use tokio::sync::oneshot;

/// A call with where its answer goes. A dropped sender means that this instance stopped
/// scheduling the hall before it answered.
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

/// A call that a seat can pass to its scheduler.
pub trait SeatCall: call::HallCall {
    /// The call as a request.
    fn request(self, reply: oneshot::Sender<Self::Reply>) -> HallRequest;

    /// The answer of an instance that does not schedule the hall.
    fn not_holder(holder: Option<ids::PeerAddress>) -> Self::Reply;
}

macro_rules! seat_calls {
    ($($call:ident => $reply:ident as $request:ident;)*) => {
        $(impl SeatCall for model::$call {
            fn request(self, reply: oneshot::Sender<Self::Reply>) -> HallRequest {
                HallRequest::$request(PendingCall { call: self, reply })
            }

            fn not_holder(holder: Option<ids::PeerAddress>) -> Self::Reply {
                model::$reply::NotHolder { holder }
            }
        })*
    };
}

seat_calls! {
    GrantRequest => GrantReply as Grant;
    GrantReturns => ReturnReply as Returns;
    GrantReport => ReturnReply as Report;
    JobSubmit => JobReply as Submit;
    JobQuery => JobReply as Query;
    JobCancel => JobReply as Cancel;
    HallQuery => HallReply as Picture;
}
