//! Another operator was first: both changes, and the draft carried over.

use almondpass_schema::model;
use maud::{Markup, html};

use crate::page::{changes, draft, layout, queues};
use crate::session;

/// Shows both changes. `carried` is the draft on top of the newest version; nothing that was
/// typed is lost, and nothing is accepted until the operator says so again.
pub(crate) fn content(
    conflict: &model::ConfigConflict,
    carried: &draft::DraftState,
    session: &session::OperatorSession,
) -> Markup {
    let newest = &conflict.newest;
    html! {
        p.notice role="alert" {
            strong { (newest.operator) } " was first: version " (newest.version) " was accepted "
            (queues::clock(newest.accepted_at)) " while you edited version " (conflict.base) "."
            " Nothing of yours was written, and nothing is lost."
            @if !newest.note.is_empty() { br; "Their note: " q { (newest.note) } }
        }
        @if !conflict.both.is_empty() {
            p.fault {
                "Both of you changed: " strong { (conflict.both.join(", ")) }
                ". Carried over, your change stands there; look at it before you accept."
            }
        }
        div.columns.even {
            section {
                h2 { "Their changes to version " (conflict.base) }
                (changes::table(&conflict.theirs, &conflict.both))
            }
            section {
                h2 { "Your changes to version " (conflict.base) }
                (changes::table(&conflict.yours, &conflict.both))
            }
        }
        form.next method="post" action="/console/config/draft" {
            (layout::csrf_field(session))
            @for (name, value) in carried.carried() {
                input type="hidden" name=(name) value=(value);
            }
            button.main name="action" value="update" {
                "Carry your changes over to version " (newest.version)
            }
        }
        p { a href="/console/config/edit" { "Drop your changes and edit version " (newest.version) } }
    }
}
