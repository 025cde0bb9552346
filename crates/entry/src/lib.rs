//! The callers' HTTP interface: requests relayed to upstreams, jobs, limits and truthful outcomes.
