//! A scheduling round: due task actions and reservations, then services and urgent jobs, jobs close
//! to their deadline, and the remaining jobs by their teams' shares.

use super::Decision;
use super::Scheduler;
use super::queue::millis;
use super::slab::SlabIndex;
use crate::core::model::JobKind;
use crate::core::model::Now;
use crate::core::model::Resources;

/// Jobs at the head of a team's queue that are tried for each start. If none can start, the team
/// waits for the next round.
const BACKFILL_DEPTH: usize = 16;

/// Services and urgent jobs that are tried in one round.
const MAX_PRIORITY_JOBS_TRIED: usize = 256;

/// Normalized usage that a minute of waiting offsets in the rank of a team.
const WAIT_CREDIT_PER_MINUTE: f64 = 0.1;

/// Waiting time beyond which the credit of a team no longer grows.
const MAX_WAIT_MINUTES: f64 = 600.0;

/// A task counts as small if some VM can hold this many of them. Enough resources for a small task
/// soon become free without preemption.
const SMALL_TASKS_PER_VM: u32 = 2;

/// State of one scheduling round, which makes at most `limit` decisions.
#[derive(Debug)]
pub struct Round {
    /// Time of the round.
    pub now: Now,
    /// Decisions so far.
    pub decisions: Vec<Decision>,
    limit: usize,
    /// Task sizes that did not fit on any VM in this round.
    unplaceable: Vec<Resources>,
}

impl Round {
    /// Returns a round without decisions.
    pub fn new(now: Now, limit: usize) -> Self {
        Self {
            now,
            decisions: Vec::new(),
            limit,
            unplaceable: Vec::new(),
        }
    }

    /// Whether the limit allows another decision.
    pub fn has_budget(&self) -> bool {
        self.budget() > 0
    }

    /// Whether `starts` tasks may be started together. More than the limit are allowed only as the
    /// first decisions of a round, so that a gang larger than the limit can start.
    pub fn has_budget_for(&self, starts: usize) -> bool {
        starts <= self.budget() || self.decisions.is_empty()
    }

    /// Number of decisions that the limit still allows.
    pub fn budget(&self) -> usize {
        self.limit.saturating_sub(self.decisions.len())
    }

    /// Whether a size is at least as large as one that did not fit on any VM.
    pub fn is_unplaceable(&self, size: &Resources) -> bool {
        self.unplaceable.iter().any(|least| size.holds(least))
    }

    /// Records that a size does not fit on any VM.
    pub fn record_unplaceable(&mut self, size: Resources) {
        self.unplaceable.push(size);
    }
}

impl Scheduler {
    pub(super) fn run_round(&mut self, now: Now, limit: usize) -> Vec<Decision> {
        let mut round = Round::new(now, limit);
        self.now = now;
        self.end_quarantines(now);
        let refreshed = self.refresh_shares(now);
        if refreshed {
            self.enforce_ceilings(now);
            self.refresh_near_deadline(now);
        }
        self.reduce_overcommit(&round);
        self.start_reserved_gang(&mut round);
        let half = limit / 2;
        self.send_due_actions(half, &mut round);
        self.start_reserved(&mut round);
        self.start_priority_jobs(&mut round);
        self.start_near_deadline(&mut round);
        self.start_by_share(&mut round);
        if refreshed {
            self.reclaim(&mut round);
        }
        self.send_due_actions(0, &mut round);
        round.decisions.append(&mut self.exempt_decisions);
        round.decisions
    }

    /// Starts services and urgent jobs in rank order, and preempts other tasks for them.
    fn start_priority_jobs(&mut self, round: &mut Round) {
        let candidates = self.priority_jobs.iter().take(MAX_PRIORITY_JOBS_TRIED);
        let jobs: Vec<SlabIndex> = candidates.map(|&(_, job)| job).collect();
        for job in jobs {
            while round.has_budget() && self.start_from_job(job, round) {}
            if !round.has_budget() {
                return;
            }
            if self.may_start(job) && self.jobs[job].spec.kind != JobKind::Gang {
                while self.preempt_for(round.now, job) {}
            }
        }
    }

