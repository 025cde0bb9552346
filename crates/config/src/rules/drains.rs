//! Drains name something that exists.

use almondpass_schema::model;

use crate::fault;
use crate::path;
use crate::rules::{layout, names};

pub(super) fn check(document: &model::ConfigDocument, faults: &mut fault::FaultList<'_>) {
    let list = path::FieldPath::root().member("drains");
    for (index, drain) in document.drains.iter().enumerate() {
        let path = list.item(index);
        let names_something = drain.worker.is_some() || drain.upstream.is_some();
        faults.require(names_something, &path, "a worker, an upstream or both", "neither");
        if let Some(worker) = &drain.worker {
            let known = is_worker(worker, document);
            let expected = "a worker of the halls, named <hall>-<rack>-<number>";
            faults.require(known, &path.member("worker"), expected, format_args!("{worker:?}"));
        }
        if let Some(upstream) = &drain.upstream {
            let known = document.upstreams.iter().map(|it| it.name.as_str());
            names::check_known(upstream, known, "upstreams", &path.member("upstream"), faults);
        }
        let same =
            |it: &model::DrainOrder| it.worker == drain.worker && it.upstream == drain.upstream;
        let doubled = document.drains[..index].iter().any(same);
        faults.require(!doubled, &path, "a drain that stands once", "the same again");
    }
}

fn is_worker(worker: &str, document: &model::ConfigDocument) -> bool {
    let Some((rack_name, number)) = worker.rsplit_once('-') else {
        return false;
    };
    let Ok(number) = number.parse::<u32>() else {
        return false;
    };
    let mut racks =
        document.halls.iter().flat_map(|hall| hall.racks.iter().map(move |it| (hall, it)));
    racks.any(|(hall, rack)| {
        rack_name == format!("{}-{}", hall.name, rack.name)
            && (1..=rack.workers).contains(&number)
            && worker == layout::worker_name(&hall.name, &rack.name, number)
    })
}
