//! Handles callers' requests to submit, query and cancel jobs. Each request is authorized before
//! the table is accessed.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use super::admission::AdmissionControl;
use super::admission::Submitted;
use super::batcher::SubmissionBatcher;
use super::relay::Relays;
use super::withdrawals::Withdrawals;
use crate::core::model::JobId;
use crate::core::model::TeamId;
use crate::core::model::Ticket;
use crate::core::workload::catalog::Catalog;
use crate::core::workload::catalog::Queue;
use crate::core::workload::cx::Cx;
use crate::core::workload::cx::millis;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::JobState;
use crate::core::workload::effect::Reply;
use crate::core::workload::event::Action;
use crate::core::workload::event::Call;
use crate::core::workload::event::CommitPurpose;
use crate::core::workload::event::Feed;
use crate::core::workload::event::ReadPurpose;
use crate::core::workload::feeds::Feeds;
use crate::core::workload::heartbeat::HeartbeatMonitor;
use crate::core::workload::placer::job_progress;
use crate::core::workload::rows::JobRow;
use crate::core::workload::rows::ProgressRow;
use crate::core::workload::rows::QueueTerms;
use crate::core::workload::rows::cancel_key;
use crate::core::workload::rows::decode;
use crate::core::workload::rows::encode;
use crate::core::workload::rows::job_part;
use crate::core::workload::rows::job_part_name;
use crate::core::workload::rows::job_row;
use crate::core::workload::submission::Submission;
use crate::core::workload::table::CommitOutcome;
use crate::core::workload::table::JOBS;
use crate::core::workload::table::PROGRESS;
use crate::core::workload::table::Page;
use crate::core::workload::table::Range;
use crate::core::workload::table::Transaction;

/// Length of a job identifier, in hexadecimal digits.
const JOB_ID_DIGITS: usize = 16;

/// Handles calls and keeps track of those that wait for the table.
#[derive(Debug, Default)]
pub(in crate::core::workload) struct CallHandler {
    pending: FxHashMap<Ticket, PendingCall>,
    withdrawals: Withdrawals,
}

/// Call that waits for the table, with the access rights of its caller.
#[derive(Debug)]
struct PendingCall {
    /// Team of the caller's key.
    team: Option<TeamId>,
    /// Queue of the call. If it is public, the caller may see all of its jobs.
    queue: Rc<Queue>,
}

/// Other components of the reducer that a call may need.
pub(in crate::core::workload) struct Components<'a> {
    /// Batches submissions into transactions.
    pub batcher: &'a mut SubmissionBatcher,
    /// Refuses submissions in overload.
    pub admission: &'a mut AdmissionControl,
    /// Calls relayed to other daemons.
    pub relays: &'a Relays,
    /// Followed tables of the platform.
    pub feeds: &'a Feeds,
    /// Heartbeats of the placer.
    pub heartbeats: &'a HeartbeatMonitor,
}

impl CallHandler {
    /// Returns whether no call waits for the table.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Authorizes a call and handles it.
    pub fn handle(&mut self, cx: &mut Cx, mut components: Components, ticket: Ticket, call: Call) {
        let Some(catalog) = cx.catalog.cloned() else {
            return reply_unavailable(cx, ticket, &call, "no configuration received yet");
        };
        let Some(queue) = catalog.route(&call.host, &call.path).cloned() else {
            return cx.reply(ticket, Reply::NoQueue);
        };
        let team = team_for_key(&catalog, call.key.as_deref());
        if !queue.public && team.is_none() {
            cx.log(Decision::Refused {
                id: id_in_path(&queue, &call.path).into(),
                reason: "unknown key".into(),
                config: catalog.version,
                table_age_ms: cx.table_age_ms(),
            });
            return cx.reply(ticket, Reply::BadKey);
        }
        let id = id_in_path(&queue, &call.path);
        match call.action {
            Action::Submit(Ok(_) | Err(_)) if !is_valid_job_id(id) => {
                cx.reply(
                    ticket,
                    Reply::Invalid("a job's id is 16 hexadecimal digits".into()),
                );
            }
            Action::Submit(Err(reason)) => cx.reply(ticket, Reply::Invalid(reason)),
            Action::Submit(Ok(job)) => {
                let id = id.into();
                submit(
                    cx,
                    &mut components,
                    ticket,
                    id,
                    &queue,
                    team,
                    job,
                    catalog.version,
                );
            }
            Action::Get if id.is_empty() => {
                reply_waiting_count(cx, components.heartbeats, ticket, &queue);
            }
            Action::Get | Action::Cancel if !is_valid_job_id(id) => cx.reply(ticket, Reply::NoJob),
            Action::Get => {
                self.track(ticket, team, &queue);
                let timeout = cx.options.table.read_timeout;
                let range = Range::row(PROGRESS, &cx.options.part, id, timeout);
                cx.read(ReadPurpose::Status(ticket, id.into()), range);
            }
            Action::Cancel => {
                self.track(ticket, team, &queue);
                read_job_for_cancel(cx, ticket, id.into());
            }
            Action::Unsupported => cx.reply(ticket, Reply::MethodNotAllowed),
        }
    }

