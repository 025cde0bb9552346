//! The operators' JSON interface under `/v1`.

mod config;

use std::error::Error;

use almondpass_peer::link;
use almondpass_ports::table;
use almondpass_schema::model;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Body;
use serde::de::DeserializeOwned;

use crate::body;
use crate::console;
use crate::drain;
use crate::fault;
use crate::reply;

pub(crate) use config::query_number;

/// An answer, or why there is none.
type ApiResult = Result<reply::ConsoleResponse, fault::ConsoleFault>;

/// Answers a request below `/v1`. The session cookie counts for nothing here, so that no other
/// site can make a browser call this interface.
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
    let step = format!("{} {}", request.method(), request.uri().path());
    let operator = console.state.operators.authorize(request.headers());
    let Some(operator) = operator.map(|it| it.name.clone()) else {
        return reply::problem(&fault::ConsoleFault::SignedOut, &step);
    };
    let answer = dispatch(&console.state, &operator, &segments, request).await;
    answer.unwrap_or_else(|fault| config::refusal(&fault, &step))
}

async fn dispatch<T, L, H, B>(
    state: &console::ConsoleState<T, L, H>,
    operator: &str,
    segments: &[&str],
    request: Request<B>,
) -> ApiResult
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let method = request.method().clone();
    let active = state.keeper.active();
    match (segments, &method) {
        (["halls"], &Method::GET) => Ok(ok(&state.hall_listing(&active))),
        (["halls", hall], &Method::GET) => {
            let known = active.hall(hall).is_some();
            let expected = "a hall of the configuration".to_owned();
            known.then_some(()).ok_or(fault::ConsoleFault::NotFound { expected })?;
            Ok(ok(&state.picture(hall).await?))
        }
        (["workers"], &Method::GET) => Ok(ok(&state.worker_listing(&active).await)),
        (["upstreams"], &Method::GET) => Ok(ok(&state.upstream_listing(&active))),
        (["drains"], &Method::GET) => Ok(ok(&drain::listing(active.version, &active.document))),
        (["drains"], &Method::POST) => {
            let drained = read_json::<model::DrainRequest, B>("DrainRequest", request).await?;
            let change = drain::DrainChange::Begin;
            Ok(ok(&drain::change(state, operator, &drained, change).await?))
        }
        (["drains"], &Method::DELETE) => {
            let drained = read_json::<model::DrainRequest, B>("DrainRequest", request).await?;
            let change = drain::DrainChange::End;
            Ok(ok(&drain::change(state, operator, &drained, change).await?))
        }
        (["config"], &Method::GET) => Ok(config::in_force(state)),
        (["config"], &Method::POST) => config::propose(state, operator, request).await,
        (["config", "check"], &Method::POST) => config::check(request).await,
        (["config", "history"], &Method::GET) => config::history(state, request.uri()).await,
        (["config", version], &Method::GET) => config::version(state, version).await,
        (["drains"], _) => Err(fault::ConsoleFault::Method { allowed: "GET, POST, DELETE" }),
        (["config"], _) => Err(fault::ConsoleFault::Method { allowed: "GET, POST" }),
        (["config", "check"], _) => Err(fault::ConsoleFault::Method { allowed: "POST" }),
        (["halls" | "workers" | "upstreams"] | ["halls" | "config", _], _) => {
            Err(fault::ConsoleFault::Method { allowed: "GET" })
        }
        _ => Err(fault::ConsoleFault::NotFound { expected: "a path of this interface".to_owned() }),
    }
}

/// Reads a JSON body against a definition of the schema.
async fn read_json<R, B>(definition: &str, request: Request<B>) -> Result<R, fault::ConsoleFault>
where
    R: DeserializeOwned,
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let text = body::read_text(request).await?;
    let value = almondpass_config::schema_check::parse("the body", &text)?;
    Ok(almondpass_config::schema_check::check("the body", definition, &value)?)
}

fn ok(body: &impl serde::Serialize) -> reply::ConsoleResponse {
    reply::json(StatusCode::OK, body)
}
