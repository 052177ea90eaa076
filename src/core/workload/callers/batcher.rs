//! Batches submissions into table transactions.
//!
//! The table runs the transactions of one of its parts one after another. A daemon therefore has at
//! most one transaction in flight for each part, and submissions that arrive meanwhile share the
//! next one. A job is accepted only after its transaction has committed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::recent_ids::RecentIds;
use super::withdrawals::is_withdrawn;
use crate::core::model::JobId;
use crate::core::model::Now;
use crate::core::model::Ticket;
use crate::core::workload::cx::Cx;
use crate::core::workload::cx::earliest;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::Reply;
use crate::core::workload::event::CommitPurpose;
use crate::core::workload::rows::JobRow;
use crate::core::workload::rows::encode;
use crate::core::workload::rows::job_part;
use crate::core::workload::rows::job_row;
use crate::core::workload::table::CommitOutcome;
use crate::core::workload::table::TableRow;
use crate::core::workload::table::Transaction;

/// Time after the arrival of a submission during which a failed transaction with it is retried.
const RETRY_WINDOW: Duration = Duration::from_millis(1_200);

/// Delay before a failed transaction is retried.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Time for which new submissions to a part are refused after a transaction got no answer.
const PART_BACKOFF: Duration = Duration::from_millis(300);

/// Maximum total size of the rows in a transaction, in bytes, which stays below 1 MB in base64.
const MAX_BATCH_BYTES: usize = 600_000;

/// Time after which a transaction without an answer has taken effect, if it does so at all.
const DOUBT_TIME: Duration = Duration::from_secs(30);

/// Reason for the refusal of a job that was cancelled before it was accepted.
pub(super) const WITHDRAWN: &str = "cancelled before it was accepted";

/// Submitted jobs that wait for a transaction or its outcome.
#[derive(Debug, Default)]
pub(in crate::core::workload) struct SubmissionBatcher {
    /// Queues by the number of the table's part.
    parts: BTreeMap<u8, PartQueue>,
    /// Jobs that were given up although a transaction with them may still take effect.
    unsettled: RecentIds<Now>,
}

/// Submitted jobs of one part of the table.
#[derive(Debug, Default)]
struct PartQueue {
    /// Jobs that no transaction in flight contains.
    queued: Vec<Pending>,
    /// Earliest time of the next transaction.
    send_at: Now,
    /// Jobs of the transaction in flight.
    in_flight: Vec<Pending>,
    /// Whether each job gets a transaction of its own until the queue is empty, as the table has
    /// rejected one of several jobs.
    is_split: bool,
    /// Time before which new submissions are refused, set when the part does not answer.
    refused_until: Option<Now>,
}

/// Submitted job whose callers wait for a reply.
#[derive(Debug)]
struct Pending {
    id: JobId,
    row: JobRow,
    config_version: u64,
    received_at: Now,
    /// Whether a transaction with this job may have committed or may still commit.
    may_be_stored: bool,
    tickets: Vec<Ticket>,
}

impl SubmissionBatcher {
    /// Adds a submission. A duplicate of a pending submission shares its outcome.
    pub fn submit(
        &mut self,
        cx: &mut Cx,
        ticket: Ticket,
        id: JobId,
        row: JobRow,
        config_version: u64,
    ) {
        let part = self.parts.entry(job_part(&id)).or_default();
        let mut pending = part.queued.iter_mut().chain(&mut part.in_flight);
        if let Some(pending) = pending.find(|pending| pending.id == id) {
            pending.tickets.push(ticket);
            return;
        }
        let pending = Pending {
            id,
            row,
            config_version,
            received_at: cx.now,
            may_be_stored: false,
            tickets: vec![ticket],
        };
        if part.refused_until.is_some_and(|until| cx.now < until) {
            return refuse(
                cx,
                &mut self.unsettled,
                &pending,
                "the table's part does not answer",
            );
        }
        if part.queued.is_empty() {
            part.send_at = cx.now + cx.options.table.batch_delay;
        }
        part.queued.push(pending);
    }

