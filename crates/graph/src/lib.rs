//! Decisions about job graphs on a pool of workers, pure: events come in, orders go out, time is an
//! argument. Whoever holds the tenure of the pool keeps one [`core::PoolCore`] and carries its
//! orders out.

pub mod ack_window;
pub mod candidate;
pub mod catalog;
pub mod core;
pub mod failed_placement;
pub mod graph_check;
pub mod headroom;
pub mod health;
pub mod intake;
pub mod job;
pub mod lease_clock;
pub mod loss_history;
pub mod losses;
pub mod objective;
pub mod order;
pub mod pace;
pub mod placement;
pub mod preemption_plan;
pub mod progress;
pub mod prospect;
pub mod reservation;
pub mod resources;
pub mod retention;
pub mod roster;
pub mod run_times;
pub mod save_queue;
pub mod saving;
pub mod suspicion;
pub mod task_key;
pub mod timing;
pub mod wait_timer;
pub mod waiting;
pub mod worker;

mod answers;
mod avoidance;
mod dispatch;
mod exclusion_limit;
mod exclusion_reason;
mod isolation;
mod maintenance;
mod overdue;
mod placement_request;
mod poll_answers;
mod pool_usage;
mod preemption;
mod slow_workers;
mod stalled;
mod takeover;
mod task_ends;
mod unsaved_suspicions;
mod worker_restarts;
