//! Hall schedulers on the paused clock, against the in-memory platform.

/// Names each case, gives it a site and pauses its clock.
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
