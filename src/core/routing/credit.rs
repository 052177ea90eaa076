//! Credits for the slots of one endpoint: this daemon's share, plus slots borrowed from other
//! daemons, minus slots lent to them.
//!
//! Each credit is counted at one daemon at a time. A lender counts a loan as lent from the moment
//! it grants the loan until the loan's end plus a margin. The borrower's loan period starts when it
//! sends the request, so it ends before the lender's. An increased share takes effect only after
//! the settle time, by which loans that other daemons made from those slots have ended.

use std::time::Duration;

use crate::core::model::DaemonId;
use crate::core::model::LoanId;
use crate::core::model::Now;

/// Credit occupied by an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Credit {
    /// From this daemon's share.
    Own,
    /// From a loan.
    Loan(LoanId),
}

/// Slots lent to another daemon.
#[derive(Clone, Debug)]
struct LoanToPeer {
    to: DaemonId,
    loan: LoanId,
    slots: u32,
    until: Now,
}

/// Slots borrowed from another daemon.
#[derive(Clone, Debug)]
pub(super) struct LoanFromPeer {
    /// Identifier of the loan.
    pub loan: LoanId,
    /// Lender.
    pub from: DaemonId,
    /// Number of slots.
    pub slots: u32,
    /// End of the loan; no attempt may begin from then on.
    pub until: Now,
    /// Attempts in flight.
    pub outstanding: u32,
    /// Time at which an attempt last began or ended.
    pub last_used_at: Now,
    /// Time of the last renewal request.
    pub renewal_requested_at: Now,
}

/// An unanswered request for a loan.
#[derive(Clone, Debug)]
pub(super) struct LoanRequest {
    /// Identifier of the loan.
    pub loan: LoanId,
    /// Daemon asked for the loan.
    pub from: DaemonId,
    /// Time of the request.
    pub requested_at: Now,
    /// Number of slots requested.
    pub slots: u32,
}

/// Credits of one endpoint at this daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct Credits {
    share: u32,
    pending_share: Option<(u32, Now)>,
    own_in_use: u32,
    lent: Vec<LoanToPeer>,
    /// Loans from other daemons.
    pub borrowed: Vec<LoanFromPeer>,
    /// Loan request that has not been answered.
    pub request: Option<LoanRequest>,
    /// Time before which no other loan is requested.
    pub next_request_at: Now,
}

impl Credits {
    /// Sets the share derived from the membership list. A decrease takes effect at once, an
    /// increase at `effective_at`.
    pub fn set_share(&mut self, now: Now, share: u32, effective_at: Now) {
        if share <= self.share || effective_at <= now {
            self.share = share;
            self.pending_share = None;
        } else if self.pending_share.is_none_or(|(target, _)| target != share) {
            self.pending_share = Some((share, effective_at));
        }
    }

    /// Applies a pending share increase once it is due, and removes ended loans.
    pub fn tick(&mut self, now: Now) {
        if let Some((share, effective_at)) = self.pending_share
            && now >= effective_at
        {
            self.share = share;
            self.pending_share = None;
        }
        self.lent.retain(|lent| lent.until > now);
        self.borrowed
            .retain(|loan| loan.outstanding > 0 || loan.until > now);
    }

    /// Returns the share that is in effect.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Returns the number of slots lent to other daemons.
    pub fn lent(&self, now: Now) -> u32 {
        self.lent
            .iter()
            .filter(|lent| lent.until > now)
            .map(|lent| lent.slots)
            .sum()
    }

    /// Returns the number of borrowed slots whose loans have not ended.
    pub fn borrowed(&self, now: Now) -> u32 {
        self.borrowed
            .iter()
            .filter(|loan| loan.until > now)
            .map(|loan| loan.slots)
            .sum()
    }

    /// Returns the number of attempts in flight.
    pub fn outstanding(&self) -> u32 {
        let borrowed: u32 = self.borrowed.iter().map(|loan| loan.outstanding).sum();
        self.own_in_use + borrowed
    }

    /// Returns the number of slots that this daemon may use, including those in use.
    pub fn capacity(&self, now: Now) -> u32 {
        self.share.saturating_sub(self.lent(now)) + self.borrowed(now)
    }

