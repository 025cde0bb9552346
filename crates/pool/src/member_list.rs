//! How instances find each other: a row of each in the store.

use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::codec;
use almondpass_ports::keys;
use almondpass_schema::model;
use tokio::time;

use crate::state;
use crate::store_call;
use crate::writer;

/// The rows are read this often. Peers are needed while the store is away, and those that were
/// known before will do.
const READ_INTERVAL: Duration = Duration::from_secs(6);

/// The first reads come sooner: all instances start at about the same time.
const FIRST_INTERVAL: Duration = Duration::from_secs(1);

/// Reads at the shorter interval.
const N_FIRST: u32 = 3;

/// Writes the own row, then reads all again and again.
pub(crate) async fn run<S: state::PoolSite>(state: Arc<state::PoolState<S>>) {
    while !write_own(&state).await {
        time::sleep(FIRST_INTERVAL).await;
    }
    let mut n_reads = 0;
    loop {
        match store_call::snapshot(&state, keys::INSTANCES).await {
            Ok(rows) => {
                let rows = rows.rows.iter().filter_map(|it| it.value.as_ref());
                let rows = rows.filter_map(|it| codec::decode::<model::InstanceRow>(it).ok());
                state.set_members(rows.collect());
            }
            Err(error) => tracing::debug!(%error, "instances can't be read"),
        }
        n_reads += 1;
        let interval = if n_reads < N_FIRST { FIRST_INTERVAL } else { READ_INTERVAL };
        time::sleep(interval).await;
    }
}

async fn write_own<S: state::PoolSite>(state: &state::PoolState<S>) -> bool {
    let settings = &state.settings;
    // One row for each address, so that a process started again replaces its former row.
    let row = model::InstanceRow {
        instance: settings.peer_address.clone(),
        address: settings.peer_address.clone(),
        strength_milli: settings.strength_milli,
    };
    let write = writer::write_of(keys::instance(&settings.peer_address), &row);
    let transaction = model::TableTransaction { conditions: Vec::new(), writes: vec![write] };
    let written = store_call::transact(state, transaction).await;
    if let Err(error) = &written {
        tracing::debug!(%error, "the own row can't be written");
    }
    written.is_ok()
}
