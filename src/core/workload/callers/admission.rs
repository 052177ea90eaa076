//! Refusal of submissions that could not be done in useful time.
//!
//! A repeat of a job that is stored must be accepted, so the job's row is read before a refusal.
//! Nothing of a refused job is written.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::batcher::SubmissionBatcher;
use super::batcher::WITHDRAWN;
use super::recent_ids::RecentIds;
use super::withdrawals::is_withdrawn;
use crate::core::model::JobId;
use crate::core::model::Ticket;
use crate::core::workload::catalog::Queue;
use crate::core::workload::cx::Cx;
use crate::core::workload::cx::millis;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::Reply;
use crate::core::workload::event::ReadPurpose;
use crate::core::workload::heartbeat::HeartbeatMonitor;
use crate::core::workload::policy::admission::Overload;
use crate::core::workload::policy::admission::retry_after;
use crate::core::workload::rows::JobRow;
use crate::core::workload::rows::job_part;
use crate::core::workload::rows::job_part_name;
use crate::core::workload::submission::Submission;
use crate::core::workload::table::JOBS;
use crate::core::workload::table::Page;
use crate::core::workload::table::Range;

/// Decides which submissions are refused for overload.
#[derive(Debug, Default)]
pub(in crate::core::workload) struct AdmissionControl {
    /// Submissions that are about to be refused, whose rows are being read.
    checks: FxHashMap<JobId, Check>,
    /// Time since the Unix epoch of the first attempt of each refused job.
    first_attempts: RecentIds<Duration>,
}

/// Valid submission with an authorized caller.
#[derive(Debug)]
pub(in crate::core::workload) struct Submitted {
    /// Id of the job.
    pub id: JobId,
    /// Row that stores the job.
    pub row: JobRow,
    /// Version of the configuration by which it was handled.
    pub config_version: u64,
    /// Whether an earlier submission of the job may have taken effect, or may still do so.
    pub may_be_stored: bool,
}

/// Submission whose row is being read, and the callers that wait for the outcome.
#[derive(Debug)]
struct Check {
    submitted: Submitted,
    overload: Overload,
    /// Age of the estimate.
    age: Duration,
    tickets: Vec<Ticket>,
}

impl AdmissionControl {
    /// Returns whether no submission waits for a read.
    pub fn is_idle(&self) -> bool {
        self.checks.is_empty()
    }

    /// Returns the time of acceptance of a job that is submitted now, since the Unix epoch.
    ///
    /// A job that was refused before counts from its first attempt, so that it goes before new ones
    /// of its queue. At most a quarter of the time for which it can wait and be on time is counted, as
    /// late jobs go after those on time.
    pub fn acceptance_time(
        &self,
        cx: &Cx,
        id: &str,
        queue: &Queue,
        submission: &Submission,
    ) -> Duration {
        let Some(first_attempt) = self.first_attempts.get(id) else {
            return cx.unix_time;
        };
        let critical_path = submission.critical_path();
        let slack = queue.objective(critical_path).saturating_sub(critical_path);
        let earliest = cx.unix_time.saturating_sub(slack / 4);
        first_attempt.clamp(earliest, cx.unix_time)
    }

    /// Passes a submission on to the batcher, or reads the job's row before a refusal. A duplicate of
    /// a submission whose row is being read shares its outcome.
    pub fn submit(
        &mut self,
        cx: &mut Cx,
        batcher: &mut SubmissionBatcher,
        heartbeats: &HeartbeatMonitor,
        queue: &Queue,
        ticket: Ticket,
        submitted: Submitted,
    ) {
        if let Some(check) = self.checks.get_mut(&submitted.id) {
            return check.tickets.push(ticket);
        }
        let overload = overload(cx, heartbeats, queue, &submitted.row);
        let Some((overload, age)) = overload.filter(|_| !submitted.may_be_stored) else {
            let Submitted {
                id,
                row,
                config_version,
                ..
            } = submitted;
            return batcher.submit(cx, ticket, id, row, config_version);
        };
        let id = submitted.id.clone();
        let check = Check {
            submitted,
            overload,
            age,
            tickets: vec![ticket],
        };
        self.checks.insert(id.clone(), check);
        let part = job_part_name(job_part(&id));
        let range = Range::row(JOBS, &part, &id, cx.options.table.read_timeout);
        cx.read(ReadPurpose::Admission(id), range);
    }

