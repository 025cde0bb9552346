//! Editing in the browser: the draft, its faults, the conflict; nothing typed is lost.

mod support;

use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_schema::model;
use almondpass_standin::fault;
use http::StatusCode;
use tokio::time;

const QUEUED_JOBS: &str = "number:/accounts/0/limits/queued_jobs";
const NAME: &str = "required-text:/accounts/0/name";

#[tokio::test(start_paused = true)]
async fn a_limit_is_changed_and_in_force() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let page = browser.edit().await;
    let page = browser.go_on(&page, &[], "section:limits").await;
    assert!(page.body.contains(QUEUED_JOBS), "the limits are not shown");

    let page = browser.go_on(&page, &[(QUEUED_JOBS, "77")], "update").await;
    assert!(page.shows("accounts[gujarat-grid].limits.queued_jobs"), "no difference shown");
    let answer = browser.go_on(&page, &[("note", "fewer")], "accept").await;

    assert_eq!(answer.status, StatusCode::SEE_OTHER, "{}", answer.body);
    let row = instance.keeper.version(2).await.unwrap().unwrap();
    assert_eq!((row.operator.as_str(), row.note.as_str()), (support::OPERATOR, "fewer"));
    assert_eq!(instance.keeper.active().document.accounts[0].limits.queued_jobs, 77);
}

#[tokio::test(start_paused = true)]
async fn rubbish_is_kept_and_named() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let page = browser.edit().await;
    let page = browser.go_on(&page, &[], "section:limits").await;
    let page = browser.go_on(&page, &[(QUEUED_JOBS, "many")], "accept").await;
    assert_eq!(page.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(page.body.contains("value=\"many\""), "what was typed is gone");
    assert!(page.body.contains("expected a value of type integer, found &quot;many&quot;"));
    assert_eq!(instance.keeper.active().version, 1);
}

#[tokio::test(start_paused = true)]
async fn text_that_is_no_yaml_is_kept() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let page = browser.edit().await;
    let page = browser.go_on(&page, &[], "section:document").await;
    let text = "site: [unfinished\nmy long work";
    let page = browser.go_on(&page, &[("document_text", text)], "section:limits").await;
    assert!(page.body.contains(text), "what was typed is gone");
    let page = browser.go_on(&page, &[("document_text", text)], "accept").await;
    assert_eq!(page.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(page.body.contains(text), "what was typed is gone");
}

#[tokio::test(start_paused = true)]
async fn accounts_and_shapes_are_added_and_removed() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let page = browser.edit().await;
    let page = browser.go_on(&page, &[], "remove:/accounts/3").await;
    let page = browser.go_on(&page, &[], "add:/accounts").await;
    let typed = [
        ("required-text:/accounts/3/id", "porbandar"),
        ("required-text:/accounts/3/name", "Porbandar port"),
        ("new-key:/accounts/3/keys", "a key in clear"),
    ];
    let page = browser.go_on(&page, &typed, "section:shapes").await;
    assert!(!page.body.contains("a key in clear"), "the key is shown");
    let page = browser.go_on(&page, &[], "add:/accounts/3/guarantees").await;
    let typed = [("required-text:/accounts/3/guarantees/0/name", "checks")];
    let answer = browser.go_on(&page, &typed, "accept").await;
    assert_eq!(answer.status, StatusCode::SEE_OTHER, "{}", answer.body);

    let document = &instance.keeper.active().document;
    let added = document.accounts.last().unwrap();
    assert_eq!((added.id.as_str(), added.guarantees.len()), ("porbandar", 1));
    assert_eq!(added.keys[0].len(), 64);
    assert!(!document.accounts.iter().any(|it| it.id == "narmada-works"));
}

