//! Submissions under way: a row written at version zero, and the settlement of lost answers.
//!
//! When the answer to the write is lost, the row is withdrawn at version zero. Either that takes
//! effect, and then the write never can, or it meets the row, and then the job is accepted.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::refuse;
use super::row;
use super::row::JobRow;
use super::write;
use crate::core::effect::Answer;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::effect::Reason;
use crate::core::event::TxnEnd;
use crate::core::model::JobSpec;
use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::model::Row;
use crate::core::model::Ticket;
use crate::core::model::Token;
use crate::core::model::Txn;
use crate::core::model::Write;
use crate::core::model::ZoneId;

/// Time after which a caller is told that the end of its submission is not known.
const PATIENCE: Duration = Duration::from_secs(8);

/// Time between attempts at settling one submission.
const SETTLE_EVERY: Duration = Duration::from_millis(500);

/// Time after which a caller may submit again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a submission waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The end of its write.
    Writing(Token),
    /// The end of the withdrawal that settles a write whose answer was lost.
    Settling(Token),
    /// The time of the next attempt at settling.
    Waiting(Now),
}

#[derive(Clone, Debug)]
struct Submission {
    ticket: Ticket,
    row: JobRow,
    began: Now,
    step: Step,
    /// Version of a withdrawn row that the write replaces.
    expect: Rev,
}

/// Submissions under way, in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct Submissions {
    open: Vec<Submission>,
    by_token: FxHashMap<Token, Ticket>,
}

impl Submissions {
    /// Writes the row of a new job.
    pub fn begin(&mut self, now: Now, ticket: Ticket, token: Token, row: JobRow, fx: &mut Effects) {
        let mut submission = Submission {
            ticket,
            row,
            began: now,
            step: Step::Waiting(now),
            expect: 0,
        };
        if submission.commit(token, fx) {
            self.by_token.insert(token, ticket);
            self.open.push(submission);
        } else {
            refuse(ticket, Reason::Invalid, fx);
        }
    }

    /// Submissions whose callers wait.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Settles what is due, and answers callers who have waited too long.
    pub fn tick(&mut self, now: Now, tokens: &mut Token, fx: &mut Effects) {
        for submission in &mut self.open {
            if matches!(submission.step, Step::Waiting(due) if now >= due) {
                *tokens += 1;
                submission.withdraw(*tokens, fx);
                self.by_token.insert(*tokens, submission.ticket);
            }
        }
        let by_token = &mut self.by_token;
        self.open.retain(|submission| {
            let waits = now.saturating_sub(submission.began) < PATIENCE;
            if !waits {
                by_token.retain(|_, ticket| *ticket != submission.ticket);
                unknown(submission.ticket, fx);
            }
            waits
        });
    }

    /// A transaction ended; `None` when it was no submission's.
    pub fn handle_txn_end(
        &mut self,
        now: Now,
        token: Token,
        end: &TxnEnd,
        tokens: &mut Token,
        fx: &mut Effects,
    ) -> Option<Ended> {
        let ticket = self.by_token.remove(&token)?;
        let at = self.open.iter().position(|open| open.ticket == ticket)?;
        let mut submission = self.open.swap_remove(at);
        let accepted = submission.row.zone.clone();
        match submission.ended(now, end, fx) {
            Next::Accepted => Some(Ended::Accepted(accepted)),
            Next::Answered => Some(Ended::Otherwise),
            Next::Wait => {
                self.open.push(submission);
                Some(Ended::Otherwise)
            }
            Next::Replace(version) => {
                submission.expect = version;
                *tokens += 1;
                if submission.commit(*tokens, fx) {
                    self.by_token.insert(*tokens, ticket);
                    self.open.push(submission);
                }
                Some(Ended::Otherwise)
            }
        }
    }
}

/// What the end of a transaction meant for its submission.
pub(super) enum Ended {
    /// The job was accepted for this zone.
    Accepted(ZoneId),
    /// The job was not accepted, or not by this transaction.
    Otherwise,
}

/// What follows the end of a transaction.
enum Next {
    /// The job is in the table, and the caller was told.
    Accepted,
    /// The caller was told.
    Answered,
    /// The submission waits for something else.
    Wait,
    /// The row was withdrawn at this version before; the write replaces it.
    Replace(Rev),
}

impl Submission {
    fn commit(&mut self, token: Token, fx: &mut Effects) -> bool {
        let Some(write) = write(&self.row, self.expect) else {
            return false;
        };
        self.step = Step::Writing(token);
        send(token, write, fx);
        true
    }

    fn withdraw(&mut self, token: Token, fx: &mut Effects) {
        self.step = Step::Settling(token);
        let write = Write {
            key: row::key(&self.row.spec.id),
            expect: self.expect,
            value: None,
        };
        send(token, write, fx);
    }

    fn ended(&mut self, now: Now, end: &TxnEnd, fx: &mut Effects) -> Next {
        let settling = matches!(self.step, Step::Settling(_));
        match end {
            TxnEnd::Committed(_) if settling => {
                not_run(self.ticket, fx);
                Next::Answered
            }
            TxnEnd::Committed(_) => {
                accept(self.ticket, &self.row.spec, fx);
                Next::Accepted
            }
            TxnEnd::Conflict(rows) => self.met(rows, settling, fx),
            TxnEnd::NotSent if !settling => {
                not_run(self.ticket, fx);
                Next::Answered
            }
            TxnEnd::NotSent | TxnEnd::Unknown => {
                self.step = Step::Waiting(now + SETTLE_EVERY);
                Next::Wait
            }
        }
    }

    /// The row was there already, or is there withdrawn.
    fn met(&mut self, rows: &[Row], settling: bool, fx: &mut Effects) -> Next {
        let version = rows.first().map_or(0, |row| row.version);
        let value = rows.first().and_then(|row| row.value.as_deref());
        match value.map(JobRow::read) {
            Some(Ok(row)) => {
                answer_known(self.ticket, &self.row.spec, &row, fx);
                Next::Answered
            }
            Some(Err(_)) => {
                refuse(self.ticket, Reason::Invalid, fx);
                Next::Answered
            }
            // An earlier attempt at this withdrawal took effect, and its answer was lost.
            None if settling => {
                not_run(self.ticket, fx);
                Next::Answered
            }
            None => Next::Replace(version),
        }
    }
}

/// Answers the submission of a job whose row is known.
pub(super) fn answer_known(ticket: Ticket, spec: &JobSpec, row: &JobRow, fx: &mut Effects) {
    if row.is_submission_of(spec) {
        accept(ticket, spec, fx);
    } else {
        refuse(ticket, Reason::Invalid, fx);
    }
}

fn accept(ticket: Ticket, spec: &JobSpec, fx: &mut Effects) {
    let job = spec.id.clone();
    let answer = Answer::Accepted { job };
    fx.push(Effect::Answer { ticket, answer });
}

fn not_run(ticket: Ticket, fx: &mut Effects) {
    let answer = Answer::NotRun {
        reason: Reason::PlatformUnavailable,
        retry_after: Some(RETRY_AFTER),
    };
    fx.push(Effect::Answer { ticket, answer });
}

fn unknown(ticket: Ticket, fx: &mut Effects) {
    let answer = Answer::Unknown {
        reason: Reason::PlatformUnavailable,
    };
    fx.push(Effect::Answer { ticket, answer });
}

fn send(token: Token, write: Write, fx: &mut Effects) {
    let txn = Txn {
        writes: vec![write],
    };
    fx.push(Effect::Commit { token, txn });
}
