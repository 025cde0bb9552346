//! Calls between the processes of almondpass, and to the platform: typed MessagePack messages over HTTP.

pub mod answer_times;
pub mod call;
pub mod client;
pub mod codec;
pub mod dispatch;
pub mod error;
pub mod http_client;
pub mod http_server;
pub mod key;
pub mod link;
pub mod server;

mod meter;
mod pool;
mod wire;
