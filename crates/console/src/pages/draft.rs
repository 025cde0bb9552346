//! Editing: the draft travels in the form, so that any instance can go on with it.

use almondpass_config::{active, canonical, changes, document, proposal, schema_check};
use almondpass_peer::link;
use almondpass_ports::table;
use almondpass_schema::{ids, model};
use http::StatusCode;
use maud::html;
use serde_json::Value;
use uuid::Uuid;

use crate::api::query_number;
use crate::console;
use crate::fault;
use crate::form;
use crate::overlay;
use crate::page::{conflict, draft, layout, sections};
use crate::pages::{self, views};
use crate::reply;

/// Hidden fields that carry a draft.
const CARRIED_FIELDS: [&str; 5] = ["base", "nonce", "note", "section", "draft"];
/// Name of the text of the whole document.
const DOCUMENT_TEXT: &str = "document_text";

/// What a button of the form asks for.
enum DraftAction<'a> {
    Update,
    Show(sections::DraftSection),
    Add(&'a str),
    Remove(&'a str),
    Accept,
}

/// Opens a draft of the configuration in force, or of the version that the query names.
pub(super) async fn begin<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &pages::PageRequest<'_>,
) -> pages::PageResult
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let active = state.keeper.active();
    let document = match query_number::<ids::ConfigVersion>(page.uri, "from")? {
        None => model::ConfigDocument::clone(&active.document),
        Some(version) => {
            let expected = "the number of a version".to_owned();
            let row = state.keeper.version(version).await?;
            row.ok_or(fault::ConsoleFault::NotFound { expected })?.document
        }
    };
    let draft = draft::DraftState {
        base: active.version,
        nonce: Uuid::now_v7(),
        note: String::new(),
        section: sections::DraftSection::default(),
        document: canonical::to_value(&document),
        unread_text: None,
    };
    Ok(show(state, page, &draft, StatusCode::OK, None).await)
}

/// Takes in what was typed and does what the pressed button says.
pub(super) async fn go_on<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &pages::PageRequest<'_>,
) -> pages::PageResult
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let mut draft = read(&page.form)?;
    if !page.session.owns_form(page.form.value("csrf")) {
        // The operator signed in again since the page was shown. Showing the draft does nothing
        // yet, and it is not lost.
        let refusal = "The page was of an earlier session; look at the draft and go on.";
        let refusal = Some(refusal.to_owned());
        return Ok(show(state, page, &draft, StatusCode::FORBIDDEN, refusal).await);
    }
    match action(&page.form) {
        DraftAction::Update => {}
        DraftAction::Show(section) if draft.unread_text.is_none() => draft.section = section,
        DraftAction::Show(_) => {}
        DraftAction::Add(pointer) => overlay::add_item(&mut draft.document, pointer),
        DraftAction::Remove(pointer) => overlay::remove_item(&mut draft.document, pointer),
        DraftAction::Accept => return Ok(accept(state, page, draft).await),
    }
    Ok(show(state, page, &draft, StatusCode::OK, None).await)
}

/// The hidden fields of a draft that came with a sign-in; none where there was no draft.
pub(super) fn carried_fields(form: &form::FormFields) -> Vec<(String, String)> {
    let fields = CARRIED_FIELDS.iter().filter_map(|name| {
        let value = form.find(name)?;
        Some(((*name).to_owned(), value.to_owned()))
    });
    let fields = fields.collect::<Vec<_>>();
    let complete = fields.iter().any(|(name, _)| name == "draft");
    if complete { fields } else { Vec::new() }
}

/// The hidden fields of a draft form whose session has ended, with what was typed put in.
pub(super) fn carried_after_typing(form: &form::FormFields) -> Vec<(String, String)> {
    read(form).map(|it| it.carried()).unwrap_or_default()
}

/// A page from which a draft is opened again after a sign-in. It has no token of the new session,
/// which is checked where the draft is shown.
pub(super) fn resume(carried: &[(String, String)]) -> reply::ConsoleResponse {
    let body = html! {
        main.narrow {
            h1 { "Signed in" }
            form method="post" action="/console/config/draft" {
                @for (name, value) in carried { input type="hidden" name=(name) value=(value); }
                button.main autofocus { "Go on with your draft" }
            }
        }
    };
    reply::page(StatusCode::OK, layout::bare("Signed in", &body))
}

