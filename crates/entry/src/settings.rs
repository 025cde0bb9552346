//! What one entry needs to know of its instance.

use std::time::Duration;

use almondpass_schema::{ids, model};

/// Settings of the callers' interface of one instance.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// This instance; grants are held in its name.
    pub instance: ids::InstanceId,
    /// Where it is; halls of the same data centre are preferred.
    pub data_center: ids::DataCenter,
    /// Limits on what callers may hold.
    pub limits: model::LimitSettings,
    /// A body of a caller that stands still for this long is given up.
    pub body_idle: Duration,
    /// For a connection to an upstream to open.
    pub connect_timeout: Duration,
    /// For a hall scheduler to answer a call.
    pub ask_timeout: Duration,
    /// For one read of the table.
    pub read_timeout: Duration,
    /// How long a job's row may be served again without reading it anew.
    pub row_term: Duration,
    /// Callers whose answer names no better time are told to come back after this.
    pub retry_after: Duration,
}

impl EntrySettings {
    /// The defaults, for an instance with these limits.
    pub fn new(
        instance: ids::InstanceId,
        data_center: ids::DataCenter,
        limits: model::LimitSettings,
    ) -> EntrySettings {
        EntrySettings {
            instance,
            data_center,
            limits,
            body_idle: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(500),
            ask_timeout: Duration::from_secs(2),
            read_timeout: Duration::from_secs(1),
            row_term: Duration::from_millis(250),
            retry_after: Duration::from_secs(1),
        }
    }
}
