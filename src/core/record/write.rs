//! Operators' record writes: proposed to all peers, then committed, then answered.
//!
//! A daemon processes one write at a time and commits it together with its marker. When the answer
//! is lost, the daemon sends a fence, a transaction that replaces only the same version of the
//! marker. If the fence takes effect, the lost transaction no longer can; if it conflicts, the
//! marker found in the table shows whether the lost transaction took effect, unless a later marker
//! has replaced it.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::marker::Marker;
use super::marker::Resolution;
use super::op::InDoubt;
use super::op::Proposing;
use super::op::Resolving;
use super::op::Sent;
use super::op::Stage;
use super::op::WriteOp;
use crate::core::effect::Answer;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::effect::Reason;
use crate::core::event::PeerMessage;
use crate::core::event::TxnOutcome;
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

/// Time to wait for peers' replies to a proposal.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between attempts to resolve a write whose answer was lost.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a write is answered: as unknown if its answer was lost, as not run if it is
/// still queued.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after which an operator may repeat a write that did not take effect.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of queued record writes on one daemon.
const MAX_QUEUE_LENGTH: usize = 256;

/// Rows whose state became known by the outcome of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResolvedRows {
    /// Current rows, to be applied to the view.
    pub rows: Vec<Row>,
    /// Rows that did not change, so that proposals to change them have ended.
    pub unchanged: Vec<Row>,
}

/// Queued and current record writes of this daemon.
#[derive(Clone, Debug)]
pub struct RecordWriter {
    daemon: DaemonId,
    /// Number of transactions sent by this process.
    txns_started: u64,
    /// Last known row version of this daemon's marker.
    marker_version: Rev,
    queue: VecDeque<WriteOp>,
    stage: Option<Stage>,
}

impl RecordWriter {
    /// Returns the writer of a daemon, without any writes.
    #[must_use]
    pub fn new(daemon: DaemonId) -> Self {
        Self {
            daemon,
            txns_started: 0,
            marker_version: 0,
            queue: VecDeque::new(),
            stage: None,
        }
    }

    /// Queues a write and starts it if no other is in progress.
    ///
    /// `before` is the row as known, if the write revokes something that must stop at once; such a
    /// write is proposed to peers before it is committed.
    pub fn begin(
        &mut self,
        now: Now,
        ticket: Ticket,
        write: Write,
        before: Option<Row>,
        peers: &Peers,
        fx: &mut Effects,
    ) {
        let mut op = WriteOp::new(now, ticket, write, before);
        if self.queue.len() >= MAX_QUEUE_LENGTH {
            return op.answer(not_run(Reason::Overloaded), fx);
        }
        if op.before.is_some() {
            op.proposed = true;
            let row = op.row_at(op.write.expect);
            peers.broadcast(&PeerMessage::Proposal(vec![row]), fx);
        }
        self.queue.push_back(op);
        self.start_next(now, peers, fx);
    }

    /// Handles a peer's reply to a proposal, or its failure to reply.
    pub fn handle_peer_reply(&mut self, peer: &str, message: &PeerMessage, fx: &mut Effects) {
        let (Some(Stage::Proposing(stage)), PeerMessage::Proposal(rows)) =
            (&mut self.stage, message)
        else {
            return;
        };
        if rows.iter().any(|row| row.key == stage.op.write.key) {
            stage.waiting.remove(peer);
        }
        self.send_if_proposed(None, fx);
    }

    /// Handles the outcome of a transaction; returns `None` if the transaction belongs to no record
    /// write.
    pub fn handle_txn_outcome(
        &mut self,
        now: Now,
        token: Token,
        outcome: &TxnOutcome,
        peers: &Peers,
        fx: &mut Effects,
    ) -> Option<ResolvedRows> {
        if self.stage.as_ref()?.token()? != token {
            return None;
        }
        let rows = match self.stage.take()? {
            Stage::Sent(sent) => self.handle_write_outcome(now, sent, outcome, fx),
            Stage::Resolving(resolving) => {
                self.handle_fence_outcome(now, resolving.in_doubt, outcome, fx)
            }
            other => {
                self.stage = Some(other);
                ResolvedRows::default()
            }
        };
        self.start_next(now, peers, fx);
        Some(rows)
    }

    /// Sends proposed writes whose time for replies has passed, retries the resolution of lost
    /// writes, and answers writes that have timed out. Returns the rows whose proposals ended
    /// without effect.
    pub fn tick(&mut self, now: Now, peers: &Peers, fx: &mut Effects) -> Vec<Row> {
        self.send_if_proposed(Some(now), fx);
        if let Some(Stage::InDoubt(in_doubt)) = &self.stage
            && now >= in_doubt.retry_at
        {
            self.send_fence(fx);
        }
        let timed_out = |op: &WriteOp| now.saturating_sub(op.started_at) >= ANSWER_TIMEOUT;
        if let Some(stage @ (Stage::InDoubt(_) | Stage::Resolving(_))) = &mut self.stage
            && timed_out(stage.op_mut())
        {
            let reason = Reason::PlatformUnavailable;
            stage.op_mut().answer(Answer::Unknown { reason }, fx);
        }
        let mut unchanged = Vec::new();
        while self.queue.front().is_some_and(timed_out) {
            let op = self.queue.pop_front();
            unchanged.extend(op.and_then(|op| answer_not_written(op, fx)));
        }
        self.start_next(now, peers, fx);
        unchanged
    }

