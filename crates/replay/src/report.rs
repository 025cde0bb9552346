//! Tables for people.

use std::fmt::Write;

use clap::ValueEnum;
use comfy_table::{Table, presets};

use crate::compare;
use crate::tally;

/// One pair of tables for each site and load.
pub fn tables(cells: &[compare::CompareCell]) -> String {
    let mut text = String::new();
    let mut rest = cells;
    while let Some(first) = rest.first() {
        let same = |it: &&compare::CompareCell| it.site == first.site && it.load == first.load;
        let n_same = rest.iter().take_while(same).count();
        let (group, others) = rest.split_at(n_same);
        let site = value_name(first.site);
        writeln!(text, "\n### {site}, {}% offered load\n", first.load).expect("text grows");
        writeln!(text, "{}\n", class_table(group)).expect("text grows");
        writeln!(text, "{}", hall_table(group)).expect("text grows");
        rest = others;
    }
    text
}

fn class_table(cells: &[compare::CompareCell]) -> Table {
    let mut table = markdown_table();
    table.set_header([
        "class",
        "policy",
        "done",
        "failed",
        "open",
        "completion s p50",
        "p95",
        "p99",
        "slowdown p50",
        "p95",
        "p99",
        "start wait s p50",
        "p99",
    ]);
    let names = cells.first().map(|it| it.summary.classes.clone()).unwrap_or_default();
    for name in names.iter().map(|it| &it.class) {
        for cell in cells {
            let Some(class) = cell.summary.classes.iter().find(|it| it.class == *name) else {
                continue;
            };
            table.add_row([
                name.clone(),
                value_name(cell.policy),
                class.done.to_string(),
                class.failed.to_string(),
                class.unfinished.to_string(),
                number(class.completion_seconds.p50),
                number(class.completion_seconds.p95),
                number(class.completion_seconds.p99),
                number(class.slowdown.p50),
                number(class.slowdown.p95),
                number(class.slowdown.p99),
                number(class.start_wait_seconds.p50),
                number(class.start_wait_seconds.p99),
            ]);
        }
    }
    table
}

fn hall_table(cells: &[compare::CompareCell]) -> Table {
    let mut table = markdown_table();
    let mut header = vec!["measure".to_owned()];
    header.extend(cells.iter().map(|it| value_name(it.policy)));
    table.set_header(header);
    for (name, show) in HALL_ROWS {
        let mut row = vec![name.to_owned()];
        row.extend(cells.iter().map(|it| show(&it.summary)));
        table.add_row(row);
    }
    table
}

type HallRow = (&'static str, fn(&tally::ReplaySummary) -> String);

const HALL_ROWS: [HallRow; 15] = [
    ("fragmentation", |it| percent(it.fragmentation)),
    ("utilisation", |it| percent(it.utilisation)),
    ("lost work, share of held", |it| percent(it.lost_share)),
    ("lost work, accelerator hours", |it| number(it.lost_accelerator_hours)),
    ("gang wait s p50 / p95 / p99", |it| spread(&it.gang_wait_seconds)),
    ("gang delay s p50 / p95 / p99", |it| spread(&it.gang_delay_seconds)),
    ("claims", |it| it.reclaim_seconds.n.to_string()),
    ("claims within the bound", |it| percent(it.reclaim_met)),
    ("claims missed without a fault", |it| it.reclaims_missed_healthy.to_string()),
    ("claim wait s p50 / p95 / p99", |it| spread(&it.reclaim_seconds)),
    ("urgent starts within the bound", |it| percent(it.urgent_met)),
    ("requeued", |it| it.preemptions.to_string()),
    ("refused on arrival", |it| it.refused.to_string()),
    ("turn ms p50 / p95 / p99", |it| spread(&it.turn_milliseconds)),
    ("turn ms greatest", |it| number(it.turn_milliseconds.max)),
];

fn markdown_table() -> Table {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table
}

fn value_name(value: impl ValueEnum) -> String {
    value.to_possible_value().map(|it| it.get_name().to_owned()).unwrap_or_default()
}

fn spread(span: &tally::SpanSummary) -> String {
    format!("{} / {} / {}", number(span.p50), number(span.p95), number(span.p99))
}

fn percent(share: f64) -> String {
    format!("{:.2}%", 100.0 * share)
}

fn number(value: f64) -> String {
    if value < 10.0 {
        return format!("{value:.3}");
    }
    format!("{value:.1}")
}
