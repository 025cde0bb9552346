//! Follows the operators' document and their evacuations: in the store, and at the peers while the store
//! gives none.

use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::link::PeerLink;
use almondpass_ports::row_feed;
use almondpass_schema::{ids, model};
use tokio::time;

use crate::document::PlatformReader;
use crate::evacuation;
use crate::state;
use crate::store_call;

/// How long the store may wait for a change. A store that turns this instance away, or a connection
/// that has gone silent, is noticed that much later at most; the users allow 7 s for what peers
/// know then.
const WAIT: Duration = Duration::from_millis(1_000);

/// Wait before the store is asked again after a failure, in which the peers are asked.
const AGAIN: Duration = Duration::from_millis(250);

/// For a peer to answer.
const PEER_DEADLINE: Duration = Duration::from_millis(300);

/// Peers asked after each failure of the store.
const PEERS_ASKED: usize = 3;

/// Follows until the process ends.
pub(crate) async fn run<S: state::PoolAdapters>(state: Arc<state::PoolState<S>>) {
    let mut after = None;
    let mut next_peer = 0;
    let mut is_away = false;
    loop {
        match follow(&state, after).await {
            Ok(rows) => {
                if is_away {
                    tracing::info!("the store answers again");
                }
                is_away = false;
                state.set_store_unavailable(false);
                match after {
                    Some(_) => take_changes(&state, &rows),
                    None => apply_table(&state, &rows),
                }
                after = Some(rows.version);
            }
            Err(row_feed::FeedFault::HistoryGone) => after = None,
            Err(row_feed::FeedFault::Call(error)) => {
                if !is_away {
                    tracing::warn!(%error, "the store does not answer");
                }
                is_away = true;
                state.set_store_unavailable(true);
                // The connection may be at fault; the table is read anew once it answers.
                after = None;
                ask_peers(&state, &mut next_peer).await;
                time::sleep(AGAIN).await;
            }
        }
    }
}

async fn follow<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    after: Option<ids::RowVersion>,
) -> Result<row_feed::FeedRows, row_feed::FeedFault> {
    let table = S::Reader::DOCUMENT_TABLE;
    match after {
        Some(after) => store_call::follow(state, table, after, WAIT).await,
        None => Ok(store_call::snapshot(state, table).await?),
    }
}

/// Takes in the whole table.
pub(crate) fn apply_table<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    read: &row_feed::FeedRows,
) {
    take_document(state, &read.rows);
    state
        .evacuations
        .replace(evacuation::view_from_table(read, S::Reader::evacuated_data_center), "store");
}

fn take_changes<S: state::PoolAdapters>(state: &state::PoolState<S>, read: &row_feed::FeedRows) {
    take_document(state, &read.rows);
    state.evacuations.apply_changes(
        read.rows.iter(),
        read.version,
        S::Reader::evacuated_data_center,
    );
}

fn take_document<S: state::PoolAdapters>(state: &state::PoolState<S>, rows: &[row_feed::FeedRow]) {
    for row in rows.iter().filter(|it| it.key == S::Reader::DOCUMENT_KEY) {
        if let Some(value) = &row.value {
            offer(state, value, "store");
        }
    }
}

fn offer<S: state::PoolAdapters>(state: &state::PoolState<S>, source: &[u8], origin: &str) {
    match state.adapters.reader().document(source) {
        Ok(document) => {
            state.document.install_if_newer(document, origin);
        }
        Err(error) => tracing::error!(%error, origin, "the configuration can't be read"),
    }
}

/// Asks a few peers in turn for a newer document.
async fn ask_peers<S: state::PoolAdapters>(state: &state::PoolState<S>, next: &mut usize) {
    let peers = state.peer_addresses();
    let n_asked = PEERS_ASKED.min(peers.len());
    let asked = (0..n_asked).map(|it| peers[(*next + it) % peers.len()].clone());
    let mut asking = tokio::task::JoinSet::new();
    for peer in asked {
        let link = state.adapters.peers().clone();
        let pull = model::DocumentPull { have: state.document.version() };
        asking.spawn(async move { link.call(&peer, pull, PEER_DEADLINE).await });
    }
    *next = next.wrapping_add(n_asked);
    while let Some(answered) = asking.join_next().await {
        let Ok(Ok(pulled)) = answered else { continue };
        if let Some(source) = pulled.document {
            offer(state, &source, "peer");
        }
        if let Some(view) = pulled.evacuations {
            state.evacuations.replace(view, "peer");
        }
    }
}
