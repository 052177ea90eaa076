//! Backlog and started work of each queue and team, from which the waits of new jobs are estimated.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::core::workload::cx::Cx;
use crate::core::workload::cx::millis;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::Release;
use crate::core::workload::placer::rounds::shares::DEFAULT_WEIGHT;
use crate::core::workload::placer::rounds::shares::weight;
use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::policy::admission::Backlog;
use crate::core::workload::policy::admission::Pair;
use crate::core::workload::policy::admission::core_millis;
use crate::core::workload::policy::timeliness::Timeliness;
use crate::core::workload::rows::WaitRow;
use crate::core::workload::submission::StepIndex;

/// Time from the grant of the role to the first estimates.
const MIN_TENURE: Duration = Duration::from_secs(5);

/// Maximum number of waits in a heartbeat; the longest ones are kept.
const MAX_WAIT_ROWS: usize = 200;

/// Ratio of actual to declared run times. A learned ratio of the queue would be a factor of both the
/// backlog and the drain, so that the wait is the same without it.
const DECLARED: f64 = 1.0;

impl Placer {
    /// Updates the waits of new jobs.
    ///
    /// They are not known until the placer has held its role for [`MIN_TENURE`] and is settled.
    pub(in crate::core::workload::placer) fn update_waits(&mut self, cx: &Cx) {
        let is_new = cx.now < self.granted_at + MIN_TENURE;
        if is_new || !self.settled || self.release != Release::NotRequested {
            return self.waits.clear();
        }
        let backlogs = self.backlogs(cx);
        self.waits.update(cx.now, &backlogs);
    }

    /// Returns the waits that are worth reporting.
    pub(in crate::core::workload::placer) fn listed_waits(&self) -> BTreeMap<Pair, Duration> {
        let listed = self.waits.listed();
        listed.map(|(pair, wait)| (pair.clone(), wait)).collect()
    }

    /// Returns the waits for the heartbeat, the longest first.
    pub(in crate::core::workload::placer) fn wait_rows(&self) -> Vec<WaitRow> {
        let listed = self.waits.listed();
        let rows = listed.map(|((queue, team), wait)| WaitRow {
            queue: queue.clone(),
            team: team.clone(),
            wait_ms: millis(wait),
        });
        let mut rows: Vec<WaitRow> = rows.collect();
        rows.sort_unstable_by(|a, b| {
            let order = b.wait_ms.cmp(&a.wait_ms);
            order.then_with(|| (&a.queue, &a.team).cmp(&(&b.queue, &b.team)))
        });
        rows.truncate(MAX_WAIT_ROWS);
        rows
    }

    /// Returns the work that has not started of each queue and team.
    fn backlogs(&self, cx: &Cx) -> FxHashMap<Pair, Backlog> {
        let mut backlogs: FxHashMap<Pair, Backlog> = FxHashMap::default();
        for (_, job) in self.registry.active_jobs() {
            let Some((ready, blocked)) = job.waiting_work(cx) else {
                continue;
            };
            let backlog = backlogs.entry(pair(job)).or_default();
            backlog.ready += ready;
            backlog.blocked += blocked;
            backlog.weight = job
                .team
                .as_ref()
                .map_or(DEFAULT_WEIGHT, |team| weight(cx, team));
        }
        backlogs
    }
}

impl Job {
    /// Returns the work of the job's waiting tasks in core-milliseconds: that of ready steps and that
    /// of other steps. `None` for a job without such work, and for one that new jobs do not wait for
    /// in their queue.
    fn waiting_work(&self, cx: &Cx) -> Option<(f64, f64)> {
        if self.submission.is_long_running() || self.submission.schedule.is_some() {
            return None;
        }
        let (mut ready, mut blocked) = (0.0, 0.0);
        for steps in self.occurrences.values() {
            for (step, spec) in steps.iter().zip(&self.submission.steps) {
                if spec.traits.filler {
                    continue;
                }
                let estimate = Duration::from_millis(spec.estimate_ms);
                let work = core_millis(step.waiting, &spec.demand, estimate, DECLARED);
                match step.ready_at {
                    Some(_) => ready += work,
                    None => blocked += work,
                }
            }
        }
        let has_work = ready + blocked > 0.0;
        let is_awaited = || self.timeliness(cx.unix_time) != Timeliness::Overdue;
        (has_work && is_awaited()).then_some((ready, blocked))
    }
}

/// Returns the queue and team of a task that is started, and its work in core-milliseconds; `None`
/// for tasks that run until stopped or only use idle CPU time.
///
/// The work that a checkpoint saves is not known, so that of a resumed task counts in full.
pub(in crate::core::workload::placer) fn started_work(
    job: &Job,
    step: StepIndex,
) -> Option<(Pair, f64)> {
    let spec = job.spec(step);
    if spec.traits.filler || job.submission.is_long_running() {
        return None;
    }
    let estimate = Duration::from_millis(spec.estimate_ms);
    Some((pair(job), core_millis(1, &spec.demand, estimate, DECLARED)))
}

fn pair(job: &Job) -> Pair {
    (job.queue.name.clone(), job.team.clone())
}
