//! Which hall is asked for a slot.

use std::time::Duration;

use almondpass_membership::home;
use almondpass_policy::homes;
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

/// How soon a hall could start a job, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum JobRoom {
    Free,
    AtHome,
    Crowded,
    NotHeardOf,
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

/// Halls for a job, best first: those whose longest free run takes the whole gang, then those in
/// which a guaranteed shape that holds it is at home, then the shortest queues. Elsewhere a gang
/// would wait behind others although its account has a guarantee that it could claim.
pub fn ranked_for_job<'a>(
    document: &model::ConfigDocument,
    upstream: &str,
    submission: &model::JobSubmission,
    summaries: &[model::HallBeat],
    homes: impl Iterator<Item = &'a homes::Home>,
) -> Vec<ids::HallName> {
    let wanted = submission.accelerators.saturating_mul(submission.tasks);
    let homes = homes.filter(|it| wanted <= it.accelerators).collect::<Vec<_>>();
    let mut halls = candidates(document, upstream);
    halls.sort_by_key(|hall| {
        let beat = summaries.iter().find(|it| it.hall == hall.name);
        let Some(beat) = beat else {
            return (JobRoom::NotHeardOf, 0, 0);
        };
        let room = if wanted <= beat.longest_run {
            JobRoom::Free
        } else if homes.iter().any(|it| it.hall == hall.name) {
            JobRoom::AtHome
        } else {
            JobRoom::Crowded
        };
        (room, beat.queued, u32::MAX - beat.free_accelerators)
    });
    halls.into_iter().map(|it| it.name.clone()).collect()
}
