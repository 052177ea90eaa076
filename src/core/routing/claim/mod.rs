//! Claims of request ids: a row of the table for each non-idempotent request that names itself,
//! inserted by a group commit before the request is dispatched.
//!
//! One transaction is under way at a time, and all claims that wait go into the next one. The value
//! of a claim is unique, so a row that carries it proves that the claim took effect, also when the
//! answer to the transaction was lost.

mod batch;
mod value;

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashSet;

use self::batch::Pending;
use self::batch::UnderWay;
use self::value::Values;
use super::options::RoutingOptions;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::event::TxnEnd;
use crate::core::model::Now;
use crate::core::model::ROUTING_TOKEN_BASE;
use crate::core::model::Row;
use crate::core::model::RowKey;
use crate::core::model::Ticket;
use crate::core::model::Token;
use crate::core::model::Txn;
use crate::core::model::Write;

pub(super) use self::batch::Claim;

/// Rows in one transaction.
const MAX_BATCH: usize = 128;

/// Claims whose withdrawal waits or is planned; above it the oldest rows are left to be replaced.
const MAX_KEPT: usize = 50_000;

/// Time between transactions while the table does not answer; claims are refused meanwhile, and
/// while one is under way.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Transactions in which a request takes part before it is given up.
const MAX_FAILURES: u32 = 2;

/// Result of claiming an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Claimed {
    /// The request may be dispatched.
    Done(Claim),
    /// The id was claimed before, and that request may have run.
    Duplicate,
    /// The table does not answer.
    Unavailable,
}

/// All claims of one daemon.
#[derive(Clone, Debug)]
pub(super) struct Claims {
    values: Values,
    waiting: VecDeque<Pending>,
    keys: FxHashSet<RowKey>,
    under_way: Option<(Token, UnderWay)>,
    withdrawn: VecDeque<Claim>,
    kept: VecDeque<(Now, Claim)>,
    inserted_last: bool,
    next_token: Token,
    is_down: bool,
    retry: Now,
}

impl Claims {
    /// Returns an empty set for a daemon.
    pub fn new(me: &str, options: &RoutingOptions) -> Self {
        Self {
            values: Values::new(me, options),
            waiting: VecDeque::new(),
            keys: FxHashSet::default(),
            under_way: None,
            withdrawn: VecDeque::new(),
            kept: VecDeque::new(),
            inserted_last: false,
            next_token: ROUTING_TOKEN_BASE,
            is_down: false,
            retry: Now::ZERO,
        }
    }

    /// Begins to claim `key` for a request; `Some` when the result is known at once.
    pub fn begin(
        &mut self,
        now: Now,
        ticket: Ticket,
        key: RowKey,
        patience: Duration,
        fx: &mut Effects,
    ) -> Option<Claimed> {
        if self.is_down && (now < self.retry || self.under_way.is_some()) {
            return Some(Claimed::Unavailable);
        }
        if !self.keys.insert(key.clone()) {
            return Some(Claimed::Duplicate);
        }
        let value = self.values.next(now, patience);
        let write = Write {
            key,
            expect: 0,
            value: Some(value),
        };
        self.waiting.push_back(Pending {
            ticket: Some(ticket),
            write,
            failures: 0,
            may_exist: false,
        });
        self.send(now, fx);
        None
    }

    /// The request ended before its claim was known. The row is withdrawn if it turns up.
    pub fn abandon(&mut self, ticket: Ticket) {
        if let Some((_, UnderWay::Claims(batch))) = &mut self.under_way
            && let Some(pending) = batch.iter_mut().find(|p| p.ticket == Some(ticket))
        {
            pending.ticket = None;
            return;
        }
        let Some(at) = self.waiting.iter().position(|p| p.ticket == Some(ticket)) else {
            return;
        };
        if self.waiting[at].may_exist {
            self.waiting[at].ticket = None;
        } else if let Some(pending) = self.waiting.remove(at) {
            self.keys.remove(&pending.write.key);
        }
    }

    /// The claimed request did not run and will not: its id may be used again.
    pub fn withdraw(&mut self, claim: Claim) {
        self.withdrawn.push_back(claim);
    }

    /// Keeps the claim of a request that was dispatched until nobody may repeat it any more.
    pub fn keep(&mut self, now: Now, claim: Claim) {
        if self.kept.len() == MAX_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back((self.values.expiry(now), claim));
    }

