//! Resources that a worker offers and a task needs.

use almondpass_schema::model;

/// Weight of one accelerator when amounts of work are compared, in thousandths of a core: the users
/// price an accelerator like eight cores.
const ACCELERATOR_WEIGHT: u64 = 8_000;

/// Amounts of the three resources of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: u32,
    /// Megabytes.
    pub memory_mb: u32,
    /// Number of whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Resources that each task of `step` needs.
    pub fn of_step(step: &model::GraphStep) -> Resources {
        Resources {
            cpu_milli: step.cpu_milli,
            memory_mb: step.memory_mb,
            accelerators: step.accelerators,
        }
    }

    /// Whether `free` holds at least this much of each resource.
    pub fn fits_in(self, free: Resources) -> bool {
        self.cpu_milli <= free.cpu_milli
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// How many times this fits in `free`; `u32::MAX` if nothing is needed.
    pub fn count_in(self, free: Resources) -> u32 {
        let times = |needed: u32, available: u32| available.checked_div(needed).unwrap_or(u32::MAX);
        times(self.cpu_milli, free.cpu_milli)
            .min(times(self.memory_mb, free.memory_mb))
            .min(times(self.accelerators, free.accelerators))
    }

    /// The sum of each resource, saturating.
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference of each resource, at least zero.
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The larger amount of each resource.
    pub fn max(self, other: Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// A single figure to compare amounts of work, in thousandths of a core. Memory does not count.
    pub fn weight(self) -> u64 {
        u64::from(self.cpu_milli) + ACCELERATOR_WEIGHT * u64::from(self.accelerators)
    }
}
