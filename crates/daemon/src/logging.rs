//! Logs: one JSON object a line, with the fields of the span it stands in.

use anyhow::Context;
use tracing_subscriber::EnvFilter;

/// Filter where the settings name none.
const DEFAULT_FILTER: &str = "info";

/// Writes logs to standard error from now on. A second call changes nothing, since several
/// instances may run in one process.
pub fn start(filter: Option<&str>) -> anyhow::Result<()> {
    let filter = filter.unwrap_or(DEFAULT_FILTER);
    let filter = EnvFilter::try_new(filter)
        .with_context(|| format!("settings: log: expected a log filter, found {filter:?}"))?;
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(true)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .try_init();
    Ok(())
}
