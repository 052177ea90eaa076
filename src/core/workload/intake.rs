//! Submissions on their way into the table. Those that arrive together share a transaction, and a
//! job is accepted only when its transaction has taken effect.

use rustc_hash::FxHashMap;

use super::cx::Cx;
use super::cx::sooner;
use super::decision::Decision;
use super::effect::Reply;
use super::event::CommitFor;
use super::rows::JOBS_PART;
use super::rows::JobRow;
use super::rows::encode;
use super::table::Committed;
use super::table::JOBS;
use super::table::RowId;
use super::table::Transaction;
use crate::core::model::JobId;
use crate::core::model::Now;
use crate::core::model::Ticket;

/// Largest number of transactions of submissions under way.
const MAX_BATCHES: usize = 4;

/// Jobs that wait for a transaction, or for its outcome.
#[derive(Debug, Default)]
pub(super) struct Intake {
    waiting: Vec<Pending>,
    since: Now,
    batches: FxHashMap<u64, Vec<Pending>>,
    last_batch: u64,
}

/// A job that its submitter waits for.
#[derive(Debug)]
struct Pending {
    id: JobId,
    row: JobRow,
    config: u64,
    tickets: Vec<Ticket>,
}

impl Intake {
    /// Takes a submission. A repeat of one under way shares its outcome.
    pub fn submit(&mut self, cx: &mut Cx, ticket: Ticket, id: JobId, row: JobRow, config: u64) {
        let under_way = self.batches.values_mut().flatten();
        let mut pending = self.waiting.iter_mut().chain(under_way);
        if let Some(pending) = pending.find(|pending| pending.id == id) {
            pending.tickets.push(ticket);
            return;
        }
        if self.waiting.is_empty() {
            self.since = cx.now;
        }
        self.waiting.push(Pending {
            id,
            row,
            config,
            tickets: vec![ticket],
        });
    }

    /// Whether no submission waits for an answer.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.batches.is_empty()
    }

    /// Sends a transaction if one is due.
    pub fn poll(&mut self, cx: &mut Cx) {
        let options = &cx.options.table;
        let due =
            cx.now >= self.since + options.batch_delay || self.waiting.len() >= options.batch_jobs;
        if self.waiting.is_empty() || !due || self.batches.len() >= MAX_BATCHES {
            return;
        }
        let count = self.waiting.len().min(options.batch_jobs);
        let batch: Vec<Pending> = self.waiting.drain(..count).collect();
        let mut txn = Transaction::default();
        for pending in &batch {
            let row = RowId::new(JOBS, JOBS_PART, &pending.id);
            txn.expect.push((row.clone(), 0));
            txn.put.push((row, encode(&pending.row)));
        }
        self.last_batch += 1;
        self.batches.insert(self.last_batch, batch);
        cx.commit(CommitFor::Submissions(self.last_batch), txn);
    }

    /// Takes the outcome of a transaction.
    pub fn committed(&mut self, cx: &mut Cx, batch: u64, outcome: Committed) {
        let Some(batch) = self.batches.remove(&batch) else {
            return;
        };
        match outcome {
            Committed::Done(_) => {
                for pending in batch {
                    accept(cx, &pending, false);
                }
            }
            Committed::Conflict(rows) => {
                for pending in batch {
                    let present = |row: &&super::table::TableRow| {
                        row.key == pending.id && row.value.is_some()
                    };
                    if rows.iter().any(|row| present(&row)) {
                        accept(cx, &pending, true);
                    } else {
                        self.waiting.push(pending);
                    }
                }
            }
            Committed::Refused(reason) => {
                let delay = super::calls::UNAVAILABLE_RETRY;
                for pending in batch {
                    cx.log(Decision::Refused {
                        id: pending.id,
                        reason: reason.clone(),
                        config: pending.config,
                        table_age_ms: 0,
                    });
                    answer(cx, &pending.tickets, &Reply::Unavailable(delay));
                }
            }
            Committed::Unknown(reason) => {
                for pending in batch {
                    cx.log(Decision::Unsettled {
                        id: pending.id,
                        reason: reason.clone(),
                    });
                    answer(cx, &pending.tickets, &Reply::Unknown);
                }
            }
        }
    }

    /// When a transaction is due.
    pub fn wake_at(&self, cx: &Cx) -> Option<Now> {
        let at = self.since + cx.options.table.batch_delay;
        let open = !self.waiting.is_empty() && self.batches.len() < MAX_BATCHES;
        sooner(None, open.then_some(at))
    }
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

fn answer(cx: &mut Cx, tickets: &[Ticket], reply: &Reply) {
    for &ticket in tickets {
        cx.reply(ticket, reply.clone());
    }
}
