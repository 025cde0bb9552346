//! Client of the platform's store that the rest of the system uses, with deadlines, retries, a circuit
//! breaker, a cap on writes, group commit and coalesced reads.

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

/// Time limits, rates and policies of the store client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreConfig {
    /// Time limit of one attempt of a call.
    pub deadline: Duration,
    /// Time limit of a call with all its retries. The last attempt starts before the limit, so the call
    /// may exceed the limit by `deadline`.
    pub call_timeout: Duration,
    /// This client's cap on writes to the table and the object store together.
    pub writes_per_second: u32,
    /// When calls fail without an attempt because the service is down.
    pub circuit: circuit::CircuitConfig,
    /// How failed calls are retried.
    pub retry: retry::RetryConfig,
    /// How transactions are merged into groups.
    pub group: group::GroupConfig,
}

impl Default for StoreConfig {
    fn default() -> StoreConfig {
        StoreConfig {
            deadline: Duration::from_secs(1),
            call_timeout: Duration::from_secs(3),
            writes_per_second: 60,
            circuit: circuit::CircuitConfig::default(),
            retry: retry::RetryConfig::default(),
            group: group::GroupConfig::default(),
        }
    }
}

/// Creates the clients of both services, which share the cap on writes. Must be called within a tokio
/// runtime.
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