    /// Handles the progress row read for a status call.
    ///
    /// A job without this row may still exist, so its own rows are read next.
    pub fn handle_status_row(
        &mut self,
        cx: &mut Cx,
        ticket: Ticket,
        id: JobId,
        page: Result<Page, Box<str>>,
    ) {
        let Some(page) = self.page_or_reply(cx, ticket, &id, page) else {
            return;
        };
        let Some(value) = page.rows.first().and_then(|row| row.value.as_deref()) else {
            let timeout = cx.options.table.read_timeout;
            let range = Range::prefix(JOBS, &job_part_name(job_part(&id)), &id, timeout);
            return cx.read(ReadPurpose::Existence(ticket, id), range);
        };
        let reply = match decode::<ProgressRow>(value) {
            Ok(row) if self.is_visible(ticket, row.team.as_ref()) => Reply::State(row.state),
            Ok(_) => Reply::NoJob,
            Err(reason) => report_unreadable_row(cx, id, reason),
        };
        self.reply(cx, ticket, reply);
    }

    /// Handles the rows of a job without a progress row, read for a status call. `in_doubt` tells
    /// whether a submission of the job may still take effect.
    pub fn handle_existence_rows(
        &mut self,
        cx: &mut Cx,
        ticket: Ticket,
        id: &JobId,
        page: Result<Page, Box<str>>,
        in_doubt: bool,
    ) {
        let Some(page) = self.page_or_reply(cx, ticket, id, page) else {
            return;
        };
        let cancelled = page.rows.iter().any(|row| row.key == cancel_key(id));
        let reply = match self.visible_job_version(cx, ticket, id, &page) {
            Err(_) if in_doubt && !page.rows.iter().any(|row| row.key == *id) => cx.unavailable(),
            Err(reply) => reply,
            Ok(_) if cancelled => Reply::State(JobState::Cancelled),
            Ok(_) => Reply::State(JobState::Queued),
        };
        self.reply(cx, ticket, reply);
    }

    /// Handles the rows of a job read for a cancel call, and commits the cancellation.
    pub fn handle_cancel_rows(
        &mut self,
        cx: &mut Cx,
        ticket: Ticket,
        id: JobId,
        page: Result<Page, Box<str>>,
    ) {
        let Some(page) = self.page_or_reply(cx, ticket, &id, page) else {
            return;
        };
        if !page.rows.iter().any(|row| row.key == id) {
            return self.withdraw(cx, ticket, id);
        }
        let key = cancel_key(&id);
        let version = match self.visible_job_version(cx, ticket, &id, &page) {
            Ok(version) => version,
            Err(reply) => return self.reply(cx, ticket, reply),
        };
        if page.rows.iter().any(|row| row.key == key) {
            return self.reply(cx, ticket, Reply::Cancelled);
        }
        let row = job_row(&id, &key);
        let txn = Transaction {
            expect: vec![(job_row(&id, &id), version), (row.clone(), 0)],
            put: vec![(row, b"{}".to_vec())],
            remove: Vec::new(),
        };
        cx.commit(CommitPurpose::Cancel(ticket, id), txn);
    }

    /// Handles the outcome of a cancellation's transaction.
    pub fn handle_cancel_outcome(
        &mut self,
        cx: &mut Cx,
        ticket: Ticket,
        id: JobId,
        outcome: CommitOutcome,
    ) {
        let key = cancel_key(&id);
        let reply = match outcome {
            CommitOutcome::Done(_) => Reply::Cancelled,
            CommitOutcome::Conflict(rows)
                if rows.iter().any(|row| row.key == key && row.version > 0) =>
            {
                Reply::Cancelled
            }
            // The placer has replaced the job's row since it was read, as the job has ended.
            CommitOutcome::Conflict(rows)
                if rows.iter().any(|row| row.key == id && row.value.is_some()) =>
            {
                return read_job_for_cancel(cx, ticket, id);
            }
            CommitOutcome::Conflict(_) => Reply::NoJob,
            CommitOutcome::Refused(_) | CommitOutcome::Rejected(_) => cx.unavailable(),
            CommitOutcome::Unknown(reason) => {
                cx.log(Decision::Unsettled {
                    id: id.clone(),
                    reason,
                });
                Reply::Unknown
            }
        };
        if reply == Reply::Cancelled {
            cx.log(Decision::CancelTaken { id });
        }
        self.reply(cx, ticket, reply);
    }

