//! Calls between our own processes: MessagePack over HTTP, typed by message.

pub mod call;
pub mod codec;
pub mod dispatch;
pub mod error;
pub mod link;
