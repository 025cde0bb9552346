//! Which account a bearer key belongs to.

use std::collections::HashMap;

use almondpass_schema::model;
use sha2::Digest;
use subtle::ConstantTimeEq;

/// Length of a SHA-256 digest in bytes.
const DIGEST_BYTES: usize = 32;

type KeyDigest = [u8; DIGEST_BYTES];

/// Index of the keys of one configuration version.
///
/// A table keyed by the digests themselves would compare them byte by byte, and the time that
/// takes would tell a patient caller how much of a digest it has guessed. The table is therefore
/// keyed by a digest salted anew in every process, whose bytes no caller can predict, and the
/// stored digest is compared in constant time after that.
#[derive(Debug)]
pub struct KeyIndex {
    salt: KeyDigest,
    accounts: HashMap<KeyDigest, KeyEntry>,
}

#[derive(Debug)]
struct KeyEntry {
    digest: KeyDigest,
    account: usize,
}

impl KeyIndex {
    /// Indexes the keys of `accounts`; entries that are no digest are left out.
    pub fn new(accounts: &[model::ClientAccount]) -> KeyIndex {
        let salt = rand::random::<KeyDigest>();
        let mut index = KeyIndex { salt, accounts: HashMap::new() };
        for (account, it) in accounts.iter().enumerate() {
            for key in &it.keys {
                let Some(digest) = parse_digest(key) else {
                    tracing::warn!(account = it.id, "expected a SHA-256 in hex as a key");
                    continue;
                };
                index.accounts.insert(index.salted(&digest), KeyEntry { digest, account });
            }
        }
        index
    }

    /// Position of the account that owns `key`.
    pub fn account(&self, key: &[u8]) -> Option<usize> {
        let digest = KeyDigest::from(sha2::Sha256::digest(key));
        let entry = self.accounts.get(&self.salted(&digest))?;
        bool::from(entry.digest.ct_eq(&digest)).then_some(entry.account)
    }

    fn salted(&self, digest: &KeyDigest) -> KeyDigest {
        let mut hasher = sha2::Sha256::new();
        hasher.update(self.salt);
        hasher.update(digest);
        KeyDigest::from(hasher.finalize())
    }
}

fn parse_digest(text: &str) -> Option<KeyDigest> {
    let mut digest = KeyDigest::default();
    hex::decode_to_slice(text, &mut digest).ok()?;
    Some(digest)
}
