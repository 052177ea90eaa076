//! Totals of resource vectors in 64 bits, so that sums do not saturate and can be reverted exactly.

use crate::core::model::Resources;

/// Total of the resources of many tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceTotals {
    cpu_milli: u64,
    mem_mib: u64,
    accel: u64,
    tasks: u64,
}

impl ResourceTotals {
    /// Adds an amount.
    pub fn add(&mut self, amount: &Resources) {
        self.cpu_milli += u64::from(amount.cpu_milli);
        self.mem_mib += u64::from(amount.mem_mib);
        self.accel += u64::from(amount.accel);
        self.tasks += u64::from(amount.tasks);
    }

    /// Adds an amount `n` times.
    pub fn add_multiple(&mut self, amount: &Resources, n: usize) {
        let n = n as u64;
        self.cpu_milli += u64::from(amount.cpu_milli) * n;
        self.mem_mib += u64::from(amount.mem_mib) * n;
        self.accel += u64::from(amount.accel) * n;
        self.tasks += u64::from(amount.tasks) * n;
    }

    /// Subtracts an amount `n` times, which must have been added before.
    pub fn sub_multiple(&mut self, amount: &Resources, n: usize) {
        let n = n as u64;
        self.cpu_milli -= u64::from(amount.cpu_milli) * n;
        self.mem_mib -= u64::from(amount.mem_mib) * n;
        self.accel -= u64::from(amount.accel) * n;
        self.tasks -= u64::from(amount.tasks) * n;
    }

    /// Subtracts an amount, which must have been added before.
    pub fn sub(&mut self, amount: &Resources) {
        self.cpu_milli -= u64::from(amount.cpu_milli);
        self.mem_mib -= u64::from(amount.mem_mib);
        self.accel -= u64::from(amount.accel);
        self.tasks -= u64::from(amount.tasks);
    }

    /// Converts the total, saturating in each resource.
    pub fn to_resources(self) -> Resources {
        let saturate = |total: u64| u32::try_from(total).unwrap_or(u32::MAX);
        Resources {
            cpu_milli: saturate(self.cpu_milli),
            mem_mib: saturate(self.mem_mib),
            accel: saturate(self.accel),
            tasks: saturate(self.tasks),
        }
    }
}
