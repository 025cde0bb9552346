//! Tests of the callers' interface over fakes, on real sockets.

mod relay;
mod support;
