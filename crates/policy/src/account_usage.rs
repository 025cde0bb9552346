//! What each account uses, and its dominant share above the guarantee.

use crate::ledger::Usage;

/// Use of one account.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AccountUsage {
    pub(crate) accelerators: u32,
    /// Accelerators that it holds as claims of its guarantees.
    pub(crate) claimed_accelerators: u32,
    pub(crate) usage: Usage,
    pub(crate) running_requests: u32,
}

/// Capacity of a hall.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HallCapacity {
    pub(crate) accelerators: u32,
    pub(crate) usage: Usage,
}

impl AccountUsage {
    /// The largest of its shares of the hall above what it claims, in thousandths. Claims are its
    /// own and cost it nothing in the order of the others.
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
