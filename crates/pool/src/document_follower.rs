//! Follows the operators' configuration document and evacuations: in the store, and through peers while
//! the store does not answer.

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

/// Longest time for which the store may hold a read open until a change occurs. It bounds how late the
/// instance notices a store that rejects it or a connection that has gone silent. The users allow 7 s
/// until what peers know is in force here.
const FEED_WAIT: Duration = Duration::from_millis(2_500);

/// Wait before the store is read again after a failure and the round of peers that follows it.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time allowed for a peer to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);

/// Peers asked after each failure of the store.
const PEERS_PER_ROUND: usize = 3;

/// Follows the document's table until the process ends.
pub(crate) async fn run<S: state::PoolAdapters>(state: Arc<state::PoolState<S>>) {
    let mut after = None;
    let mut next_peer = 0;
    let mut is_unavailable = false;
    loop {
        match read_feed(&state, after).await {
            Ok(rows) => {
                if is_unavailable {
                    tracing::info!("store answers again");
                }
                is_unavailable = false;
                state.set_store_unavailable(false);
                match after {
                    Some(_) => apply_table_changes(&state, &rows),
                    None => apply_table(&state, &rows),
                }
                after = Some(rows.version);
            }
            Err(row_feed::FeedFault::HistoryGone) => after = None,
            Err(row_feed::FeedFault::Call(error)) => {
                if !is_unavailable {
                    tracing::warn!(%error, "the store does not answer");
                }
                is_unavailable = true;
                state.set_store_unavailable(true);
                // The connection may be at fault: read the whole table once the store answers.
                after = None;
                ask_peers(&state, &mut next_peer).await;
                time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn read_feed<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    after: Option<ids::RowVersion>,
) -> Result<row_feed::FeedRows, row_feed::FeedFault> {
    let table = S::Reader::DOCUMENT_TABLE;
    match after {
        Some(after) => store_call::follow(state, table, after, FEED_WAIT).await,
        None => Ok(store_call::snapshot(state, table).await?),
    }
}

/// Applies a read of the whole table: the document if it is newer, and all evacuations.
pub(crate) fn apply_table<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    read: &row_feed::FeedRows,
) {
    apply_document(state, &read.rows);
    state
        .evacuations
        .replace(evacuation::view_from_table(read, S::Reader::evacuated_data_center), "store");
}

fn apply_table_changes<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    read: &row_feed::FeedRows,
) {
    apply_document(state, &read.rows);
    state.evacuations.apply_changes(
        read.rows.iter(),
        read.version,
        S::Reader::evacuated_data_center,
    );
}

fn apply_document<S: state::PoolAdapters>(state: &state::PoolState<S>, rows: &[row_feed::FeedRow]) {
    for row in rows.iter().filter(|it| it.key == S::Reader::DOCUMENT_KEY) {
        if let Some(value) = &row.value {
            install_document(state, value, "store");
        }
    }
}

fn install_document<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    source: &[u8],
    origin: &str,
) {
    match state.adapters.reader().document(source) {
        Ok(document) => {
            state.document.install_if_newer(document, origin);
        }
        Err(error) => tracing::error!(%error, origin, "configuration document cannot be parsed"),
    }
}

/// Asks the next few peers, by round robin, for a newer document and for their evacuations.
async fn ask_peers<S: state::PoolAdapters>(state: &state::PoolState<S>, next: &mut usize) {
    let peers = state.peer_addresses();
    let n_asked = PEERS_PER_ROUND.min(peers.len());
    let asked = (0..n_asked).map(|it| peers[(*next + it) % peers.len()].clone());
    let mut asking = tokio::task::JoinSet::new();
    for peer in asked {
        let link = state.adapters.peers().clone();
        let pull = model::DocumentPull { have: state.document.version() };
        asking.spawn(async move { link.call(&peer, pull, PEER_TIMEOUT).await });
    }
    *next = next.wrapping_add(n_asked);
    while let Some(answered) = asking.join_next().await {
        let Ok(Ok(pulled)) = answered else { continue };
        if let Some(source) = pulled.document {
            install_document(state, &source, "peer");
        }
        if let Some(view) = pulled.evacuations {
            state.evacuations.replace(view, "peer");
        }
    }
}
