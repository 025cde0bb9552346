//! Tables for people.

use almondpass_schema::model;
use comfy_table::{Table, presets};

/// Shown where there is nothing to show.
const NOTHING: &str = "-";

/// An empty table with these headings.
pub(crate) fn with_header<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(header.map(str::to_uppercase));
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
    }
    table
}

/// The table as text, without the blanks that pad the last column.
pub(crate) fn text(table: &Table) -> String {
    table.trim_fmt()
}

/// A value or a dash.
pub(crate) fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| NOTHING.to_owned(), |it| it.to_string())
}

/// A list or a dash.
pub(crate) fn list_or_dash(values: &[String]) -> String {
    if values.is_empty() { NOTHING.to_owned() } else { values.join(", ") }
}

/// One job in full.
pub(crate) fn job(record: &model::JobRecord) -> String {
    let submission = &record.submission;
    let mut lines = vec![
        format!("job          {}", record.job),
        format!("state        {} since {}", record.state, record.state_since),
        format!("account      {}", record.account),
        format!("class        {}", submission.class),
        format!("hall         {}", record.hall),
        format!(
            "asked        {} tasks of {} accelerators, {} cores, {} MiB; adjacency {}",
            submission.tasks,
            submission.accelerators,
            submission.cores,
            submission.memory_mb,
            submission.adjacency,
        ),
        format!("submitted    {}", record.submitted_at),
        format!("starts       {}", record.attempt),
    ];
    if let Some(reason) = &record.reason {
        let until = reason.until.map(|it| format!(", until about {it}")).unwrap_or_default();
        lines.push(format!("reason       {}: {}{until}", reason.code, reason.text));
    }
    if let Some(checkpoint) = &record.checkpoint {
        lines.push(format!("checkpoint   {checkpoint}"));
    }
    for task in &record.placement {
        let accelerators = task.accelerators.iter().map(u32::to_string).collect::<Vec<_>>();
        lines.push(format!(
            "task {:<7} {} accelerators {}",
            task.rank,
            task.worker,
            list_or_dash(&accelerators)
        ));
    }
    if !record.failed_on.is_empty() {
        lines.push(format!("failed on    {}", record.failed_on.join(", ")));
    }
    lines.join("\n")
}

/// Jobs, one a line.
pub(crate) fn jobs(records: &[model::JobRecord]) -> String {
    let mut table =
        with_header(["job", "class", "hall", "state", "since", "tasks", "acc", "starts", "reason"]);
    for record in records {
        table.add_row([
            record.job.to_string(),
            record.submission.class.clone(),
            record.hall.clone(),
            record.state.to_string(),
            record.state_since.to_string(),
            record.submission.tasks.to_string(),
            record.submission.accelerators.to_string(),
            record.attempt.to_string(),
            or_dash(record.reason.as_ref().map(|it| it.text.as_str())),
        ]);
    }
    text(&table)
}

/// Halls, one a line.
pub(crate) fn halls(listing: &model::HallListing) -> String {
    let mut table = with_header([
        "hall",
        "data center",
        "workers",
        "accelerators",
        "free",
        "longest run",
        "queued",
        "wait",
        "epoch",
    ]);
    for hall in &listing.halls {
        let beat = hall.beat.as_ref();
        table.add_row([
            hall.hall.clone(),
            hall.data_center.clone(),
            hall.workers.to_string(),
            hall.accelerators.to_string(),
            or_dash(beat.map(|it| it.free_accelerators)),
            or_dash(beat.map(|it| it.longest_run)),
            or_dash(beat.map(|it| it.queued)),
            or_dash(beat.map(|it| it.wait)),
            or_dash(beat.map(|it| it.epoch)),
        ]);
    }
    text(&table)
}

