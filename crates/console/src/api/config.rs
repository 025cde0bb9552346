//! `/v1/config`: reading, checking and proposing.

use std::error::Error;

use almondpass_config::{document, proposal, schema_check};
use almondpass_peer::link;
use almondpass_ports::table;
use almondpass_schema::{ids, model};
use bytes::Bytes;
use http::{Request, StatusCode, Uri};
use hyper::body::Body;

use crate::api;
use crate::body;
use crate::console;
use crate::fault;
use crate::reply;

/// Versions of a page, where the request names no number.
const PAGE: u32 = 20;

/// Tells a fault: wrong documents and conflicts have bodies of their own, so that a program can
/// act on them.
pub(super) fn refusal(fault: &fault::ConsoleFault, step: &str) -> reply::ConsoleResponse {
    match fault {
        fault::ConsoleFault::Faults(faults)
        | fault::ConsoleFault::Proposal(proposal::ProposalError::Faults(faults)) => {
            reply::json(fault.status(), &faults.clone().into_body())
        }
        fault::ConsoleFault::Proposal(proposal::ProposalError::Conflict(conflict)) => {
            reply::json(fault.status(), conflict)
        }
        fault => reply::problem(fault, step),
    }
}

pub(super) fn in_force<T, L, H>(state: &console::ConsoleState<T, L, H>) -> reply::ConsoleResponse
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let active = state.keeper.active();
    let document = Some(model::ConfigDocument::clone(&active.document));
    reply::json(
        StatusCode::OK,
        &model::ConfigInForce {
            version: active.version,
            document: document.filter(|_| 0 < active.version),
            instances: state.instance_configs(),
        },
    )
}

/// Checks a document, YAML or JSON, without proposing it.
pub(super) async fn check<B>(request: Request<B>) -> api::ApiResult
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let text = body::read_text(request).await?;
    document::check("the body", &text)?;
    Ok(reply::json(StatusCode::OK, &model::ConfigFaults { faults: Vec::new() }))
}

/// Proposes a draft in the name of the operator who is signed in.
pub(super) async fn propose<T, L, H, B>(
    state: &console::ConsoleState<T, L, H>,
    operator: &str,
    request: Request<B>,
) -> api::ApiResult
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let text = body::read_text(request).await?;
    let value = schema_check::parse("the proposal", &text)?;
    // The document by itself first: paths of its faults are then those of the document.
    if let Some(document) = value.get("document") {
        document::check_value("the document", document)?;
    }
    let proposal =
        schema_check::check::<model::ConfigProposal>("the proposal", "ConfigProposal", &value)?;
    let proposal = model::ConfigProposal { operator: operator.to_owned(), ..proposal };
    let accepted = state.keeper.propose(proposal).await?;
    Ok(reply::json(StatusCode::OK, &accepted))
}

pub(super) async fn history<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    uri: &Uri,
) -> api::ApiResult
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let before = query_number::<ids::ConfigVersion>(uri, "before")?;
    let limit = query_number::<u32>(uri, "limit")?.unwrap_or(PAGE);
    let history = state.keeper.history(before, limit).await?;
    Ok(reply::json(StatusCode::OK, &history))
}

pub(super) async fn version<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    version: &str,
) -> api::ApiResult
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let not_found =
        || fault::ConsoleFault::NotFound { expected: "the number of a version".to_owned() };
    let number = version.parse::<ids::ConfigVersion>().map_err(|_| not_found())?;
    let row = state.keeper.version(number).await?.ok_or_else(not_found)?;
    Ok(reply::json(StatusCode::OK, &row))
}

/// The number that a query gives for `name`.
pub(crate) fn query_number<N: std::str::FromStr>(
    uri: &Uri,
    name: &str,
) -> Result<Option<N>, fault::ConsoleFault> {
    let query = uri.query().unwrap_or_default().as_bytes();
    let mut pairs = form_urlencoded::parse(query);
    let Some((_, value)) = pairs.find(|(key, _)| key == name) else {
        return Ok(None);
    };
    let found = || fault::ConsoleFault::Unreadable(format!("{name}={value}, not a number"));
    value.parse::<N>().map(Some).map_err(|_| found())
}
