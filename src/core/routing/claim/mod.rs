//! Claims of request ids: for each non-idempotent request with an id, a row is inserted into the
//! table by group commit before the request is dispatched.
//!
//! One transaction is in flight at a time; claims that arrive meanwhile go into the next one. The
//! value of each claim is unique, so a row with that value proves that the claim took effect, even
//! if the answer to the transaction was lost.

mod batch;
mod value;

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashSet;

use self::batch::ClaimTxn;
use self::batch::PendingClaim;
use self::value::ClaimIssuer;
use super::options::RoutingOptions;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::event::TxnOutcome;
use crate::core::model::Now;
use crate::core::model::ROUTING_TOKEN_BASE;
use crate::core::model::Row;
use crate::core::model::RowKey;
use crate::core::model::Ticket;
use crate::core::model::Token;
use crate::core::model::Txn;
use crate::core::model::Write;

pub(super) use self::batch::Claim;

/// Maximum number of rows per transaction.
const MAX_BATCH: usize = 128;

/// Maximum number of retained claims. Beyond it the oldest are forgotten, so their rows stay in the
/// table until a later claim of the same id replaces them. Claims of ended requests whose insertion
/// is in doubt are not retried either while this many claims are waiting.
const MAX_RETAINED: usize = 50_000;

/// Delay between transactions while the table does not answer. New claims fail during the delay and
/// while a transaction is in flight.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Number of failed transactions after which a request fails.
const MAX_FAILURES: u32 = 2;

/// Result of claiming an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ClaimResult {
    /// The id was claimed; the request may be dispatched.
    Claimed(Claim),
    /// Another request has claimed the id and may have run.
    Duplicate,
    /// The table does not answer.
    Unavailable,
}

/// Claims made by one daemon.
#[derive(Clone, Debug)]
pub(super) struct Claims {
    issuer: ClaimIssuer,
    waiting: VecDeque<PendingClaim>,
    /// Keys of the claims that are waiting or in flight.
    keys_in_use: FxHashSet<RowKey>,
    in_flight: Option<(Token, ClaimTxn)>,
    /// Claims whose rows are to be withdrawn.
    withdrawals: VecDeque<Claim>,
    /// Claims of requests that may have run, with the time at which they expire.
    retained: VecDeque<(Now, Claim)>,
    last_was_insertion: bool,
    next_token: Token,
    is_table_down: bool,
    retry_at: Now,
}

impl Claims {
    /// Returns an empty set of claims for the daemon `me`.
    pub fn new(me: &str, options: &RoutingOptions) -> Self {
        Self {
            issuer: ClaimIssuer::new(me, options),
            waiting: VecDeque::new(),
            keys_in_use: FxHashSet::default(),
            in_flight: None,
            withdrawals: VecDeque::new(),
            retained: VecDeque::new(),
            last_was_insertion: false,
            next_token: ROUTING_TOKEN_BASE,
            is_table_down: false,
            retry_at: Now::ZERO,
        }
    }

    /// Begins to claim `key` for a request; returns the result if it is known at once.
    pub fn begin(
        &mut self,
        now: Now,
        ticket: Ticket,
        key: RowKey,
        timeout: Duration,
        fx: &mut Effects,
    ) -> Option<ClaimResult> {
        if self.is_table_down && (now < self.retry_at || self.in_flight.is_some()) {
            return Some(ClaimResult::Unavailable);
        }
        if !self.keys_in_use.insert(key.clone()) {
            return Some(ClaimResult::Duplicate);
        }
        let value = self.issuer.create(now, timeout);
        let write = Write {
            key,
            expect: 0,
            value: Some(value),
        };
        self.waiting.push_back(PendingClaim {
            ticket: Some(ticket),
            write,
            failures: 0,
            may_exist: false,
        });
        self.send(now, fx);
        None
    }

    /// Abandons the claim of a request that ended before the claim's result was known. If the row
    /// was inserted after all, it is withdrawn.
    pub fn abandon(&mut self, ticket: Ticket) {
        if let Some((_, ClaimTxn::Insert(batch))) = &mut self.in_flight
            && let Some(pending) = batch.iter_mut().find(|p| p.ticket == Some(ticket))
        {
            pending.ticket = None;
            return;
        }
        let Some(index) = self.waiting.iter().position(|p| p.ticket == Some(ticket)) else {
            return;
        };
        if self.waiting[index].may_exist {
            self.waiting[index].ticket = None;
        } else if let Some(pending) = self.waiting.remove(index) {
            self.keys_in_use.remove(&pending.write.key);
        }
    }

    /// Withdraws the claim of a request that did not run and never will, so that its id may be
    /// claimed again.
    pub fn withdraw(&mut self, claim: Claim) {
        self.withdrawals.push_back(claim);
    }

    /// Retains the claim of a request that may have run until the retention time has passed.
    pub fn retain(&mut self, now: Now, claim: Claim) {
        if self.retained.len() == MAX_RETAINED {
            self.retained.pop_front();
        }
        self.retained
            .push_back((self.issuer.expiry_of_retained(now), claim));
    }

