//! Usage, demand and entitlement of teams.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Scheduler;
use super::TeamDemand;
use super::TeamPolicy;
use super::queue::ClockMillis;
use super::slab::SlabIndex;
use super::totals::ResourceTotals;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::TeamId;

/// Time for which a team may exceed its ceiling before its tasks are preempted.
pub const CEILING_GRACE: Duration = Duration::from_secs(1);

/// State of a team.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name.
    pub id: TeamId,
    /// Weight and limits; `None` until they are known, which allows no starts.
    pub policy: Option<TeamPolicy>,
    /// Resources charged to its placed tasks.
    pub used: ResourceTotals,
    /// Sizes of its pending tasks.
    pub pending: ResourceTotals,
    /// Placed tasks.
    pub tasks: Vec<SlabIndex>,
    /// Jobs with pending tasks, except services and urgent jobs, by rank.
    pub queue: BTreeSet<(ClockMillis, SlabIndex)>,
    /// Dominant share to which it is currently entitled.
    pub entitlement: f64,
    /// Decaying average of its dominant share.
    pub average_share: f64,
    /// Since when its usage has exceeded its ceiling.
    pub over_ceiling_since: Option<Now>,
}

impl Team {
    /// Resources that its allotment leaves for further starts.
    pub fn headroom(&self) -> Resources {
        match &self.policy {
            Some(policy) => {
                let usable = policy.allotment.minus(&policy.unknown);
                usable.minus(&self.used.to_resources())
            }
            None => Resources::ZERO,
        }
    }

    /// Usage and demand; `gang` is the total size of the gang at the head of its queue, or zero.
    pub fn demand(&self, gang: Resources) -> TeamDemand {
        let used = self.used.to_resources();
        TeamDemand {
            team: self.id.clone(),
            used,
            wanted: used.plus(&self.pending.to_resources()),
            needs: if gang == Resources::ZERO {
                gang
            } else {
                used.plus(&gang)
            },
        }
    }

    /// Weight in the division of the zone, which is at least 1.
    pub fn weight(&self) -> f64 {
        let weight = self.policy.as_ref().map_or(1, |policy| policy.weight);
        f64::from(weight.max(1))
    }
}

impl Scheduler {
    /// Index of a team, which is inserted if it is unknown.
    pub(super) fn find_or_insert_team(&mut self, name: &str) -> SlabIndex {
        self.teams.find_or_insert(name, || Team {
            id: name.into(),
            policy: None,
            used: ResourceTotals::default(),
            pending: ResourceTotals::default(),
            tasks: Vec::new(),
            queue: BTreeSet::new(),
            entitlement: 0.0,
            average_share: 0.0,
            over_ceiling_since: None,
        })
    }
}
