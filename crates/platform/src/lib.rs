//! One small trait for each interface of the platform, its HTTP client, and the store client with deadlines and retries.