    /// Cancels a job that the table does not have.
    fn withdraw(&mut self, cx: &mut Cx, ticket: Ticket, id: JobId) {
        let Some(PendingCall { team, queue }) = self.pending.get(&ticket) else {
            return;
        };
        let (team, queue) = (team.clone(), Rc::clone(queue));
        if !self.withdrawals.write(cx, ticket, id, &queue, team) {
            self.reply(cx, ticket, cx.unavailable());
        }
    }

    /// Handles the outcome of the transaction that keeps a job from being submitted.
    pub fn handle_withdraw_outcome(
        &mut self,
        cx: &mut Cx,
        ticket: Ticket,
        id: JobId,
        outcome: CommitOutcome,
    ) {
        let reply = match outcome {
            CommitOutcome::Done(_) => {
                cx.log(Decision::SubmissionWithdrawn { id });
                Reply::NoJob
            }
            // The job was submitted meanwhile, or cancelled in the same way.
            CommitOutcome::Conflict(_) => return read_job_for_cancel(cx, ticket, id),
            CommitOutcome::Refused(_) | CommitOutcome::Rejected(_) => cx.unavailable(),
            CommitOutcome::Unknown(reason) => {
                cx.log(Decision::Unsettled { id, reason });
                Reply::Unknown
            }
        };
        self.reply(cx, ticket, reply);
    }

    fn track(&mut self, ticket: Ticket, team: Option<TeamId>, queue: &Rc<Queue>) {
        let queue = Rc::clone(queue);
        self.pending.insert(ticket, PendingCall { team, queue });
    }

    fn reply(&mut self, cx: &mut Cx, ticket: Ticket, reply: Reply) {
        if self.pending.remove(&ticket).is_some() {
            cx.reply(ticket, reply);
        }
    }

    /// Returns the page read. If the read failed, logs the failure, replies to the caller and
    /// returns `None`.
    fn page_or_reply(
        &mut self,
        cx: &mut Cx,
        ticket: Ticket,
        id: &JobId,
        page: Result<Page, Box<str>>,
    ) -> Option<Page> {
        match page {
            Ok(page) => Some(page),
            Err(reason) => {
                cx.log(Decision::Refused {
                    id: id.clone(),
                    reason,
                    config: cx.catalog.map_or(0, |catalog| catalog.version),
                    table_age_ms: cx.table_age_ms(),
                });
                self.reply(cx, ticket, cx.unavailable());
                None
            }
        }
    }

    /// Returns the version of a job's row if the caller may see the job, or the reply otherwise.
    fn visible_job_version(
        &self,
        cx: &mut Cx,
        ticket: Ticket,
        id: &JobId,
        page: &Page,
    ) -> Result<u64, Reply> {
        let row = page.rows.iter().find(|row| row.key == *id);
        let Some((version, value)) = row.and_then(|row| Some((row.version, row.value.as_ref()?)))
        else {
            return Err(Reply::NoJob);
        };
        match decode::<JobRow>(value) {
            Ok(job) if job.withdrawn => Err(Reply::NoJob),
            Ok(job) if self.is_visible(ticket, job.team.as_ref()) => Ok(version),
            Ok(_) => Err(Reply::NoJob),
            Err(reason) => Err(report_unreadable_row(cx, id.clone(), reason)),
        }
    }

    fn is_visible(&self, ticket: Ticket, owner: Option<&TeamId>) -> bool {
        let caller = self.pending.get(&ticket);
        caller.is_some_and(|caller| caller.queue.public || caller.team.as_ref() == owner)
    }
}

fn read_job_for_cancel(cx: &mut Cx, ticket: Ticket, id: JobId) {
    let timeout = cx.options.table.read_timeout;
    let range = Range::prefix(JOBS, &job_part_name(job_part(&id)), &id, timeout);
    cx.read(ReadPurpose::Cancel(ticket, id), range);
}

