//! The workers of a hall and the drain orders for them, read from the configuration.

use almondpass_config::active;
use almondpass_schema::{ids, model};

/// Names and kinds of a hall's workers, rack by rack. Empty for a hall that the configuration doesn't have.
pub(crate) fn workers(
    config: &active::ActiveConfig,
    hall: &str,
) -> Vec<(ids::WorkerId, model::WorkerKind)> {
    let Some(layout) = config.hall(hall) else { return Vec::new() };
    let mut workers = Vec::new();
    for rack in &layout.racks {
        let kinds = &config.document.worker_kinds;
        let Some(kind) = kinds.iter().find(|it| it.name == rack.kind) else { continue };
        for number in 1..=rack.workers {
            let name = format!("{hall}-{}-{number:02}", rack.name);
            workers.push((name, kind.clone()));
        }
    }
    workers
}

/// Whether a drain order covers the worker with all its upstreams.
pub(crate) fn is_worker_drained(config: &active::ActiveConfig, worker: &str) -> bool {
    let drains = config.document.drains.iter().filter(|it| it.upstream.is_none());
    drains.into_iter().any(|it| it.worker.as_deref() == Some(worker))
}

/// Whether a drain order covers the upstream on this worker or on every worker.
pub(crate) fn is_upstream_drained(
    config: &active::ActiveConfig,
    upstream: &str,
    worker: &str,
) -> bool {
    let drains = &config.document.drains;
    drains.iter().any(|it| {
        it.upstream.as_deref() == Some(upstream)
            && it.worker.as_deref().is_none_or(|drained| drained == worker)
    })
}
