//! Sessions as signed cookies. Instances keep nothing and stand behind a balancer, so every
//! instance must accept what another one signed, without asking.

use std::fmt;
use std::time::Duration;

use almondpass_schema::{model, time};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use cookie::{Cookie, SameSite};
use hmac::{Hmac, KeyInit, Mac};
use http::header;
use rand::Rng;
use sha2::Sha256;

use crate::operators;

/// How long a session lasts.
const SESSION_TERM: Duration = Duration::from_secs(8 * 60 * 60);
/// Name of the cookie.
const COOKIE_NAME: &str = "almondpass-session";
/// Only pages of the console get the cookie; the operators' API never does.
const COOKIE_PATH: &str = "/console";
/// Keeps keys derived from the cluster key apart by what they are for.
const KEY_PURPOSE: &[u8] = b"almondpass console session, version 1";
/// Bytes of a session's random part.
const NONCE_BYTES: usize = 16;

/// Signs and checks sessions with a key that all instances derive from the cluster key.
#[derive(Clone)]
pub(crate) struct SessionSigner {
    mac: Hmac<Sha256>,
}

/// An operator who is signed in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OperatorSession {
    /// Name of the operator.
    pub(crate) operator: String,
    /// What the forms of this session carry, so that another site cannot make the operator's
    /// browser send them.
    pub(crate) csrf_token: String,
}

impl SessionSigner {
    pub(crate) fn new(cluster_key: &[u8]) -> SessionSigner {
        let derived = keyed(cluster_key).chain_update(KEY_PURPOSE).finalize().into_bytes();
        SessionSigner { mac: keyed(&derived) }
    }

    /// A cookie that signs `operator` in.
    pub(crate) fn sign_in(
        &self,
        operator: &model::OperatorSettings,
        now: time::WallTime,
        secure: bool,
    ) -> Cookie<'static> {
        let mut nonce = [0_u8; NONCE_BYTES];
        rand::rng().fill_bytes(&mut nonce);
        let name = URL_SAFE_NO_PAD.encode(&operator.name);
        let expires = (now + SESSION_TERM).0.as_secs();
        let content = format!("{name}.{expires}.{}", hex::encode(nonce));
        let signature = hex::encode(self.signature(&content, operator).finalize().into_bytes());
        cookie(format!("{content}.{signature}"), secure)
    }

    /// A cookie that signs the browser out.
    pub(crate) fn sign_out(secure: bool) -> Cookie<'static> {
        let mut cookie = cookie(String::new(), secure);
        cookie.make_removal();
        cookie
    }

    /// The session of a request, if its cookie is ours, not expired, and of an operator whose
    /// password is still the same.
    pub(crate) fn verify(
        &self,
        headers: &header::HeaderMap,
        operators: &operators::OperatorBook,
        now: time::WallTime,
    ) -> Option<OperatorSession> {
        let cookies = headers.get_all(header::COOKIE).iter();
        let mut cookies = cookies.filter_map(|it| it.to_str().ok()).flat_map(Cookie::split_parse);
        let token = cookies.find_map(|it| it.ok().filter(|it| it.name() == COOKIE_NAME))?;
        let (content, signature) = token.value().rsplit_once('.')?;
        let mut parts = content.split('.');
        let name = URL_SAFE_NO_PAD.decode(parts.next()?).ok()?;
        let expires = parts.next()?.parse::<u64>().ok()?;
        let operator = operators.find(std::str::from_utf8(&name).ok()?)?;
        let signature = hex::decode(signature).ok()?;
        self.signature(content, operator).verify_slice(&signature).ok()?;
        if expires <= now.0.as_secs() {
            return None;
        }
        let csrf_token = self.csrf_token(content);
        Some(OperatorSession { operator: operator.name.clone(), csrf_token })
    }

    fn signature(&self, content: &str, operator: &model::OperatorSettings) -> Hmac<Sha256> {
        let mac = self.mac.clone().chain_update(b"session\0").chain_update(content);
        mac.chain_update(b"\0").chain_update(&operator.password_sha256)
    }

    fn csrf_token(&self, content: &str) -> String {
        let mac = self.mac.clone().chain_update(b"form\0").chain_update(content);
        hex::encode(mac.finalize().into_bytes())
    }
}

impl OperatorSession {
    /// Whether a form came from a page of this session; takes the same time either way.
    pub(crate) fn owns_form(&self, csrf_token: &str) -> bool {
        subtle::ConstantTimeEq::ct_eq(self.csrf_token.as_bytes(), csrf_token.as_bytes()).into()
    }
}

impl fmt::Debug for SessionSigner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SessionSigner(..)")
    }
}

fn keyed(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("HMAC takes keys of any length")
}

fn cookie(value: String, secure: bool) -> Cookie<'static> {
    let max_age = cookie::time::Duration::seconds(SESSION_TERM.as_secs().cast_signed());
    Cookie::build((COOKIE_NAME, value))
        .path(COOKIE_PATH)
        .http_only(true)
        .same_site(SameSite::Strict)
        .secure(secure)
        .max_age(max_age)
        .build()
}