    /// Returns whether the result of some write is not known yet.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.stage.is_some() || !self.queue.is_empty()
    }

    /// Starts the next queued write if none is in progress.
    fn start_next(&mut self, now: Now, peers: &Peers, fx: &mut Effects) {
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
            deadline: now + PROPOSAL_TIMEOUT,
        }));
        self.send_if_proposed(Some(now), fx);
    }

    /// Sends the proposed write once all peers have replied or `now` has reached the deadline.
    fn send_if_proposed(&mut self, now: Option<Now>, fx: &mut Effects) {
        match self.stage.take() {
            Some(Stage::Proposing(stage))
                if stage.waiting.is_empty() || now >= Some(stage.deadline) =>
            {
                self.send(stage.op, fx);
            }
            stage => self.stage = stage,
        }
    }

    fn send(&mut self, op: WriteOp, fx: &mut Effects) {
        let marker = Marker::for_write(self.marker_version, self.txns_started + 1, &op.write);
        let writes = vec![op.write.clone(), marker.write(&self.daemon)];
        let token = self.commit(writes, fx);
        self.stage = Some(Stage::Sent(Sent { op, token, marker }));
    }

    /// Sends a fence that expects the same marker version as the lost transaction.
    fn send_fence(&mut self, fx: &mut Effects) {
        match self.stage.take() {
            Some(Stage::InDoubt(in_doubt)) => {
                let fence = Marker::fence(self.marker_version).write(&self.daemon);
                let token = self.commit(vec![fence], fx);
                self.stage = Some(Stage::Resolving(Resolving { in_doubt, token }));
            }
            stage => self.stage = stage,
        }
    }

    fn commit(&mut self, writes: Vec<Write>, fx: &mut Effects) -> Token {
        self.txns_started += 1;
        let token = RECORD_TOKEN_BASE + self.txns_started;
        fx.push(Effect::Commit {
            token,
            txn: Txn { writes },
        });
        token
    }

    fn handle_write_outcome(
        &mut self,
        now: Now,
        sent: Sent,
        outcome: &TxnOutcome,
        fx: &mut Effects,
    ) -> ResolvedRows {
        let Sent { mut op, marker, .. } = sent;
        match outcome {
            TxnOutcome::Committed(rows) => {
                self.marker_version = rows.get(1).map_or(self.marker_version, |row| row.version);
                let version = rows.first().map_or(0, |row| row.version);
                op.answer(Answer::Written { version }, fx);
                changed(vec![op.row_at(version)])
            }
            TxnOutcome::Conflict(rows) => self.handle_conflict(op, rows, fx),
            TxnOutcome::NotSent => unchanged(answer_not_written(op, fx)),
            TxnOutcome::Unknown => {
                let retry_at = now;
                self.stage = Some(Stage::InDoubt(InDoubt {
                    op,
                    marker,
                    retry_at,
                }));
                self.send_fence(fx);
                ResolvedRows::default()
            }
        }
    }

    /// Sends the write again if only the marker had another version than expected, or if it creates
    /// a record that was withdrawn. Otherwise answers the operator with the current row.
    fn handle_conflict(&mut self, mut op: WriteOp, rows: &[Row], fx: &mut Effects) -> ResolvedRows {
        let [row, marker] = rows else {
            return unchanged(answer_not_written(op, fx));
        };
        let stale_marker = self.marker_version != marker.version;
        self.marker_version = marker.version;
        let unchanged = row.version == op.write.expect;
        let withdrawn = op.create && row.value.is_none() && row.version > op.write.expect;
        if withdrawn {
            op.write.expect = row.version;
        }
        if withdrawn || (unchanged && stale_marker) {
            self.send(op, fx);
            return ResolvedRows::default();
        }
        let version = row.version;
        let value = row.value.clone();
        op.answer(Answer::Conflict { version, value }, fx);
        changed(vec![row.clone()])
    }

    fn handle_fence_outcome(
        &mut self,
        now: Now,
        mut in_doubt: InDoubt,
        outcome: &TxnOutcome,
        fx: &mut Effects,
    ) -> ResolvedRows {
        let resolution = match outcome {
            TxnOutcome::Committed(rows) => {
                self.marker_version = rows.first().map_or(self.marker_version, |row| row.version);
                Resolution::Aborted
            }
            TxnOutcome::Conflict(rows) => {
                self.marker_version = rows.first().map_or(self.marker_version, |row| row.version);
                rows.first().map_or(Resolution::Indeterminate, |row| {
                    in_doubt.marker.resolve(row)
                })
            }
            TxnOutcome::NotSent | TxnOutcome::Unknown => {
                in_doubt.retry_at = now + RESOLVE_INTERVAL;
                self.stage = Some(Stage::InDoubt(in_doubt));
                return ResolvedRows::default();
            }
        };
        let mut op = in_doubt.op;
        match resolution {
            Resolution::Committed(version) => {
                op.answer(Answer::Written { version }, fx);
                changed(vec![op.row_at(version)])
            }
            Resolution::Aborted => unchanged(answer_not_written(op, fx)),
            Resolution::Indeterminate => {
                let reason = Reason::PlatformUnavailable;
                op.answer(Answer::Unknown { reason }, fx);
                ResolvedRows::default()
            }
        }
    }
}

/// Answers that the write did not take effect; returns the unchanged row if it was proposed.
fn answer_not_written(mut op: WriteOp, fx: &mut Effects) -> Option<Row> {
    op.answer(not_run(Reason::PlatformUnavailable), fx);
    op.before
}

fn not_run(reason: Reason) -> Answer {
    Answer::NotRun {
        reason,
        retry_after: Some(RETRY_AFTER),
    }
}

fn changed(rows: Vec<Row>) -> ResolvedRows {
    ResolvedRows {
        rows,
        unchanged: Vec::new(),
    }
}

fn unchanged(row: Option<Row>) -> ResolvedRows {
    ResolvedRows {
        rows: Vec::new(),
        unchanged: row.into_iter().collect(),
    }
}