    /// Handles the end of a transaction and returns the results of the claims in it; `None` if the
    /// transaction was not sent by this set of claims.
    pub fn handle_txn_outcome(
        &mut self,
        now: Now,
        token: Token,
        outcome: &TxnOutcome,
    ) -> Option<Vec<(Ticket, ClaimResult)>> {
        let (_, in_flight) = self.in_flight.take_if(|(own, _)| *own == token)?;
        self.is_table_down = matches!(outcome, TxnOutcome::NotSent | TxnOutcome::Unknown);
        if self.is_table_down {
            self.retry_at = now + RETRY_DELAY;
        }
        Some(match in_flight {
            ClaimTxn::Insert(batch) => self.handle_inserts_end(now, batch, outcome),
            ClaimTxn::Withdraw(batch) => {
                self.handle_withdrawals_end(batch, outcome);
                Vec::new()
            }
        })
    }

    /// Withdraws expired claims and sends the next transaction if one is due.
    pub fn tick(&mut self, now: Now, fx: &mut Effects) {
        let expired = self
            .retained
            .partition_point(|(expires, _)| *expires <= now);
        self.withdrawals
            .extend(self.retained.drain(..expired).map(|(_, claim)| claim));
        self.send(now, fx);
    }

    /// Sends the next transaction unless one is in flight. Insertions go first, but a full batch of
    /// withdrawals is sent after each transaction of insertions.
    pub fn send(&mut self, now: Now, fx: &mut Effects) {
        if self.in_flight.is_some() {
            return;
        }
        let has_waiting_request = self.waiting.iter().any(|p| p.ticket.is_some());
        if self.is_table_down && now < self.retry_at && !has_waiting_request {
            return;
        }
        let withdraw_first = self.withdrawals.len() >= MAX_BATCH && self.last_was_insertion;
        self.last_was_insertion = !withdraw_first && !self.waiting.is_empty();
        let in_flight = if self.last_was_insertion {
            let count = self.waiting.len().min(MAX_BATCH);
            ClaimTxn::Insert(self.waiting.drain(..count).collect())
        } else {
            let count = self.withdrawals.len().min(MAX_BATCH);
            ClaimTxn::Withdraw(self.withdrawals.drain(..count).collect())
        };
        let writes = in_flight.writes();
        if writes.is_empty() {
            return;
        }
        let token = self.next_token;
        self.next_token += 1;
        self.in_flight = Some((token, in_flight));
        let txn = Txn { writes };
        fx.push(Effect::Commit { token, txn });
    }

    fn handle_inserts_end(
        &mut self,
        now: Now,
        batch: Vec<PendingClaim>,
        outcome: &TxnOutcome,
    ) -> Vec<(Ticket, ClaimResult)> {
        let mut results = Vec::new();
        for (i, pending) in batch.into_iter().enumerate() {
            let row = match outcome {
                TxnOutcome::Committed(rows) | TxnOutcome::Conflict(rows) => rows.get(i),
                TxnOutcome::NotSent | TxnOutcome::Unknown => None,
            };
            let unknown = matches!(outcome, TxnOutcome::Unknown);
            let result = match row {
                Some(row) => self.resolve(now, pending, row),
                None => self.handle_failure(pending, unknown),
            };
            results.extend(result);
        }
        results
    }

    /// Determines the result of a claim from its row. If the row holds an expired claim or none,
    /// the insertion is retried against the row's current version.
    fn resolve(
        &mut self,
        now: Now,
        mut pending: PendingClaim,
        row: &Row,
    ) -> Option<(Ticket, ClaimResult)> {
        if row.value == pending.write.value {
            let claim = Claim {
                key: row.key.clone(),
                version: row.version,
            };
            self.keys_in_use.remove(&row.key);
            let Some(ticket) = pending.ticket else {
                self.withdraw(claim);
                return None;
            };
            return Some((ticket, ClaimResult::Claimed(claim)));
        }
        if self.issuer.holds_valid_claim(now, row) || pending.ticket.is_none() && !pending.may_exist
        {
            self.keys_in_use.remove(&pending.write.key);
            return pending
                .ticket
                .map(|ticket| (ticket, ClaimResult::Duplicate));
        }
        pending.write.expect = row.version;
        self.waiting.push_back(pending);
        None
    }

    /// Handles a transaction after which the claim's row is unknown. The request waits for another
    /// transaction with the same value only if this one may have taken effect and is below the
    /// limit of [`MAX_FAILURES`]. A row that may exist is retried even after that, so that it can
    /// be withdrawn.
    fn handle_failure(
        &mut self,
        mut pending: PendingClaim,
        unknown: bool,
    ) -> Option<(Ticket, ClaimResult)> {
        pending.failures += 1;
        pending.may_exist |= unknown;
        let request_fails = pending.failures >= MAX_FAILURES || !unknown;
        let result = pending
            .ticket
            .take_if(|_| request_fails)
            .map(|ticket| (ticket, ClaimResult::Unavailable));
        let may_retry = pending.may_exist && self.waiting.len() < MAX_RETAINED;
        if pending.ticket.is_some() || may_retry {
            self.waiting.push_front(pending);
        } else {
            self.keys_in_use.remove(&pending.write.key);
        }
        result
    }

    fn handle_withdrawals_end(&mut self, batch: Vec<Claim>, outcome: &TxnOutcome) {
        match outcome {
            TxnOutcome::Committed(_) => {}
            TxnOutcome::Conflict(rows) => {
                let current = batch
                    .into_iter()
                    .zip(rows)
                    .filter(|(claim, row)| claim.version == row.version && row.value.is_some())
                    .map(|(claim, _)| claim);
                self.withdrawals.extend(current);
            }
            TxnOutcome::NotSent | TxnOutcome::Unknown => self.withdrawals.extend(batch),
        }
    }
}
