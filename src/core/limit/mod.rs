//! Escrow of each team's fleet-wide limit: the limit is divided into shares of the zones, whose sum
//! never exceeds it. A zone may start tasks up to its allotment, which follows from its share and
//! its writes in flight.
//!
//! The division is stored in the row `escrow/{team}`. A zone lowers its own share once it uses
//! less; another zone can then raise its own by compare-and-set. Only the placer of a zone changes
//! the zone's share. The first write of a row in a placer's tenure makes every earlier write of its
//! predecessors conflict.

mod division;
mod row;
mod team;

use std::collections::BTreeMap;

use self::team::TeamEscrow;
use super::event::TxnOutcome;
use super::model::Now;
use super::model::Resources;
use super::model::Rev;
use super::model::Row;
use super::model::TeamId;
use super::model::Write;
use super::model::ZoneId;

pub use row::EscrowRow;
pub use row::ZoneShare;

/// Key prefix of the rows.
const SPACE: &str = "escrow/";

/// A team's limit, and its usage and demand in this zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamUsage {
    /// Name of the team.
    pub team: TeamId,
    /// Fleet-wide limit in the team's record.
    pub limit: Resources,
    /// Row version of that record.
    pub limit_version: Rev,
    /// Resources of the tasks running or being started in the zone.
    pub used: Resources,
    /// Resources of those tasks and of the tasks waiting in the zone.
    pub wanted: Resources,
    /// Resources used plus those of the whole first waiting gang; zero if no gang waits.
    pub needs: Resources,
    /// Total capacity of the zone's VMs whose tasks are unknown.
    pub unknown_capacity: Resources,
}

/// Shares of one zone in the limits of all teams.
#[derive(Clone, Debug)]
pub struct Escrow {
    zone: ZoneId,
    tenure: u64,
    teams: BTreeMap<TeamId, TeamEscrow>,
}

impl Escrow {
    /// Returns an escrow that has not read any row.
    #[must_use]
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            tenure: 0,
            teams: BTreeMap::new(),
        }
    }

    /// Begins a new tenure of this daemon as placer of the zone. Another placer may have changed
    /// the zone's shares in the meantime.
    pub fn begin_tenure(&mut self) {
        self.tenure += 1;
        for team in self.teams.values_mut() {
            team.begin_tenure();
        }
    }

    /// Applies rows with the prefix `escrow/`; rows that are not newer than the known ones are
    /// ignored.
    pub fn apply(&mut self, rows: &[Row]) {
        for row in rows {
            if let Some(name) = row.key.strip_prefix(SPACE) {
                self.teams.entry(name.into()).or_default().apply_row(row);
            }
        }
    }

    /// Returns the resources that the team may have running in this zone. While a write that lowers
    /// the share is in flight, this is the lower amount. Until the first write of the tenure is
    /// known to have taken effect, it is what [`Escrow::adopt_running`] recorded, up to the share
    /// in the row.
    #[must_use]
    pub fn allotment(&self, team: &str) -> Resources {
        self.teams
            .get(team)
            .map_or(Resources::ZERO, |team| team.allotment(&self.zone))
    }

    /// Returns the amount to which the team's running tasks in this zone must be reduced at once:
    /// the zone's share, or less if the limit itself was lowered. It exceeds [`Escrow::allotment`]
    /// while the zone releases part of its share to other zones as its tasks end.
    #[must_use]
    pub fn ceiling(&self, team: &str) -> Resources {
        self.teams
            .get(team)
            .map_or(Resources::ZERO, |team| team.ceiling(&self.zone))
    }

    /// Records the team's running resources, which bound its allotment until this tenure's first
    /// write takes effect, also while the row has not been read.
    pub fn adopt_running(&mut self, team: &str, running: Resources) {
        self.teams
            .entry(team.into())
            .or_default()
            .adopt_running(running);
    }

    /// Returns the teams in whose limits this zone has a share.
    #[must_use]
    pub fn teams_with_share(&self) -> Vec<TeamId> {
        let has_share = |team: &TeamEscrow| team.held(&self.zone) != Resources::ZERO;
        let teams = self.teams.iter().filter(|(_, team)| has_share(team));
        teams.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the write that moves the team's share towards its demand, if one is due. No other
    /// write of the team is returned until [`Escrow::handle_write_outcome`] is called.
    pub fn plan_write(&mut self, now: Now, usage: &TeamUsage) -> Option<Write> {
        let team = self.teams.entry(usage.team.clone()).or_default();
        team.adopt_running(usage.used);
        let (expect, value) = team.plan(now, &self.zone, self.tenure, usage)?;
        Some(Write {
            key: format!("{SPACE}{}", usage.team).into(),
            expect,
            value: Some(value),
        })
    }

    /// Handles the outcome of a team's write.
    pub fn handle_write_outcome(&mut self, team: &str, outcome: &TxnOutcome) {
        if let Some(team) = self.teams.get_mut(team) {
            team.handle_write_outcome(self.tenure, outcome);
        }
    }

    /// Returns the zone whose shares these are.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.zone
    }
}
