//! Kinds of worker, halls with their racks, and upstreams.

use std::collections::HashMap;

use almondpass_schema::model;

use crate::fault;
use crate::path;
use crate::rules::{capacity, names};

/// Most workers in a rack: their numbers have two or three digits.
const MAX_RACK_WORKERS: u32 = 999;
/// Most workers in a hall, three times what we build towards.
const MAX_HALL_WORKERS: u32 = 4096;
/// Most accelerators in a hall.
const MAX_HALL_ACCELERATORS: u32 = 4096;
/// Most halls, four times what we build towards.
const MAX_HALLS: usize = 32;
/// Most accelerators of one worker.
const MAX_WORKER_ACCELERATORS: u32 = 64;

pub(super) fn check(document: &model::ConfigDocument, faults: &mut fault::FaultList<'_>) {
    let root = path::FieldPath::root();
    check_kinds(document, &root.member("worker_kinds"), faults);
    check_halls(document, &root.member("halls"), faults);
    check_worker_names(document, &root.member("halls"), faults);
    check_upstreams(document, &root.member("upstreams"), faults);
}

/// The name of the worker with `number`, from 1, in a rack.
pub(crate) fn worker_name(hall: &str, rack: &str, number: u32) -> String {
    format!("{hall}-{rack}-{number:02}")
}

fn check_kinds(
    document: &model::ConfigDocument,
    list: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    names::check_unique(
        document.worker_kinds.iter().map(|it| it.name.as_str()),
        "name",
        list,
        faults,
    );
    for (index, kind) in document.worker_kinds.iter().enumerate() {
        let path = list.item(index);
        faults.require(0 < kind.cores, &path.member("cores"), "at least 1", kind.cores);
        faults.require(0 < kind.memory_mb, &path.member("memory_mb"), "at least 1", kind.memory_mb);
        faults.require(0 < kind.slots, &path.member("slots"), "at least 1", kind.slots);
        let expected = format!("at least the kind's slots, {}", kind.slots);
        let enough = kind.slots <= kind.connections;
        faults.require(enough, &path.member("connections"), expected, kind.connections);
        faults.require(
            kind.accelerators <= MAX_WORKER_ACCELERATORS,
            &path.member("accelerators"),
            format!("at most {MAX_WORKER_ACCELERATORS}"),
            kind.accelerators,
        );
    }
}

fn check_halls(
    document: &model::ConfigDocument,
    list: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    faults.require(!document.halls.is_empty(), list, "at least one hall", "none");
    let n_halls = document.halls.len();
    faults.require(n_halls <= MAX_HALLS, list, format!("at most {MAX_HALLS} halls"), n_halls);
    names::check_unique(document.halls.iter().map(|it| it.name.as_str()), "name", list, faults);
    for (index, hall) in document.halls.iter().enumerate() {
        let path = list.item(index);
        names::check_spelling(&hall.region, &path.member("region"), faults);
        names::check_spelling(&hall.data_center, &path.member("data_center"), faults);
        check_racks(document, hall, &path.member("racks"), faults);
    }
}

fn check_racks(
    document: &model::ConfigDocument,
    hall: &model::HallLayout,
    list: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    faults.require(!hall.racks.is_empty(), list, "at least one rack", "none");
    names::check_unique(hall.racks.iter().map(|it| it.name.as_str()), "name", list, faults);
    for (index, rack) in hall.racks.iter().enumerate() {
        let path = list.item(index);
        let in_range = (1..=MAX_RACK_WORKERS).contains(&rack.workers);
        let expected = format!("from 1 to {MAX_RACK_WORKERS}");
        faults.require(in_range, &path.member("workers"), expected, rack.workers);
        let kinds = document.worker_kinds.iter().map(|it| it.name.as_str());
        names::check_known(&rack.kind, kinds, "worker kinds", &path.member("kind"), faults);
    }
    let n_workers = hall.racks.iter().fold(0_u32, |sum, it| sum.saturating_add(it.workers));
    let expected = format!("at most {MAX_HALL_WORKERS} workers in a hall");
    faults.require(n_workers <= MAX_HALL_WORKERS, list, expected, n_workers);
    let n_accelerators = capacity::hall_accelerators(hall, document);
    let expected = format!("at most {MAX_HALL_ACCELERATORS} accelerators in a hall");
    faults.require(n_accelerators <= MAX_HALL_ACCELERATORS, list, expected, n_accelerators);
}

/// Hall `a-b` with rack `c` and hall `a` with rack `b-c` would give two workers one name, and
/// the lease of one would be looked for at the other.
fn check_worker_names(
    document: &model::ConfigDocument,
    list: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    let mut racks_by_prefix = HashMap::new();
    for (hall_index, hall) in document.halls.iter().enumerate() {
        for (rack_index, rack) in hall.racks.iter().enumerate() {
            let path = list.item(hall_index).member("racks").item(rack_index).member("name");
            let prefix = format!("{}-{}", hall.name, rack.name);
            let owner = (hall.name.as_str(), rack.name.as_str());
            let first = *racks_by_prefix.entry(prefix.clone()).or_insert(owner);
            if first != owner {
                let expected = "workers whose names no other rack gives".to_owned();
                let found = format!("{prefix}-01 as in hall {}, rack {}", first.0, first.1);
                faults.push(&path, expected, found);
            }
        }
    }
}

fn check_upstreams(
    document: &model::ConfigDocument,
    list: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    names::check_unique(document.upstreams.iter().map(|it| it.name.as_str()), "name", list, faults);
    for (index, upstream) in document.upstreams.iter().enumerate() {
        let path = list.item(index).member("halls");
        faults.require(!upstream.halls.is_empty(), &path, "at least one hall", "none");
        for (index, hall) in upstream.halls.iter().enumerate() {
            let halls = document.halls.iter().map(|it| it.name.as_str());
            names::check_known(hall, halls, "halls", &path.item(index), faults);
            let doubled = upstream.halls[..index].contains(hall);
            faults.require(!doubled, &path.item(index), "a hall that stands once", hall);
        }
    }
}
