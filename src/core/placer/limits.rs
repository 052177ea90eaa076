//! Division of the teams' limits among the zones.

use super::Placer;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::event::TxnOutcome;
use crate::core::limit::TeamUsage;
use crate::core::model::ESCROW_TOKEN_BASE;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::Token;
use crate::core::model::Txn;
use crate::core::record::Records;
use crate::core::sched::TeamDemand;
use crate::core::sched::TeamPolicy;
use crate::core::timeline::TimelineEvent;

impl Placer {
    /// Handles the outcome of an escrow transaction; returns `false` for any other transaction.
    pub fn handle_txn_end(&mut self, token: Token, outcome: &TxnOutcome, fx: &mut Effects) -> bool {
        let Some(team) = self.writes.remove(&token) else {
            return false;
        };
        if let TxnOutcome::Committed(_) = outcome {
            let zone = self.leases.zone().into();
            fx.push(Effect::Timeline(TimelineEvent::AllotmentChanged {
                team: team.clone(),
                zone,
            }));
        }
        self.escrow.handle_write_outcome(&team, outcome);
        true
    }

    /// Adjusts this zone's allotments to the demand, and passes the resulting policies to the
    /// scheduler.
    pub(super) fn divide_limits(&mut self, now: Now, records: &Records, fx: &mut Effects) {
        let unknown = if self.safeguards.reserve_unknown_capacity {
            self.leases.unknown_capacity(now)
        } else {
            Resources::ZERO
        };
        for demand in self.demands() {
            let Some(record) = records.team(&demand.team) else {
                continue;
            };
            let usage = TeamUsage {
                team: demand.team.clone(),
                limit: record.limit,
                limit_version: records.version("team/", &demand.team),
                used: demand.used,
                wanted: demand.wanted,
                needs: demand.needs,
                unknown_capacity: unknown,
            };
            if let Some(write) = self.escrow.plan_write(now, &usage) {
                self.writes_started += 1;
                let token = ESCROW_TOKEN_BASE + self.writes_started;
                self.writes.insert(token, demand.team.clone());
                fx.push(Effect::Commit {
                    token,
                    txn: Txn {
                        writes: vec![write],
                    },
                });
            }
            let (allotment, ceiling) = if self.safeguards.escrow {
                (
                    self.escrow.allotment(&demand.team),
                    self.escrow.ceiling(&demand.team),
                )
            } else {
                (record.limit, record.limit)
            };
            let policy = TeamPolicy {
                weight: record.weight,
                allotment,
                ceiling,
                unknown,
            };
            self.sched.set_team(now, &demand.team, policy);
        }
    }

    /// Returns the demand of each team in this zone, including teams that have an allotment but no
    /// demand.
    fn demands(&self) -> Vec<TeamDemand> {
        let mut demands = self.sched.team_demands();
        for team in self.escrow.teams_with_share() {
            if !demands.iter().any(|demand| demand.team == team) {
                demands.push(TeamDemand {
                    team,
                    used: Resources::ZERO,
                    wanted: Resources::ZERO,
                    needs: Resources::ZERO,
                });
            }
        }
        demands
    }
}
