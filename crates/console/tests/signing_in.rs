//! Who may see and change what: sessions, forms of other sites, credentials of the API.

mod support;

use std::time::Duration;

use http::{Request, StatusCode, header};
use http_body_util::Full;
use tokio::time;

#[tokio::test(start_paused = true)]
async fn pages_ask_for_a_sign_in() {
    let (_site, instance) = support::ConsoleSite::started().await;
    for path in ["/console", "/console/config", "/console/halls/rajkot", "/console/nothing"] {
        let answer = support::get(&instance.console, path, "").await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{path}");
        assert!(!answer.body.contains("laboratories"), "{path} shows the site");
    }
}

#[tokio::test(start_paused = true)]
async fn wrong_passwords_are_refused() {
    let (_site, instance) = support::ConsoleSite::started().await;
    for (name, password) in [
        (support::OPERATOR, "guessed-password"),
        ("nobody", support::PASSWORD),
        ("nino", support::PASSWORD),
        ("", ""),
    ] {
        let fields = [("operator", name), ("password", password)];
        let answer = support::post(&instance.console, "/console/sign-in", "", &fields).await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
        assert_eq!(answer.cookie(), "");
        assert!(password.is_empty() || !answer.body.contains(password));
    }
}

#[tokio::test(start_paused = true)]
async fn every_instance_accepts_the_session() {
    // Symptom: operators are signed out whenever the balancer picks another instance.
    // Sequence: sign in at one instance, ask another.
    // Cause: sessions kept in the memory of one instance.
    let (site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let other = site.instance("instance-2", "cluster key");
    assert_eq!(support::get(&other.console, "/console", &browser.cookie).await.status, 200);
    let foreign = site.instance("instance-3", "key of another cluster");
    assert_eq!(support::get(&foreign.console, "/console", &browser.cookie).await.status, 401);
}

#[tokio::test(start_paused = true)]
async fn cookies_are_out_of_reach_of_scripts_and_other_sites() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let fields = [("operator", support::OPERATOR), ("password", support::PASSWORD)];
    let answer = support::post(&instance.console, "/console/sign-in", "", &fields).await;
    let cookie = answer.header(header::SET_COOKIE);
    for attribute in ["HttpOnly", "SameSite=Strict", "Path=/console"] {
        assert!(cookie.contains(attribute), "{cookie}");
    }
}

#[tokio::test(start_paused = true)]
async fn sessions_end() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    time::sleep(Duration::from_secs(8 * 60 * 60 - 1)).await;
    assert_eq!(browser.get("/console").await.status, 200);
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(browser.get("/console").await.status, 401);
}

#[tokio::test(start_paused = true)]
async fn changed_cookies_are_refused() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let token = browser.cookie.split_once('=').unwrap().1;
    let parts = token.split('.').collect::<Vec<_>>();
    let [name, expires, nonce, signature] = parts[..] else { panic!("{token}") };
    let later = expires.parse::<u64>().unwrap() + 1;
    for changed in [
        format!("{name}.{later}.{nonce}.{signature}"),
        format!("bmlubw.{expires}.{nonce}.{signature}"),
        format!("{name}.{expires}.{nonce}."),
        format!("{name}.{expires}.{nonce}.zz"),
        "...".to_owned(),
    ] {
        let cookie = format!("almondpass-session={changed}");
        let answer = support::get(&instance.console, "/console", &cookie).await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{changed}");
    }
}

#[tokio::test(start_paused = true)]
async fn forms_of_other_sites_change_nothing() {
    // Symptom: a worker is drained though no operator asked for it.
    // Sequence: an operator who is signed in opens a page of another site, which sends our form.
    // Cause: the browser adds the cookie by itself; only the token proves whose form it is.
    let (_site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let nino = support::Browser::sign_in_as(&instance.console, "nino", "another password").await;
    let foreign = nino.edit().await.hidden("csrf");
    for csrf in ["", foreign.as_str()] {
        let fields = [("worker", "rajkot-r1-01"), ("change", "begin"), ("csrf", csrf)];
        assert_eq!(browser.post("/console/drains", &fields).await.status, StatusCode::FORBIDDEN);
    }
    let page = nino.edit().await;
    let answer = browser.go_on(&page, &[], "accept").await;
    assert_eq!(answer.status, StatusCode::FORBIDDEN);
    assert_eq!(instance.keeper.active().version, 1);
}

#[tokio::test(start_paused = true)]
async fn api_wants_credentials_of_its_own() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let answer = browser.get("/v1/config").await;
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    assert!(answer.header(header::WWW_AUTHENTICATE).starts_with("Basic"));

    for (authorization, status) in [
        (format!("Bearer {}", support::PASSWORD), 200),
        ("Bearer wrong".to_owned(), 401),
        ("Basic !!!".to_owned(), 401),
        ("Bearer gujarat-grid-example-key".to_owned(), 401),
    ] {
        let request = Request::get("/v1/config").header(header::AUTHORIZATION, &authorization);
        let request = request.body(Full::default()).unwrap();
        assert_eq!(
            support::send(&instance.console, request).await.status,
            status,
            "{authorization}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn pages_permit_nothing_but_their_style() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let answer = browser.get("/console").await;
    let policy = answer.header(header::CONTENT_SECURITY_POLICY);
    assert!(policy.starts_with("default-src 'none'; style-src 'sha256-"), "{policy}");
    assert_eq!(answer.header(header::CACHE_CONTROL), "no-store");
    assert!(!answer.body.contains("style=\""), "a style that the policy forbids");
    assert!(!answer.body.contains("<script"));
}
