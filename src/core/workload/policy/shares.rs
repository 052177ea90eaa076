//! Fair shares of the teams when the VMs are full.
//!
//! If a team submits many times its usual work, ordering by deadline alone lets its queue delay the
//! work of all teams. Each team is therefore entitled to a share of the capacity in proportion to
//! its weight. Teams that exceed their share get what the others leave. Usage is measured by the
//! dominant resource.

use rustc_hash::FxHashMap;

use crate::core::model::Resources;
use crate::core::model::TeamId;

/// Share of the capacity that each team may use before other teams go first.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    capacity: Resources,
    /// Fraction of the capacity for each team that has work.
    fractions: FxHashMap<TeamId, f64>,
}

impl FairShares {
    /// Divides a capacity among teams in proportion to their weights.
    #[must_use]
    pub fn new(capacity: Resources, mut weights: FxHashMap<TeamId, f64>) -> Self {
        let sum: f64 = weights.values().sum();
        for weight in weights.values_mut() {
            *weight /= sum;
        }
        Self {
            capacity,
            fractions: weights,
        }
    }

    /// Returns whether `used` reaches or exceeds the team's share. A team that shares the capacity
    /// with no other team never does.
    #[must_use]
    pub fn is_exhausted(&self, team: &TeamId, used: &Resources) -> bool {
        let fraction = self.fractions.get(team).copied().unwrap_or(1.0);
        fraction < 1.0 && dominant_share(used, &self.capacity) >= fraction
    }
}

/// Returns the largest fraction of the capacity that `used` takes of any resource.
fn dominant_share(used: &Resources, capacity: &Resources) -> f64 {
    let fraction = |used: u32, capacity: u32| f64::from(used) / f64::from(capacity.max(1));
    let fractions = [
        fraction(used.cpu_milli, capacity.cpu_milli),
        fraction(used.mem_mib, capacity.mem_mib),
        fraction(used.accel, capacity.accel),
    ];
    fractions.into_iter().fold(0.0, f64::max)
}
