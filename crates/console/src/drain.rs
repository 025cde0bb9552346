//! Drains: small changes of the document, made on top of whatever is newest.

use almondpass_config::proposal;
use almondpass_peer::link;
use almondpass_ports::table;
use almondpass_schema::{ids, model, time};
use uuid::Uuid;

use crate::console;
use crate::fault;

/// Conflicts with other operators that are answered by trying again on top of theirs.
const MAX_ATTEMPTS: usize = 5;

/// What is to become of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainChange {
    /// No new work.
    Begin,
    /// New work again.
    End,
}

/// Begins or ends a drain; one that stands as wished already changes nothing.
pub(crate) async fn change<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    operator: &str,
    request: &model::DrainRequest,
    change: DrainChange,
) -> Result<model::DrainListing, fault::ConsoleFault>
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let active = state.keeper.active();
    let mut base = active.version;
    let mut document = model::ConfigDocument::clone(&active.document);
    let id = Uuid::now_v7();
    let mut attempts = 1;
    loop {
        if !edit(&mut document, request, change, state.clock.now()) {
            return Ok(listing(base, &document));
        }
        let proposal = model::ConfigProposal {
            base,
            // Each attempt is another draft, and must not be taken for the one before it.
            proposal: Some(Uuid::new_v5(&id, &base.to_be_bytes())),
            operator: operator.to_owned(),
            note: note(request, change),
            document: document.clone(),
        };
        match state.keeper.propose(proposal).await {
            Ok(accepted) => return Ok(listing(accepted.version, &document)),
            Err(proposal::ProposalError::Conflict(conflict)) if attempts < MAX_ATTEMPTS => {
                attempts += 1;
                base = conflict.newest.version;
                document = conflict.document;
            }
            Err(error) => return Err(error.into()),
        }
    }
}

/// The drains of a version.
pub(crate) fn listing(
    version: ids::ConfigVersion,
    document: &model::ConfigDocument,
) -> model::DrainListing {
    model::DrainListing { version, drains: document.drains.clone() }
}

/// Whether the document had to change.
fn edit(
    document: &mut model::ConfigDocument,
    request: &model::DrainRequest,
    change: DrainChange,
    now: time::WallTime,
) -> bool {
    let is_it =
        |it: &model::DrainOrder| it.worker == request.worker && it.upstream == request.upstream;
    let drained = document.drains.iter().any(is_it);
    match change {
        DrainChange::Begin if !drained => document.drains.push(model::DrainOrder {
            worker: request.worker.clone(),
            upstream: request.upstream.clone(),
            since: now,
        }),
        DrainChange::End if drained => document.drains.retain(|it| !is_it(it)),
        DrainChange::Begin | DrainChange::End => return false,
    }
    true
}

fn note(request: &model::DrainRequest, change: DrainChange) -> String {
    let verb = match change {
        DrainChange::Begin => "drain",
        DrainChange::End => "undrain",
    };
    match (&request.upstream, &request.worker) {
        (Some(upstream), Some(worker)) => format!("{verb} {upstream} on {worker}"),
        (Some(upstream), None) => format!("{verb} {upstream} everywhere"),
        (None, Some(worker)) => format!("{verb} {worker}"),
        (None, None) => verb.to_owned(),
    }
}
