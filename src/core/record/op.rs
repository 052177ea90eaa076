//! Stages of a record write: proposed, sent, and, if the answer was lost, resolved.

use std::collections::BTreeSet;

use super::marker::Marker;
use crate::core::effect::Answer;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::model::DaemonId;
use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::model::Row;
use crate::core::model::Ticket;
use crate::core::model::Token;
use crate::core::model::Write;

/// A record write and the ticket of the operator who waits for its result.
#[derive(Clone, Debug)]
pub struct WriteOp {
    /// Conditional write of the record.
    pub write: Write,
    /// Whether the write creates the record, in which case it may replace a withdrawn one.
    pub create: bool,
    /// The row as known when the write started; sent to peers to end a proposal without effect.
    pub before: Option<Row>,
    /// Whether the write was proposed to peers.
    pub proposed: bool,
    /// When the write started.
    pub started_at: Now,
    ticket: Option<Ticket>,
}

impl WriteOp {
    /// Returns a write whose operator is answered by `ticket`.
    pub fn new(now: Now, ticket: Ticket, write: Write, before: Option<Row>) -> Self {
        Self {
            create: write.expect == 0,
            write,
            before,
            proposed: false,
            started_at: now,
            ticket: Some(ticket),
        }
    }

    /// Answers the operator if that has not been done yet.
    pub fn answer(&mut self, answer: Answer, fx: &mut Effects) {
        if let Some(ticket) = self.ticket.take() {
            fx.push(Effect::Answer { ticket, answer });
        }
    }

    /// Returns the row as it is once the write takes effect at `version`.
    pub fn row_at(&self, version: Rev) -> Row {
        Row {
            key: self.write.key.clone(),
            version,
            value: self.write.value.clone(),
        }
    }
}

/// The write waits for the peers' replies to its proposal.
#[derive(Clone, Debug)]
pub struct Proposing {
    /// Record write.
    pub op: WriteOp,
    /// Reachable peers that have not replied.
    pub waiting: BTreeSet<DaemonId>,
    /// When the write is sent without their replies.
    pub deadline: Now,
}

/// The write waits for the result of its transaction.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Record write.
    pub op: WriteOp,
    /// Token of the transaction.
    pub token: Token,
    /// Marker in the transaction.
    pub marker: Marker,
}

/// The answer to the write's transaction was lost. A fence that expects the same marker version has
/// to resolve it.
#[derive(Clone, Debug)]
pub struct InDoubt {
    /// Record write.
    pub op: WriteOp,
    /// Marker in the lost transaction.
    pub marker: Marker,
    /// When to send the next fence.
    pub retry_at: Now,
}

/// The write waits for the result of the fence that resolves its transaction.
#[derive(Clone, Debug)]
pub struct Resolving {
    /// The unresolved write.
    pub in_doubt: InDoubt,
    /// Token of the fence's transaction.
    pub token: Token,
}

/// Stage of the current write.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Peers are receiving the proposal.
    Proposing(Proposing),
    /// The transaction is in flight.
    Sent(Sent),
    /// The answer was lost, and no fence is in flight.
    InDoubt(InDoubt),
    /// The answer was lost, and a fence is in flight.
    Resolving(Resolving),
}

impl Stage {
    /// Returns the write.
    pub fn op_mut(&mut self) -> &mut WriteOp {
        match self {
            Self::Proposing(stage) => &mut stage.op,
            Self::Sent(stage) => &mut stage.op,
            Self::InDoubt(stage) => &mut stage.op,
            Self::Resolving(stage) => &mut stage.in_doubt.op,
        }
    }

    /// Returns the token of the transaction that is in flight.
    pub fn token(&self) -> Option<Token> {
        match self {
            Self::Sent(stage) => Some(stage.token),
            Self::Resolving(stage) => Some(stage.token),
            Self::Proposing(_) | Self::InDoubt(_) => None,
        }
    }
}