#[allow(clippy::too_many_arguments)]
fn submit(
    cx: &mut Cx,
    components: &mut Components,
    ticket: Ticket,
    id: JobId,
    queue: &Rc<Queue>,
    team: Option<TeamId>,
    job: Submission,
    config_version: u64,
) {
    if let Err(reason) = job.validate() {
        return cx.reply(ticket, Reply::Invalid(reason));
    }
    let max_value_bytes = cx.options.table.max_value_bytes;
    if !job_progress::fits(&job, max_value_bytes) {
        return cx.reply(ticket, Reply::Invalid("the job has too many tasks".into()));
    }
    let may_be_stored =
        components.batcher.may_be_stored(&id) || components.relays.may_have_submitted(&id);
    if !components.feeds.is_up(Feed::Heartbeats) {
        if may_be_stored {
            return cx.reply(ticket, Reply::Unknown);
        }
        cx.log(Decision::Refused {
            id,
            reason: "the table does not answer".into(),
            config: config_version,
            table_age_ms: cx.table_age_ms(),
        });
        return cx.reply(ticket, cx.unavailable());
    }
    let admission = &mut *components.admission;
    let row = JobRow {
        queue: queue.name.clone(),
        service: queue.service.clone(),
        team,
        at: admission.acceptance_time(cx, &id, queue, &job),
        job: Some(job),
        terms: Some(QueueTerms::of(queue)),
        withdrawn: false,
    };
    if encode(&row).len() > max_value_bytes {
        let reason = format!("the job takes more than {max_value_bytes} bytes");
        return cx.reply(ticket, Reply::Invalid(reason.into()));
    }
    let submitted = Submitted {
        id,
        row,
        config_version,
        may_be_stored,
    };
    let batcher = &mut *components.batcher;
    admission.submit(cx, batcher, components.heartbeats, queue, ticket, submitted);
}

fn reply_waiting_count(cx: &mut Cx, heartbeats: &HeartbeatMonitor, ticket: Ticket, queue: &Queue) {
    let heartbeat = heartbeats.heartbeat();
    let waiting = heartbeats.waiting_jobs(cx.now, &queue.name);
    cx.log(Decision::WaitingReported {
        queue: queue.name.clone(),
        waiting,
        epoch: heartbeat.map(|heartbeat| heartbeat.row.owner.epoch),
        loading: heartbeat.is_some_and(|heartbeat| heartbeat.row.loading),
        beat_age_ms: heartbeat
            .map(|heartbeat| millis(cx.now.saturating_sub(heartbeat.received_at))),
    });
    let unknown = cx.unavailable();
    cx.reply(ticket, waiting.map_or(unknown, Reply::Waiting));
}

/// Refuses a call for a reason other than the table's.
pub(in crate::core::workload) fn reply_unavailable(
    cx: &mut Cx,
    ticket: Ticket,
    call: &Call,
    reason: &str,
) {
    cx.log(Decision::Refused {
        id: call.path.clone(),
        reason: reason.into(),
        config: cx.catalog.map_or(0, |catalog| catalog.version),
        table_age_ms: cx.table_age_ms(),
    });
    cx.reply(ticket, cx.unavailable());
}

/// Refuses a call as this daemon is cut off. The outcome of a call whose earlier submission may still
/// take effect is unknown.
pub(in crate::core::workload) fn reply_cut_off(
    cx: &mut Cx,
    ticket: Ticket,
    call: &Call,
    may_run: bool,
) {
    if may_run {
        return cx.reply(ticket, Reply::Unknown);
    }
    reply_unavailable(cx, ticket, call, "cut off from the table and other zones");
}

fn report_unreadable_row(cx: &mut Cx, id: JobId, reason: Box<str>) -> Reply {
    cx.log(Decision::RowUnreadable { key: id, reason });
    cx.unavailable()
}

fn team_for_key(catalog: &Catalog, key: Option<&str>) -> Option<TeamId> {
    catalog.keys.get(key?).cloned()
}

/// Returns the part of a path after the queue's prefix, without the query string.
fn id_in_path<'a>(queue: &Queue, path: &'a str) -> &'a str {
    let rest = path.strip_prefix(&*queue.path_prefix).unwrap_or_default();
    rest.split('?').next().unwrap_or_default()
}

/// Returns the id at the end of a job's path, without the query string; empty if it is too short.
pub(in crate::core::workload) fn job_id_in_path(path: &str) -> &str {
    let path = path.split('?').next().unwrap_or_default();
    let start = path.len().checked_sub(JOB_ID_DIGITS);
    start
        .and_then(|start| path.get(start..))
        .unwrap_or_default()
}

fn is_valid_job_id(id: &str) -> bool {
    id.len() == JOB_ID_DIGITS && id.bytes().all(|byte| byte.is_ascii_hexdigit())
}
