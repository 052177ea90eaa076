//! Life cycle of one record write: proposed, sent, and, when its answer was lost, settled.

use std::collections::BTreeSet;

use super::marker::Mark;
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

/// A record write and who waits for its end.
#[derive(Clone, Debug)]
pub struct Op {
    /// What to write.
    pub write: Write,
    /// Whether the record must not exist, so that one that was withdrawn may be written anew.
    pub create: bool,
    /// The row as it was known when the write began, which ends a proposal.
    pub before: Option<Row>,
    /// Whether peers were told of the write.
    pub proposed: bool,
    /// When the write began.
    pub begun: Now,
    ticket: Option<Ticket>,
}

impl Op {
    /// Returns a write for an operator that waits under `ticket`.
    pub fn new(now: Now, ticket: Ticket, write: Write, before: Option<Row>) -> Self {
        Self {
            create: write.expect == 0,
            write,
            before,
            proposed: false,
            begun: now,
            ticket: Some(ticket),
        }
    }

    /// Answers the operator, unless that was done before.
    pub fn answer(&mut self, answer: Answer, fx: &mut Effects) {
        if let Some(ticket) = self.ticket.take() {
            fx.push(Effect::Answer { ticket, answer });
        }
    }

    /// The row after the write took effect at `version`.
    pub fn written(&self, version: Rev) -> Row {
        Row {
            key: self.write.key.clone(),
            version,
            value: self.write.value.clone(),
        }
    }
}

/// Waits until peers know of the write.
#[derive(Clone, Debug)]
pub struct Proposing {
    /// What to write.
    pub op: Op,
    /// Peers that have not replied.
    pub waiting: BTreeSet<DaemonId>,
    /// When the write goes on without them.
    pub until: Now,
}

/// Waits for the end of a transaction.
#[derive(Clone, Debug)]
pub struct Sent {
    /// What to write.
    pub op: Op,
    /// Names the transaction.
    pub token: Token,
    /// Mark in the transaction.
    pub mark: Mark,
}

/// The answer of the write's transaction was lost: another on the same mark has to settle it.
#[derive(Clone, Debug)]
pub struct Lost {
    /// What to write.
    pub op: Op,
    /// Mark in the lost transaction.
    pub mark: Mark,
    /// When to try to settle it.
    pub retry: Now,
}

/// Waits for the end of the transaction that settles a lost one.
#[derive(Clone, Debug)]
pub struct Settling {
    /// The lost write.
    pub lost: Lost,
    /// Names the settling transaction.
    pub token: Token,
}

/// Stage of the write under way.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Peers are being told.
    Proposing(Proposing),
    /// The transaction is under way.
    Sent(Sent),
    /// The answer was lost.
    Lost(Lost),
    /// Another transaction is under way to settle it.
    Settling(Settling),
}

impl Stage {
    /// The write.
    pub fn op_mut(&mut self) -> &mut Op {
        match self {
            Self::Proposing(stage) => &mut stage.op,
            Self::Sent(stage) => &mut stage.op,
            Self::Lost(stage) => &mut stage.op,
            Self::Settling(stage) => &mut stage.lost.op,
        }
    }

    /// The transaction that is under way.
    pub fn token(&self) -> Option<Token> {
        match self {
            Self::Sent(stage) => Some(stage.token),
            Self::Settling(stage) => Some(stage.token),
            Self::Proposing(_) | Self::Lost(_) => None,
        }
    }
}
