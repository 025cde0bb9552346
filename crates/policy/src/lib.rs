//! The decision core: placement, guarantees, reclaim, gangs, adjacency and order, without I/O.
//!
//! Pure, synchronous and deterministic; time is passed in. A scheduler feeds it [`event::HallEvent`]s
//! and carries out the [`decision::Decision`]s of each turn. Baselines implement the same trait.

pub mod baseline_best_fit;
mod baseline_board;
pub mod baseline_first_fit;
mod baseline_room;
pub mod decision;
pub mod event;
pub mod scheduler;
pub mod work;
