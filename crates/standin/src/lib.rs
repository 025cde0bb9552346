//! In-memory fakes of the platform's services, workers and upstreams, with switchable faults, served over HTTP.
