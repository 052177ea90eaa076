//! Fair shares of the teams that have work, from the state of the placer.

use rustc_hash::FxHashMap;

use crate::core::model::Resources;
use crate::core::model::TeamId;
use crate::core::workload::cx::Cx;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::job_registry::StepKey;
use crate::core::workload::policy::shares::FairShares;

/// Weight of a team without a valid weight in the configuration.
pub(in crate::core::workload::placer) const DEFAULT_WEIGHT: f64 = 1.0;

impl Placer {
    /// Divides the capacity of the listed VMs outside evacuated zones by weight among the teams that have running tasks or
    /// own one of the waiting `steps`.
    pub(in crate::core::workload::placer) fn fair_shares<'a>(
        &self,
        cx: &Cx,
        steps: impl Iterator<Item = &'a StepKey>,
    ) -> FairShares {
        let waiting = steps.filter_map(|key| self.registry.jobs.get(&key.job)?.team.as_ref());
        let mut weights: FxHashMap<TeamId, f64> = FxHashMap::default();
        for team in waiting.chain(self.usage.teams()) {
            if !weights.contains_key(team) {
                weights.insert(team.clone(), weight(cx, team));
            }
        }
        let counts = |vm: &&Vm| vm.listed && !cx.evacuation.includes(&vm.zone);
        let vms = self.fleet.vms.values().filter(counts);
        let capacity = vms.fold(Resources::ZERO, |sum, vm| sum.plus(&vm.capacity));
        FairShares::new(capacity, weights)
    }

    /// Returns whether the team of a step's job has used up its share.
    pub(in crate::core::workload::placer) fn is_over_share(
        &self,
        shares: &FairShares,
        key: StepKey,
    ) -> bool {
        let job = self.registry.jobs.get(&key.job);
        let team = job.and_then(|job| job.team.as_ref());
        team.is_some_and(|team| shares.is_exhausted(team, &self.usage.running(team)))
    }
}

/// Returns the configured weight of a team.
pub(in crate::core::workload::placer) fn weight(cx: &Cx, team: &TeamId) -> f64 {
    let team = cx.catalog.and_then(|catalog| catalog.teams.get(team));
    let weight = team.map_or(DEFAULT_WEIGHT, |team| team.weight);
    if weight > 0.0 { weight } else { DEFAULT_WEIGHT }
}
