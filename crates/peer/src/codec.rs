//! MessagePack encoding of messages. Fields are written with their names, so that a newer version can
//! add fields.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Deepest nesting that the decoder accepts. Without a limit, a small message of nested arrays would
/// overflow the stack and abort the process.
const MAX_DEPTH: usize = 64;

/// Encodes `message` with field names. Fails if its `Serialize` implementation does.
pub fn encode<M: Serialize>(message: &M) -> Result<Bytes, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(message).map(Bytes::from)
}

/// Decodes a message. Bytes after the end of the message and nesting beyond the depth limit are errors.
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
