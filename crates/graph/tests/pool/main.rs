//! Tests of the pool core: the orders that it issues, given events and the answers of workers.

mod early_polls;
mod evacuations;
mod failures;
mod forecasts;
mod full_pool;
mod late_runs;
mod load_simulation;
mod move_limits;
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
mod uneven_workers;
mod urgent;
mod waits;
mod worker_entries;
