//! Tests of the pool core: the orders that it issues, given events and the answers of workers.

mod evacuations;
mod failures;
mod fair_share;
mod full_pool;
mod load_simulation;
mod objectives;
mod random_events;
mod reservations;
mod restarts;
mod rosters;
mod schedules;
mod slowness;
mod speeds;
mod start_windows;
mod stops;
mod stuck_states;
mod support;
mod suspicions;
mod urgent;
mod waits;
mod worker_entries;
