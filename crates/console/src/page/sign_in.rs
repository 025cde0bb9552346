//! Sign-in.

use maud::{Markup, html};

use crate::page::layout;

/// The sign-in form; `carried` are the hidden fields of a form that was sent when the session
/// had ended, so that what was typed there is not lost.
pub(crate) fn page(failed: bool, carried: &[(String, String)]) -> Markup {
    let body = html! {
        main.narrow {
            h1 { "almondpass" }
            @if !carried.is_empty() {
                p.notice { "The session has ended. Your draft is kept and opens after sign-in." }
            }
            @if failed {
                p.fault role="alert" { "Expected the name and password of an operator, found others." }
            }
            form method="post" action="/console/sign-in" {
                @for (name, value) in carried {
                    input type="hidden" name=(name) value=(value);
                }
                label { "Operator" input name="operator" autocomplete="username" required autofocus; }
                label {
                    "Password"
                    input name="password" type="password" autocomplete="current-password" required;
                }
                button.main { "Sign in" }
            }
        }
    };
    layout::bare("Sign in", &body)
}
