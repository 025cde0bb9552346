//! Names of worker leases, from which a new holder tells what a lease is for.

use almondpass_schema::ids;
use uuid::Uuid;

/// What a lease is for. The tenure is part of the name: two tenures that start the same job would
/// otherwise share a lease, and the older one's roll-back would stop the newer one's task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeasePurpose {
    /// One task of one start of a job.
    Task {
        /// The job.
        job: ids::JobId,
        /// The start.
        start: StartNumber,
        /// Number of the task.
        rank: u32,
    },
    /// A slot for requests.
    Serve {
        /// Tenure that reserved it.
        epoch: ids::Epoch,
        /// Tells it from others.
        id: Uuid,
    },
}

/// Numbers the starts of a job over all tenures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartNumber {
    /// Tenure that started it.
    pub epoch: ids::Epoch,
    /// Starts so far.
    pub attempt: u32,
}

impl LeasePurpose {
    /// Tenure that reserved the lease.
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

    /// Reads a name; `None` where the lease is none of ours.
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
