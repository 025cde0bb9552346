//! The key that all instances share.

use std::fmt;

use subtle::ConstantTimeEq;

/// Proves to an instance that a call comes from another one. Its `Debug` shows nothing of it.
#[derive(Clone)]
pub struct ClusterKey(String);

impl ClusterKey {
    /// Wraps the key's text.
    pub fn new(key: impl Into<String>) -> ClusterKey {
        ClusterKey(key.into())
    }

    /// Whether `offered` is this key. Comparing byte by byte up to the first difference would let a
    /// caller find the key by timing; this takes the same time wherever they differ.
    pub fn matches(&self, offered: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(offered).into()
    }

    /// The key itself, for deriving others from it.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}