    /// Starts jobs close to their deadline while their teams are below their entitlement.
    fn start_near_deadline(&mut self, round: &mut Round) {
        for job in self.near_deadline.clone() {
            let Some(team) = self.jobs.get(job).map(|job| job.team) else {
                continue;
            };
            while round.has_budget()
                && self.share_excess(team) < 0.0
                && self.start_from_job(job, round)
            {}
        }
    }

    /// Starts queued jobs, one start at a time from the team with the lowest rank.
    fn start_by_share(&mut self, round: &mut Round) {
        let waiting = self.teams.iter().filter(|(_, team)| !team.queue.is_empty());
        let mut teams: Vec<(f64, SlabIndex)> = waiting
            .map(|(team, _)| (self.team_rank(team, round.now), team))
            .collect();
        let mut entitled_team_waits = false;
        while round.has_budget() {
            let next = (0..teams.len()).min_by(|&a, &b| teams[a].0.total_cmp(&teams[b].0));
            let Some(position) = next else {
                return;
            };
            let team = teams[position].1;
            let blocked = entitled_team_waits && self.share_excess(team) >= 0.0;
            if !blocked && self.start_from_team(team, round) {
                teams[position].0 = self.team_rank(team, round.now);
            } else {
                teams.swap_remove(position);
                entitled_team_waits |= !blocked && self.is_waiting_for_resources(team);
            }
        }
    }

    /// Whether a team below its entitlement has a small task that does not fit on any VM.
    ///
    /// Teams at or above their entitlement then start nothing. Otherwise their smaller tasks would
    /// always take freed resources before enough are free for the waiting task. The rule is off if
    /// operators weigh waiting above fairness.
    fn is_waiting_for_resources(&self, team: SlabIndex) -> bool {
        if self.weights.fairness < self.weights.waiting {
            return false;
        }
        let mut jobs = self.teams[team].queue.iter().map(|&(_, job)| job);
        let batch = |job: &SlabIndex| self.jobs[*job].spec.kind == JobKind::Batch;
        let Some(job) = jobs.find(|job| batch(job) && self.may_start(*job)) else {
            return false;
        };
        let size = &self.jobs[job].size;
        let small = self
            .vms
            .shapes()
            .any(|shape| shape.holds(&size.times(SMALL_TASKS_PER_VM)));
        small && self.share_excess(team) + self.zone_share(size) <= 0.0
    }

    /// Rank of a team, the lowest first: its normalized usage less a credit for the waiting time of
    /// the job at the head of its queue.
    fn team_rank(&self, team: SlabIndex, now: Now) -> f64 {
        let head = self.teams[team].queue.first();
        let waited = head.map_or(0, |&(_, job)| millis(now) - self.jobs[job].submitted);
        let fairness = f64::from(self.weights.fairness);
        let waiting = f64::from(self.weights.waiting);
        let minutes = f64::from(i32::try_from(waited).unwrap_or(i32::MAX)) / 60_000.0;
        fairness * self.normalized_usage(team)
            - waiting * WAIT_CREDIT_PER_MINUTE * minutes.min(MAX_WAIT_MINUTES)
    }

    /// Starts a task or gang of the first job in a team's queue that can start.
    fn start_from_team(&mut self, team: SlabIndex, round: &mut Round) -> bool {
        let queue = self.teams[team].queue.iter();
        let jobs: Vec<SlabIndex> = queue.take(BACKFILL_DEPTH).map(|&(_, job)| job).collect();
        jobs.into_iter().any(|job| self.start_from_job(job, round))
    }

    /// Starts one task of a job, or a whole gang; returns whether anything started.
    pub(super) fn start_from_job(&mut self, job: SlabIndex, round: &mut Round) -> bool {
        if self.jobs[job].spec.kind == JobKind::Gang {
            self.start_gang(job, round)
        } else {
            self.start_one(job, round)
        }
    }
}
