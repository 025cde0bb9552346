//! Bytes that travel as one MessagePack binary instead of an array of numbers.

/// Opaque bytes.
pub type Blob = serde_bytes::ByteBuf;
