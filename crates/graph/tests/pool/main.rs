//! The core of a pool, driven by hand: what it orders, given what workers answer.

mod evacuations;
mod failures;
mod load;
mod loads;
mod objectives;
mod random_events;
mod reservations;
mod restarts;
mod rosters;
mod schedules;
mod slowness;
mod stops;
mod stuck_states;
mod support;
mod suspicions;
mod urgent;
mod waits;
mod worker_entries;