    /// Returns whether a transaction with the job may have committed, or may still commit.
    pub fn may_be_stored(&self, id: &str) -> bool {
        let part = self.parts.get(&job_part(id));
        let pending = part.map(|part| part.queued.iter().chain(&part.in_flight));
        let is_pending = pending.is_some_and(|mut jobs| jobs.any(|job| &*job.id == id));
        is_pending || self.unsettled.get(id).is_some()
    }

    /// Returns whether a submission of the job was sent lately whose outcome is not known.
    pub fn is_in_doubt(&self, now: Now, id: &str) -> bool {
        let given_up_at = self.unsettled.get(id);
        given_up_at.is_some_and(|at| now < at + DOUBT_TIME)
    }

    /// Returns whether no submission waits for a reply.
    pub fn is_idle(&self) -> bool {
        let jobs = |part: &PartQueue| part.queued.len() + part.in_flight.len();
        self.parts.values().all(|part| jobs(part) == 0)
    }

    /// Sends the transactions that are due.
    pub fn poll(&mut self, cx: &mut Cx) {
        let max_jobs = cx.options.table.batch_jobs;
        for (&number, part) in &mut self.parts {
            if !part.is_due(cx.now) {
                continue;
            }
            let max_jobs = if part.is_split { 1 } else { max_jobs };
            let mut txn = Transaction::default();
            let mut bytes = 0;
            for pending in part.queued.iter().take(max_jobs) {
                let value = encode(&pending.row);
                bytes += value.len();
                if bytes > MAX_BATCH_BYTES && !txn.put.is_empty() {
                    break;
                }
                let row = job_row(&pending.id, &pending.id);
                txn.expect.push((row.clone(), 0));
                txn.put.push((row, value));
            }
            part.in_flight = part.queued.drain(..txn.put.len()).collect();
            cx.commit(CommitPurpose::Submissions(number), txn);
        }
    }

    /// Handles the outcome of the transaction in flight for a part.
    pub fn handle_commit_outcome(&mut self, cx: &mut Cx, number: u8, outcome: &CommitOutcome) {
        let Some(part) = self.parts.get_mut(&number) else {
            return;
        };
        let batch = std::mem::take(&mut part.in_flight);
        let is_single = batch.len() == 1;
        let is_rejected = matches!(outcome, CommitOutcome::Rejected(_));
        part.is_split = is_rejected && !is_single || part.is_split && !part.queued.is_empty();
        for mut pending in batch {
            match outcome {
                CommitOutcome::Done(_) => accept(cx, &pending, false),
                CommitOutcome::Conflict(rows) if is_job_withdrawn(rows, &pending.id) => {
                    // The row also keeps earlier transactions with the job from taking effect.
                    pending.may_be_stored = false;
                    refuse(cx, &mut self.unsettled, &pending, WITHDRAWN);
                }
                CommitOutcome::Conflict(rows) if contains_job(rows, &pending.id) => {
                    accept(cx, &pending, true);
                }
                CommitOutcome::Rejected(reason) if is_single => {
                    reject(cx, &mut self.unsettled, &pending, reason);
                }
                // The one that the table rejects is found by trying each alone.
                CommitOutcome::Conflict(_) | CommitOutcome::Rejected(_) => {
                    part.queued.push(pending);
                }
                CommitOutcome::Refused(reason) | CommitOutcome::Unknown(reason) => {
                    pending.may_be_stored |= matches!(outcome, CommitOutcome::Unknown(_));
                    if cx.now < pending.received_at + RETRY_WINDOW {
                        // The transaction requires that the job does not exist yet, so it is
                        // safe to retry even if it has already committed.
                        part.send_at = cx.now + RETRY_DELAY;
                        part.queued.push(pending);
                    } else {
                        refuse(cx, &mut self.unsettled, &pending, reason);
                    }
                }
            }
        }
        part.refused_until = match outcome {
            CommitOutcome::Unknown(_) => Some(cx.now + PART_BACKOFF),
            _ => None,
        };
        let now = cx.now;
        self.parts.retain(|_, part| !part.is_idle(now));
    }

