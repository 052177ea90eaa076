//! What callers ask: submit, look, cancel. Entitlement first, then the table.

use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::catalog::Catalog;
use super::catalog::Queue;
use super::cx::Cx;
use super::cx::millis;
use super::decision::Decision;
use super::effect::JobState;
use super::effect::Reply;
use super::event::Action;
use super::event::Call;
use super::event::CommitPurpose;
use super::event::Feed;
use super::event::ReadPurpose;
use super::feeds::Feeds;
use super::heartbeat::HeartbeatMonitor;
use super::intake::Intake;
use super::rows::JobRow;
use super::rows::ProgressRow;
use super::rows::cancel_key;
use super::rows::decode;
use super::rows::job_part;
use super::rows::job_part_name;
use super::rows::job_row;
use super::submission::Submission;
use super::table::CommitOutcome;
use super::table::JOBS;
use super::table::PROGRESS;
use super::table::Page;
use super::table::Range;
use super::table::Transaction;
use crate::core::model::JobId;
use crate::core::model::TeamId;
use crate::core::model::Ticket;

/// Time after which a caller may come back when the table does not answer.
pub(super) const UNAVAILABLE_RETRY: Duration = Duration::from_millis(500);

/// Length of a job's identifier, in hexadecimal digits.
const JOB_ID_DIGITS: usize = 16;

/// Oldest count of waiting jobs that is told to callers.
const MAX_COUNT_AGE: Duration = Duration::from_millis(1_500);

/// Callers that wait for a read of the table.
#[derive(Debug, Default)]
pub(super) struct Calls {
    asking: FxHashMap<Ticket, Asking>,
}

/// What a caller that waits is entitled to.
#[derive(Debug)]
struct Asking {
    team: Option<TeamId>,
    public: bool,
}

/// The other parts that a call may need.
pub(super) struct Parts<'a> {
    /// Submissions.
    pub intake: &'a mut Intake,
    /// Followed tables.
    pub feeds: &'a Feeds,
    /// Heartbeat of the placer.
    pub pulse: &'a HeartbeatMonitor,
}

impl Calls {
    /// Whether no caller waits.
    pub fn is_idle(&self) -> bool {
        self.asking.is_empty()
    }