    /// Handles the row of a job that is about to be refused. If the row cannot be read, the
    /// submission is handled as without overload.
    pub fn handle_job_row(
        &mut self,
        cx: &mut Cx,
        batcher: &mut SubmissionBatcher,
        id: &str,
        page: Result<Page, Box<str>>,
    ) {
        let Some(check) = self.checks.remove(id) else {
            return;
        };
        match page {
            Ok(page) if page.rows.iter().any(is_withdrawn) => check.refuse_withdrawn(cx),
            Ok(page) if page.rows.iter().any(|row| row.value.is_some()) => check.accept(cx),
            Ok(_) => self.refuse(cx, &check),
            Err(_) => check.pass_on(cx, batcher),
        }
    }

    fn refuse(&mut self, cx: &mut Cx, check: &Check) {
        let Submitted {
            id,
            row,
            config_version,
            ..
        } = &check.submitted;
        self.first_attempts.add(id, row.at);
        let delay = retry_after(&check.overload, id);
        let wait_ms = millis(check.overload.wait);
        let useful_ms = millis(check.overload.useful_within);
        cx.log(Decision::RefusedForOverload {
            id: id.clone(),
            queue: row.queue.clone(),
            team: row.team.clone(),
            reason: format!("overload: wait of {wait_ms} ms, useful within {useful_ms} ms").into(),
            config: *config_version,
            age_ms: millis(check.age),
            retry_after_ms: millis(delay),
        });
        for &ticket in &check.tickets {
            cx.reply(ticket, Reply::Overloaded(delay));
        }
    }
}

impl Check {
    /// Accepts the submission as a repeat of a job that is stored.
    fn accept(self, cx: &mut Cx) {
        cx.log(Decision::Accepted {
            id: self.submitted.id,
            queue: self.submitted.row.queue,
            team: self.submitted.row.team,
            config: self.submitted.config_version,
            repeat: true,
        });
        for ticket in self.tickets {
            cx.reply(ticket, Reply::Accepted);
        }
    }

    /// Refuses the submission of a job that was cancelled before it was accepted.
    fn refuse_withdrawn(self, cx: &mut Cx) {
        cx.log(Decision::Refused {
            id: self.submitted.id,
            reason: WITHDRAWN.into(),
            config: self.submitted.config_version,
            table_age_ms: cx.table_age_ms(),
        });
        for ticket in self.tickets {
            cx.reply(ticket, cx.unavailable());
        }
    }

    /// Passes the submission on to the batcher, where its callers share one outcome.
    fn pass_on(self, cx: &mut Cx, batcher: &mut SubmissionBatcher) {
        let Submitted {
            id,
            row,
            config_version,
            ..
        } = self.submitted;
        for ticket in self.tickets {
            batcher.submit(cx, ticket, id.clone(), row.clone(), config_version);
        }
    }
}

/// Returns the overload that a job meets, and the age of the estimate; `None` if the job can be done
/// in useful time, or if there is no recent estimate.
///
/// Scheduled and long-running jobs and fillers are not awaited, so they meet none.
fn overload(
    cx: &Cx,
    heartbeats: &HeartbeatMonitor,
    queue: &Queue,
    row: &JobRow,
) -> Option<(Overload, Duration)> {
    let job = row.job.as_ref()?;
    let is_filler = job.steps.iter().any(|step| step.traits.filler);
    if job.schedule.is_some() || job.is_long_running() || is_filler {
        return None;
    }
    let published = heartbeats.wait(cx.now, &queue.name, row.team.as_ref())?;
    let critical_path = job.critical_path();
    let objective = queue.objective(critical_path);
    let overload = Overload::check(published.wait, critical_path, objective)?;
    Some((overload, published.age))
}
