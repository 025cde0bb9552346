//! Which account a bearer key belongs to.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};

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
/// keyed by a hash with a secret of this process, which no caller can predict, and the stored
/// digest is compared in constant time after that.
#[derive(Debug, Default)]
pub struct KeyIndex {
    secret: RandomState,
    entries: HashMap<u64, Vec<KeyEntry>>,
}

#[derive(Debug)]
struct KeyEntry {
    digest: KeyDigest,
    account: usize,
}

impl KeyIndex {
    /// Indexes the keys of `accounts`; entries that are no digest are left out.
    pub fn new(accounts: &[model::ClientAccount]) -> KeyIndex {
        let mut index = KeyIndex::default();
        for (account, it) in accounts.iter().enumerate() {
            for key in &it.keys {
                let Some(digest) = parse_digest(key) else {
                    tracing::warn!(account = it.id, "expected a SHA-256 in hex as a key");
                    continue;
                };
                let hash = index.secret.hash_one(digest);
                index.entries.entry(hash).or_default().push(KeyEntry { digest, account });
            }
        }
        index
    }

    /// Position of the account that owns `key`.
    pub fn account(&self, key: &[u8]) -> Option<usize> {
        let digest = KeyDigest::from(sha2::Sha256::digest(key));
        let entries = self.entries.get(&self.secret.hash_one(digest))?;
        entries.iter().find(|it| bool::from(it.digest.ct_eq(&digest))).map(|it| it.account)
    }
}

fn parse_digest(text: &str) -> Option<KeyDigest> {
    let mut digest = KeyDigest::default();
    hex::decode_to_slice(text, &mut digest).ok()?;
    Some(digest)
}
