//! The draft: one section's inputs beside the differences from the version it builds on.

use almondpass_schema::{ids, model};
use maud::{Markup, html};
use serde_json::Value;

use crate::page::{changes, input, layout, sections};
use crate::session;

/// A draft as it travels in the form.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DraftState {
    /// The version it builds on.
    pub(crate) base: ids::ConfigVersion,
    /// Names the draft for as long as it is edited.
    pub(crate) nonce: ids::ProposalId,
    /// The operator's reason.
    pub(crate) note: String,
    /// The section that is shown.
    pub(crate) section: sections::DraftSection,
    /// The document, which need not have the right form yet.
    pub(crate) document: Value,
    /// Text of the whole document that could not be read, kept as it was typed.
    pub(crate) unread_text: Option<String>,
}

/// What stands beside the inputs.
#[derive(Clone, Debug, Default)]
pub(crate) struct DraftReview {
    /// What is wrong with the draft.
    pub(crate) faults: Vec<model::ConfigFault>,
    /// What it changes; absent where its base could not be read.
    pub(crate) changes: Option<Vec<model::ConfigChange>>,
    /// The newest version, where it is not the base any more.
    pub(crate) newest: Option<ids::ConfigVersion>,
    /// Why the last accept did not succeed.
    pub(crate) refusal: Option<String>,
}

impl DraftReview {
    /// Whether there is something to accept, and nothing wrong with it.
    fn can_be_accepted(&self) -> bool {
        let unchanged = self.changes.as_ref().is_some_and(Vec::is_empty);
        self.faults.is_empty() && !unchanged
    }
}

impl DraftState {
    /// The hidden fields that carry the draft from page to page.
    pub(crate) fn carried(&self) -> Vec<(String, String)> {
        let fields = [
            ("base", self.base.to_string()),
            ("nonce", self.nonce.to_string()),
            ("note", self.note.clone()),
            ("section", self.section.as_str().to_owned()),
            ("draft", self.document.to_string()),
        ];
        fields.map(|(name, value)| (name.to_owned(), value)).to_vec()
    }
}

/// The page's content.
pub(crate) fn content(
    draft: &DraftState,
    review: &DraftReview,
    session: &session::OperatorSession,
) -> Markup {
    let set = input::InputSet { draft: &draft.document, faults: &review.faults };
    let text = draft.unread_text.clone();
    let text =
        text.unwrap_or_else(|| almondpass_config::canonical::value_to_yaml(draft.document.clone()));
    html! {
        form.draft method="post" action="/console/config/draft" {
            (layout::csrf_field(session))
            @for (name, value) in draft.carried() {
                @if name != "note" { input type="hidden" name=(name) value=(value); }
            }
            // The first button is the one that the Enter key presses.
            button.default name="action" value="update" tabindex="-1" aria-hidden="true" { "Update" }
            (tabs(draft.section))
            div.columns {
                section.inputs {
                    (draft.section.inputs(&set, &text))
                    p { button name="action" value="update" { "Check and show changes" } }
                }
                aside {
                    (review_column(draft, review))
                }
            }
        }
    }
}

fn tabs(current: sections::DraftSection) -> Markup {
    html! {
        div.tabs role="tablist" {
            @for section in sections::DraftSection::ALL {
                button.tab.here[section == current] name="action"
                    value=(format!("section:{}", section.as_str())) { (section.label()) }
            }
        }
    }
}

fn review_column(draft: &DraftState, review: &DraftReview) -> Markup {
    html! {
        @if let Some(refusal) = &review.refusal { p.fault role="alert" { (refusal) } }
        @if let Some(newest) = review.newest {
            p.notice {
                "Version " (newest) " was accepted meanwhile. Accepting shows both changes first."
            }
        }
        h2 { "Changes to version " (draft.base) }
        @match &review.changes {
            Some(changed) => { (changes::table(changed, &[])) }
            None => { p.notice { "Version " (draft.base) " could not be read to compare with." } }
        }
        @if review.faults.is_empty() {
            p.done { "The document is right." }
        } @else {
            h2 { (review.faults.len()) " to mend" }
            (faults(&review.faults))
        }
        label { "Note for the history" input type="text" name="note" value=(draft.note) maxlength="200"; }
        button.main name="action" value="accept" disabled[!review.can_be_accepted()] {
            "Accept as version " (draft.base + 1)
        }
    }
}

fn faults(faults: &[model::ConfigFault]) -> Markup {
    html! {
        ul.faults {
            @for fault in faults {
                li {
                    strong { (changes::breakable(&fault.path)) }
                    " expected " (fault.expected) ", found " (fault.found)
                }
            }
        }
    }
}
