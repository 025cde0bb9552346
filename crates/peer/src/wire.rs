//! Heads of calls and their answers.

use http::{HeaderName, HeaderValue};

/// Carries the cluster key.
pub(crate) const CLUSTER_KEY: HeaderName = HeaderName::from_static("x-cluster-key");

/// Carries [`MESSAGE_VERSION`].
pub(crate) const VERSION: HeaderName = HeaderName::from_static("x-message-version");

/// How messages are written on the wire. An instance of another version would misread them, so
/// each refuses calls of the other; the paths carry the versions of the single messages.
pub(crate) const MESSAGE_VERSION: HeaderValue = HeaderValue::from_static("1");

/// Media type of the bodies.
pub(crate) const MESSAGE_PACK: HeaderValue = HeaderValue::from_static("application/msgpack");