    /// Takes a call.
    pub fn call(&mut self, cx: &mut Cx, mut parts: Parts, ticket: Ticket, call: Call) {
        let Some(catalog) = cx.catalog.cloned() else {
            return refuse(cx, parts.feeds, ticket, &call, "no configuration yet");
        };
        let Some(queue) = catalog.route(&call.host, &call.path).cloned() else {
            return cx.reply(ticket, Reply::NoQueue);
        };
        let team = team_of(&catalog, call.key.as_deref());
        if !queue.public && team.is_none() {
            cx.log(Decision::Refused {
                id: id_in_path(&queue, &call.path).into(),
                reason: "unknown key".into(),
                config: catalog.version,
                table_age_ms: table_age(cx, parts.feeds),
            });
            return cx.reply(ticket, Reply::BadKey);
        }
        let id = id_in_path(&queue, &call.path);
        match call.action {
            Action::Submit(Ok(_) | Err(_)) if !is_job_id(id) => {
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
                    &mut parts,
                    ticket,
                    id,
                    &queue,
                    team,
                    job,
                    catalog.version,
                );
            }
            Action::Get if id.is_empty() => count(cx, parts.pulse, ticket, &queue),
            Action::Get | Action::Cancel if !is_job_id(id) => cx.reply(ticket, Reply::NoJob),
            Action::Get => {
                self.ask(ticket, team, &queue);
                let timeout = cx.options.table.read_timeout;
                let range = Range::row(PROGRESS, &cx.options.part, id, timeout);
                cx.read(ReadPurpose::Status(ticket, id.into()), range);
            }
            Action::Cancel => {
                self.ask(ticket, team, &queue);
                let timeout = cx.options.table.read_timeout;
                let range = Range::prefix(JOBS, &job_part_name(job_part(id)), id, timeout);
                cx.read(ReadPurpose::Cancel(ticket, id.into()), range);
            }
            Action::Unsupported => cx.reply(ticket, Reply::MethodNotAllowed),
        }
    }

    /// Takes the progress row of a job that a caller asked for.
    pub fn status_read(
        &mut self,
        cx: &mut Cx,
        ticket: Ticket,
        id: JobId,
        page: Result<Page, Box<str>>,
    ) {
        let Some(page) = self.page(cx, ticket, &id, page) else {
            return;
        };
        let Some(value) = page.rows.first().and_then(|row| row.value.as_deref()) else {
            let timeout = cx.options.table.read_timeout;
            let range = Range::prefix(JOBS, &job_part_name(job_part(&id)), &id, timeout);
            return cx.read(ReadPurpose::Existence(ticket, id), range);
        };
        let reply = match decode::<ProgressRow>(value) {
            Ok(row) if self.may_see(ticket, row.team.as_ref()) => Reply::State(row.state),
            Ok(_) => Reply::NoJob,
            Err(reason) => unreadable(cx, id, reason),
        };
        self.finish(cx, ticket, reply);
    }

    /// Takes the rows of a job without progress that a caller asked for.
    pub fn existence_read(
        &mut self,
        cx: &mut Cx,
        ticket: Ticket,
        id: &JobId,
        page: Result<Page, Box<str>>,
    ) {
        let Some(page) = self.page(cx, ticket, id, page) else {
            return;
        };
        let cancelled = page.rows.iter().any(|row| row.key == cancel_key(id));
        let reply = match self.owned(cx, ticket, id, &page) {
            Err(reply) => reply,
            Ok(_) if cancelled => Reply::State(JobState::Cancelled),
            Ok(_) => Reply::State(JobState::Queued),
        };
        self.finish(cx, ticket, reply);
    }

    /// Takes the rows of a job that a caller cancels.
    pub fn cancel_read(
        &mut self,
        cx: &mut Cx,
        ticket: Ticket,
        id: JobId,
        page: Result<Page, Box<str>>,
    ) {
        let Some(page) = self.page(cx, ticket, &id, page) else {
            return;
        };
        let key = cancel_key(&id);
        let version = match self.owned(cx, ticket, &id, &page) {
            Ok(version) => version,
            Err(reply) => return self.finish(cx, ticket, reply),
        };
        if page.rows.iter().any(|row| row.key == key) {
            return self.finish(cx, ticket, Reply::Cancelled);
        }
        let row = job_row(&id, &key);
        let txn = Transaction {
            expect: vec![(job_row(&id, &id), version), (row.clone(), 0)],
            put: vec![(row, b"{}".to_vec())],
            remove: Vec::new(),
        };
        cx.commit(CommitPurpose::Cancel(ticket, id), txn);
    }

    /// Takes the outcome of a cancellation.
    pub fn cancel_committed(
        &mut self,
        cx: &mut Cx,
        ticket: Ticket,
        id: JobId,
        done: CommitOutcome,
    ) {
        let key = cancel_key(&id);
        let reply = match done {
            CommitOutcome::Done(_) => Reply::Cancelled,
            CommitOutcome::Conflict(rows)
                if rows.iter().any(|row| row.key == key && row.version > 0) =>
            {
                Reply::Cancelled
            }
            CommitOutcome::Conflict(_) => Reply::NoJob,
            CommitOutcome::Refused(_) => Reply::Unavailable(UNAVAILABLE_RETRY),
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
        self.finish(cx, ticket, reply);
    }

    fn ask(&mut self, ticket: Ticket, team: Option<TeamId>, queue: &Queue) {
        let public = queue.public;
        self.asking.insert(ticket, Asking { team, public });
    }

    fn finish(&mut self, cx: &mut Cx, ticket: Ticket, reply: Reply) {
        if self.asking.remove(&ticket).is_some() {
            cx.reply(ticket, reply);
        }
    }

    /// The rows read; a failed read is answered.
    fn page(
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
                    table_age_ms: 0,
                });
                self.finish(cx, ticket, Reply::Unavailable(UNAVAILABLE_RETRY));
                None
            }
        }
    }

    /// Version of a job's row, if the caller may see the job.
    fn owned(&self, cx: &mut Cx, ticket: Ticket, id: &JobId, page: &Page) -> Result<u64, Reply> {
        let row = page.rows.iter().find(|row| row.key == *id);
        let Some((version, value)) = row.and_then(|row| Some((row.version, row.value.as_ref()?)))
        else {
            return Err(Reply::NoJob);
        };
        match decode::<JobRow>(value) {
            Ok(job) if self.may_see(ticket, job.team.as_ref()) => Ok(version),
            Ok(_) => Err(Reply::NoJob),
            Err(reason) => Err(unreadable(cx, id.clone(), reason)),
        }
    }

    fn may_see(&self, ticket: Ticket, owner: Option<&TeamId>) -> bool {
        let asking = self.asking.get(&ticket);
        asking.is_some_and(|asking| asking.public || asking.team.as_ref() == owner)
    }
}

