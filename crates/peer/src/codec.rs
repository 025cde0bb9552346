//! MessagePack of the messages, with named fields so that a newer version may add some.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Deepest nesting that is read. Without a bound a small message of nested arrays would overflow
/// the stack and end the process.
const MAX_DEPTH: usize = 64;

/// Writes a message.
pub fn encode<M: Serialize>(message: &M) -> Result<Bytes, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(message).map(Bytes::from)
}

/// Reads a message; bytes behind it are an error.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, rmp_serde::decode::Error> {
    let mut reader = rmp_serde::Deserializer::new(bytes);
    reader.set_max_depth(MAX_DEPTH);
    let message = M::deserialize(&mut reader)?;
    let rest = reader.get_ref().len();
    if rest == 0 {
        return Ok(message);
    }
    Err(rmp_serde::decode::Error::Uncategorized(format!("expected the end, found {rest} bytes")))
}
