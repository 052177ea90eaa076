//! Record writes of operators: told to all peers, then committed, then answered.
//!
//! One write at a time is under way on a daemon. Each is committed together with the daemon's mark;
//! when an answer is lost, an empty write on the same mark either proves that the lost one cannot
//! take effect any more or meets the mark that it left.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::marker::Fate;
use super::marker::Mark;
use super::op::Lost;
use super::op::Op;
use super::op::Proposing;
use super::op::Sent;
use super::op::Settling;
use super::op::Stage;
use crate::core::effect::Answer;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::effect::Reason;
use crate::core::event::PeerMessage;
use crate::core::event::TxnEnd;
use crate::core::model::DaemonId;
use crate::core::model::Now;
use crate::core::model::RECORD_TOKEN_BASE;
use crate::core::model::Rev;
use crate::core::model::Row;
use crate::core::model::Ticket;
use crate::core::model::Token;
use crate::core::model::Txn;
use crate::core::model::Write;
use crate::core::peers::Peers;

/// Time that peers have to reply to a proposal.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between attempts to settle a lost write.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an operator is told that the end is not known, or that the write was not sent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which an operator may repeat a write that was not sent.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Record writes that wait on one daemon at the most.
const QUEUE_LENGTH: usize = 256;

/// What became known of the records when a transaction ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Rows as they are now.
    pub rows: Vec<Row>,
    /// Rows that are as they were: proposals to change them are ended.
    pub unchanged: Vec<Row>,
}

/// Writes under way on this daemon.
#[derive(Clone, Debug)]
pub struct RecordWriter {
    me: DaemonId,
    started: u64,
    mark: Rev,
    queue: VecDeque<Op>,
    stage: Option<Stage>,
}

impl RecordWriter {
    /// Returns a daemon's writes, none of them under way.
    #[must_use]
    pub fn new(me: DaemonId) -> Self {
        Self {
            me,
            started: 0,
            mark: 0,
            queue: VecDeque::new(),
            stage: None,
        }
    }

    /// Starts a write. `before` is the row as known when the write takes something away that must
    /// stop at once, so that peers are told first.
    pub fn begin(
        &mut self,
        now: Now,
        ticket: Ticket,
        write: Write,
        before: Option<Row>,
        peers: &Peers,
        fx: &mut Effects,
    ) {
        let mut op = Op::new(now, ticket, write, before);
        if self.queue.len() >= QUEUE_LENGTH {
            return op.answer(not_run(Reason::Overloaded), fx);
        }
        if op.before.is_some() {
            op.proposed = true;
            let row = op.written(op.write.expect);
            peers.broadcast(&PeerMessage::Proposal(vec![row]), fx);
        }
        self.queue.push_back(op);
        self.next(now, peers, fx);
    }

    /// A peer replied to a proposal, or did not.
    pub fn handle_peer_reply(&mut self, peer: &str, message: &PeerMessage, fx: &mut Effects) {
        let (Some(Stage::Proposing(stage)), PeerMessage::Proposal(rows)) =
            (&mut self.stage, message)
        else {
            return;
        };
        if rows.iter().any(|row| row.key == stage.op.write.key) {
            stage.waiting.remove(peer);
        }
        self.send_proposed(None, fx);
    }

    /// A transaction of a write ended; `None` when it was not a write's.
    pub fn handle_txn_end(
        &mut self,
        now: Now,
        token: Token,
        end: &TxnEnd,
        peers: &Peers,
        fx: &mut Effects,
    ) -> Option<Outcome> {
        if self.stage.as_ref()?.token()? != token {
            return None;
        }
        let outcome = match self.stage.take()? {
            Stage::Sent(sent) => self.sent_ended(now, sent, end, fx),
            Stage::Settling(settling) => self.settling_ended(now, settling.lost, end, fx),
            other => {
                self.stage = Some(other);
                Outcome::default()
            }
        };
        self.next(now, peers, fx);
        Some(outcome)
    }

    /// Goes on without silent peers, settles lost writes and gives up what waits too long. Returns
    /// rows whose proposals ended without effect.
    pub fn tick(&mut self, now: Now, peers: &Peers, fx: &mut Effects) -> Vec<Row> {
        self.send_proposed(Some(now), fx);
        if let Some(Stage::Lost(lost)) = &self.stage
            && now >= lost.retry
        {
            self.settle(fx);
        }
        let late = |op: &Op| now.saturating_sub(op.begun) >= ANSWER_TIMEOUT;
        if let Some(stage @ (Stage::Lost(_) | Stage::Settling(_))) = &mut self.stage
            && late(stage.op_mut())
        {
            let reason = Reason::PlatformUnavailable;
            stage.op_mut().answer(Answer::Unknown { reason }, fx);
        }
        let mut kept = Vec::new();
        while self.queue.front().is_some_and(late) {
            let op = self.queue.pop_front();
            kept.extend(op.and_then(|op| fail(op, fx)));
        }
        self.next(now, peers, fx);
        kept
    }

