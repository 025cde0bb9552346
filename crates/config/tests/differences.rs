//! Differences of two versions: by path, as a text, and carried over from one base to another.

use almondpass_config::{canonical, changes, document, merge};
use almondpass_schema::model;

const LABORATORIES: &str = include_str!("../../../examples/laboratories.config.yaml");

fn laboratories() -> model::ConfigDocument {
    document::check("laboratories", LABORATORIES).unwrap()
}

fn edited(edit: impl FnOnce(&mut model::ConfigDocument)) -> model::ConfigDocument {
    let mut document = laboratories();
    edit(&mut document);
    document
}

fn listed(changes: &[model::ConfigChange]) -> String {
    let shown = |it: &Option<String>| it.clone().unwrap_or_else(|| "-".to_owned());
    let lines = changes
        .iter()
        .map(|it| format!("{}: {} => {}", it.path, shown(&it.before), shown(&it.after)));
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn changes_are_named_by_what_they_change() {
    let after = edited(|it| {
        it.objective.completion_time = 0.4;
        it.accounts.remove(1);
        it.accounts[0].guarantees[0].accelerators = 48;
        it.accounts[0].keys.push("ab".repeat(32));
        it.halls[0].racks.reverse();
        it.upstreams[0].halls.pop();
        it.classes[0].name = "fault-diagnosis".to_owned();
    });
    insta::assert_snapshot!(listed(&changes::between(&laboratories(), &after)));
}

#[test]
fn text_shows_the_lines_that_changed() {
    let after = edited(|it| it.accounts[2].limits.accelerators = None);
    insta::assert_snapshot!(changes::unified(&laboratories(), &after));
}

#[test]
fn canonical_text_reads_back_the_same() {
    let document = laboratories();
    let text = canonical::to_yaml(&document);
    assert_eq!(document::check("canonical", &text).unwrap(), document);
}

/// Carries `yours` over to `theirs` and returns the changes since the base, and what both changed.
fn carried(
    theirs: impl FnOnce(&mut model::ConfigDocument),
    yours: impl FnOnce(&mut model::ConfigDocument),
) -> String {
    let base = laboratories();
    let draft = merge::carry_over(&base, &edited(theirs), &edited(yours));
    let changes = listed(&changes::between(&base, &draft.document));
    format!("{changes}\nboth: {:?}", draft.both)
}

#[test]
fn changes_of_both_stand_beside_each_other() {
    let merged = carried(
        |it| {
            it.accounts[0].limits.queued_jobs = 1;
            it.upstreams[0].halls.pop();
            it.classes.remove(1);
        },
        |it| {
            it.accounts[0].limits.running_requests = 2;
            it.accounts.remove(3);
            let mut account = it.accounts[0].clone();
            account.id = "new".to_owned();
            it.accounts.push(account);
        },
    );
    insta::assert_snapshot!(merged);
}

#[test]
fn yours_stands_where_both_changed_one_path() {
    let merged = carried(
        |it| {
            it.accounts[0].limits.queued_jobs = 1;
            it.accounts.remove(1);
        },
        |it| {
            it.accounts[0].limits.queued_jobs = 2;
            it.accounts[1].limits.queued_jobs = 3;
        },
    );
    insta::assert_snapshot!(merged);
}
