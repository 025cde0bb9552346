//! Calls of halls that this very instance schedules, answered without a socket.

use almondpass_membership::local;
use almondpass_peer::{call, codec, error, link};
use almondpass_schema::ids;

use crate::wiring;

/// The halls of this instance.
#[derive(Clone)]
pub struct OwnHalls {
    /// The seats.
    pub halls: wiring::Halls,
    /// Its peer address, for errors.
    pub address: ids::PeerAddress,
}

impl local::LocalHalls for OwnHalls {
    fn holds(&self, hall: &ids::HallName) -> bool {
        self.halls.held_halls().contains(hall)
    }

    /// Goes through the same reader of messages as a call from another instance, so that both
    /// ways stay alike.
    async fn answer<C: call::HallCall>(&self, call: C) -> Result<C::Reply, error::CallError> {
        self.served(call).await.map_err(|fault| error::CallError {
            step: C::PATH,
            peer: self.address.clone(),
            fault,
        })
    }
}

impl OwnHalls {
    async fn served<C: call::HallCall>(&self, call: C) -> Result<C::Reply, error::CallFault> {
        let body = codec::encode(&call).map_err(|it| error::CallFault::NotSent(it.to_string()))?;
        match link::PeerService::serve(&self.halls, C::PATH, body).await {
            Some(Ok(reply)) => {
                codec::decode(&reply).map_err(|it| error::CallFault::Malformed(it.to_string()))
            }
            Some(Err(error::ServeFault::Unavailable(detail))) => {
                Err(error::CallFault::Refused { status: 503, detail })
            }
            Some(Err(error::ServeFault::Unreadable(detail))) => {
                Err(error::CallFault::Refused { status: 400, detail })
            }
            Some(Err(error::ServeFault::Silent)) => {
                Err(error::CallFault::NoAnswer("nothing".to_owned()))
            }
            None => {
                Err(error::CallFault::Refused { status: 404, detail: "no such call".to_owned() })
            }
        }
    }
}