/// One hall: its workers, what waits, and its guarantees.
pub(crate) fn hall(picture: &model::HallPicture) -> String {
    let mut parts = vec![format!(
        "hall {}, scheduled by {} in epoch {}, fragmentation {:.1}%",
        picture.hall,
        picture.holder,
        picture.epoch,
        picture.fragmentation * 100.0
    )];
    parts.push(workers(picture.workers.iter().map(|it| (picture.hall.as_str(), it))));
    if !picture.guarantees.is_empty() {
        parts.push(guarantees(&picture.guarantees));
    }
    if !picture.queue.is_empty() {
        parts.push(queue(&picture.queue));
    }
    parts.push("accelerators: . free, J job, R request, r reserved, x lost".to_owned());
    parts.join("\n\n")
}

/// Workers with their hall, one a line.
pub(crate) fn workers<'a>(
    workers: impl Iterator<Item = (&'a str, &'a model::WorkerView)>,
) -> String {
    let mut table = with_header([
        "worker",
        "hall",
        "rack",
        "state",
        "accelerators",
        "slots used",
        "cores free",
        "MiB free",
    ]);
    for (hall, worker) in workers {
        table.add_row([
            worker.worker.clone(),
            hall.to_owned(),
            worker.rack.clone(),
            worker.state.to_string(),
            worker.accelerators.iter().map(accelerator).collect(),
            worker.slots_used.to_string(),
            worker.cores_free.to_string(),
            worker.memory_free_mb.to_string(),
        ]);
    }
    text(&table)
}

/// Upstreams, one a line.
pub(crate) fn upstreams(listing: &model::UpstreamListing) -> String {
    let mut table = with_header(["upstream", "halls", "live", "leaving", "drained"]);
    for upstream in &listing.upstreams {
        table.add_row([
            upstream.upstream.clone(),
            list_or_dash(&upstream.halls),
            upstream.live.to_string(),
            upstream.leaving.to_string(),
            if upstream.drained { "yes" } else { "no" }.to_owned(),
        ]);
    }
    text(&table)
}

/// Drains, one a line.
pub(crate) fn drains(listing: &model::DrainListing) -> String {
    let mut table = with_header(["worker", "upstream", "since"]);
    for drain in &listing.drains {
        table.add_row([
            or_dash(drain.worker.as_ref()),
            or_dash(drain.upstream.as_ref()),
            drain.since.to_string(),
        ]);
    }
    format!("version {}\n{}", listing.version, text(&table))
}

/// Accepted versions, one a line.
pub(crate) fn history(history: &model::ConfigHistory) -> String {
    let mut table = with_header(["version", "accepted at", "operator", "note"]);
    for entry in &history.versions {
        table.add_row([
            entry.version.to_string(),
            entry.accepted_at.to_string(),
            entry.operator.clone(),
            entry.note.clone(),
        ]);
    }
    let more = history
        .before
        .map(|it| format!("\nolder ones: almondpass config history --before {it}"))
        .unwrap_or_default();
    text(&table) + &more
}

fn accelerator(view: &model::AcceleratorView) -> char {
    match view.state {
        model::AcceleratorState::Free => '.',
        model::AcceleratorState::Job => 'J',
        model::AcceleratorState::Request => 'R',
        model::AcceleratorState::Reserved => 'r',
        model::AcceleratorState::Lost => 'x',
    }
}

fn guarantees(views: &[model::GuaranteeView]) -> String {
    let mut table = with_header(["account", "guarantee", "state", "claimed"]);
    for view in views {
        table.add_row([
            view.account.clone(),
            view.guarantee.clone(),
            view.state.to_string(),
            view.claimed.to_string(),
        ]);
    }
    text(&table)
}

fn queue(views: &[model::QueueView]) -> String {
    let mut table = with_header(["waiting", "account", "class", "since", "reason"]);
    for view in views {
        table.add_row([
            view.job.to_string(),
            view.account.clone(),
            view.class.clone(),
            view.since.to_string(),
            view.reason.text.clone(),
        ]);
    }
    text(&table)
}
