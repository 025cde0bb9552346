//! The calls: the path of each request message and the type of its reply.

use std::fmt;

use almondpass_schema::{ids, model};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A request message with a fixed path and reply type.
pub trait PeerCall:
    Clone + fmt::Debug + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// Path of the HTTP request, which includes the version of the message.
    const PATH: &'static str;
    /// Message type of a successful answer.
    type Reply: Clone + fmt::Debug + Serialize + DeserializeOwned + Send + Sync + 'static;
}

/// A call to the scheduler of one hall.
pub trait HallCall: PeerCall {
    /// The hall whose scheduler answers the call.
    fn hall(&self) -> &ids::HallName;

    /// `Some` if the reply says that another instance schedules the hall, with the address of that
    /// instance if it is known. `None` if the scheduler of the hall answered.
    fn redirect(reply: &Self::Reply) -> Option<Option<&ids::PeerAddress>>;
}

macro_rules! calls {
    ($(#[$doc:meta])* $paths:ident: $($path:literal $call:ident => $reply:ident;)*) => {
        $(#[$doc])*
        pub const $paths: &[&str] = &[$($path),*];

        $(impl PeerCall for model::$call {
            const PATH: &'static str = $path;
            type Reply = model::$reply;
        })*
    };
}

macro_rules! hall_calls {
    ($($call:ident => $reply:ident;)*) => {
        $(impl HallCall for model::$call {
            fn hall(&self) -> &ids::HallName {
                &self.hall
            }

            fn redirect(reply: &Self::Reply) -> Option<Option<&ids::PeerAddress>> {
                match reply {
                    model::$reply::NotHolder { holder } => Some(holder.as_ref()),
                    _ => None,
                }
            }
        })*
    };
}

calls! {
    /// Paths of the platform's interfaces, as docs/PLATFORM.md assumes them.
    PLATFORM_PATHS:
    "/v1/table/transact" TableTransaction => TableOutcome;
    "/v1/table/get" TableGet => TableRows;
    "/v1/table/scan" TableScan => TableRows;
    "/v1/objects/put" ObjectPut => ObjectPutOutcome;
    "/v1/objects/get" ObjectGet => ObjectFound;
    "/v1/objects/list" ObjectList => ObjectKeys;
    "/v1/instances" InstanceQuery => InstanceListing;
    "/v1/worker/reserve" LeaseReserve => LeaseReserved;
    "/v1/worker/start" TaskStart => TaskStarted;
    "/v1/worker/renew" LeaseRenew => LeaseListing;
    "/v1/worker/signal" TaskSignal => Ack;
    "/v1/worker/release" LeaseRelease => Ack;
    "/v1/worker/leases" LeaseList => LeaseListing;
}

calls! {
    /// Paths of the calls between instances.
    INSTANCE_PATHS:
    "/v1/peer/beat" PeerBeat => PeerBeat;
    "/v1/peer/config" ConfigFetch => ConfigFetched;
    "/v1/peer/hand-over" HandOver => Ack;
    "/v1/peer/document" DocumentPull => DocumentPulled;
    "/v1/pool/nudge" GraphNudge => NudgeTaken;
    "/v1/pool/graph" GraphQuery => GraphAnswer;
    "/v1/pool/submit" GraphSubmit => GraphSubmitted;
    "/v1/pool/cancel" GraphCancel => GraphCancelled;
    "/v1/pool/look" GraphLook => GraphLooked;
    "/v1/pool/backlog" BacklogQuery => BacklogAnswer;
    "/v1/pool/tenure" TenureQuery => TenureAnswer;
    "/v1/hall/grant" GrantRequest => GrantReply;
    "/v1/hall/returns" GrantReturns => ReturnReply;
    "/v1/hall/report" GrantReport => ReturnReply;
    "/v1/hall/submit" JobSubmit => JobReply;
    "/v1/hall/job" JobQuery => JobReply;
    "/v1/hall/cancel" JobCancel => JobReply;
    "/v1/hall/picture" HallQuery => HallReply;
}

hall_calls! {
    GrantRequest => GrantReply;
    GrantReturns => ReturnReply;
    GrantReport => ReturnReply;
    JobSubmit => JobReply;
    JobQuery => JobReply;
    JobCancel => JobReply;
    HallQuery => HallReply;
}
