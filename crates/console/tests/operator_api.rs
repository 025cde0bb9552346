//! The operators' JSON interface.

mod support;

use std::sync::Arc;
use std::time::Duration;

use almondpass_membership::snapshot;
use almondpass_schema::model;
use http::{Method, StatusCode, header};

async fn call(
    instance: &support::Instance,
    method: Method,
    path: &str,
    body: String,
) -> support::Answer {
    support::call_api(&instance.console, method, path, body).await
}

async fn get(instance: &support::Instance, path: &str) -> support::Answer {
    call(instance, Method::GET, path, String::new()).await
}

#[tokio::test(start_paused = true)]
async fn halls_workers_and_upstreams_are_listed() {
    let (site, instance) = support::ConsoleSite::started().await;
    let listing = get(&instance, "/v1/halls").await.json::<model::HallListing>();
    let sizes = listing.halls.iter().map(|it| (it.hall.as_str(), it.workers, it.accelerators));
    let expected = [("vadodara", 16, 128), ("rajkot", 16, 128), ("bharuch", 16, 128)];
    assert_eq!(sizes.collect::<Vec<_>>(), expected);
    let picture = get(&instance, "/v1/halls/rajkot").await.json::<model::HallPicture>();
    assert_eq!(picture.workers.len(), 16);
    assert_eq!(get(&instance, "/v1/halls/surat").await.status, StatusCode::NOT_FOUND);

    site.halls.silent.lock().unwrap().push("rajkot".to_owned());
    let answer = get(&instance, "/v1/halls/rajkot").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.header(header::RETRY_AFTER), "2");
    let listing = get(&instance, "/v1/workers").await.json::<model::WorkerListing>();
    let silent = listing.halls.iter().find(|it| it.hall == "rajkot").unwrap();
    assert!(silent.unavailable.is_some() && silent.workers.is_empty());
    let listing = get(&instance, "/v1/upstreams").await.json::<model::UpstreamListing>();
    assert_eq!(listing.upstreams[0].upstream, "oil-analysis");
}

#[tokio::test(start_paused = true)]
async fn proposals_are_accepted_refused_and_in_conflict() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let in_force = get(&instance, "/v1/config").await.json::<model::ConfigInForce>();
    assert_eq!(in_force.version, 1);
    let mut document = in_force.document.unwrap();

    document.accounts[0].limits.queued_jobs = 5;
    let proposal = serde_json::to_string(&support::proposal(1, &document)).unwrap();
    let answer = call(&instance, Method::POST, "/v1/config", proposal.clone()).await;
    assert_eq!(answer.json::<model::ConfigAccepted>().version, 2);
    let row = get(&instance, "/v1/config/2").await.json::<model::ConfigRow>();
    assert_eq!(row.operator, support::OPERATOR, "the name of who is signed in counts");

    let other = proposal.replace("\"queued_jobs\":5,", "\"queued_jobs\":6,");
    let answer = call(&instance, Method::POST, "/v1/config", other).await;
    assert_eq!(answer.status, StatusCode::CONFLICT);
    let conflict = answer.json::<model::ConfigConflict>();
    assert_eq!(conflict.both, ["accounts[gujarat-grid].limits.queued_jobs"]);

    document.accounts[0].limits.queued_jobs = 0;
    let wrong = serde_json::to_string(&support::proposal(2, &document)).unwrap();
    let answer = call(&instance, Method::POST, "/v1/config", wrong).await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    let faults = answer.json::<model::ConfigFaults>().faults;
    assert_eq!(faults[0].path, "accounts[gujarat-grid].limits.queued_jobs");

    let history = get(&instance, "/v1/config/history?limit=1").await;
    let history = history.json::<model::ConfigHistory>();
    assert_eq!((history.versions[0].version, history.before), (2, Some(2)));
}

#[tokio::test(start_paused = true)]
async fn documents_are_checked_without_being_proposed() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let example = include_str!("../../../examples/association.config.yaml").to_owned();
    let answer = call(&instance, Method::POST, "/v1/config/check", example.clone()).await;
    assert_eq!(answer.status, StatusCode::OK);
    let wrong = example.replace("site: association", "sites: association");
    let answer = call(&instance, Method::POST, "/v1/config/check", wrong).await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(answer.json::<model::ConfigFaults>().faults.len(), 2);
    assert_eq!(instance.keeper.active().version, 1);
}

