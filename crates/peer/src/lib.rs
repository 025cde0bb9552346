//! Calls between the processes of almondpass, and to the platform: typed MessagePack messages over HTTP.

pub mod answer_times;
pub mod body_reader;
pub mod call;
pub mod client;
pub mod codec;
pub mod connection_slot;
pub mod connection_table;
pub mod dispatch;
pub mod error;
pub mod http_client;
pub mod http_server;
pub mod key;
pub mod link;
pub mod log_limit;
pub mod server;
pub mod stall_guard;

mod meter;
mod pool;
mod table_state;
mod wire;
