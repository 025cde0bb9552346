//! Everything that the checks look at: what callers were told, and what the stand-in workers and
//! upstreams recorded.

use std::time::Duration;

use almondpass_schema::ids;
use almondpass_standin::{execution, run};
use tokio::time::Instant;

use crate::demo::ledger;

/// What happened in the run.
#[derive(Clone, Debug)]
pub struct DemoEvidence {
    /// What callers did and were told.
    pub told: ledger::LedgerState,
    /// What upstreams executed.
    pub executions: Vec<execution::RequestExecution>,
    /// What workers ran.
    pub runs: Vec<run::TaskRun>,
    /// Claimed guarantees: their jobs.
    pub claims: Vec<ids::JobId>,
    /// The reclaim bound of the configuration.
    pub reclaim_bound: Duration,
    /// The instance that was shut down.
    pub shutdown: Option<ShutdownWindow>,
    /// When an instance crashed.
    pub crashed_at: Option<Instant>,
    /// Term of a hall's scheduler.
    pub scheduler_term: Duration,
    /// Workers and upstreams that left.
    pub departures: Vec<UpstreamDeparture>,
    /// Accepted configurations.
    pub accepted: Vec<AcceptedVersion>,
    /// Which configuration was seen in force where.
    pub versions: Vec<VersionSample>,
    /// Fragmentation that the halls reported.
    pub fragmentation: Vec<FragmentationSample>,
}

/// From the signal to the end of an instance.
#[derive(Clone, Debug)]
pub struct ShutdownWindow {
    /// The instance.
    pub instance: ids::InstanceId,
    /// When it was told to end.
    pub told_at: Instant,
    /// When it had ended.
    pub left_at: Instant,
}

/// An upstream on a worker that takes no new work for a while.
#[derive(Clone, Debug)]
pub struct UpstreamDeparture {
    /// The worker.
    pub worker: ids::WorkerId,
    /// Why it takes none, for the report.
    pub cause: &'static str,
    /// Whether tasks of jobs are meant too.
    pub with_tasks: bool,
    /// Since when.
    pub since: Instant,
    /// Until when.
    pub until: Instant,
}

/// A configuration that was accepted.
#[derive(Clone, Debug)]
pub struct AcceptedVersion {
    /// Its number.
    pub version: ids::ConfigVersion,
    /// When the operator was told.
    pub at: Instant,
}

/// One look at the configuration of an instance.
#[derive(Clone, Debug)]
pub struct VersionSample {
    /// The instance.
    pub instance: ids::InstanceId,
    /// The version in force there.
    pub version: ids::ConfigVersion,
    /// When.
    pub at: Instant,
}

/// One look at a hall.
#[derive(Clone, Debug)]
pub struct FragmentationSample {
    /// The hall.
    pub hall: ids::HallName,
    /// Share of its free accelerators in no free run of the largest shape wanted.
    pub share: f64,
    /// Share of its accelerators that are in use.
    pub used: f64,
}