#[allow(clippy::too_many_arguments)]
fn submit(
    cx: &mut Cx,
    parts: &mut Parts,
    ticket: Ticket,
    id: JobId,
    queue: &Rc<Queue>,
    team: Option<TeamId>,
    job: Submission,
    config: u64,
) {
    if let Err(fault) = job.check() {
        return cx.reply(ticket, Reply::Invalid(fault));
    }
    if !parts.feeds.is_up(Feed::Heartbeats) {
        cx.log(Decision::Refused {
            id,
            reason: "the table does not answer".into(),
            config,
            table_age_ms: table_age(cx, parts.feeds),
        });
        return cx.reply(ticket, Reply::Unavailable(UNAVAILABLE_RETRY));
    }
    let row = JobRow {
        queue: queue.name.clone(),
        service: queue.service.clone(),
        team,
        at: cx.unix_time,
        job,
    };
    parts.intake.submit(cx, ticket, id, row, config);
}

fn count(cx: &mut Cx, pulse: &HeartbeatMonitor, ticket: Ticket, queue: &Queue) {
    let reply = match pulse.heartbeat() {
        Some(beat) if cx.now < beat.received_at + MAX_COUNT_AGE => {
            Reply::Waiting(beat.row.waiting.get(&queue.name).copied().unwrap_or(0))
        }
        _ => Reply::Unavailable(UNAVAILABLE_RETRY),
    };
    cx.reply(ticket, reply);
}

fn refuse(cx: &mut Cx, feeds: &Feeds, ticket: Ticket, call: &Call, reason: &str) {
    cx.log(Decision::Refused {
        id: call.path.clone(),
        reason: reason.into(),
        config: 0,
        table_age_ms: table_age(cx, feeds),
    });
    cx.reply(ticket, Reply::Unavailable(UNAVAILABLE_RETRY));
}

fn unreadable(cx: &mut Cx, id: JobId, reason: Box<str>) -> Reply {
    cx.log(Decision::RowUnreadable { key: id, reason });
    Reply::Unavailable(UNAVAILABLE_RETRY)
}

fn table_age(cx: &Cx, feeds: &Feeds) -> u64 {
    millis(
        cx.now
            .saturating_sub(feeds.last_answer_at().unwrap_or_default()),
    )
}

fn team_of(catalog: &Catalog, key: Option<&str>) -> Option<TeamId> {
    catalog.keys.get(key?).cloned()
}

/// What follows the queue's prefix in a path, without a query.
fn id_in_path<'a>(queue: &Queue, path: &'a str) -> &'a str {
    let rest = path.strip_prefix(&*queue.prefix).unwrap_or_default();
    rest.split('?').next().unwrap_or_default()
}

fn is_job_id(id: &str) -> bool {
    id.len() == JOB_ID_DIGITS && id.bytes().all(|byte| byte.is_ascii_hexdigit())
}
