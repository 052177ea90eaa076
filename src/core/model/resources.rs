//! Resource vectors of VMs, tasks, limits and allotments.

use serde::Deserialize;
use serde::Serialize;

/// An amount of each resource. Each task uses one unit of `tasks`, so that a limit can bound the
/// number of tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Resources {
    /// CPU time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub mem_mib: u32,
    /// Number of whole accelerators.
    pub accel: u32,
    /// Number of tasks.
    pub tasks: u32,
}

impl Resources {
    /// Zero of every resource.
    pub const ZERO: Self = Self::new(0, 0, 0, 0);

    /// The largest representable amount of every resource.
    pub const MAX: Self = Self::new(u32::MAX, u32::MAX, u32::MAX, u32::MAX);

    /// Returns the given amounts.
    #[must_use]
    pub const fn new(cpu_milli: u32, mem_mib: u32, accel: u32, tasks: u32) -> Self {
        Self {
            cpu_milli,
            mem_mib,
            accel,
            tasks,
        }
    }

    /// Returns whether `other` is at most `self` in every resource.
    #[must_use]
    pub const fn holds(&self, other: &Self) -> bool {
        other.cpu_milli <= self.cpu_milli
            && other.mem_mib <= self.mem_mib
            && other.accel <= self.accel
            && other.tasks <= self.tasks
    }

    /// Returns the sum of both, saturating.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    /// Returns the difference of both, zero for each resource of which `other` has more.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        self.zip(other, u32::saturating_sub)
    }

    /// Returns the maximum of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, u32::max)
    }

    /// Returns the minimum of each resource.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        self.zip(other, u32::min)
    }

    /// Returns `n` times this amount, saturating.
    #[must_use]
    pub fn times(&self, n: u32) -> Self {
        self.zip(&Self::new(n, n, n, n), u32::saturating_mul)
    }

    /// Returns the dominant share: the largest fraction of `total` that this amount is of CPU,
    /// memory or accelerators.
    #[must_use]
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let ratio = |part: u32, whole: u32| {
            if whole == 0 {
                0.0
            } else {
                f64::from(part) / f64::from(whole)
            }
        };
        ratio(self.cpu_milli, total.cpu_milli)
            .max(ratio(self.mem_mib, total.mem_mib))
            .max(ratio(self.accel, total.accel))
    }

    /// Returns how often this amount holds `each`; zero amounts of `each` do not count.
    #[must_use]
    pub fn count_of(&self, each: &Self) -> u32 {
        let count = |amount: u32, each: u32| amount.checked_div(each).unwrap_or(u32::MAX);
        count(self.cpu_milli, each.cpu_milli)
            .min(count(self.mem_mib, each.mem_mib))
            .min(count(self.accel, each.accel))
    }

    fn zip(&self, other: &Self, f: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            cpu_milli: f(self.cpu_milli, other.cpu_milli),
            mem_mib: f(self.mem_mib, other.mem_mib),
            accel: f(self.accel, other.accel),
            tasks: f(self.tasks, other.tasks),
        }
    }
}
