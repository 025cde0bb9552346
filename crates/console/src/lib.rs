//! The operators' interface: forms, hall pictures, queues and the operator API.
