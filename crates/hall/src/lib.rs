//! The hall scheduler: ownership by epoch, worker leases, gangs, intents, takeover.