    /// Refuses all queued jobs because the table is unavailable. The outcome of transactions in
    /// flight is still awaited.
    pub fn refuse_queued(&mut self, cx: &mut Cx) {
        for part in self.parts.values_mut() {
            for pending in part.queued.drain(..) {
                refuse(
                    cx,
                    &mut self.unsettled,
                    &pending,
                    "the table does not answer",
                );
            }
        }
        let now = cx.now;
        self.parts.retain(|_, part| !part.is_idle(now));
    }

    /// Returns when the next transaction is due.
    pub fn wake_at(&self) -> Option<Now> {
        let sendable = self.parts.values().filter(|part| part.can_send());
        sendable.fold(None, |at, part| earliest(at, Some(part.send_at)))
    }
}

impl PartQueue {
    /// Returns whether the part has no jobs and does not refuse new ones, so that its queue can be
    /// dropped.
    fn is_idle(&self, now: Now) -> bool {
        let refused = self.refused_until.is_some_and(|until| now < until);
        self.queued.is_empty() && self.in_flight.is_empty() && !refused
    }

    fn can_send(&self) -> bool {
        self.in_flight.is_empty() && !self.queued.is_empty()
    }

    fn is_due(&self, now: Now) -> bool {
        self.can_send() && now >= self.send_at
    }
}

fn contains_job(rows: &[TableRow], id: &str) -> bool {
    rows.iter()
        .any(|row| &*row.key == id && row.value.is_some())
}

fn is_job_withdrawn(rows: &[TableRow], id: &str) -> bool {
    rows.iter().any(|row| &*row.key == id && is_withdrawn(row))
}

fn accept(cx: &mut Cx, pending: &Pending, repeat: bool) {
    cx.log(Decision::Accepted {
        id: pending.id.clone(),
        queue: pending.row.queue.clone(),
        team: pending.row.team.clone(),
        config: pending.config_version,
        repeat,
    });
    reply(cx, &pending.tickets, &Reply::Accepted);
}

/// Gives up a submission. Reports it as refused only if it is certainly not stored; otherwise its
/// outcome is reported as unknown.
fn refuse(cx: &mut Cx, unsettled: &mut RecentIds<Now>, pending: &Pending, reason: &str) {
    if pending.may_be_stored {
        unsettled.add(&pending.id, cx.now);
        cx.log(Decision::Unsettled {
            id: pending.id.clone(),
            reason: reason.into(),
        });
        return reply(cx, &pending.tickets, &Reply::Unknown);
    }
    cx.log(Decision::Refused {
        id: pending.id.clone(),
        reason: reason.into(),
        config: pending.config_version,
        table_age_ms: cx.table_age_ms(),
    });
    reply(cx, &pending.tickets, &cx.unavailable());
}

/// Reports a submission that the table rejects for its contents.
fn reject(cx: &mut Cx, unsettled: &mut RecentIds<Now>, pending: &Pending, reason: &str) {
    if pending.may_be_stored {
        return refuse(cx, unsettled, pending, reason);
    }
    cx.log(Decision::Refused {
        id: pending.id.clone(),
        reason: reason.into(),
        config: pending.config_version,
        table_age_ms: cx.table_age_ms(),
    });
    let reason = format!("the job cannot be stored: {reason}");
    reply(cx, &pending.tickets, &Reply::Invalid(reason.into()));
}

fn reply(cx: &mut Cx, tickets: &[Ticket], reply: &Reply) {
    for &ticket in tickets {
        cx.reply(ticket, reply.clone());
    }
}
