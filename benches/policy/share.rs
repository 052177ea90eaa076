//! Reference computation of the teams' fair shares, independent of the policies under test.
//!
//! Shares are weighted dominant-resource shares: each team gets the same dominant share relative to
//! its weight, but no more than its demand, up to the level at which the first resource is
//! exhausted.

use std::collections::HashMap;

use ragwortstall::core::model::Resources;
use ragwortstall::core::model::TeamId;

use crate::sim::SimVm;

/// Bisection steps in the search for the fair level.
const BISECTION_STEPS: usize = 40;

/// Weight of a team, and its usage and demand as fractions of the zone's processors and memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamUsage {
    weight: f64,
    used: [f64; 2],
    demand: [f64; 2],
}

/// Returns the usage and demand of each team. The demand is the usage plus `waiting`, the declared
/// size of the team's waiting tasks.
pub fn team_usage(teams: &[(TeamId, u32)], vms: &[SimVm], waiting: &[[f64; 2]]) -> Vec<TeamUsage> {
    let indexes: HashMap<&str, usize> = teams
        .iter()
        .enumerate()
        .map(|(index, (team, _))| (&**team, index))
        .collect();
    let up = vms.iter().filter(|vm| vm.up);
    let capacity = up.fold([0.0; 2], |sum, vm| add_scaled(sum, &vm.spec.capacity, 1.0));
    let mut usage: Vec<TeamUsage> = teams
        .iter()
        .map(|(_, weight)| TeamUsage {
            weight: f64::from((*weight).max(1)),
            ..TeamUsage::default()
        })
        .collect();
    for task in vms.iter().flat_map(|vm| &vm.tasks) {
        let team = &mut usage[indexes[&*task.start.team]];
        team.used = add_scaled(team.used, &task.start.size, 1.0);
    }
    for (team, demand) in usage.iter_mut().zip(waiting) {
        team.demand = *demand;
    }
    for team in &mut usage {
        for ((used, demand), capacity) in team.used.iter_mut().zip(&mut team.demand).zip(capacity) {
            *used /= capacity;
            *demand = *demand / capacity + *used;
        }
    }
    usage
}

/// Returns the share distance: by how much the team furthest below its share is below it, as a
/// fraction of the zone's capacity. `None` if the demand of all teams fits.
pub fn share_distance(usage: &[TeamUsage]) -> Option<f64> {
    let dominant = |fractions: &[f64; 2]| fractions[0].max(fractions[1]);
    let highest = usage
        .iter()
        .map(|team| dominant(&team.demand) / team.weight)
        .fold(0.0, f64::max);
    if is_feasible(usage, highest) {
        return None;
    }
    let (mut low, mut high) = (0.0, highest);
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if is_feasible(usage, middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    let shortfalls = usage.iter().map(|team| {
        let share = dominant(&team.demand).min(low * team.weight);
        share - dominant(&team.used)
    });
    Some(shortfalls.fold(0.0, f64::max))
}

/// Whether the zone can give each team its demand up to `level` times its weight.
fn is_feasible(usage: &[TeamUsage], level: f64) -> bool {
    let mut totals = [0.0; 2];
    for team in usage {
        let dominant = team.demand[0].max(team.demand[1]);
        if dominant > 0.0 {
            let granted = dominant.min(level * team.weight) / dominant;
            totals[0] += team.demand[0] * granted;
            totals[1] += team.demand[1] * granted;
        }
    }
    totals[0] <= 1.0 && totals[1] <= 1.0
}

/// Returns `sum` plus `factor` times the processors (millicores) and memory (MiB) of `amount`.
pub fn add_scaled(sum: [f64; 2], amount: &Resources, factor: f64) -> [f64; 2] {
    [
        sum[0] + f64::from(amount.cpu_milli) * factor,
        sum[1] + f64::from(amount.mem_mib) * factor,
    ]
}
