//! Whatever arrives on the operators' listener: the console answers, stays up, and changes nothing
//! that it should not. `ALMONDPASS_FUZZ_CASES=100000 cargo test -p almondpass-console --release
//! --test fuzz` runs longer; `ALMONDPASS_FUZZ_SEED` sets the seed.

mod support;

use http::{Method, Request, header};
use http_body_util::Full;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DEFAULT_CASES: u64 = 1500;

/// Pieces that decoders look for, to get past their first checks.
const PIECES: [&str; 24] = [
    "almondpass-session=",
    ".",
    "=",
    "&",
    "%",
    "%00",
    "%F0%9F",
    "/",
    "//",
    "~1",
    "-1",
    "18446744073709551616",
    "number:/",
    "lines:/accounts",
    "choices:/upstreams/0/halls=",
    "add:/",
    "remove:/accounts/0",
    "section:document",
    "Basic ",
    "Bearer ",
    "{\"",
    "[[[[",
    "&a [*a, *a]",
    "\u{0}",
];

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|it| it.parse().expect("a number"))
}

#[tokio::test(start_paused = true)]
async fn strangers_change_nothing() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let mut rng = ChaCha8Rng::seed_from_u64(setting("ALMONDPASS_FUZZ_SEED").unwrap_or(1));
    for _ in 0..setting("ALMONDPASS_FUZZ_CASES").unwrap_or(DEFAULT_CASES) {
        let request = Request::builder()
            .method(method(&mut rng))
            .uri(path(&mut rng))
            .header(header::COOKIE, header_text(&mut rng))
            .header(header::AUTHORIZATION, header_text(&mut rng));
        let Ok(request) = request.body(Full::from(text(&mut rng))) else { continue };
        let shown = format!("{request:?}");
        let answer = support::send(&instance.console, request).await;
        assert!(answer.status != 200, "{shown} was let in");
    }
    assert_eq!(instance.keeper.active().version, 1);
}

#[tokio::test(start_paused = true)]
async fn operators_cannot_break_the_console() {
    let (_site, instance) = support::ConsoleSite::started().await;
    let browser = support::Browser::sign_in(&instance.console).await;
    let page = browser.edit().await;
    let carried = ["csrf", "base", "nonce", "section", "draft"].map(|it| (it, page.hidden(it)));
    let mut rng = ChaCha8Rng::seed_from_u64(setting("ALMONDPASS_FUZZ_SEED").unwrap_or(2));
    for _ in 0..setting("ALMONDPASS_FUZZ_CASES").unwrap_or(DEFAULT_CASES) / 10 {
        let mut fields = carried.clone().map(|(name, value)| (name.to_owned(), value)).to_vec();
        fields.push((text(&mut rng), text(&mut rng)));
        fields.push((format!("number:/{}", text(&mut rng)), text(&mut rng)));
        fields.push(("action".to_owned(), text(&mut rng)));
        if rng.random_range(0..4) == 0 {
            let changed = rng.random_range(0..fields.len());
            fields[changed].1 = text(&mut rng);
        }
        if rng.random_range(0..4) == 0 {
            fields.push(("document_text".to_owned(), text(&mut rng)));
        }
        let fields = fields.iter().map(|(name, value)| (name.as_str(), value.as_str()));
        let fields = fields.collect::<Vec<_>>();
        let answer = browser.post("/console/config/draft", &fields).await;
        assert!(answer.status.as_u16() < 500, "{fields:?}");

        let body = text(&mut rng);
        let path = ["/v1/config", "/v1/config/check", "/v1/drains"][rng.random_range(0..3)];
        let answer = support::call_api(&instance.console, Method::POST, path, body.clone()).await;
        assert!(answer.status.is_client_error(), "{path} took {body:?}");
    }
    assert_eq!(instance.keeper.active().version, 1);
}

fn method(rng: &mut ChaCha8Rng) -> Method {
    [Method::GET, Method::POST, Method::DELETE, Method::HEAD, Method::PUT][rng.random_range(0..5)]
        .clone()
}

fn path(rng: &mut ChaCha8Rng) -> String {
    let paths = [
        "/console",
        "/console/config/draft",
        "/console/config/edit",
        "/console/drains",
        "/console/sign-in",
        "/console/halls/rajkot",
        "/v1/config",
        "/v1/drains",
        "/v1/halls",
    ];
    let path = paths[rng.random_range(0..paths.len())];
    if rng.random() { path.to_owned() } else { format!("{path}/{}", rng.random::<u16>()) }
}

fn header_text(rng: &mut ChaCha8Rng) -> Vec<u8> {
    text(rng).bytes().filter(|it| (32..127).contains(it)).collect()
}

fn text(rng: &mut ChaCha8Rng) -> String {
    let n_pieces = rng.random_range(0..8);
    let pieces = (0..n_pieces).map(|_| match rng.random_range(0..3) {
        0 => PIECES[rng.random_range(0..PIECES.len())].to_owned(),
        1 => rng.random::<u64>().to_string(),
        _ => (0..rng.random_range(1..12)).map(|_| rng.random::<char>()).collect(),
    });
    pieces.collect()
}
