//! Submissions in progress, and the resolution of those whose write was not answered.
//!
//! A submission writes the job's row on condition that its version is zero, or that of a withdrawn
//! row with the same key. When the answer to the write is lost, the row is withdrawn on the same
//! condition. If the withdrawal takes effect, the write no longer can; if it conflicts with the
//! row, the job has been accepted.

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
use crate::core::event::TxnOutcome;
use crate::core::model::JobSpec;
use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::model::Row;
use crate::core::model::Ticket;
use crate::core::model::Token;
use crate::core::model::Txn;
use crate::core::model::Write;
use crate::core::model::ZoneId;

/// Time after which a submission is answered as having an unknown result.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Time between attempts to resolve one submission.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay after which a caller whose job was not accepted may submit it again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Event that a submission waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The result of its write.
    Writing(Token),
    /// The result of the withdrawal that resolves a write whose answer was lost.
    Resolving(Token),
    /// The time of the next attempt to resolve it.
    Waiting(Now),
}

#[derive(Clone, Debug)]
struct Submission {
    ticket: Ticket,
    row: JobRow,
    started_at: Now,
    step: Step,
    /// Version that the row must have: zero, or that of a withdrawn row that the write replaces.
    expect: Rev,
}

/// Submissions whose callers have not been answered.
#[derive(Clone, Debug, Default)]
pub(super) struct Submissions {
    pending: Vec<Submission>,
    by_token: FxHashMap<Token, Ticket>,
}

impl Submissions {
    /// Sends the write of a new job's row.
    pub fn begin(&mut self, now: Now, ticket: Ticket, token: Token, row: JobRow, fx: &mut Effects) {
        let mut submission = Submission {
            ticket,
            row,
            started_at: now,
            step: Step::Waiting(now),
            expect: 0,
        };
        if submission.commit(token, fx) {
            self.by_token.insert(token, ticket);
            self.pending.push(submission);
        } else {
            refuse(ticket, Reason::Invalid, fx);
        }
    }

    /// Returns the number of submissions whose callers have not been answered.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Sends the withdrawals that are due, and answers submissions that have timed out.
    pub fn tick(&mut self, now: Now, last_token: &mut Token, fx: &mut Effects) {
        for submission in &mut self.pending {
            if matches!(submission.step, Step::Waiting(due) if now >= due) {
                *last_token += 1;
                submission.withdraw(*last_token, fx);
                self.by_token.insert(*last_token, submission.ticket);
            }
        }
        let by_token = &mut self.by_token;
        self.pending.retain(|submission| {
            let in_time = now.saturating_sub(submission.started_at) < ANSWER_TIMEOUT;
            if !in_time {
                by_token.retain(|_, ticket| *ticket != submission.ticket);
                answer_unknown(submission.ticket, fx);
            }
            in_time
        });
    }

    /// Handles the end of a transaction; returns `None` if the transaction belongs to no
    /// submission.
    pub fn handle_txn_end(
        &mut self,
        now: Now,
        token: Token,
        end: &TxnOutcome,
        last_token: &mut Token,
        fx: &mut Effects,
    ) -> Option<SubmissionOutcome> {
        let ticket = self.by_token.remove(&token)?;
        let at = self
            .pending
            .iter()
            .position(|submission| submission.ticket == ticket)?;
        let mut submission = self.pending.swap_remove(at);
        let accepted = submission.row.zone.clone();
        match submission.handle_txn_end(now, end, fx) {
            NextAction::Accepted => Some(SubmissionOutcome::Accepted(accepted)),
            NextAction::Answered => Some(SubmissionOutcome::Other),
            NextAction::Wait => {
                self.pending.push(submission);
                Some(SubmissionOutcome::Other)
            }
            NextAction::Replace(version) => {
                submission.expect = version;
                *last_token += 1;
                if submission.commit(*last_token, fx) {
                    self.by_token.insert(*last_token, ticket);
                    self.pending.push(submission);
                }
                Some(SubmissionOutcome::Other)
            }
        }
    }
}

