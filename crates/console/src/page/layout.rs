//! The frame of every page.

use std::sync::LazyLock;

use almondpass_schema::ids;
use base64::Engine;
use base64::engine::general_purpose;
use http::HeaderValue;
use maud::{DOCTYPE, Markup, PreEscaped, html};
use sha2::{Digest, Sha256};

use crate::session;

const STYLE: &str = include_str!("style.css");

static POLICY: LazyLock<HeaderValue> = LazyLock::new(|| {
    let hash = general_purpose::STANDARD.encode(Sha256::digest(STYLE));
    let policy = format!(
        "default-src 'none'; style-src 'sha256-{hash}'; form-action 'self'; base-uri 'none'; \
         frame-ancestors 'none'"
    );
    HeaderValue::from_str(&policy).expect("the policy is plain ASCII")
});

/// What the frame shows of the site.
pub(crate) struct PageFrame<'a> {
    pub(crate) site: &'a str,
    pub(crate) halls: Vec<&'a ids::HallName>,
    pub(crate) session: &'a session::OperatorSession,
    /// Path of the page, for the navigation.
    pub(crate) path: &'a str,
}

/// Permits the one style sheet that stands in the page and nothing else.
pub(crate) fn content_security_policy() -> HeaderValue {
    POLICY.clone()
}

/// A page for an operator who is signed in.
pub(crate) fn framed(frame: &PageFrame<'_>, title: &str, content: &Markup) -> Markup {
    let body = html! {
        header {
            a.brand href="/console" { "almondpass" }
            @if !frame.site.is_empty() { span.site { (frame.site) } }
            (navigation(frame))
            form.sign-out method="post" action="/console/sign-out" {
                (csrf_field(frame.session))
                span { (frame.session.operator) }
                button.quiet { "Sign out" }
            }
        }
        main {
            h1 { (title) }
            (content)
        }
    };
    bare(title, &body)
}

/// A page without navigation.
pub(crate) fn bare(title: &str, body: &Markup) -> Markup {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { (title) " - almondpass" }
                style { (PreEscaped(STYLE)) }
            }
            body { (body) }
        }
    }
}

/// The hidden input by which a form proves that it comes from a page of this session.
pub(crate) fn csrf_field(session: &session::OperatorSession) -> Markup {
    html! { input type="hidden" name="csrf" value=(session.csrf_token); }
}

fn navigation(frame: &PageFrame<'_>) -> Markup {
    let links = [
        ("/console", "Overview"),
        ("/console/queues", "Queues"),
        ("/console/histograms", "Histograms"),
        ("/console/config", "Configuration"),
        ("/console/config/history", "History"),
    ];
    let halls = frame.halls.iter().map(|it| (format!("/console/halls/{it}"), it.as_str()));
    let halls = halls.collect::<Vec<_>>();
    let (overview, others) = links.split_at(1);
    let shown = overview.iter().map(|(path, label)| ((*path).to_owned(), *label));
    let shown = shown.chain(halls);
    let shown = shown.chain(others.iter().map(|(path, label)| ((*path).to_owned(), *label)));
    html! {
        nav {
            @for (path, label) in shown {
                @if path == frame.path { a.here href=(path) aria-current="page" { (label) } }
                @else { a href=(path) { (label) } }
            }
        }
    }
}
