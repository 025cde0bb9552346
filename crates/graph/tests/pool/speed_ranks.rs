//! Placement by the cautious estimate of the speeds of workers.

use std::sync::Arc;

use almondpass_graph::{candidate, placement, resources, speed_spread, task_key, worker_speed};

use crate::support;

/// What is known of a worker's speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    Fast,
    Usual,
    Slow,
    Unknown,
}

/// Spread of workers of speeds 0.6, 1.0 and 1.6.
const SPREAD: speed_spread::SpeedSpread =
    speed_spread::SpeedSpread { between: 0.16, within: 0.03, n_sampled: 40 };

fn rank(known: Known, n_runs: usize) -> speed_spread::SpeedRank {
    let factor = match known {
        Known::Fast => Some(1.6),
        Known::Usual => Some(1.0),
        Known::Slow => Some(0.6),
        Known::Unknown => None,
    };
    let mut speed = worker_speed::WorkerSpeed::default();
    factor.iter().for_each(|it| (0..n_runs).for_each(|_| speed.observe(*it)));
    speed_spread::SpeedRank::of(&speed, Some(&SPREAD))
}

fn candidate(rack: usize, known: Known) -> candidate::WorkerCandidate {
    let profile = candidate::WorkerProfile {
        capacity: support::CAPACITY,
        ..candidate::WorkerProfile::default()
    };
    candidate::WorkerCandidate {
        profile: Arc::new(profile),
        rack,
        upstream: 0,
        used: resources::Resources::default(),
        free: support::CAPACITY,
        n_runs: 0,
        failed_lately: false,
        speed: rank(known, 2),
        is_exclusive: false,
        claims: Vec::new(),
        reserved: Vec::new(),
    }
}

fn request(n_tasks: u32, is_urgent: bool) -> candidate::PlacementRequest<'static> {
    candidate::PlacementRequest {
        unit: task_key::UnitKey { graph: 1, step: 0, task: None },
        upstream: 0,
        per_task: support::CAPACITY,
        n_tasks,
        same_rack: false,
        rack_number: None,
        label: None,
        per_worker: 0,
        n_present: Vec::new(),
        avoids: Vec::new(),
        planned: Vec::new(),
        prefers_fast: is_urgent,
        prefers_slow: false,
        tells_speed: true,
        keeps_empty: 0,
        allows_remote: false,
        takes_reserved: false,
        may_crash_worker: false,
        is_isolated: false,
        may_be_isolated: false,
    }
}

/// Places a unit on racks of workers; returns what was known of the chosen workers.
fn chosen(racks: &[&[(Known, usize)]], request: &candidate::PlacementRequest) -> Vec<Known> {
    let known = racks.iter().enumerate().flat_map(|(rack, it)| {
        it.iter().flat_map(move |(known, n)| std::iter::repeat_n((rack, *known), *n))
    });
    let known = known.collect::<Vec<_>>();
    let mut candidates = known.iter().map(|(rack, it)| candidate(*rack, *it)).collect::<Vec<_>>();
    let places = placement::place(&mut candidates, request).expect("places");
    places.into_iter().map(|it| known[it].1).collect()
}

#[test]
fn known_workers_rank_before_unknown_and_these_before_slow_ones() {
    let ranks = [Known::Fast, Known::Usual, Known::Unknown, Known::Slow].map(|it| rank(it, 2));
    assert!(ranks.is_sorted_by(|one, other| one.cautious > other.cautious), "{ranks:?}");
}

/// Guards against gangs of fast and unknown members, which are as slow as the slowest of the unknown ones.
#[test]
fn a_gang_takes_a_rack_of_usual_workers_rather_than_fast_and_unknown_ones() {
    let racks: [&[_]; 2] = [&[(Known::Fast, 3), (Known::Unknown, 2)], &[(Known::Usual, 5)]];
    let request = candidate::PlacementRequest { same_rack: true, ..request(5, true) };
    assert_eq!(chosen(&racks, &request), [Known::Usual; 5]);
}

#[test]
fn a_gang_takes_the_rack_with_the_fewest_unknown_workers() {
    let racks: [&[_]; 2] =
        [&[(Known::Usual, 2), (Known::Unknown, 3)], &[(Known::Usual, 4), (Known::Unknown, 8)]];
    let request = candidate::PlacementRequest { same_rack: true, ..request(5, true) };
    let n_unknown = chosen(&racks, &request).iter().filter(|it| **it == Known::Unknown).count();
    assert_eq!(n_unknown, 1);
}

#[test]
fn a_gang_across_racks_leaves_out_unknown_workers() {
    let racks: [&[_]; 2] =
        [&[(Known::Unknown, 4), (Known::Fast, 2)], &[(Known::Slow, 2), (Known::Usual, 4)]];
    let chosen = chosen(&racks, &request(5, true));
    assert!(chosen.iter().all(|it| matches!(it, Known::Fast | Known::Usual)), "{chosen:?}");
}

/// Guards against speeds that stay unknown because less urgent tasks are packed on the same workers.
#[test]
fn a_less_urgent_task_goes_to_a_worker_of_unknown_speed() {
    let racks: [&[_]; 1] = [&[(Known::Slow, 2), (Known::Unknown, 1), (Known::Fast, 2)]];
    assert_eq!(chosen(&racks, &request(1, false)), [Known::Unknown]);
    assert_eq!(chosen(&racks, &request(1, true)), [Known::Fast]);
}

/// Guards against fast workers that are taken by work that would be in time on slow ones.
#[test]
fn a_unit_with_time_goes_to_slow_workers_before_a_tight_fit() {
    let racks: [&[_]; 1] = [&[(Known::Slow, 2), (Known::Usual, 2), (Known::Fast, 2)]];
    let with_time = candidate::PlacementRequest { prefers_slow: true, ..request(1, false) };
    assert_eq!(chosen(&racks, &with_time), [Known::Slow]);
    let gang = candidate::PlacementRequest { prefers_slow: true, ..request(3, false) };
    let chosen = chosen(&racks, &gang);
    assert_eq!(chosen.iter().filter(|it| **it == Known::Slow).count(), 2, "{chosen:?}");
}
