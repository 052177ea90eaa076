//! Jobs close to their deadline, and preemption for teams below their entitlement.

use std::time::Duration;

use super::Scheduler;
use super::decide::Round;
use super::queue::millis;
use super::slab::SlabIndex;
use super::vms::fitting_count;
use crate::core::model::JobKind;
use crate::core::model::Now;

/// Waiting time after which tasks are preempted for a job of a team below its entitlement, at the
/// default weight of fairness. The time is inversely proportional to that weight.
const RECLAIM_DELAY: Duration = Duration::from_secs(20);

/// Number of open reservations at which no more are added for teams below their entitlement. It is
/// below the limit on all reservations, so that services and urgent jobs can use the rest.
const MAX_RECLAIM_RESERVATIONS: usize = 32;

/// Maximum number of reservations added at each refresh of the shares.
const MAX_RECLAIMS_PER_REFRESH: usize = 2;

/// Maximum number of jobs whose slack is computed at each refresh of the shares.
const MAX_DEADLINE_JOBS: usize = 1_024;

/// Slack, in expected run times, below which a job counts as close to its deadline.
const NEAR_DEADLINE_SLACK: i64 = 2;

impl Scheduler {
    /// Finds the jobs that are close to their deadline, those with the least slack first.
    pub(super) fn refresh_near_deadline(&mut self, now: Now) {
        let mut by_slack: Vec<(i64, SlabIndex)> = self
            .deadline_jobs
            .iter()
            .take(MAX_DEADLINE_JOBS)
            .filter_map(|&(_, job)| Some((self.slack(now, job)?, job)))
            .collect();
        by_slack.sort_unstable();
        self.near_deadline = by_slack.into_iter().map(|(_, job)| job).collect();
    }

    /// Returns the slack in milliseconds of a job close to its deadline; `None` for other jobs. The
    /// job is assumed to run as many tasks at a time as fit into its team's entitlement.
    fn slack(&self, now: Now, job: SlabIndex) -> Option<i64> {
        let entry = &self.jobs[job];
        let deadline = entry.submitted + millis(entry.spec.deadline?);
        let run_time = millis(self.expected_run_time(job)?);
        let capacity = self.vms.capacity();
        let entitlement = self.teams[entry.team].entitlement.clamp(0.0, 1.0);
        let zone_slots = i64::from(fitting_count(&capacity, &entry.size));
        let parallel = (zone_slots * scaled(entitlement) / SCALE).max(1);
        let waves = i64::try_from(entry.pending.len())
            .ok()?
            .div_euclid(parallel)
            + 1;
        let slack = deadline - millis(now) - waves.saturating_mul(run_time);
        (slack < NEAR_DEADLINE_SLACK * run_time).then_some(slack)
    }

    /// Preempts tasks of teams above their entitlement for teams below it: first for jobs close to
    /// their deadline, then for batch jobs that have waited long enough.
    pub(super) fn reclaim(&mut self, round: &mut Round) {
        let max_reservations =
            (self.reservations.len() + MAX_RECLAIMS_PER_REFRESH).min(MAX_RECLAIM_RESERVATIONS);
        for job in self.near_deadline.clone() {
            if self.reservations.len() < max_reservations && self.jobs.get(job).is_some() {
                self.reclaim_for(round, job, max_reservations);
            }
        }
        let delay_ms = self.reclaim_delay_ms();
        let mut teams: Vec<(f64, SlabIndex)> = self
            .teams
            .iter()
            .filter(|(_, team)| !team.queue.is_empty())
            .map(|(team, _)| (self.share_excess(team), team))
            .filter(|&(excess, _)| excess < 0.0)
            .collect();
        teams.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, team) in teams {
            if self.reservations.len() >= max_reservations {
                return;
            }
            let queue = self.teams[team].queue.iter().map(|&(_, job)| job);
            let has_waited =
                |job: &SlabIndex| millis(round.now) - self.jobs[*job].submitted >= delay_ms;
            let is_batch = |job: &SlabIndex| self.jobs[*job].spec.kind == JobKind::Batch;
            let jobs: Vec<SlabIndex> = queue
                .take(MAX_RECLAIM_RESERVATIONS)
                .filter(is_batch)
                .filter(has_waited)
                .collect();
            for job in jobs {
                self.reclaim_for(round, job, max_reservations);
            }
        }
    }

    /// Preempts tasks for a batch job as far as its team, including its reservations, is below its
    /// entitlement.
    fn reclaim_for(&mut self, round: &Round, job: SlabIndex, max_reservations: usize) {
        let entry = &self.jobs[job];
        let (team, size) = (entry.team, entry.size);
        if entry.spec.kind != JobKind::Batch {
            return;
        }
        let mut deficit =
            -self.share_excess(team) - self.zone_share(&size) * self.reservations_of(team);
        while deficit >= self.zone_share(&size)
            && self.reservations.len() < max_reservations
            && self.may_start(job)
            && self.preempt_for(round.now, job)
        {
            deficit -= self.zone_share(&size);
        }
    }

    /// Returns the number of reservations for jobs of a team.
    fn reservations_of(&self, team: SlabIndex) -> f64 {
        let of_team = self
            .reservations
            .iter()
            .filter(|reservation| self.jobs[reservation.job].team == team);
        f64::from(u32::try_from(of_team.count()).unwrap_or(u32::MAX))
    }

    fn reclaim_delay_ms(&self) -> i64 {
        let fairness = i64::from(self.weights.fairness.max(1));
        millis(RECLAIM_DELAY) * 1_000 / fairness
    }
}

/// Denominator of fractions in integer arithmetic.
const SCALE: i64 = 1_000_000;

/// Returns the numerator of a fraction over [`SCALE`].
fn scaled(fraction: f64) -> i64 {
    truncated(fraction * 1e6)
}

/// Returns the integer part of a number, which must lie well within the range of `i64`.
#[allow(clippy::cast_possible_truncation)]
pub(super) fn truncated(number: f64) -> i64 {
    number as i64
}
