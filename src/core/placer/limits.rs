//! Division of the teams' limits: what each may have running in this zone.

use super::Placer;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::event::TxnEnd;
use crate::core::limit::Position;
use crate::core::model::ESCROW_TOKENS;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::Token;
use crate::core::model::Txn;
use crate::core::record::Records;
use crate::core::sched::TeamDemand;
use crate::core::sched::TeamPolicy;
use crate::core::timeline::Happening;

impl Placer {
    /// A transaction of the escrow's ended; returns whether it was the escrow's.
    pub fn txn_ended(&mut self, token: Token, end: &TxnEnd, fx: &mut Effects) -> bool {
        let Some(team) = self.writes.remove(&token) else {
            return false;
        };
        if let TxnEnd::Committed(_) = end {
            let zone = self.leases.zone().into();
            fx.push(Effect::Note(Happening::AllotmentChanged {
                team: team.clone(),
                zone,
            }));
        }
        self.escrow.settled(&team, end);
        true
    }

    pub(super) fn divide_limits(&mut self, now: Now, records: &Records, fx: &mut Effects) {
        let unknown = if self.mechanisms.unknown_capacity {
            self.leases.unknown_capacity(now)
        } else {
            Resources::ZERO
        };
        for demand in self.demands() {
            let Some(record) = records.team(&demand.team) else {
                continue;
            };
            let position = Position {
                team: demand.team.clone(),
                limit: record.limit,
                limit_version: records.version("team/", &demand.team),
                used: demand.used,
                wanted: demand.wanted,
                needs: demand.needs,
                unknown,
            };
            if let Some(write) = self.escrow.plan(now, &position) {
                self.writes_started += 1;
                let token = ESCROW_TOKENS + self.writes_started;
                self.writes.insert(token, demand.team.clone());
                fx.push(Effect::Commit {
                    token,
                    txn: Txn {
                        writes: vec![write],
                    },
                });
            }
            let (allotment, ceiling) = if self.mechanisms.escrow {
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

    /// What each team uses and wants here, also of teams that only hold a part of their limit.
    fn demands(&self) -> Vec<TeamDemand> {
        let mut demands = self.sched.team_demands();
        for team in self.escrow.holders() {
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
