//! Histograms for each account and class.

mod support;

use almondpass_console::histogram;
use metrics::{Key, Label, Level, Metadata, Recorder};

fn record(book: &histogram::HistogramBook, labels: &[(&'static str, &'static str)], seconds: f64) {
    let labels = labels.iter().map(|(key, value)| Label::new(*key, *value)).collect::<Vec<_>>();
    let key = Key::from_parts("almondpass_completion_seconds", labels);
    let metadata = Metadata::new("tests", Level::INFO, None);
    book.register_histogram(&key, &metadata).record(seconds);
}

#[test]
fn times_are_summed_up_by_account_and_class() {
    let book = histogram::HistogramBook::new();
    for millis in 1..=100 {
        let labels = [("account", "rustavi-yards"), ("class", "gate-ticket")];
        record(&book, &labels, f64::from(millis) / 1000.0);
    }
    record(&book, &[("account", "rustavi-yards"), ("class", "reweigh-audit")], 3600.0);
    record(&book, &[("hall", "rustavi")], 1.0);

    let summaries = book.summaries();
    assert_eq!(summaries.len(), 2);
    let tickets = &summaries[0];
    assert_eq!((tickets.name.class.as_str(), tickets.count), ("gate-ticket", 100));
    assert!((tickets.p50 - 0.050).abs() < 0.001, "{}", tickets.p50);
    assert!((tickets.p99 - 0.099).abs() < 0.001, "{}", tickets.p99);
    assert_eq!(tickets.bars.iter().sum::<u64>(), 100);
    assert!((summaries[1].max - 3600.0).abs() < 36.0, "{}", summaries[1].max);
}

#[tokio::test(start_paused = true)]
async fn page_shows_them() {
    let (_site, instance) = support::ConsoleSite::started().await;
    record(&instance.histograms, &[("account", "kutch"), ("class", "diagnosis")], 0.25);
    let browser = support::Browser::sign_in(&instance.console).await;
    let page = browser.get("/console/histograms").await;
    // Two digits are kept; a time is shown as the longest that is not told apart from it.
    for shown in ["almondpass_completion_seconds", "kutch", "diagnosis", "251 ms"] {
        assert!(page.body.contains(shown), "{shown} is not shown");
    }
}