    /// Returns the number of free credits.
    pub fn available(&self, now: Now) -> u32 {
        let borrowed: u32 = self
            .borrowed
            .iter()
            .filter(|loan| loan.until > now)
            .map(|loan| loan.slots.saturating_sub(loan.outstanding))
            .sum();
        self.available_own(now) + borrowed
    }

    /// Occupies a credit for an attempt: one of the share if any is free, otherwise one of the loan
    /// that ends last. Returns `None` if no credit is free.
    pub fn acquire(&mut self, now: Now) -> Option<Credit> {
        if self.available_own(now) > 0 {
            self.own_in_use += 1;
            return Some(Credit::Own);
        }
        let loan = self
            .borrowed
            .iter_mut()
            .filter(|loan| loan.until > now && loan.outstanding < loan.slots)
            .max_by_key(|loan| loan.until)?;
        loan.outstanding += 1;
        loan.last_used_at = now;
        Some(Credit::Loan(loan.loan))
    }

    /// Frees the credit of an ended attempt.
    pub fn release(&mut self, now: Now, credit: Credit) {
        match credit {
            Credit::Own => self.own_in_use = self.own_in_use.saturating_sub(1),
            Credit::Loan(id) => {
                if let Some(loan) = self.borrowed.iter_mut().find(|loan| loan.loan == id) {
                    loan.outstanding = loan.outstanding.saturating_sub(1);
                    loan.last_used_at = now;
                }
            }
        }
    }

    /// Lends free slots of the share to another daemon, or renews a loan unless the share no longer
    /// covers it. Returns the number of slots lent until `until`.
    pub fn lend(&mut self, now: Now, to: &str, loan: LoanId, slots: u32, until: Now) -> u32 {
        let overdrawn = self.own_in_use + self.lent(now) > self.share;
        let known = self
            .lent
            .iter_mut()
            .find(|lent| lent.until > now && lent.loan == loan && &*lent.to == to);
        if let Some(lent) = known {
            if overdrawn {
                return 0;
            }
            lent.until = until;
            return lent.slots;
        }
        let slots = slots.min(self.available_own(now));
        if slots > 0 {
            self.lent.push(LoanToPeer {
                to: to.into(),
                loan,
                slots,
                until,
            });
        }
        slots
    }

    /// Removes a loan that its borrower returned.
    pub fn end_loan(&mut self, from: &str, loan: LoanId) {
        self.lent
            .retain(|lent| lent.loan != loan || &*lent.to != from);
    }

    /// Adds the loan that was requested, or extends a renewed one. Returns false if neither is
    /// known.
    pub fn handle_grant(&mut self, now: Now, id: LoanId, slots: u32, until: Now) -> bool {
        if let Some(loan) = self.borrowed.iter_mut().find(|loan| loan.loan == id) {
            loan.until = loan.until.max(until);
            loan.slots = loan.slots.min(slots);
            return true;
        }
        let Some(request) = self.request.take_if(|request| request.loan == id) else {
            return false;
        };
        if slots > 0 && until > now {
            self.borrowed.push(LoanFromPeer {
                loan: id,
                from: request.from,
                slots: slots.min(request.slots),
                until,
                outstanding: 0,
                last_used_at: now,
                renewal_requested_at: now,
            });
        }
        true
    }

    /// Returns whether no attempt is in flight and no slot is lent.
    pub fn is_idle(&self, now: Now) -> bool {
        self.outstanding() == 0 && self.lent(now) == 0
    }

    /// Handles a lender that did not answer or had nothing to lend: no loan is requested before
    /// `retry_at`.
    pub fn handle_refusal(&mut self, loan: LoanId, retry_at: Now) {
        if self
            .request
            .take_if(|request| request.loan == loan)
            .is_some()
        {
            self.next_request_at = retry_at;
        }
    }

    /// Drops a loan request that has not been answered for longer than `timeout`.
    pub fn expire_request(&mut self, now: Now, timeout: Duration) {
        self.request
            .take_if(|request| now.saturating_sub(request.requested_at) > timeout);
    }

    fn available_own(&self, now: Now) -> u32 {
        self.share.saturating_sub(self.own_in_use + self.lent(now))
    }
}
