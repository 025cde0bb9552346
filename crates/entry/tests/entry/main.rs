//! Tests of the callers' interface over fakes, on real sockets.

mod bad_input;
mod fuzz;
mod jobs;
mod limits;
mod outcomes;
mod relay;
mod shutdown;
mod support;
mod upstream_faults;
