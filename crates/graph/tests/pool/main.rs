//! The core of a pool, driven by hand: what it orders, given what workers answer.

mod beliefs;
mod entries;
mod evacuations;
mod failures;
mod load;
mod loads;
mod objectives;
mod oddities;
mod reservations;
mod restarts;
mod rosters;
mod schedules;
mod slowness;
mod stops;
mod support;
mod suspicions;
mod urgent;
mod waits;
