//! One instance on the platform: accepts job graphs from callers, and schedules them while it holds the
//! tenure of the pools. All durable state is in the platform's store.

pub mod call_times;
pub mod cancel;
pub mod control;
pub mod document;
pub mod evacuation;
mod feed_monitor;
pub mod fencing;
pub mod instance;
pub mod job_query;
pub mod peer_handler;
mod predecessor;
mod predecessor_list;
pub mod retry_time;
pub mod settings;
pub mod state;
pub mod store_call;
pub mod submit;
pub mod tenure_status;
pub mod tenure_watch;
pub mod worker_entry;

mod contender;
mod document_follower;
mod graph_follower;
mod hand_over;
mod leader;
mod load_view;
mod log_limit;
mod member_list;
mod missed_job;
mod nudge;
mod order_sender;
mod relay;
mod retention;
mod scheduling_loop;
mod session;
mod sessions;
mod spread;
mod store_outage;
mod store_probe;
mod supervisor;
mod tenure_legacy;
mod tenure_loader;
mod waiting_calls;
mod worker_follower;
mod writer;
