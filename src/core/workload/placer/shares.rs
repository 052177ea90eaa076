//! Shares of the teams when the VMs are full.
//!
//! Pattern: one team sends many times its usual work. Ordered by due time alone, its queue holds up
//! the work of all teams. Each team therefore has a share of the room by its weight; work of teams
//! that use more than theirs takes what the others leave.

use rustc_hash::FxHashMap;

use super::Placer;
use super::job_registry::StepKey;
use crate::core::model::Resources;
use crate::core::model::TeamId;
use crate::core::workload::cx::Cx;

/// Weight of a team that the configuration does not name.
const DEFAULT_WEIGHT: f64 = 1.0;

/// What each team may use before others go first.
#[derive(Debug, Default)]
pub(super) struct Shares {
    room: Resources,
    /// Share of each team that has work, as a part of the room.
    parts: FxHashMap<TeamId, f64>,
}

impl Shares {
    /// Whether `used` is all of a team's share, or more.
    pub fn is_used_up(&self, team: &TeamId, used: &Resources) -> bool {
        let part = self.parts.get(team).copied().unwrap_or(1.0);
        dominant(used, &self.room) >= part
    }
}

impl Placer {
    /// Divides the room among the teams that have work running or among `steps`, which wait.
    pub(super) fn shares<'a>(&self, cx: &Cx, steps: impl Iterator<Item = &'a StepKey>) -> Shares {
        let waiting = steps.filter_map(|key| self.registry.jobs.get(&key.job)?.team.as_ref());
        let mut parts: FxHashMap<TeamId, f64> = FxHashMap::default();
        for team in waiting.chain(self.usage.teams()) {
            if !parts.contains_key(team) {
                parts.insert(team.clone(), weight(cx, team));
            }
        }
        let sum: f64 = parts.values().sum();
        for part in parts.values_mut() {
            *part /= sum;
        }
        let vms = self.fleet.vms.values().filter(|vm| vm.listed);
        let room = vms.fold(Resources::ZERO, |sum, vm| sum.plus(&vm.capacity));
        Shares { room, parts }
    }

    /// Whether the team of a step's job uses its share.
    pub(super) fn is_over_share(&self, shares: &Shares, key: StepKey) -> bool {
        let team = self
            .registry
            .jobs
            .get(&key.job)
            .and_then(|job| job.team.as_ref());
        team.is_some_and(|team| shares.is_used_up(team, &self.usage.of(team)))
    }
}

/// Largest part of the room that `used` takes of a resource.
fn dominant(used: &Resources, room: &Resources) -> f64 {
    let part = |used: u32, room: u32| f64::from(used) / f64::from(room.max(1));
    let parts = [
        part(used.cpu_milli, room.cpu_milli),
        part(used.mem_mib, room.mem_mib),
        part(used.accel, room.accel),
    ];
    parts.into_iter().fold(0.0, f64::max)
}

fn weight(cx: &Cx, team: &TeamId) -> f64 {
    let terms = cx.catalog.and_then(|catalog| catalog.teams.get(team));
    let weight = terms.map_or(DEFAULT_WEIGHT, |team| team.weight);
    if weight > 0.0 { weight } else { DEFAULT_WEIGHT }
}
