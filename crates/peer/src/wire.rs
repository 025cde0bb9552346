//! HTTP headers of calls and of their answers.

use http::{HeaderName, HeaderValue};

/// Header with the cluster key.
pub(crate) const CLUSTER_KEY: HeaderName = HeaderName::from_static("x-cluster-key");

/// Header with the [`MESSAGE_VERSION`] of the caller.
pub(crate) const VERSION: HeaderName = HeaderName::from_static("x-message-version");

/// Version of the message encoding. An instance with another version would misread messages, so
/// servers refuse calls of any other version. The paths carry the versions of the single messages.
pub(crate) const MESSAGE_VERSION: HeaderValue = HeaderValue::from_static("1");

/// Media type of the bodies of calls and answers.
pub(crate) const MESSAGE_PACK: HeaderValue = HeaderValue::from_static("application/msgpack");