    /// A transaction ended; `None` when it is not one of these.
    pub fn ended(
        &mut self,
        now: Now,
        token: Token,
        end: &TxnEnd,
    ) -> Option<Vec<(Ticket, Claimed)>> {
        let (_, under_way) = self.under_way.take_if(|(own, _)| *own == token)?;
        self.is_down = matches!(end, TxnEnd::NotSent | TxnEnd::Unknown);
        if self.is_down {
            self.retry = now + RETRY_DELAY;
        }
        Some(match under_way {
            UnderWay::Claims(batch) => self.claims_ended(now, batch, end),
            UnderWay::Withdrawals(batch) => {
                self.withdrawals_ended(batch, end);
                Vec::new()
            }
        })
    }

    /// Withdraws expired claims and sends what waits.
    pub fn tick(&mut self, now: Now, fx: &mut Effects) {
        let expired = self.kept.partition_point(|(expires, _)| *expires <= now);
        self.withdrawn
            .extend(self.kept.drain(..expired).map(|(_, claim)| claim));
        self.send(now, fx);
    }

    /// Sends the next transaction unless one is under way.
    pub fn send(&mut self, now: Now, fx: &mut Effects) {
        if self.under_way.is_some() {
            return;
        }
        let settling = self.waiting.iter().any(|p| p.ticket.is_some());
        if self.is_down && now < self.retry && !settling {
            return;
        }
        let backlog = self.withdrawn.len() >= MAX_BATCH && self.inserted_last;
        self.inserted_last = !backlog && !self.waiting.is_empty();
        let under_way = if self.inserted_last {
            let count = self.waiting.len().min(MAX_BATCH);
            UnderWay::Claims(self.waiting.drain(..count).collect())
        } else {
            let count = self.withdrawn.len().min(MAX_BATCH);
            UnderWay::Withdrawals(self.withdrawn.drain(..count).collect())
        };
        let writes = under_way.writes();
        if writes.is_empty() {
            return;
        }
        let token = self.next_token;
        self.next_token += 1;
        self.under_way = Some((token, under_way));
        let txn = Txn { writes };
        fx.push(Effect::Commit { token, txn });
    }

    fn claims_ended(
        &mut self,
        now: Now,
        batch: Vec<Pending>,
        end: &TxnEnd,
    ) -> Vec<(Ticket, Claimed)> {
        let mut results = Vec::new();
        for (i, pending) in batch.into_iter().enumerate() {
            let row = match end {
                TxnEnd::Committed(rows) | TxnEnd::Conflict(rows) => rows.get(i),
                TxnEnd::NotSent | TxnEnd::Unknown => None,
            };
            let unknown = matches!(end, TxnEnd::Unknown);
            let result = match row {
                Some(row) => self.judge(now, pending, row),
                None => self.failed(pending, unknown),
            };
            results.extend(result);
        }
        results
    }

    /// Reads from its row what became of a claim.
    fn judge(&mut self, now: Now, mut pending: Pending, row: &Row) -> Option<(Ticket, Claimed)> {
        if row.value == pending.write.value {
            let claim = Claim {
                key: row.key.clone(),
                version: row.version,
            };
            self.keys.remove(&row.key);
            let Some(ticket) = pending.ticket else {
                self.withdraw(claim);
                return None;
            };
            return Some((ticket, Claimed::Done(claim)));
        }
        if self.values.is_taken(now, row) || pending.ticket.is_none() && !pending.may_exist {
            self.keys.remove(&pending.write.key);
            return pending.ticket.map(|ticket| (ticket, Claimed::Duplicate));
        }
        pending.write.expect = row.version;
        self.waiting.push_back(pending);
        None
    }

    /// No row is known: the claim is tried again with the same value, a few times.
    fn failed(&mut self, mut pending: Pending, unknown: bool) -> Option<(Ticket, Claimed)> {
        pending.failures += 1;
        pending.may_exist |= unknown;
        let given_up = pending.failures >= MAX_FAILURES || !unknown;
        let result = pending
            .ticket
            .take_if(|_| given_up)
            .map(|ticket| (ticket, Claimed::Unavailable));
        let settles = pending.may_exist && self.waiting.len() < MAX_KEPT;
        if pending.ticket.is_some() || settles {
            self.waiting.push_front(pending);
        } else {
            self.keys.remove(&pending.write.key);
        }
        result
    }

    fn withdrawals_ended(&mut self, batch: Vec<Claim>, end: &TxnEnd) {
        match end {
            TxnEnd::Committed(_) => {}
            TxnEnd::Conflict(rows) => {
                let current = batch
                    .into_iter()
                    .zip(rows)
                    .filter(|(claim, row)| claim.version == row.version && row.value.is_some())
                    .map(|(claim, _)| claim);
                self.withdrawn.extend(current);
            }
            TxnEnd::NotSent | TxnEnd::Unknown => self.withdrawn.extend(batch),
        }
    }
}
