//! Sizes: the capacity of a VM and the needs of a task.

use std::fmt;

/// Processors, memory and accelerators.
#[gl_derive::domain]
#[derive(Copy, Default, Eq)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processor time, in thousandths of a core.
    #[serde(rename = "cores-milli")]
    pub cores: u64,
    /// Memory, in megabytes.
    #[serde(rename = "memory-mb")]
    pub memory: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Size {
    /// Returns whether `self` fits in `free` in every dimension.
    pub const fn fits_in(&self, free: &Self) -> bool {
        self.cores <= free.cores
            && self.memory <= free.memory
            && self.accelerators <= free.accelerators
    }

    /// Returns the sum of both sizes, saturating in each dimension.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.saturating_add(other.cores),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference `self - other`, saturating at zero in each dimension.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.saturating_sub(other.cores),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the largest ratio of `self` to `whole` over all dimensions, from 0 upwards.
    pub fn share_of(&self, whole: &Self) -> f64 {
        let share = |part: u64, total: u64| {
            if total == 0 { 0.0 } else { part as f64 / total as f64 }
        };
        share(self.cores, whole.cores)
            .max(share(self.memory, whole.memory))
            .max(share(self.accelerators, whole.accelerators))
    }

    /// Returns the larger value of both sizes in each dimension.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cores = self.cores as f64 / 1_000.0;
        write!(f, "{cores} cores, {} MB", self.memory)?;
        if self.accelerators > 0 {
            write!(f, ", {} accelerators", self.accelerators)?;
        }
        Ok(())
    }
}
