//! Names of worker leases. A new holder of the tenure reads the purpose of a lease from its name.

use almondpass_schema::ids;
use uuid::Uuid;

/// What a lease is used for. The epoch of the tenure is part of the lease name: two tenures that start
/// the same job would otherwise share a lease, and the roll-back of the earlier tenure would stop the
/// task of the later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeasePurpose {
    /// One task of one start of a job.
    Task {
        /// Job of the task.
        job: ids::JobId,
        /// Number of the start that reserved the lease.
        start: StartNumber,
        /// Number of the task within the job, from 0.
        rank: u32,
    },
    /// A slot for requests.
    Serve {
        /// Epoch of the tenure that reserved the lease.
        epoch: ids::Epoch,
        /// Makes the name unique within the epoch.
        id: Uuid,
    },
}

/// Identifies a start of a job across all tenures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartNumber {
    /// Epoch of the tenure that started the job.
    pub epoch: ids::Epoch,
    /// Number of starts of the job under this epoch, this one included.
    pub attempt: u32,
}

impl LeasePurpose {
    /// Epoch of the tenure that reserved the lease.
    pub fn epoch(&self) -> ids::Epoch {
        match self {
            LeasePurpose::Task { start, .. } => start.epoch,
            LeasePurpose::Serve { epoch, .. } => *epoch,
        }
    }

    /// Name of the lease: `job/<job>/<epoch>-<attempt>/<rank>` or `serve/<epoch>-<uuid>`.
    pub fn name(&self) -> ids::LeaseId {
        match self {
            LeasePurpose::Task { job, start, rank } => {
                format!("job/{job}/{}-{}/{rank}", start.epoch, start.attempt)
            }
            LeasePurpose::Serve { epoch, id } => format!("serve/{epoch}-{id}"),
        }
    }

    /// Parses a lease name; `None` if no hall scheduler made it.
    pub fn parse(name: &str) -> Option<LeasePurpose> {
        let mut parts = name.split('/');
        let purpose = match parts.next()? {
            "job" => parse_task(&mut parts)?,
            "serve" => parse_serve(&mut parts)?,
            _ => return None,
        };
        parts.next().is_none().then_some(purpose)
    }
}

fn parse_task<'a>(parts: &mut impl Iterator<Item = &'a str>) -> Option<LeasePurpose> {
    let job = parts.next()?.parse().ok()?;
    let (epoch, attempt) = parts.next()?.split_once('-')?;
    let start = StartNumber { epoch: epoch.parse().ok()?, attempt: attempt.parse().ok()? };
    let rank = parts.next()?.parse().ok()?;
    Some(LeasePurpose::Task { job, start, rank })
}

fn parse_serve<'a>(parts: &mut impl Iterator<Item = &'a str>) -> Option<LeasePurpose> {
    let (epoch, id) = parts.next()?.split_once('-')?;
    Some(LeasePurpose::Serve { epoch: epoch.parse().ok()?, id: id.parse().ok()? })
}