#[tokio::test(start_paused = true)]
async fn the_second_operator_sees_both_changes_and_loses_nothing() {
    // Symptom: an hour of typing is gone because someone else accepted first.
    // Sequence: two operators edit version 1, one accepts, then the other.
    // Cause: the refused form is dropped, or overwrites the other's change.
    let (site, instance) = support::ConsoleSite::started().await;
    let other = site.instance("instance-2", "cluster key");
    time::sleep(Duration::from_secs(2)).await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let nino = support::Browser::sign_in_as(&other.console, "nino", "another password").await;
    let page = browser.edit().await;
    let theirs = nino.edit().await;
    let theirs = nino.go_on(&theirs, &[(QUEUED_JOBS, "55")], "accept").await;
    assert_eq!(theirs.status, StatusCode::SEE_OTHER, "{}", theirs.body);

    let typed = [(NAME, "Gujarat grid, renamed"), ("note", "rename")];
    let page = browser.go_on(&page, &typed, "accept").await;

    assert_eq!(page.status, StatusCode::CONFLICT);
    for shown in ["nino", "accounts[gujarat-grid].limits.queued_jobs", "Gujarat grid, renamed"] {
        assert!(page.shows(shown), "{shown} is not shown");
    }
    assert_eq!(page.hidden("note"), "rename");
    let page = browser.go_on(&page, &[], "update").await;
    let answer = browser.go_on(&page, &[("note", "rename")], "accept").await;
    assert_eq!(answer.status, StatusCode::SEE_OTHER, "{}", answer.body);
    let document = &instance.keeper.active().document;
    assert_eq!(document.accounts[0].limits.queued_jobs, 55);
    assert_eq!(document.accounts[0].name, "Gujarat grid, renamed");
    assert_eq!(instance.keeper.active().version, 3);
}

#[tokio::test(start_paused = true)]
async fn a_draft_outlives_its_session() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let page = browser.edit().await;
    time::sleep(Duration::from_secs(9 * 60 * 60)).await;
    let refused = browser.go_on(&page, &[(NAME, "typed late")], "accept").await;
    assert_eq!(refused.status, StatusCode::UNAUTHORIZED);

    let names = ["base", "nonce", "note", "section", "draft"];
    let carried = names.map(|it| (it, refused.hidden(it)));
    let mut fields = carried.iter().map(|(it, value)| (*it, value.as_str())).collect::<Vec<_>>();
    let draft = fields.clone();
    fields.extend([("operator", support::OPERATOR), ("password", support::PASSWORD)]);
    let signed_in = support::post(&instance.console, "/console/sign-in", "", &fields).await;
    assert_eq!(signed_in.status, StatusCode::OK);
    let browser = support::Browser { console: &instance.console, cookie: signed_in.cookie() };
    let page = browser.post("/console/config/draft", &draft).await;
    assert!(page.body.contains("typed late"), "what was typed is gone");
    let answer = browser.go_on(&page, &[], "accept").await;
    assert_eq!(answer.status, StatusCode::SEE_OTHER, "{}", answer.body);
    assert_eq!(instance.keeper.active().document.accounts[0].name, "typed late");
}

#[tokio::test(start_paused = true)]
async fn store_outage_keeps_the_draft_and_the_second_press_settles_it() {
    let (site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let page = browser.edit().await;
    site.table.faults().inject_next(
        model::TableTransaction::PATH,
        fault::Fault::DelayedEffect(Duration::from_millis(1)),
    );
    let faults = site.table.faults().clone();
    tokio::spawn(async move {
        time::sleep(Duration::from_millis(2)).await;
        faults.set(fault::Condition::Refusing);
    });
    let page = browser.go_on(&page, &[(NAME, "through the outage")], "accept").await;
    assert_eq!(page.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(page.body.contains("may or may not be accepted"), "{}", page.body);

    site.table.faults().set(fault::Condition::Up);
    let answer = browser.go_on(&page, &[(NAME, "through the outage")], "accept").await;
    assert_eq!(answer.status, StatusCode::SEE_OTHER, "{}", answer.body);
    assert_eq!(instance.keeper.active().version, 2);
}

#[tokio::test(start_paused = true)]
async fn names_are_escaped() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let page = browser.edit().await;
    let name = "<script>alert(1)</script>\"><b>";
    let page = browser.go_on(&page, &[(NAME, name), ("note", name)], "accept").await;
    assert_eq!(page.status, StatusCode::SEE_OTHER);
    for path in ["/console", "/console/config", "/console/config/history", "/console/config/edit"] {
        let page = browser.get(path).await;
        assert!(!page.body.contains("<script"), "{path}");
        assert!(!page.body.contains("\"><b>"), "{path}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_first_configuration_is_pasted_whole() {
    let site = support::ConsoleSite::new();
    let instance = site.instance("instance-1", "cluster key");
    let browser = support::Browser::sign_in(&instance.console).await;
    let overview = browser.get("/console").await;
    assert!(overview.shows("No configuration is in force"));
    let page = browser.edit().await;
    let page = browser.go_on(&page, &[], "section:document").await;
    let example = include_str!("../../../examples/association.config.yaml");
    let answer = browser.go_on(&page, &[("document_text", example)], "accept").await;
    assert_eq!(answer.status, StatusCode::SEE_OTHER, "{}", answer.body);
    assert_eq!(instance.keeper.active().document.site, "association");
}
