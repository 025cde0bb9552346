//! Operators of the settings, and how their passwords are checked.

use almondpass_schema::model;
use base64::Engine;
use base64::engine::general_purpose;
use http::header;
use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

/// The operators that may sign in. They are apart from client accounts: no caller's key opens
/// the console.
#[derive(Clone, Debug)]
pub(crate) struct OperatorBook {
    operators: Vec<model::OperatorSettings>,
}

impl OperatorBook {
    pub(crate) fn new(operators: Vec<model::OperatorSettings>) -> OperatorBook {
        OperatorBook { operators }
    }

    /// The operator of this name.
    pub(crate) fn find(&self, name: &str) -> Option<&model::OperatorSettings> {
        self.operators.iter().find(|it| it.name == name)
    }

    /// The operator whose name and password these are. Every operator is compared, in the same
    /// time whether or not one fits, so that timing tells neither names nor parts of a hash.
    pub(crate) fn sign_in(&self, name: &str, password: &str) -> Option<&model::OperatorSettings> {
        let offered = hex::encode(Sha256::digest(password));
        let fits = |it: &model::OperatorSettings| {
            let same_name = Sha256::digest(&it.name).ct_eq(&Sha256::digest(name));
            same_name & same_hash(it, &offered)
        };
        self.first(fits)
    }

    /// The operator named by an `Authorization` header: Basic with name and password, or Bearer
    /// with the password alone.
    pub(crate) fn authorize(
        &self,
        headers: &header::HeaderMap,
    ) -> Option<&model::OperatorSettings> {
        let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let (scheme, credentials) = value.split_once(' ')?;
        if scheme.eq_ignore_ascii_case("bearer") {
            let offered = hex::encode(Sha256::digest(credentials.trim()));
            return self.first(|it| same_hash(it, &offered));
        }
        if !scheme.eq_ignore_ascii_case("basic") {
            return None;
        }
        let decoded = general_purpose::STANDARD.decode(credentials.trim()).ok()?;
        let decoded = String::from_utf8(decoded).ok()?;
        let (name, password) = decoded.split_once(':')?;
        self.sign_in(name, password)
    }

    fn first(
        &self,
        fits: impl Fn(&model::OperatorSettings) -> Choice,
    ) -> Option<&model::OperatorSettings> {
        let fitting = self.operators.iter().map(|it| (it, fits(it))).collect::<Vec<_>>();
        fitting.into_iter().find(|(_, fits)| bool::from(*fits)).map(|(it, _)| it)
    }
}

fn same_hash(operator: &model::OperatorSettings, offered: &str) -> Choice {
    let kept = operator.password_sha256.to_ascii_lowercase();
    kept.as_bytes().ct_eq(offered.as_bytes())
}
