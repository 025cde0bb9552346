//! The decision core: placement, guarantees, reclaim, gangs, adjacency and order, without I/O.
//!
//! Pure, synchronous and deterministic; time is passed in. A scheduler feeds it [`event::HallEvent`]s
//! and carries out the [`decision::Decision`]s of each turn. Baselines implement the same trait.

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
