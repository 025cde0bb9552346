//! The scheduling policy of a hall: placement, guarantees, reclaim, gangs, adjacency and order.
//!
//! The crate does no I/O. It is synchronous and deterministic; the caller passes the time in. A hall
//! scheduler applies [`event::HallEvent`]s and carries out the [`decision::Decision`]s of each
//! scheduling round. The baseline policies implement the same trait, [`hall_policy::HallPolicy`].

mod account_usage;
mod admission;
pub mod baseline_best_fit;
mod baseline_capacity;
pub mod baseline_first_fit;
mod baseline_state;
mod blocks;
mod catalog;
mod claims;
pub mod core;
mod deadlines;
pub mod decision;
mod dispatch;
mod end_times;
mod estimates;
pub mod event;
mod event_handlers;
mod gang_reservations;
mod guarantee;
pub mod hall_policy;
mod headroom;
mod health;
mod home_placement;
mod home_relocation;
mod home_reports;
pub mod homes;
pub mod invariants;
mod item;
mod item_table;
mod ledger;
mod lifecycle;
mod parameters;
mod picture;
mod placement;
mod placement_rules;
mod probing;
mod queue;
mod reasons;
mod reclaim;
mod reservations;
mod timers;
mod topology;
mod urgent_placement;
pub mod work;
