//! Pages that only show.

use almondpass_config::{canonical, changes};
use almondpass_peer::link;
use almondpass_ports::table;
use almondpass_schema::ids;
use http::StatusCode;
use maud::Markup;

use crate::api::query_number;
use crate::console;
use crate::fault;
use crate::page::{config, hall, histograms, history, layout, overview, queues};
use crate::pages;
use crate::reply;

/// Versions of a page of the history.
const HISTORY_PAGE: u32 = 20;

/// Puts `content` into the frame of the site.
pub(super) fn framed<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &pages::PageRequest<'_>,
    status: StatusCode,
    title: &str,
    content: &Markup,
) -> reply::ConsoleResponse
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let active = state.keeper.active();
    let frame = layout::PageFrame {
        site: &active.document.site,
        halls: active.document.halls.iter().map(|it| &it.name).collect(),
        session: &page.session,
        path: page.uri.path(),
    };
    reply::page(status, layout::framed(&frame, title, content))
}

pub(super) async fn overview<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &pages::PageRequest<'_>,
) -> reply::ConsoleResponse
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let active = state.keeper.active();
    let shown = overview::OverviewContent {
        config: &active,
        refused: state.keeper.refused(),
        instances: state.instance_configs(),
        halls: state.hall_listing(&active),
        upstreams: state.upstream_listing(&active),
        pictures: state.pictures(&active).await,
    };
    framed(state, page, StatusCode::OK, "Overview", &overview::content(&shown))
}

pub(super) async fn hall<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &pages::PageRequest<'_>,
    name: &str,
) -> pages::PageResult
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let active = state.keeper.active();
    let Some(layout) = active.hall(name) else {
        let expected = "a hall of the configuration".to_owned();
        return Err(fault::ConsoleFault::NotFound { expected });
    };
    let title = format!("Hall {}", layout.name);
    let (status, content) = match state.picture(name).await {
        Ok(picture) => {
            let now = state.clock.now();
            let content = hall::content(&picture, &active.document, &page.session, now);
            (StatusCode::OK, content)
        }
        Err(error) => (StatusCode::SERVICE_UNAVAILABLE, hall::unavailable(&error.to_string())),
    };
    Ok(framed(state, page, status, &title, &content))
}

pub(super) async fn queues<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &pages::PageRequest<'_>,
) -> reply::ConsoleResponse
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let active = state.keeper.active();
    let pictures = state.pictures(&active).await;
    let content = queues::content(&pictures, state.clock.now());
    framed(state, page, StatusCode::OK, "Queues", &content)
}

pub(super) fn histograms<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &pages::PageRequest<'_>,
) -> reply::ConsoleResponse
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let content = histograms::content(&state.instance, &state.histograms.summaries());
    framed(state, page, StatusCode::OK, "Histograms", &content)
}

pub(super) fn config<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &pages::PageRequest<'_>,
) -> pages::PageResult
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let active = state.keeper.active();
    let accepted = query_number::<ids::ConfigVersion>(page.uri, "accepted")?;
    let text = canonical::to_yaml(&active.document);
    let content = config::content(active.version, &state.instance_configs(), &text, accepted);
    Ok(framed(state, page, StatusCode::OK, "Configuration", &content))
}

pub(super) async fn history<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &pages::PageRequest<'_>,
) -> pages::PageResult
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let before = query_number::<ids::ConfigVersion>(page.uri, "before")?;
    let history = state.keeper.history(before, HISTORY_PAGE).await?;
    Ok(framed(state, page, StatusCode::OK, "History", &history::content(&history)))
}

pub(super) async fn version<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &pages::PageRequest<'_>,
    number: &str,
) -> pages::PageResult
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let not_found =
        || fault::ConsoleFault::NotFound { expected: "the number of a version".to_owned() };
    let number = number.parse::<ids::ConfigVersion>().map_err(|_| not_found())?;
    let row = state.keeper.version(number).await?.ok_or_else(not_found)?;
    let before = match number.checked_sub(1) {
        None | Some(0) => None,
        Some(before) => state.keeper.version(before).await?,
    };
    let changed = before.as_ref().map(|it| changes::between(&it.document, &row.document));
    let diff = before.as_ref().map(|it| changes::unified(&it.document, &row.document));
    let content = history::version(
        &row,
        changed.as_deref(),
        &diff.unwrap_or_default(),
        &canonical::to_yaml(&row.document),
    );
    Ok(framed(state, page, StatusCode::OK, &format!("Version {number}"), &content))
}
