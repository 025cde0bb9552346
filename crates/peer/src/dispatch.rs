//! Decodes a call for a [`link::PeerService`], runs its handler and encodes the reply.
//!
//! ```
//! use almondpass_peer::call::PeerCall;
//! use almondpass_peer::{dispatch, link};
//! use almondpass_schema::model;
//! use bytes::Bytes;
//!
//! #[derive(Clone)]
//! struct HandOverService;
//!
//! impl link::PeerService for HandOverService {
//!     async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
//!         match path {
//!             model::HandOver::PATH => {
//!                 dispatch::answer(&body, async |_: model::HandOver| model::Ack {}).await
//!             }
//!             _ => None,
//!         }
//!     }
//! }
//! ```

use std::future::Future;

use crate::call;
use crate::codec;
use crate::error;
use crate::link;

/// Decodes the call in `body`, runs `handler` and encodes its reply. The result is always `Some`.
pub async fn answer<C, H, F>(body: &[u8], handler: H) -> Option<link::ServedReply>
where
    C: call::PeerCall,
    H: FnOnce(C) -> F,
    F: Future<Output = C::Reply>,
{
    try_answer(body, async |call| Ok(handler(call).await)).await
}

/// Like [`answer`], for a handler that can return an error.
pub async fn try_answer<C, H, F>(body: &[u8], handler: H) -> Option<link::ServedReply>
where
    C: call::PeerCall,
    H: FnOnce(C) -> F,
    F: Future<Output = Result<C::Reply, error::ServeFault>>,
{
    let call = match codec::decode::<C>(body) {
        Ok(call) => call,
        Err(error) => return Some(Err(error::ServeFault::Unreadable(error.to_string()))),
    };
    Some(match handler(call).await {
        Ok(reply) => codec::encode(&reply)
            .map_err(|error| error::ServeFault::Unavailable(format!("an answer that {error}"))),
        Err(fault) => Err(fault),
    })
}
