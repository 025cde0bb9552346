//! Tests of hall schedulers with the clock paused and an in-memory platform.

/// Defines tests that run with the clock paused; each gets a new site under the given name.
macro_rules! cases {
    ($($(#[$comment:meta])* $name:ident($site:ident) $body:block)*) => {
        $(
            $(#[$comment])*
            #[tokio::test(start_paused = true)]
            async fn $name() {
                let $site = crate::support::TestSite::new();
                $body
            }
        )*
    };
}

mod changes;
mod gangs;
mod handover;
mod intents;
mod jobs;
mod outage;
mod ownership;
mod requests;
mod support;
mod takeover;
mod watching;
