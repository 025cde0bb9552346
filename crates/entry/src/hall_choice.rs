//! Which hall is asked for a slot.

use std::time::Duration;

use almondpass_membership::home;
use almondpass_schema::{ids, model};
use rand::RngExt;

/// Wait that a hall in another data centre must save to be preferred.
const DISTANCE: Duration = Duration::from_millis(5);
/// Wait assumed of a hall of which nothing is known.
const UNKNOWN_WAIT: Duration = Duration::from_secs(60);
/// Summaries lag by a beat; without some noise every entry would send everything to whichever
/// hall looked best a second ago, and the halls would fill in turns.
const NOISE: Duration = Duration::from_millis(4);

/// Halls that have `upstream`, in the order of the configuration.
pub fn candidates<'a>(
    document: &'a model::ConfigDocument,
    upstream: &str,
) -> Vec<&'a model::HallLayout> {
    let Some(spec) = document.upstreams.iter().find(|it| it.name == upstream) else {
        return Vec::new();
    };
    document.halls.iter().filter(|it| spec.halls.contains(&it.name)).collect()
}

/// The only hall that may run work with this key: every entry must pick the same one, for its
/// intent log is what knows the key.
pub fn home(
    document: &model::ConfigDocument,
    upstream: &str,
    key: &ids::IdempotencyKey,
) -> Option<ids::HallName> {
    let spec = document.upstreams.iter().find(|it| it.name == upstream)?;
    home::home_hall(spec, key).map(str::to_owned)
}

/// A hall as a place for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HallOption {
    /// The hall.
    pub hall: ids::HallName,
    /// Its expected wait, if it said so lately.
    pub wait: Option<Duration>,
}

/// Halls for repeatable work, best first: least expected wait, nearest among equals.
pub fn ranked(
    document: &model::ConfigDocument,
    upstream: &str,
    summaries: &[model::HallBeat],
    data_center: &str,
) -> Vec<HallOption> {
    let mut options = candidates(document, upstream)
        .into_iter()
        .map(|hall| {
            let beat = summaries.iter().find(|it| it.hall == hall.name);
            let wait = beat.map(|it| it.wait.0);
            let distance = if hall.data_center == data_center { Duration::ZERO } else { DISTANCE };
            let noise = NOISE.mul_f64(rand::rng().random());
            let cost = wait.unwrap_or(UNKNOWN_WAIT) + distance + noise;
            (cost, HallOption { hall: hall.name.clone(), wait })
        })
        .collect::<Vec<_>>();
    options.sort_by_key(|(cost, _)| *cost);
    options.into_iter().map(|(_, it)| it).collect()
}

/// Halls for a job, best first: those whose longest free run takes a whole task's accelerators,
/// then the shortest queues.
pub fn ranked_for_job(
    document: &model::ConfigDocument,
    upstream: &str,
    submission: &model::JobSubmission,
    summaries: &[model::HallBeat],
) -> Vec<ids::HallName> {
    let wanted = submission.accelerators.saturating_mul(submission.tasks);
    let mut halls = candidates(document, upstream);
    halls.sort_by_key(|hall| {
        let beat = summaries.iter().find(|it| it.hall == hall.name);
        let Some(beat) = beat else {
            return (2, 0, 0);
        };
        let crowded = u8::from(beat.longest_run < wanted);
        (crowded, beat.queued, u32::MAX - beat.free_accelerators)
    });
    halls.into_iter().map(|it| it.name.clone()).collect()
}
