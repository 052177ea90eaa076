//! Fair shares of the teams when the VMs are full.
//!
//! If a team submits many times its usual work, ordering by deadline alone lets its queue delay the
//! work of all teams. Each team is therefore entitled to a share of the capacity in proportion to
//! its weight. Teams that exceed their share get what the others leave. Usage is measured by the
//! dominant resource.

use rustc_hash::FxHashMap;

use super::Placer;
use super::job_registry::StepKey;
use crate::core::model::Resources;
use crate::core::model::TeamId;
use crate::core::workload::cx::Cx;

/// Weight of a team without a valid weight in the configuration.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Share of the capacity that each team may use before other teams go first.
#[derive(Debug, Default)]
pub(super) struct FairShares {
    capacity: Resources,
    /// Fraction of the capacity for each team that has work.
    fractions: FxHashMap<TeamId, f64>,
}

impl FairShares {
    /// Returns whether `used` reaches or exceeds the team's share.
    pub fn is_exhausted(&self, team: &TeamId, used: &Resources) -> bool {
        let fraction = self.fractions.get(team).copied().unwrap_or(1.0);
        dominant_share(used, &self.capacity) >= fraction
    }
}

impl Placer {
    /// Divides the capacity of the listed VMs by weight among the teams that have running tasks or
    /// own one of the waiting `steps`.
    pub(super) fn fair_shares<'a>(
        &self,
        cx: &Cx,
        steps: impl Iterator<Item = &'a StepKey>,
    ) -> FairShares {
        let waiting = steps.filter_map(|key| self.registry.jobs.get(&key.job)?.team.as_ref());
        let mut fractions: FxHashMap<TeamId, f64> = FxHashMap::default();
        for team in waiting.chain(self.usage.teams()) {
            if !fractions.contains_key(team) {
                fractions.insert(team.clone(), weight(cx, team));
            }
        }
        let sum: f64 = fractions.values().sum();
        for fraction in fractions.values_mut() {
            *fraction /= sum;
        }
        let vms = self.fleet.vms.values().filter(|vm| vm.listed);
        let capacity = vms.fold(Resources::ZERO, |sum, vm| sum.plus(&vm.capacity));
        FairShares {
            capacity,
            fractions,
        }
    }

    /// Returns whether the team of a step's job has used up its share.
    pub(super) fn is_over_share(&self, shares: &FairShares, key: StepKey) -> bool {
        let team = self
            .registry
            .jobs
            .get(&key.job)
            .and_then(|job| job.team.as_ref());
        team.is_some_and(|team| shares.is_exhausted(team, &self.usage.running(team)))
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

fn weight(cx: &Cx, team: &TeamId) -> f64 {
    let team = cx.catalog.and_then(|catalog| catalog.teams.get(team));
    let weight = team.map_or(DEFAULT_WEIGHT, |team| team.weight);
    if weight > 0.0 { weight } else { DEFAULT_WEIGHT }
}
