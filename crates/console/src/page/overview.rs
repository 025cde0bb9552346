//! The overview: configuration, halls, guarantees and upstreams at a glance.

use almondpass_config::{active, keeper};
use almondpass_schema::{ids, model};
use maud::{Markup, html};

use crate::view;

/// What the overview shows.
pub(crate) struct OverviewContent<'a> {
    pub(crate) config: &'a active::ActiveConfig,
    pub(crate) refused: Option<keeper::RefusedVersion>,
    pub(crate) instances: Vec<model::InstanceConfig>,
    pub(crate) halls: model::HallListing,
    pub(crate) upstreams: model::UpstreamListing,
    pub(crate) pictures: Vec<(ids::HallName, view::PictureResult)>,
}

/// The page.
pub(crate) fn content(overview: &OverviewContent<'_>) -> Markup {
    let lost = lost_guarantees(&overview.pictures);
    html! {
        @if overview.config.version == 0 {
            p.notice {
                "No configuration is in force; nothing is accepted from callers. "
                a href="/console/config/edit" { "Write the first one" } "."
            }
        }
        @for (account, guarantee, hall) in &lost {
            p.fault role="alert" {
                "The guaranteed shape " (guarantee) " of " (account)
                " has no block left in " (hall) "; it cannot be claimed until workers return."
            }
        }
        (in_force(overview))
        h2 { "Halls" }
        (halls(overview))
        h2 { "Upstreams" }
        (upstreams(&overview.upstreams))
        @if !overview.config.document.drains.is_empty() {
            h2 { "Drains" }
            (drains(&overview.config.document.drains))
        }
    }
}

/// On how many instances the newest version is in force.
pub(crate) fn in_force_line(instances: &[model::InstanceConfig]) -> Markup {
    let newest = instances.iter().map(|it| it.version).max().unwrap_or(0);
    let n_current = instances.iter().filter(|it| it.version == newest).count();
    let behind = instances.iter().filter(|it| it.version < newest);
    html! {
        p.facts {
            "Version " strong { (newest) } " is in force on "
            strong { (n_current) " of " (instances.len()) } " instances."
            @for instance in behind {
                " " span.state.behind { (instance.instance) " has " (instance.version) }
            }
        }
    }
}

fn in_force(overview: &OverviewContent<'_>) -> Markup {
    html! {
        h2 { "Configuration" }
        (in_force_line(&overview.instances))
        @if let Some(refused) = &overview.refused {
            p.fault role="alert" {
                "This instance refused version " (refused.version)
                " and keeps version " (overview.config.version) ": " (refused.reason)
            }
        }
    }
}

fn lost_guarantees(pictures: &[(ids::HallName, view::PictureResult)]) -> Vec<(&str, &str, &str)> {
    let answered = pictures.iter().filter_map(|(hall, it)| Some((hall, it.as_ref().ok()?)));
    let views = answered.flat_map(|(hall, it)| it.guarantees.iter().map(move |it| (hall, it)));
    let lost = views.filter(|(_, it)| it.state == model::GuaranteeState::Lost);
    lost.map(|(hall, it)| (it.account.as_str(), it.guarantee.as_str(), hall.as_str())).collect()
}

fn halls(overview: &OverviewContent<'_>) -> Markup {
    let picture = |hall: &str| {
        let found = overview.pictures.iter().find(|(name, _)| name == hall);
        found.and_then(|(_, it)| it.as_ref().ok())
    };
    html! {
        table {
            thead { tr {
                th { "Hall" } th { "Data centre" } th.number { "Workers" } th.number { "Accelerators" }
                th.number { "Free" } th.number { "Longest free run" } th.number { "Waiting" }
                th.number { "Fragmentation" } th { "Scheduler" }
            } }
            tbody {
                @for hall in &overview.halls.halls {
                    tr {
                        td { a href=(format!("/console/halls/{}", hall.hall)) { (hall.hall) } }
                        td { (hall.data_center) }
                        td.number { (hall.workers) }
                        td.number { (hall.accelerators) }
                        @if let Some(beat) = &hall.beat {
                            td.number { (beat.free_accelerators) }
                            td.number { (beat.longest_run) }
                            td.number { (beat.queued) }
                        } @else { td {} td {} td {} }
                        @if let Some(picture) = picture(&hall.hall) {
                            td.number { (format!("{:.0}%", picture.fragmentation * 100.0)) }
                            td { (picture.holder) }
                        } @else {
                            td {}
                            td { span.state.worker-lost { "did not answer" } }
                        }
                    }
                }
            }
        }
    }
}

fn upstreams(listing: &model::UpstreamListing) -> Markup {
    html! {
        table {
            thead { tr {
                th { "Upstream" } th { "Halls" } th.number { "Live" } th.number { "Leaving" } th { "Drained" }
            } }
            tbody {
                @for upstream in &listing.upstreams {
                    tr {
                        td { (upstream.upstream) }
                        td { (upstream.halls.join(", ")) }
                        td.number { (upstream.live) }
                        td.number { (upstream.leaving) }
                        td { @if upstream.drained { span.state.worker-draining { "everywhere" } } @else { "no" } }
                    }
                }
            }
        }
    }
}

fn drains(drains: &[model::DrainOrder]) -> Markup {
    html! {
        table {
            thead { tr { th { "Worker" } th { "Upstream" } th { "Since" } } }
            tbody {
                @for drain in drains {
                    tr {
                        td { (drain.worker.as_deref().unwrap_or("all")) }
                        td { (drain.upstream.as_deref().unwrap_or("all")) }
                        td { (crate::page::queues::clock(drain.since)) }
                    }
                }
            }
        }
    }
}