/// Effect of a transaction's end on its submission.
pub(super) enum SubmissionOutcome {
    /// The job was accepted for this zone.
    Accepted(ZoneId),
    /// The job was rejected, is not resolved yet, or was accepted by another transaction.
    Other,
}

/// State of a submission after the end of a transaction, and the action that it needs.
enum NextAction {
    /// The job was committed by this transaction, and the caller was answered.
    Accepted,
    /// The caller was answered otherwise.
    Answered,
    /// The submission is unresolved and stays pending.
    Wait,
    /// The row was withdrawn at this version; the write has to be repeated in its place.
    Replace(Rev),
}

impl Submission {
    fn commit(&mut self, token: Token, fx: &mut Effects) -> bool {
        let Some(write) = write(&self.row, self.expect) else {
            return false;
        };
        self.step = Step::Writing(token);
        commit_write(token, write, fx);
        true
    }

    fn withdraw(&mut self, token: Token, fx: &mut Effects) {
        self.step = Step::Resolving(token);
        let write = Write {
            key: row::key(&self.row.spec.id),
            expect: self.expect,
            value: None,
        };
        commit_write(token, write, fx);
    }

    fn handle_txn_end(&mut self, now: Now, end: &TxnOutcome, fx: &mut Effects) -> NextAction {
        let resolving = matches!(self.step, Step::Resolving(_));
        match end {
            TxnOutcome::Committed(_) if resolving => {
                answer_not_run(self.ticket, fx);
                NextAction::Answered
            }
            TxnOutcome::Committed(_) => {
                answer_accepted(self.ticket, &self.row.spec, fx);
                NextAction::Accepted
            }
            TxnOutcome::Conflict(rows) => self.handle_conflict(rows, resolving, fx),
            TxnOutcome::NotSent if !resolving => {
                answer_not_run(self.ticket, fx);
                NextAction::Answered
            }
            TxnOutcome::NotSent | TxnOutcome::Unknown => {
                self.step = Step::Waiting(now + RESOLVE_INTERVAL);
                NextAction::Wait
            }
        }
    }

    /// Handles a conflict with a row that exists already or was withdrawn.
    fn handle_conflict(&mut self, rows: &[Row], resolving: bool, fx: &mut Effects) -> NextAction {
        let version = rows.first().map_or(0, |row| row.version);
        let value = rows.first().and_then(|row| row.value.as_deref());
        match value.map(JobRow::from_json) {
            Some(Ok(row)) => {
                answer_known(self.ticket, &self.row.spec, &row, fx);
                NextAction::Answered
            }
            Some(Err(_)) => {
                refuse(self.ticket, Reason::Invalid, fx);
                NextAction::Answered
            }
            // An earlier attempt at this withdrawal took effect but its answer was lost.
            None if resolving => {
                answer_not_run(self.ticket, fx);
                NextAction::Answered
            }
            None => NextAction::Replace(version),
        }
    }
}

/// Answers a submission whose identifier already has a row: accepted if it is the same job.
pub(super) fn answer_known(ticket: Ticket, spec: &JobSpec, row: &JobRow, fx: &mut Effects) {
    if row.is_submission_of(spec) {
        answer_accepted(ticket, spec, fx);
    } else {
        refuse(ticket, Reason::Invalid, fx);
    }
}

fn answer_accepted(ticket: Ticket, spec: &JobSpec, fx: &mut Effects) {
    let job = spec.id.clone();
    let answer = Answer::Accepted { job };
    fx.push(Effect::Answer { ticket, answer });
}

fn answer_not_run(ticket: Ticket, fx: &mut Effects) {
    let answer = Answer::NotRun {
        reason: Reason::PlatformUnavailable,
        retry_after: Some(RETRY_AFTER),
    };
    fx.push(Effect::Answer { ticket, answer });
}

fn answer_unknown(ticket: Ticket, fx: &mut Effects) {
    let answer = Answer::Unknown {
        reason: Reason::PlatformUnavailable,
    };
    fx.push(Effect::Answer { ticket, answer });
}

fn commit_write(token: Token, write: Write, fx: &mut Effects) {
    let txn = Txn {
        writes: vec![write],
    };
    fx.push(Effect::Commit { token, txn });
}
