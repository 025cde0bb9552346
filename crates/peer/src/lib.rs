//! Calls between our own processes: MessagePack over HTTP, typed by message.

pub mod call;
pub mod error;
pub mod link;
