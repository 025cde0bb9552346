//! Which page answers which request.

mod draft;
mod views;

use std::error::Error;

use almondpass_peer::link;
use almondpass_ports::table;
use almondpass_schema::model;
use bytes::Bytes;
use http::request::Parts;
use http::{Method, Request, StatusCode, Uri};
use hyper::body::Body;
use tokio::time::{self, Duration};

use crate::body;
use crate::console;
use crate::drain;
use crate::fault;
use crate::form;
use crate::page::{layout, message, sign_in};
use crate::reply;
use crate::session;

/// Pause after a failed sign-in, which slows down guessing.
const FAILED_SIGN_IN_PAUSE: Duration = Duration::from_millis(500);

/// A page, or why there is none.
type PageResult = Result<reply::ConsoleResponse, fault::ConsoleFault>;

/// A request of an operator who is signed in.
struct PageRequest<'a> {
    method: &'a Method,
    uri: &'a Uri,
    segments: &'a [&'a str],
    form: form::FormFields,
    session: session::OperatorSession,
}

/// Answers a request below `/console`.
pub(crate) async fn route<T, L, H, B>(
    console: &console::OperatorConsole<T, L, H>,
    segments: Vec<&str>,
    request: Request<B>,
) -> reply::ConsoleResponse
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let state = console.state.as_ref();
    let (head, body) = request.into_parts();
    let form = match read_form(&head, body).await {
        Ok(form) => form,
        Err(fault) => return outside(&fault),
    };
    if segments == ["sign-in"] && head.method == Method::POST {
        return sign_in_operator(state, &form).await;
    }
    let session = state.signer.verify(&head.headers, &state.operators, state.clock.now());
    let Some(session) = session else {
        return signed_out(&head.method, &segments, &form);
    };
    let page =
        PageRequest { method: &head.method, uri: &head.uri, segments: &segments, form, session };
    let answer = dispatch(state, &page).await;
    answer.unwrap_or_else(|fault| {
        let content = message::content(&fault.to_string());
        views::framed(state, &page, fault.status(), "Not done", &content)
    })
}

async fn dispatch<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &PageRequest<'_>,
) -> PageResult
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    match (page.segments, page.method) {
        ([], &Method::GET) => Ok(views::overview(state, page).await),
        (["sign-in"], &Method::GET) => Ok(reply::see_other("/console")),
        (["halls", hall], &Method::GET) => views::hall(state, page, hall).await,
        (["queues"], &Method::GET) => Ok(views::queues(state, page).await),
        (["histograms"], &Method::GET) => Ok(views::histograms(state, page)),
        (["config"], &Method::GET) => views::config(state, page),
        (["config", "history"], &Method::GET) => views::history(state, page).await,
        (["config", "versions", number], &Method::GET) => views::version(state, page, number).await,
        (["config", "edit"], &Method::GET) => draft::begin(state, page).await,
        (["config", "draft"], &Method::POST) => draft::go_on(state, page).await,
        (["drains"], &Method::POST) => change_drain(state, page).await,
        (["sign-out"], &Method::POST) => {
            check_form(page)?;
            let cookie = session::SessionSigner::sign_out(state.secure_cookies);
            Ok(reply::with_cookie(reply::see_other("/console"), &cookie))
        }
        // A page that was sent and is loaded again by its address.
        (["config", "draft"], &Method::GET) => Ok(reply::see_other("/console/config/edit")),
        (["drains" | "sign-out"], &Method::GET) => Ok(reply::see_other("/console")),
        (["drains" | "sign-out" | "sign-in"] | ["config", "draft"], _) => {
            Err(fault::ConsoleFault::Method { allowed: "POST" })
        }
        (_, &Method::GET) => {
            Err(fault::ConsoleFault::NotFound { expected: "a page of the console".to_owned() })
        }
        _ => Err(fault::ConsoleFault::Method { allowed: "GET" }),
    }
}

async fn read_form<B>(head: &Parts, body: B) -> Result<form::FormFields, fault::ConsoleFault>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if head.method != Method::POST {
        return Ok(form::FormFields::default());
    }
    let request = Request::from_parts(head.clone(), body);
    Ok(form::FormFields::parse(&body::read(request).await?))
}

/// Signs an operator in. The form of a draft that met the end of its session comes along and
/// opens again.
async fn sign_in_operator<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    form: &form::FormFields,
) -> reply::ConsoleResponse
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let carried = draft::carried_fields(form);
    let operator = state.operators.sign_in(form.value("operator"), form.value("password"));
    let Some(operator) = operator else {
        metrics::counter!("almondpass_console_sign_ins_total", "outcome" => "refused").increment(1);
        tracing::warn!("sign-in refused");
        time::sleep(FAILED_SIGN_IN_PAUSE).await;
        return reply::page(StatusCode::UNAUTHORIZED, sign_in::page(true, &carried));
    };
    metrics::counter!("almondpass_console_sign_ins_total", "outcome" => "accepted").increment(1);
    tracing::info!(operator = operator.name, "operator signed in");
    let cookie = state.signer.sign_in(operator, state.clock.now(), state.secure_cookies);
    let response =
        if carried.is_empty() { reply::see_other("/console") } else { draft::resume(&carried) };
    reply::with_cookie(response, &cookie)
}

fn signed_out(
    method: &Method,
    segments: &[&str],
    form: &form::FormFields,
) -> reply::ConsoleResponse {
    let carried = if *method == Method::POST && segments == ["config", "draft"] {
        draft::carried_after_typing(form)
    } else {
        Vec::new()
    };
    reply::page(StatusCode::UNAUTHORIZED, sign_in::page(false, &carried))
}

async fn change_drain<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &PageRequest<'_>,
) -> PageResult
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    check_form(page)?;
    let named = |it: &str| Some(page.form.value(it).to_owned()).filter(|it| !it.is_empty());
    let request = model::DrainRequest { worker: named("worker"), upstream: named("upstream") };
    let change = match page.form.value("change") {
        "begin" => drain::DrainChange::Begin,
        _ => drain::DrainChange::End,
    };
    drain::change(state, &page.session.operator, &request, change).await?;
    let back = match state.keeper.active().hall(page.form.value("hall")) {
        Some(hall) => format!("/console/halls/{}", hall.name),
        None => "/console".to_owned(),
    };
    Ok(reply::see_other(&back))
}

/// Requires that a form comes from a page of this session. Another site could otherwise have the
/// operator's browser send it; the cookie's `SameSite` is the first guard and this the second.
fn check_form(page: &PageRequest<'_>) -> Result<(), fault::ConsoleFault> {
    if page.session.owns_form(page.form.value("csrf")) {
        return Ok(());
    }
    Err(fault::ConsoleFault::ForeignForm)
}

/// A fault met before it is known who asks.
fn outside(fault: &fault::ConsoleFault) -> reply::ConsoleResponse {
    let content = message::content(&fault.to_string());
    reply::page(fault.status(), layout::bare("Not done", &content))
}
