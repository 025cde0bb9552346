//! A hall: its picture, its guarantees and its queue.

use almondpass_schema::{model, time};
use maud::{Markup, html};

use crate::page::{hall_svg, layout, palette, queues};
use crate::session;

/// Everything about one hall.
pub(crate) fn content(
    picture: &model::HallPicture,
    document: &model::ConfigDocument,
    session: &session::OperatorSession,
    now: time::WallTime,
) -> Markup {
    let palette = palette::AccountPalette::new(&document.accounts);
    html! {
        p.facts {
            "Scheduled by " strong { (picture.holder) } ", tenure " (picture.epoch) ". "
            "Fragmentation " strong { (percent(picture.fragmentation)) } ". "
            (free_accelerators(picture)) " of "
            (picture.workers.iter().map(|it| it.accelerators.len()).sum::<usize>())
            " accelerators are free on workers that take work."
        }
        (hall_svg::drawing(picture, &palette))
        (hall_svg::legend(&palette))
        h2 { "Guaranteed shapes at home here" }
        (guarantees(picture, document))
        h2 { "Queue" }
        (queues::table(&picture.queue, now))
        h2 { "Workers" }
        (workers(picture, document, session))
    }
}

/// Says in place of the hall why it cannot be shown.
pub(crate) fn unavailable(detail: &str) -> Markup {
    html! {
        p.fault role="alert" { "The hall's scheduler did not answer: " (detail) }
        p {
            "Work that runs goes on. Within the scheduler's term another instance takes the hall "
            "over, while the table service answers; then this page shows it again."
        }
    }
}

fn free_accelerators(picture: &model::HallPicture) -> usize {
    let workers = picture.workers.iter().filter(|it| it.state == model::WorkerState::Live);
    let accelerators = workers.flat_map(|it| &it.accelerators);
    accelerators.filter(|it| it.state == model::AcceleratorState::Free).count()
}

fn percent(share: f64) -> String {
    format!("{:.0}%", share * 100.0)
}

fn guarantees(picture: &model::HallPicture, document: &model::ConfigDocument) -> Markup {
    let shape = |it: &model::GuaranteeView| {
        let account = document.accounts.iter().find(|account| account.id == it.account)?;
        account.guarantees.iter().find(|shape| shape.name == it.guarantee)
    };
    html! {
        @if picture.guarantees.is_empty() { p { "None." } }
        @else {
            table {
                thead { tr {
                    th { "Account" } th { "Shape" } th.number { "Accelerators" }
                    th { "Adjacent within" } th { "State" } th.number { "Claimed" }
                } }
                tbody {
                    @for view in &picture.guarantees {
                        tr {
                            td { (view.account) }
                            td { (view.guarantee) }
                            @if let Some(shape) = shape(view) {
                                td.number { (shape.accelerators) } td { (shape.adjacency) }
                            } @else { td {} td {} }
                            td {
                                span class=(format!("state guarantee-{}", view.state)) {
                                    (guarantee_text(view.state))
                                }
                            }
                            td.number { (view.claimed) }
                        }
                    }
                }
            }
        }
    }
}

fn guarantee_text(state: model::GuaranteeState) -> &'static str {
    match state {
        model::GuaranteeState::Free => "free: can start at once",
        model::GuaranteeState::Reclaimable => "reclaimable: held by work that gives way",
        model::GuaranteeState::Claimed => "claimed",
        model::GuaranteeState::Lost => "lost: no block left for it",
    }
}

fn workers(
    picture: &model::HallPicture,
    document: &model::ConfigDocument,
    session: &session::OperatorSession,
) -> Markup {
    let drained = |worker: &str| {
        document
            .drains
            .iter()
            .any(|it| it.upstream.is_none() && it.worker.as_deref() == Some(worker))
    };
    html! {
        table {
            thead { tr {
                th { "Worker" } th { "State" } th.number { "Free accelerators" }
                th.number { "Slots used" } th.number { "Cores free" } th.number { "Memory free" }
                th { "Drain" }
            } }
            tbody {
                @for view in &picture.workers {
                    tr {
                        td { (view.worker) }
                        td { span class=(format!("state worker-{}", view.state)) { (view.state) } }
                        td.number {
                            (view.accelerators.iter().filter(|it| it.state == model::AcceleratorState::Free).count())
                            " of " (view.accelerators.len())
                        }
                        td.number { (view.slots_used) }
                        td.number { (view.cores_free) }
                        td.number { (view.memory_free_mb / 1024) " GiB" }
                        td { (drain_form(&picture.hall, &view.worker, drained(&view.worker), session)) }
                    }
                }
            }
        }
    }
}

fn drain_form(
    hall: &str,
    worker: &str,
    drained: bool,
    session: &session::OperatorSession,
) -> Markup {
    let (change, label) = if drained { ("end", "Take work again") } else { ("begin", "Drain") };
    html! {
        form.inline method="post" action="/console/drains" {
            (layout::csrf_field(session))
            input type="hidden" name="hall" value=(hall);
            input type="hidden" name="worker" value=(worker);
            input type="hidden" name="change" value=(change);
            button.quiet { (label) }
        }
    }
}