    /// Whether the end of some write is not known.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.stage.is_some() || !self.queue.is_empty()
    }

    /// Starts the next write when none is under way.
    fn next(&mut self, now: Now, peers: &Peers, fx: &mut Effects) {
        if self.stage.is_some() {
            return;
        }
        let Some(op) = self.queue.pop_front() else {
            return;
        };
        let reachable = peers.iter().filter(|(_, peer)| peer.reachable);
        let waiting: BTreeSet<DaemonId> = if op.proposed {
            reachable.map(|(id, _)| id.clone()).collect()
        } else {
            BTreeSet::new()
        };
        self.stage = Some(Stage::Proposing(Proposing {
            op,
            waiting,
            until: now + PROPOSAL_TIMEOUT,
        }));
        self.send_proposed(Some(now), fx);
    }

    /// Commits the proposed write once all peers replied, or `now` is past their time.
    fn send_proposed(&mut self, now: Option<Now>, fx: &mut Effects) {
        match self.stage.take() {
            Some(Stage::Proposing(stage))
                if stage.waiting.is_empty() || now >= Some(stage.until) =>
            {
                self.send(stage.op, fx);
            }
            stage => self.stage = stage,
        }
    }

    fn send(&mut self, op: Op, fx: &mut Effects) {
        let mark = Mark::of(self.mark, self.started + 1, &op.write);
        let writes = vec![op.write.clone(), mark.write(&self.me)];
        let token = self.commit(writes, fx);
        self.stage = Some(Stage::Sent(Sent { op, token, mark }));
    }

    /// Sends an empty write on the mark of the lost one.
    fn settle(&mut self, fx: &mut Effects) {
        match self.stage.take() {
            Some(Stage::Lost(lost)) => {
                let void = Mark::void(self.mark).write(&self.me);
                let token = self.commit(vec![void], fx);
                self.stage = Some(Stage::Settling(Settling { lost, token }));
            }
            stage => self.stage = stage,
        }
    }

    fn commit(&mut self, writes: Vec<Write>, fx: &mut Effects) -> Token {
        self.started += 1;
        let token = RECORD_TOKEN_BASE + self.started;
        fx.push(Effect::Commit {
            token,
            txn: Txn { writes },
        });
        token
    }

    fn sent_ended(&mut self, now: Now, sent: Sent, end: &TxnEnd, fx: &mut Effects) -> Outcome {
        let Sent { mut op, mark, .. } = sent;
        match end {
            TxnEnd::Committed(rows) => {
                self.mark = rows.get(1).map_or(self.mark, |row| row.version);
                let version = rows.first().map_or(0, |row| row.version);
                op.answer(Answer::Written { version }, fx);
                known(vec![op.written(version)])
            }
            TxnEnd::Conflict(rows) => self.conflict(op, rows, fx),
            TxnEnd::NotSent => kept(fail(op, fx)),
            TxnEnd::Unknown => {
                let retry = now;
                self.stage = Some(Stage::Lost(Lost { op, mark, retry }));
                self.settle(fx);
                Outcome::default()
            }
        }
    }

    /// Sends the write again when only the mark was not as expected, and otherwise tells the
    /// operator who lost the race.
    fn conflict(&mut self, mut op: Op, rows: &[Row], fx: &mut Effects) -> Outcome {
        let [row, mark] = rows else {
            return kept(fail(op, fx));
        };
        let stale_mark = self.mark != mark.version;
        self.mark = mark.version;
        let unchanged = row.version == op.write.expect;
        let withdrawn = op.create && row.value.is_none() && row.version > op.write.expect;
        if withdrawn {
            op.write.expect = row.version;
        }
        if withdrawn || (unchanged && stale_mark) {
            self.send(op, fx);
            return Outcome::default();
        }
        let version = row.version;
        let value = row.value.clone();
        op.answer(Answer::Conflict { version, value }, fx);
        known(vec![row.clone()])
    }

    fn settling_ended(
        &mut self,
        now: Now,
        mut lost: Lost,
        end: &TxnEnd,
        fx: &mut Effects,
    ) -> Outcome {
        let fate = match end {
            TxnEnd::Committed(rows) => {
                self.mark = rows.first().map_or(self.mark, |row| row.version);
                Fate::Void
            }
            TxnEnd::Conflict(rows) => {
                self.mark = rows.first().map_or(self.mark, |row| row.version);
                rows.first()
                    .map_or(Fate::Ambiguous, |row| lost.mark.fate(row))
            }
            TxnEnd::NotSent | TxnEnd::Unknown => {
                lost.retry = now + SETTLE_INTERVAL;
                self.stage = Some(Stage::Lost(lost));
                return Outcome::default();
            }
        };
        let mut op = lost.op;
        match fate {
            Fate::Committed(version) => {
                op.answer(Answer::Written { version }, fx);
                known(vec![op.written(version)])
            }
            Fate::Void => kept(fail(op, fx)),
            Fate::Ambiguous => {
                let reason = Reason::PlatformUnavailable;
                op.answer(Answer::Unknown { reason }, fx);
                Outcome::default()
            }
        }
    }
}

/// Tells the operator that the write took no effect; returns the row as it stays.
fn fail(mut op: Op, fx: &mut Effects) -> Option<Row> {
    op.answer(not_run(Reason::PlatformUnavailable), fx);
    op.before
}

fn not_run(reason: Reason) -> Answer {
    Answer::NotRun {
        reason,
        retry_after: Some(RETRY_AFTER),
    }
}

fn known(rows: Vec<Row>) -> Outcome {
    Outcome {
        rows,
        unchanged: Vec::new(),
    }
}

fn kept(row: Option<Row>) -> Outcome {
    Outcome {
        rows: Vec::new(),
        unchanged: row.into_iter().collect(),
    }
}
