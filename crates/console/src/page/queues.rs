//! Work that waits, with the reason for each wait.

use almondpass_schema::{model, time};
use maud::{Markup, html};

use crate::view;

/// The queues of all halls.
pub(crate) fn content(pictures: &[(String, view::PictureResult)], now: time::WallTime) -> Markup {
    html! {
        @for (hall, picture) in pictures {
            h2 { a href=(format!("/console/halls/{hall}")) { (hall) } }
            @match picture {
                Ok(picture) => { (table(&picture.queue, now)) }
                Err(error) => { p.fault { "The hall's scheduler did not answer: " (error) } }
            }
        }
    }
}

/// One hall's queue.
pub(crate) fn table(queue: &[model::QueueView], now: time::WallTime) -> Markup {
    html! {
        @if queue.is_empty() { p { "Nothing waits." } }
        @else {
            table {
                thead { tr {
                    th { "Account" } th { "Class" } th.number { "Waits for" } th { "Reason" }
                    th { "Expected end" } th { "Job" }
                } }
                tbody {
                    @for waiting in queue {
                        tr {
                            td.whole { (waiting.account) }
                            td.whole { (waiting.class) }
                            td.number.whole { (span(now, waiting.since)) }
                            td {
                                (waiting.reason.text) " "
                                span.code { (waiting.reason.code) }
                            }
                            td.whole { @if let Some(until) = waiting.reason.until { (clock(until)) } }
                            td.id.whole { (waiting.job) }
                        }
                    }
                }
            }
        }
    }
}

/// A point of time, to the second.
pub(crate) fn clock(time: time::WallTime) -> String {
    let text = time.to_string();
    let text = text.split('.').next().unwrap_or_default();
    text.replacen('T', " ", 1)
}

fn span(now: time::WallTime, since: time::WallTime) -> String {
    let seconds = now.since(since).as_secs();
    time::TimeSpan::from_secs(seconds).to_string()
}
