//! What each team has running, against its cap.

use rustc_hash::FxHashMap;

use crate::core::model::Resources;
use crate::core::model::TeamId;
use crate::core::workload::cx::Cx;

/// Sum of the demands of each team's runs.
#[derive(Debug, Default)]
pub(super) struct Usage {
    teams: FxHashMap<TeamId, Resources>,
    /// What tasks may take that an earlier placer may have started on VMs not yet heard of.
    unseen: FxHashMap<TeamId, Resources>,
}

impl Usage {
    /// Whether a team's cap leaves room for `demand` more.
    pub fn allows(&self, cx: &Cx, team: Option<&TeamId>, demand: &Resources) -> bool {
        let Some(team) = team else {
            return true;
        };
        let Some(terms) = cx.catalog.and_then(|catalog| catalog.teams.get(team)) else {
            return true;
        };
        let unseen = self.unseen.get(team).copied().unwrap_or(Resources::ZERO);
        terms.allows(&self.running(team).plus(&unseen).plus(demand))
    }

    /// Teams that have something running.
    pub fn teams(&self) -> impl Iterator<Item = &TeamId> {
        let running = self.teams.iter().filter(|(_, used)| used.cpu_milli > 0);
        running.map(|(team, _)| team)
    }

    /// What a team has running.
    pub fn running(&self, team: &TeamId) -> Resources {
        self.teams.get(team).copied().unwrap_or(Resources::ZERO)
    }

    /// Forgets what may run unseen.
    pub fn clear_unconfirmed(&mut self) {
        self.unseen.clear();
    }

    /// Tasks of the team may run unseen.
    pub fn add_unconfirmed(&mut self, team: Option<&TeamId>, demand: &Resources) {
        if let Some(team) = team {
            let unseen = self.unseen.entry(team.clone()).or_default();
            *unseen = unseen.plus(demand);
        }
    }

    /// A run of the team began.
    pub fn add(&mut self, team: Option<&TeamId>, demand: &Resources) {
        if let Some(team) = team {
            let used = self.teams.entry(team.clone()).or_default();
            *used = used.plus(demand);
        }
    }

    /// A run of the team ended.
    pub fn subtract(&mut self, team: Option<&TeamId>, demand: &Resources) {
        if let Some(used) = team.and_then(|team| self.teams.get_mut(team)) {
            *used = used.minus(demand);
        }
    }
}