#[tokio::test(start_paused = true)]
async fn drains_are_idempotent_and_go_on_top_of_other_changes() {
    // Symptom: a drain is refused, or takes another operator's change back.
    // Sequence: the instance that is asked has not heard of version 2 yet.
    // Cause: the drain is written on top of the version that this instance has.
    let (site, instance) = support::ConsoleSite::started().await;
    let stale = site.instance("instance-2", "cluster key");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut document = support::laboratories();
    document.accounts[0].limits.queued_jobs = 5;
    instance.keeper.propose(support::proposal(1, &document)).await.unwrap();
    assert_eq!(stale.keeper.active().version, 1);

    let drain = r#"{"worker": "rajkot-r1-01"}"#.to_owned();
    for _ in 0..2 {
        let answer = call(&stale, Method::POST, "/v1/drains", drain.clone()).await;
        let listing = answer.json::<model::DrainListing>();
        assert_eq!((listing.version, listing.drains.len()), (3, 1));
    }
    assert_eq!(stale.keeper.active().document.accounts[0].limits.queued_jobs, 5);

    let unknown = r#"{"worker": "rajkot-r9-01"}"#.to_owned();
    let answer = call(&stale, Method::POST, "/v1/drains", unknown).await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    for _ in 0..2 {
        let answer = call(&stale, Method::DELETE, "/v1/drains", drain.clone()).await;
        let listing = answer.json::<model::DrainListing>();
        assert_eq!((listing.version, listing.drains.len()), (4, 0));
    }
}

#[tokio::test(start_paused = true)]
async fn bad_requests_are_told_what_is_expected() {
    let (_site, instance) = support::ConsoleSite::started().await;
    for (method, path, body, status) in [
        (Method::GET, "/v1/nothing", String::new(), StatusCode::NOT_FOUND),
        (Method::GET, "/v1/config/first", String::new(), StatusCode::NOT_FOUND),
        (Method::GET, "/v1/config/99", String::new(), StatusCode::NOT_FOUND),
        (Method::GET, "/v1/config/history?before=x", String::new(), StatusCode::BAD_REQUEST),
        (Method::DELETE, "/v1/config", String::new(), StatusCode::METHOD_NOT_ALLOWED),
        (Method::POST, "/v1/halls", String::new(), StatusCode::METHOD_NOT_ALLOWED),
        (Method::POST, "/v1/config", "{".to_owned(), StatusCode::UNPROCESSABLE_ENTITY),
        (
            Method::POST,
            "/v1/drains",
            r#"{"hall": "x"}"#.to_owned(),
            StatusCode::UNPROCESSABLE_ENTITY,
        ),
        (Method::POST, "/v1/config", "x".repeat(3 << 20), StatusCode::PAYLOAD_TOO_LARGE),
    ] {
        let answer = call(&instance, method.clone(), path, body).await;
        assert_eq!(answer.status, status, "{method} {path}: {}", answer.body);
        assert!(answer.body.contains("expected"), "{method} {path}: {}", answer.body);
    }
}

#[tokio::test(start_paused = true)]
async fn versions_of_all_instances_are_shown() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let entry = |config_version| snapshot::MemberEntry {
        address: "127.0.0.1:7000".to_owned(),
        data_center: "rajkot".to_owned(),
        leaving: false,
        config_version,
    };
    let mut members = snapshot::MemberSnapshot::default();
    members.instances.insert("instance-1".to_owned(), entry(0));
    members.instances.insert("instance-2".to_owned(), entry(1));
    members.instances.insert("instance-3".to_owned(), entry(0));
    instance.members.send_replace(Arc::new(members));

    let in_force = get(&instance, "/v1/config").await.json::<model::ConfigInForce>();
    let versions = in_force.instances.iter().map(|it| it.version).collect::<Vec<_>>();
    assert_eq!(versions, [1, 1, 0]);
    let browser = support::Browser::sign_in(&instance.console).await;
    let page = browser.get("/console").await;
    assert!(page.body.contains("2 of 3"), "{}", page.body);
    assert!(page.body.contains("instance-3 has 0"));
}
