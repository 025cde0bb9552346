//! Job classes.

use almondpass_schema::model;

use crate::fault;
use crate::path;
use crate::rules::names;

/// Highest priority.
const MAX_PRIORITY: u8 = 9;
/// Largest body that a class may allow.
const MAX_BODY_BYTES: u64 = 16 << 30;

pub(super) fn check(document: &model::ConfigDocument, faults: &mut fault::FaultList<'_>) {
    let list = path::FieldPath::root().member("classes");
    names::check_unique(document.classes.iter().map(|it| it.name.as_str()), "name", &list, faults);
    for (index, class) in document.classes.iter().enumerate() {
        let path = list.item(index);
        let upstreams = document.upstreams.iter().map(|it| it.name.as_str());
        names::check_known(
            &class.upstream,
            upstreams,
            "upstreams",
            &path.member("upstream"),
            faults,
        );
        check_numbers(class, &path, faults);
        check_times(class, &document.bounds, &path, faults);
        check_fit(class, document, &path, faults);
    }
}

fn check_numbers(
    class: &model::JobClass,
    path: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    let priority = path.member("priority");
    let expected = format!("from 0 to {MAX_PRIORITY}");
    faults.require(class.priority <= MAX_PRIORITY, &priority, expected, class.priority);
    let in_range = (1..=MAX_BODY_BYTES).contains(&class.max_body_bytes);
    let expected = format!("from 1 to {MAX_BODY_BYTES}");
    faults.require(in_range, &path.member("max_body_bytes"), expected, class.max_body_bytes);
    let request = class.kind == model::ClassKind::Request;
    faults.require(
        !(request && class.checkpoint),
        &path.member("checkpoint"),
        "false, since only jobs write checkpoints",
        class.checkpoint,
    );
}

fn check_times(
    class: &model::JobClass,
    bounds: &model::PolicyBounds,
    path: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    faults.require(
        !class.expected_run.0.is_zero(),
        &path.member("expected_run"),
        "more than 0s",
        "0s",
    );
    faults.require(
        class.expected_run <= class.max_run,
        &path.member("expected_run"),
        format!("at most the class's max_run, {}", class.max_run),
        class.expected_run,
    );
    faults.require(
        class.expected_run <= class.deadline,
        &path.member("deadline"),
        format!("at least the class's expected_run, {}", class.expected_run),
        class.deadline,
    );
    // Work that may be given up before the bound on its start has passed would count as in time
    // without ever having started.
    faults.require(
        !class.urgent || bounds.urgent_start <= class.deadline,
        &path.member("deadline"),
        format!("at least bounds.urgent_start, {}, since it is urgent", bounds.urgent_start),
        class.deadline,
    );
}

/// A request or one task of a job runs on one worker: some worker that has the upstream must
/// be large enough.
fn check_fit(
    class: &model::JobClass,
    document: &model::ConfigDocument,
    path: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    let kinds = kinds_of(&class.upstream, document);
    if kinds.is_empty() {
        return;
    }
    let most =
        |size: fn(&model::WorkerKind) -> u64| kinds.iter().map(|it| size(it)).max().unwrap_or(0);
    let wanted = [
        ("accelerators", u64::from(class.accelerators), most(|it| it.accelerators.into())),
        ("cores", class.cores.into(), most(|it| it.cores.into())),
        ("memory_mb", class.memory_mb, most(|it| it.memory_mb)),
    ];
    for (name, wanted, most) in wanted {
        let expected = format!("at most {most}, as one worker of {} has", class.upstream);
        faults.require(wanted <= most, &path.member(name), expected, wanted);
    }
}

fn kinds_of<'a>(upstream: &str, document: &'a model::ConfigDocument) -> Vec<&'a model::WorkerKind> {
    let upstreams = document.upstreams.iter().filter(|it| it.name == upstream);
    let halls = upstreams.flat_map(|it| &it.halls).collect::<Vec<_>>();
    let halls = document.halls.iter().filter(|it| halls.contains(&&it.name));
    let racks = halls.flat_map(|it| &it.racks).collect::<Vec<_>>();
    let used = |kind: &&model::WorkerKind| racks.iter().any(|it| it.kind == kind.name);
    document.worker_kinds.iter().filter(used).collect()
}
