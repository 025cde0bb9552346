//! A page that says why there is no other.

use maud::{Markup, html};

/// What went wrong, and where to go on.
pub(crate) fn content(detail: &str) -> Markup {
    html! {
        p.fault role="alert" { (detail) }
        p { a href="/console" { "Go to the overview" } }
    }
}
