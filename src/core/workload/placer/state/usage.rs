//! Resource usage of each team, checked against its cap.

use rustc_hash::FxHashMap;

use crate::core::model::Resources;
use crate::core::model::TeamId;
use crate::core::workload::cx::Cx;

/// Sum of the demands of each team's runs.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct Usage {
    teams: FxHashMap<TeamId, Resources>,
    /// Demand of tasks that an earlier placer may have started on VMs that have not answered this
    /// placer yet.
    inherited: FxHashMap<TeamId, Resources>,
    /// Demand of such tasks whose team is unknown; charged to each team.
    inherited_by_any: Resources,
}

impl Usage {
    /// Returns whether a team stays within its cap with an additional `demand`. A job without a
    /// team, or whose team the configuration does not name, has no cap.
    pub fn allows(&self, cx: &Cx, team: Option<&TeamId>, demand: &Resources) -> bool {
        let Some(team) = team else {
            return true;
        };
        let Some(configured) = cx.catalog.and_then(|catalog| catalog.teams.get(team)) else {
            return true;
        };
        let inherited = self.inherited.get(team).copied();
        let inherited = inherited.unwrap_or(Resources::ZERO);
        let inherited = inherited.plus(&self.inherited_by_any);
        configured.allows(&self.running(team).plus(&inherited).plus(demand))
    }

    /// Returns the teams whose runs use CPU.
    pub fn teams(&self) -> impl Iterator<Item = &TeamId> {
        let running = self.teams.iter().filter(|(_, used)| used.cpu_milli > 0);
        running.map(|(team, _)| team)
    }

    /// Returns the demand of a team's runs.
    pub fn running(&self, team: &TeamId) -> Resources {
        self.teams.get(team).copied().unwrap_or(Resources::ZERO)
    }

    /// Resets the demand of tasks that an earlier placer may have started.
    pub fn clear_inherited(&mut self) {
        self.inherited.clear();
        self.inherited_by_any = Resources::ZERO;
    }

    /// Adds the demand of tasks that an earlier placer may have started for any team.
    pub fn charge_all_teams(&mut self, demand: &Resources) {
        self.inherited_by_any = self.inherited_by_any.plus(demand);
    }

    /// Adds the demand of tasks that an earlier placer may have started.
    pub fn add_inherited(&mut self, team: Option<&TeamId>, demand: &Resources) {
        if let Some(team) = team {
            let inherited = self.inherited.entry(team.clone()).or_default();
            *inherited = inherited.plus(demand);
        }
    }

    /// Adds the demand of a run that began.
    pub fn add(&mut self, team: Option<&TeamId>, demand: &Resources) {
        if let Some(team) = team {
            let used = self.teams.entry(team.clone()).or_default();
            *used = used.plus(demand);
        }
    }

    /// Subtracts the demand of a run that ended.
    pub fn subtract(&mut self, team: Option<&TeamId>, demand: &Resources) {
        if let Some(used) = team.and_then(|team| self.teams.get_mut(team)) {
            *used = used.minus(demand);
        }
    }
}
