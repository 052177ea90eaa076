//! Weighted dominant-resource fairness: the entitlement of each team when the zone is full.

use std::time::Duration;

use super::Scheduler;
use super::slab::SlabIndex;
use super::team::Team;
use crate::core::model::Now;
use crate::core::model::Resources;

/// Interval between computations of the entitlements.
const SHARE_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Half-life of past usage in the decaying average of a team's share.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(600);

/// Weight of the average share in a team's normalized usage; the current share has the rest.
const PAST_USAGE_WEIGHT: f64 = 0.25;

/// Bisection steps in the search for the fair level.
const BISECTION_STEPS: usize = 30;

/// A team's demand as fractions of the zone's capacity.
struct Demand {
    weight: f64,
    /// Largest of `fractions`.
    dominant: f64,
    /// Fractions of CPU, memory and accelerators.
    fractions: [f64; 3],
}

impl Scheduler {
    /// Recomputes the entitlements if [`SHARE_REFRESH_INTERVAL`] has passed; returns whether it
    /// did.
    pub(super) fn refresh_shares(&mut self, now: Now) -> bool {
        if now < self.next_share_refresh {
            return false;
        }
        self.next_share_refresh = now + SHARE_REFRESH_INTERVAL;
        let capacity = self.vms.capacity();
        let demands: Vec<(SlabIndex, Demand)> = self
            .teams
            .iter()
            .map(|(index, team)| (index, demand(team, &capacity)))
            .collect();
        let level = max_fair_level(&demands);
        let elapsed = now.saturating_sub(self.last_share_refresh);
        self.last_share_refresh = now;
        let decay = 0.5_f64.powf(elapsed.as_secs_f64() / USAGE_HALF_LIFE.as_secs_f64());
        for (index, demand) in demands {
            let team = &mut self.teams[index];
            let used = team.used.to_resources().dominant_share(&capacity);
            team.average_share = team.average_share * decay + used * (1.0 - decay);
            team.entitlement = demand.dominant.min(level * demand.weight);
        }
        self.total_weight = self.teams.iter().map(|(_, team)| team.weight()).sum();
        true
    }

    /// Returns the dominant share of a team: the largest fraction of any of the zone's resources
    /// that it uses.
    pub(super) fn share(&self, team: SlabIndex) -> f64 {
        let used = self.teams[team].used.to_resources();
        used.dominant_share(&self.vms.capacity())
    }

    /// Returns the weighted mean of a team's current and past dominant share, divided by its part
    /// of the total weight.
    pub(super) fn normalized_usage(&self, team: SlabIndex) -> f64 {
        let past = self.teams[team].average_share;
        let usage = self.share(team) * (1.0 - PAST_USAGE_WEIGHT) + past * PAST_USAGE_WEIGHT;
        usage / self.teams[team].weight() * self.total_weight
    }

    /// Returns the dominant share of a team less its entitlement; negative if the team is below it.
    pub(super) fn share_excess(&self, team: SlabIndex) -> f64 {
        self.share(team) - self.teams[team].entitlement
    }
}

/// Returns the demand of a team: its usage and pending tasks, but not more than its allotment
/// unless it already uses more.
fn demand(team: &Team, capacity: &Resources) -> Demand {
    let allotment = match &team.policy {
        Some(policy) => policy.allotment,
        None => Resources::ZERO,
    };
    let used = team.used.to_resources();
    let wanted = used
        .plus(&team.pending.to_resources())
        .min(&allotment.max(&used));
    let fraction = |amount: u32, total: u32| f64::from(amount) / f64::from(total.max(1));
    let fractions = [
        fraction(wanted.cpu_milli, capacity.cpu_milli),
        fraction(wanted.mem_mib, capacity.mem_mib),
        fraction(wanted.accel, capacity.accel),
    ];
    Demand {
        weight: team.weight(),
        dominant: fractions.into_iter().fold(0.0, f64::max),
        fractions,
    }
}

/// Returns the highest dominant share per unit of weight that the zone can give to all teams at the
/// same time, found by bisection.
fn max_fair_level(demands: &[(SlabIndex, Demand)]) -> f64 {
    let full_level = |demand: &Demand| demand.dominant / demand.weight;
    let mut high = demands
        .iter()
        .map(|(_, demand)| full_level(demand))
        .fold(0.0, f64::max);
    if is_feasible(demands, high) {
        return high;
    }
    let mut low = 0.0;
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if is_feasible(demands, middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Returns whether the zone has enough of every resource to give each team its demand up to a
/// level.
fn is_feasible(demands: &[(SlabIndex, Demand)], level: f64) -> bool {
    let mut totals = [0.0; 3];
    for (_, demand) in demands {
        if demand.dominant <= 0.0 {
            continue;
        }
        let granted = demand.dominant.min(level * demand.weight) / demand.dominant;
        for (total, fraction) in totals.iter_mut().zip(demand.fractions) {
            *total += fraction * granted;
        }
    }
    totals.into_iter().all(|total| total <= 1.0)
}
