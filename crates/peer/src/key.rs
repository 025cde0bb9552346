//! The secret key that all instances of a cluster share.

use std::fmt;

use subtle::ConstantTimeEq;

/// Sent with each call to prove that the caller is an instance of the cluster. `Debug` hides the key.
#[derive(Clone)]
pub struct ClusterKey(String);

impl ClusterKey {
    /// Stores the key as it is, without checking that an HTTP header can hold it.
    pub fn new(key: impl Into<String>) -> ClusterKey {
        ClusterKey(key.into())
    }

    /// Whether `offered` equals this key. The comparison takes the same time wherever the two differ; one
    /// that stopped at the first difference would let a caller find the key by measuring response times.
    pub fn matches(&self, offered: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(offered).into()
    }

    /// The secret bytes, for the header of a call and for deriving other keys.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}
