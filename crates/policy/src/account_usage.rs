//! Resources that each client account holds, and its dominant share outside its guarantees.

use crate::ledger::Usage;

/// Resources held by one client account.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AccountUsage {
    pub(crate) accelerators: u32,
    /// Accelerators attached to claims of its guarantees, reserved ones included.
    pub(crate) claimed_accelerators: u32,
    pub(crate) usage: Usage,
    pub(crate) running_requests: u32,
}

/// Capacity of all workers of a hall.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HallCapacity {
    pub(crate) accelerators: u32,
    pub(crate) usage: Usage,
}

impl AccountUsage {
    /// The largest of the account's shares of the hall's accelerators, cores, memory and slots, in
    /// thousandths. The share of accelerators that it claims is subtracted from each: claims of its own
    /// guarantees don't lower its place in the order of accounts.
    pub(crate) fn dominant_share(&self, capacity: &HallCapacity) -> u32 {
        let above = self.accelerators.saturating_sub(self.claimed_accelerators);
        let claimed =
            f64::from(self.claimed_accelerators) / f64::from(capacity.accelerators.max(1));
        let share = |used: i64, whole: i64| used as f64 / whole.max(1) as f64 - claimed;
        let accelerators = f64::from(above) / f64::from(capacity.accelerators.max(1));
        let largest = accelerators
            .max(share(self.usage.cores, capacity.usage.cores))
            .max(share(self.usage.memory_mb, capacity.usage.memory_mb))
            .max(share(self.usage.slots, capacity.usage.slots));
        (largest.clamp(0.0, 1.0) * 1000.0) as u32
    }
}