async fn accept<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &pages::PageRequest<'_>,
    draft: draft::DraftState,
) -> reply::ConsoleResponse
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let checked = document::check_value("the draft", &draft.document);
    let document = match checked {
        Ok(document) if draft.unread_text.is_none() => document,
        _ => return show(state, page, &draft, StatusCode::UNPROCESSABLE_ENTITY, None).await,
    };
    let proposal = model::ConfigProposal {
        base: draft.base,
        proposal: Some(proposal_id(&draft)),
        operator: page.session.operator.clone(),
        note: draft.note.clone(),
        document,
    };
    match state.keeper.propose(proposal).await {
        Ok(accepted) => reply::see_other(&format!("/console/config?accepted={}", accepted.version)),
        Err(proposal::ProposalError::Conflict(conflict)) => {
            show_conflict(state, page, &draft, &conflict)
        }
        Err(error) => {
            let fault = fault::ConsoleFault::Proposal(error);
            show(state, page, &draft, fault.status(), Some(refusal(&fault))).await
        }
    }
}

fn show_conflict<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &pages::PageRequest<'_>,
    draft: &draft::DraftState,
    conflict: &model::ConfigConflict,
) -> reply::ConsoleResponse
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let carried = draft::DraftState {
        base: conflict.newest.version,
        document: canonical::to_value(&conflict.merged),
        ..draft.clone()
    };
    let content = conflict::content(conflict, &carried, &page.session);
    views::framed(state, page, StatusCode::CONFLICT, "Another operator was first", &content)
}

async fn show<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    page: &pages::PageRequest<'_>,
    draft: &draft::DraftState,
    status: StatusCode,
    refusal: Option<String>,
) -> reply::ConsoleResponse
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    let active = state.keeper.active();
    let base = base_document(state, &active, draft.base).await;
    let checked = document::check_value("the draft", &draft.document);
    let mut faults = checked.err().map(|it| it.faults).unwrap_or_default();
    if let Some(text) = &draft.unread_text
        && let Err(unread) = schema_check::parse("the text", text)
    {
        faults.splice(0..0, unread.faults);
    }
    let review = draft::DraftReview {
        faults,
        changes: base.map(|it| changes::between_values(&it, &draft.document)),
        newest: Some(active.version).filter(|it| draft.base < *it),
        refusal,
    };
    let content = draft::content(draft, &review, &page.session);
    views::framed(state, page, status, "Edit the configuration", &content)
}

/// The document that a draft builds on; the table has it when it is not in force any more.
async fn base_document<T, L, H>(
    state: &console::ConsoleState<T, L, H>,
    active: &active::ActiveConfig,
    base: ids::ConfigVersion,
) -> Option<Value>
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    if base == active.version {
        return Some(canonical::to_value(&active.document));
    }
    let row = state.keeper.version(base).await.ok()??;
    Some(canonical::to_value(&row.document))
}

fn read(form: &form::FormFields) -> Result<draft::DraftState, fault::ConsoleFault> {
    let unreadable = |what: &str| fault::ConsoleFault::Unreadable(format!("no {what} in the form"));
    let mut document =
        serde_json::from_str::<Value>(form.value("draft")).map_err(|_| unreadable("draft"))?;
    overlay::apply(&mut document, form);
    let mut unread_text = None;
    if let Some(text) = form.find(DOCUMENT_TEXT) {
        match schema_check::parse("the text", text) {
            Ok(parsed) if parsed.is_object() => document = parsed,
            _ => unread_text = Some(text.to_owned()),
        }
    }
    Ok(draft::DraftState {
        base: form.value("base").parse().map_err(|_| unreadable("base"))?,
        nonce: form.value("nonce").parse().map_err(|_| unreadable("nonce"))?,
        note: form.value("note").to_owned(),
        section: form.value("section").parse().unwrap_or_default(),
        document,
        unread_text,
    })
}

fn action(form: &form::FormFields) -> DraftAction<'_> {
    let text = form.value("action");
    match text.split_once(':') {
        Some(("section", name)) => name.parse().map_or(DraftAction::Update, DraftAction::Show),
        Some(("add", pointer)) => DraftAction::Add(pointer),
        Some(("remove", pointer)) => DraftAction::Remove(pointer),
        _ if text == "accept" => DraftAction::Accept,
        _ => DraftAction::Update,
    }
}

/// The same for the same content: a form sent again after a lost answer is known again, and one
/// that was edited in between is not taken for it.
fn proposal_id(draft: &draft::DraftState) -> ids::ProposalId {
    let content = format!("{}\n{}\n{}", draft.base, draft.note, draft.document);
    Uuid::new_v5(&draft.nonce, content.as_bytes())
}

fn refusal(fault: &fault::ConsoleFault) -> String {
    match fault {
        fault::ConsoleFault::Proposal(proposal::ProposalError::Unsettled { fault, .. }) => format!(
            "The table service gave no answer: the draft may or may not be accepted ({fault}). \
             Press Accept again; if it was accepted, that will find it, and nothing is written twice."
        ),
        fault::ConsoleFault::Proposal(proposal::ProposalError::NotWritten(fault)) => format!(
            "The table service could not be reached; nothing was written ({fault}). \
             The draft stays here: press Accept again later."
        ),
        fault => fault.to_string(),
    }
}
