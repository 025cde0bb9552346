//! The platform's store as the rest of the system uses it: with deadlines, retries, a circuit, our
//! cap on writes, grouped commits and shared reads.

use std::sync::Arc;
use std::time::Duration;

use crate::circuit;
use crate::group;
use crate::guard;
use crate::objects;
use crate::retry;
use crate::store_objects;
use crate::store_table;
use crate::table;
use crate::write_cap;

/// How the store is used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreConfig {
    /// For one attempt of one call.
    pub deadline: Duration,
    /// For a call with all its retries; the last attempt may run over by its deadline.
    pub patience: Duration,
    /// Our cap on writes to the table and the object store together.
    pub writes_per_second: u32,
    /// When calls fail at once.
    pub circuit: circuit::CircuitConfig,
    /// How failed calls are made again.
    pub retry: retry::RetryConfig,
    /// How transactions are grouped.
    pub group: group::GroupConfig,
}

impl Default for StoreConfig {
    fn default() -> StoreConfig {
        StoreConfig {
            deadline: Duration::from_secs(1),
            patience: Duration::from_secs(3),
            writes_per_second: 60,
            circuit: circuit::CircuitConfig::default(),
            retry: retry::RetryConfig::default(),
            group: group::GroupConfig::default(),
        }
    }
}

/// Wraps both services; they share the cap on writes. Must be called within a tokio runtime.
pub fn open<T: table::TableService, O: objects::ObjectStore>(
    table: T,
    objects: O,
    config: StoreConfig,
) -> (store_table::StoreTable<T>, store_objects::StoreObjects<O>) {
    let cap = Arc::new(write_cap::WriteCap::new(config.writes_per_second));
    let guard = |service| {
        Arc::new(guard::CallGuard::new(service, config.deadline, config.circuit, config.retry))
    };
    let table = store_table::StoreTable::new(table, guard("table"), Arc::clone(&cap), config);
    let objects = store_objects::StoreObjects::new(objects, guard("objects"), cap, config);
    (table, objects)
}
