//! Histograms for each client account and job class.

use maud::{Markup, html};

use crate::histogram;

/// Height of the tallest bar.
const HEIGHT: usize = 36;
/// Width of a bar with its gap.
const STEP: usize = 7;

/// All histograms of this instance, grouped by what they measure.
pub(crate) fn content(instance: &str, summaries: &[histogram::HistogramSummary]) -> Markup {
    let groups = summaries.chunk_by(|left, right| left.name.metric == right.name.metric);
    html! {
        p {
            "As recorded by this instance, " strong { (instance) } ", since it started. Each bar stands for "
            "times up to twice as long as the one before. The whole fleet's are in /metrics of all instances together."
        }
        @if summaries.is_empty() { p { "Nothing is recorded yet." } }
        @for group in groups {
            h2 { (group[0].name.metric) }
            table {
                thead { tr {
                    th { "Account" } th { "Class" } th.number { "Count" } th.number { "Median" }
                    th.number { "95th" } th.number { "99th" } th.number { "Longest" } th { "Spread, " (seconds(histogram::HistogramBook::bar_end(0))) " to " (seconds(histogram::HistogramBook::bar_end(histogram::N_BARS - 2))) }
                } }
                tbody {
                    @for summary in group {
                        tr {
                            td { (summary.name.account) }
                            td { (summary.name.class) }
                            td.number { (summary.count) }
                            @for time in [summary.p50, summary.p95, summary.p99, summary.max] {
                                td.number { (seconds(time)) }
                            }
                            td { (bars(summary)) }
                        }
                    }
                }
            }
        }
    }
}

fn bars(summary: &histogram::HistogramSummary) -> Markup {
    let tallest = summary.bars.iter().copied().max().unwrap_or(0).max(1);
    let bars = summary.bars.iter().enumerate().filter(|(_, it)| 0 < **it);
    let height = |count: u64| {
        let share = count as f64 / tallest as f64;
        ((share * HEIGHT as f64).ceil() as usize).max(1)
    };
    let width = histogram::N_BARS * STEP;
    html! {
        svg.bars width=(width) height=(HEIGHT + 1) role="img" aria-label="Spread of the times" {
            rect.base y=(HEIGHT) width=(width) height="1" {}
            @for (index, count) in bars {
                rect.bar x=(index * STEP) y=(HEIGHT - height(*count))
                    width=(STEP - 1) height=(height(*count)) {
                    title { (count) " up to " (seconds(histogram::HistogramBook::bar_end(index))) }
                }
            }
        }
    }
}

fn seconds(time: f64) -> String {
    if time < 0.001 {
        return format!("{:.0} µs", time * 1e6);
    }
    if time < 1.0 {
        return format!("{:.0} ms", time * 1e3);
    }
    if time < 120.0 {
        return format!("{time:.1} s");
    }
    if time < 7200.0 {
        return format!("{:.1} min", time / 60.0);
    }
    format!("{:.1} h", time / 3600.0)
}
