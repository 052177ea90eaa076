//! Submissions on their way into the table. Each part of the table takes its transactions one by
//! one, so that a daemon has one under way to a part, which the submissions that came meanwhile
//! follow together. A job is accepted only when its transaction has taken effect.

use std::collections::BTreeMap;
use std::time::Duration;

use super::cx::Cx;
use super::cx::earliest;
use super::cx::millis;
use super::decision::Decision;
use super::effect::Reply;
use super::event::CommitPurpose;
use super::rows::JobRow;
use super::rows::encode;
use super::rows::job_part;
use super::rows::job_row;
use super::table::CommitOutcome;
use super::table::TableRow;
use super::table::Transaction;
use crate::core::model::JobId;
use crate::core::model::Now;
use crate::core::model::Ticket;

/// Time after its arrival up to which a submission that the table refused is sent again.
const RETRY_WINDOW: Duration = Duration::from_millis(1_200);

/// Delay before a refused transaction is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Time for which new submissions to a part are refused after one got no answer.
const BROKEN_PAUSE: Duration = Duration::from_millis(300);

/// Jobs that wait for a transaction, or for its outcome.
#[derive(Debug, Default)]
pub(super) struct Intake {
    parts: BTreeMap<u8, Part>,
}

/// Jobs of one part of the table.
#[derive(Debug, Default)]
struct Part {
    waiting: Vec<Pending>,
    /// When the jobs that wait are sent.
    due: Now,
    under_way: Vec<Pending>,
    /// New submissions are refused before this time, as the part does not answer.
    broken_until: Option<Now>,
}

/// A job that its submitter waits for.
#[derive(Debug)]
struct Pending {
    id: JobId,
    row: JobRow,
    config: u64,
    arrived: Now,
    /// Whether a transaction with it may have taken effect, or may still do so.
    maybe: bool,
    tickets: Vec<Ticket>,
}

impl Intake {
    /// Takes a submission. A repeat of one under way shares its outcome.
    pub fn submit(&mut self, cx: &mut Cx, ticket: Ticket, id: JobId, row: JobRow, config: u64) {
        let part = self.parts.entry(job_part(&id)).or_default();
        let mut pending = part.waiting.iter_mut().chain(&mut part.under_way);
        if let Some(pending) = pending.find(|pending| pending.id == id) {
            pending.tickets.push(ticket);
            return;
        }
        let pending = Pending {
            id,
            row,
            config,
            arrived: cx.now,
            maybe: false,
            tickets: vec![ticket],
        };
        if part.broken_until.is_some_and(|until| cx.now < until) {
            return refuse(cx, &pending, "the table's part does not answer");
        }
        if part.waiting.is_empty() {
            part.due = cx.now + cx.options.table.batch_delay;
        }
        part.waiting.push(pending);
    }

    /// Whether no submission waits for an answer.
    pub fn is_idle(&self) -> bool {
        let jobs = |part: &Part| part.waiting.len() + part.under_way.len();
        self.parts.values().all(|part| jobs(part) == 0)
    }

    /// Sends the transactions that are due.
    pub fn poll(&mut self, cx: &mut Cx) {
        let most = cx.options.table.batch_jobs;
        for (&number, part) in &mut self.parts {
            if !part.is_due(cx.now) {
                continue;
            }
            let count = part.waiting.len().min(most);
            part.under_way = part.waiting.drain(..count).collect();
            let mut txn = Transaction::default();
            for pending in &part.under_way {
                let row = job_row(&pending.id, &pending.id);
                txn.expect.push((row.clone(), 0));
                txn.put.push((row, encode(&pending.row)));
            }
            cx.commit(CommitPurpose::Submissions(number), txn);
        }
    }

    /// Takes the outcome of a transaction.
    pub fn committed(&mut self, cx: &mut Cx, number: u8, outcome: &CommitOutcome) {
        let Some(part) = self.parts.get_mut(&number) else {
            return;
        };
        let batch = std::mem::take(&mut part.under_way);
        for mut pending in batch {
            match outcome {
                CommitOutcome::Done(_) => accept(cx, &pending, false),
                CommitOutcome::Conflict(rows) if holds(rows, &pending.id) => {
                    accept(cx, &pending, true);
                }
                CommitOutcome::Conflict(_) => part.waiting.push(pending),
                CommitOutcome::Refused(reason) | CommitOutcome::Unknown(reason) => {
                    pending.maybe |= matches!(outcome, CommitOutcome::Unknown(_));
                    if cx.now < pending.arrived + RETRY_WINDOW {
                        // The transaction expects that there is no such job, so that it can be
                        // sent again even if it has taken effect.
                        part.due = cx.now + RETRY_DELAY;
                        part.waiting.push(pending);
                    } else {
                        refuse(cx, &pending, reason);
                    }
                }
            }
        }
        part.broken_until = match outcome {
            CommitOutcome::Unknown(_) => Some(cx.now + BROKEN_PAUSE),
            _ => None,
        };
        let now = cx.now;
        self.parts.retain(|_, part| !part.is_idle(now));
    }

    /// Refuses what waits and was not sent, as the table does not answer.
    pub fn refuse_waiting(&mut self, cx: &mut Cx) {
        for part in self.parts.values_mut() {
            for pending in part.waiting.drain(..) {
                refuse(cx, &pending, "the table does not answer");
            }
        }
        let now = cx.now;
        self.parts.retain(|_, part| !part.is_idle(now));
    }

    /// When a transaction is due.
    pub fn wake_at(&self) -> Option<Now> {
        let waiting = self.parts.values().filter(|part| part.can_send());
        waiting.fold(None, |at, part| earliest(at, Some(part.due)))
    }
}

impl Part {
    /// Whether nothing needs to be kept of it.
    fn is_idle(&self, now: Now) -> bool {
        let broken = self.broken_until.is_some_and(|until| now < until);
        self.waiting.is_empty() && self.under_way.is_empty() && !broken
    }

    fn can_send(&self) -> bool {
        self.under_way.is_empty() && !self.waiting.is_empty()
    }

    fn is_due(&self, now: Now) -> bool {
        self.can_send() && now >= self.due
    }
}

fn holds(rows: &[TableRow], id: &str) -> bool {
    rows.iter()
        .any(|row| &*row.key == id && row.value.is_some())
}

fn accept(cx: &mut Cx, pending: &Pending, repeat: bool) {
    cx.log(Decision::Accepted {
        id: pending.id.clone(),
        queue: pending.row.queue.clone(),
        team: pending.row.team.clone(),
        config: pending.config,
        repeat,
    });
    answer(cx, &pending.tickets, &Reply::Accepted);
}

/// Gives a submission up: as not run only if that is certain.
fn refuse(cx: &mut Cx, pending: &Pending, reason: &str) {
    if pending.maybe {
        cx.log(Decision::Unsettled {
            id: pending.id.clone(),
            reason: reason.into(),
        });
        return answer(cx, &pending.tickets, &Reply::Unknown);
    }
    cx.log(Decision::Refused {
        id: pending.id.clone(),
        reason: reason.into(),
        config: pending.config,
        table_age_ms: millis(cx.now.saturating_sub(pending.arrived)),
    });
    let delay = super::calls::UNAVAILABLE_RETRY;
    answer(cx, &pending.tickets, &Reply::Unavailable(delay));
}

fn answer(cx: &mut Cx, tickets: &[Ticket], reply: &Reply) {
    for &ticket in tickets {
        cx.reply(ticket, reply.clone());
    }
}
