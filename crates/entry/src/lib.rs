//! The callers' HTTP interface: requests relayed to upstreams, jobs, limits and truthful outcomes.
//!
//! [`server::EntryServer`] serves connections; [`service::EntryService`] answers their requests.
//! Bodies stream between the caller and the upstream named in a grant; nothing is held whole
//! beyond [`body_head::REPLAY_BYTES`].

pub mod acceptor;
pub mod admission;
pub mod attempt_log;
pub mod body_head;
pub mod checked_request;
pub mod config_index;
pub mod deadline;
pub mod exchange;
pub mod grant_ledger;
pub mod hall_choice;
pub mod job_api;
pub mod job_reader;
pub mod job_submission;
pub mod key_index;
pub mod last_word;
pub mod meter;
pub mod problem;
pub mod refusal;
pub mod refused_request;
pub mod relay_body;
pub mod request_api;
pub mod request_head;
pub mod retry_budget;
pub mod server;
pub mod service;
pub mod settings;
pub mod shape_check;
pub mod slot_search;
pub mod stream_gate;
pub mod upload_body;
pub mod upstream_pool;
