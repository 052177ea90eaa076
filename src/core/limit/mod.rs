//! Escrow of each team's fleet-wide limit: allotments by zone whose sum never passes the limit.
//!
//! Row `escrow/{team}`. A zone lowers its own allotment once it uses less; another then raises
//! its own by compare-and-set. Only the placer of a zone changes the zone's part, and its first
//! write of a row in each tenure makes every earlier write of its predecessors conflict.

mod division;
mod row;
mod team;

use std::collections::BTreeMap;

use self::team::Team;
use super::event::TxnOutcome;
use super::model::Now;
use super::model::Resources;
use super::model::Rev;
use super::model::Row;
use super::model::TeamId;
use super::model::Write;
use super::model::ZoneId;

pub use row::EscrowRow;
pub use row::Share;

/// Space of the rows.
const SPACE: &str = "escrow/";

/// A team's position in this zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Which team.
    pub team: TeamId,
    /// Fleet-wide limit in the team's record.
    pub limit: Resources,
    /// Row version of that record.
    pub limit_version: Rev,
    /// Running or being started here.
    pub used: Resources,
    /// Used, and waiting here.
    pub wanted: Resources,
    /// What is used with the whole of the gang that waits first; zero when none does.
    pub needs: Resources,
    /// Capacity of the zone's VMs whose tasks are not known.
    pub unknown: Resources,
}

/// Allotments of one zone.
#[derive(Clone, Debug)]
pub struct Escrow {
    zone: ZoneId,
    tenure: u64,
    teams: BTreeMap<TeamId, Team>,
}

impl Escrow {
    /// Returns an escrow that has read nothing.
    #[must_use]
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            tenure: 0,
            teams: BTreeMap::new(),
        }
    }

    /// This daemon became placer of the zone: another may have changed the zone's parts since.
    pub fn begin_tenure(&mut self) {
        self.tenure += 1;
        for team in self.teams.values_mut() {
            team.forget_claim();
        }
    }

    /// Takes rows of the space `escrow/`; a row that is not newer is ignored.
    pub fn apply(&mut self, rows: &[Row]) {
        for row in rows {
            if let Some(name) = row.key.strip_prefix(SPACE) {
                self.teams.entry(name.into()).or_default().read(row);
            }
        }
    }

    /// What the team may have running in this zone now. While a lowering is under way it is the
    /// lower amount; before the first write of the tenure is known to have taken effect it is what
    /// [`Escrow::adopt`] found running.
    #[must_use]
    pub fn allotment(&self, team: &str) -> Resources {
        self.teams
            .get(team)
            .map_or(Resources::ZERO, |team| team.allotment(&self.zone))
    }

    /// What the team's work in this zone has to come down to at once: the zone's part of the limit,
    /// less where the limit itself was lowered. Above [`Escrow::allotment`] while the zone gives a
    /// part up to others as its work ends.
    #[must_use]
    pub fn ceiling(&self, team: &str) -> Resources {
        self.teams
            .get(team)
            .map_or(Resources::ZERO, |team| team.ceiling(&self.zone))
    }

    /// Takes what a team has running as its allotment, while the row cannot be read.
    pub fn adopt(&mut self, team: &str, running: Resources) {
        self.teams.entry(team.into()).or_default().adopt(running);
    }

    /// Teams of whose limits this zone holds a part.
    #[must_use]
    pub fn holders(&self) -> Vec<TeamId> {
        let holds = |team: &Team| team.held(&self.zone) != Resources::ZERO;
        let held = self.teams.iter().filter(|(_, team)| holds(team));
        held.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the write that brings the team's allotment nearer to what it wants, if any is due.
    /// Until [`Escrow::settled`] no other write of the team is returned.
    pub fn plan(&mut self, now: Now, position: &Position) -> Option<Write> {
        let team = self.teams.entry(position.team.clone()).or_default();
        team.adopt(position.used);
        let (expect, value) = team.plan(now, &self.zone, self.tenure, position)?;
        Some(Write {
            key: format!("{SPACE}{}", position.team).into(),
            expect,
            value: Some(value),
        })
    }

    /// The write of a team ended.
    pub fn settled(&mut self, team: &str, end: &TxnOutcome) {
        if let Some(team) = self.teams.get_mut(team) {
            team.settled(self.tenure, end);
        }
    }

    /// Zone whose allotments these are.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.zone
    }
}
