//! Capacity of the host on which a daemon runs.

use serde::Deserialize;
use serde::Serialize;

/// Capacity of a daemon's host. Zero stands for an unknown amount.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct HostCapacity {
    /// Processor time, in thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of the network link, in kbit/s.
    pub bandwidth_kbps: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
}

impl HostCapacity {
    /// Returns the larger amount of each resource.
    pub(super) fn max(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            bandwidth_kbps: self.bandwidth_kbps.max(other.bandwidth_kbps),
            memory_mib: self.memory_mib.max(other.memory_mib),
        }
    }

    /// Returns the smallest share of `best` over the resources that both know; 1 if there is none.
    pub(super) fn share_of(&self, best: &Self) -> f64 {
        share(self.millicores, best.millicores)
            .min(share(self.bandwidth_kbps, best.bandwidth_kbps))
            .min(share(self.memory_mib, best.memory_mib))
    }
}

fn share(own: u32, best: u32) -> f64 {
    if own == 0 || best == 0 {
        return 1.0;
    }
    f64::from(own) / f64::from(best)
}
