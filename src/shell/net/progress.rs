//! How far an exchange has come, and until when it may run.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use super::CallLabel;
use super::Error;
use super::deadline::wait_until;

/// Step that an exchange has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// A connection is being opened.
    Connect,
    /// The request may have been sent.
    Sent,
    /// The head of the response was received at this time.
    Body(Instant),
}

/// Time limit of an exchange.
#[derive(Clone, Copy, Debug)]
pub(super) enum Limit {
    /// Maximum time of the whole exchange.
    Total(Duration),
    /// Limits of an exchange that continues while its response arrives.
    Progress {
        /// Maximum time until the head of the response, and then without a further part of its
        /// body.
        timeout: Duration,
        /// Maximum time from the head of the response to its end.
        max_transfer: Duration,
    },
}

/// Progress of an exchange.
pub(super) struct Progress {
    started_at: Instant,
    /// Time at which the last part of the response arrived; `started_at` before the first.
    last_at: Cell<Instant>,
    step: Cell<Step>,
    label: Option<CallLabel>,
}

impl Progress {
    /// Returns the progress of an exchange that starts now.
    pub fn new(label: Option<CallLabel>) -> Self {
        let now = Instant::now();
        Self {
            started_at: now,
            last_at: Cell::new(now),
            step: Cell::new(Step::Connect),
            label,
        }
    }

    /// Returns the time at which the exchange started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Records that a connection is being opened.
    pub fn set_connecting(&self) {
        self.step.set(Step::Connect);
    }

    /// Records that the request may have been sent.
    pub fn set_sent(&self) {
        self.step.set(Step::Sent);
    }

    /// Records the head of the response.
    pub fn add_head(&self) {
        let now = Instant::now();
        self.last_at.set(now);
        self.step.set(Step::Body(now));
    }

    /// Records and counts received bytes of the body.
    pub fn add_body(&self, bytes: usize) {
        self.last_at.set(Instant::now());
        if let Some(label) = self.label {
            label.count_received(bytes);
        }
    }

    /// Runs the exchange up to its deadline, which each part of the response may move; returns
    /// `None` if it did not complete in time. Delays of this thread do not count.
    pub async fn run<F: Future>(&self, limit: Limit, exchange: F) -> Option<F::Output> {
        let mut exchange = pin!(exchange);
        loop {
            let deadline = self.deadline(limit);
            if let Some(output) = wait_until(deadline, exchange.as_mut()).await {
                return Some(output);
            }
            if self.deadline(limit) <= Instant::now() {
                return None;
            }
        }
    }

    /// Returns the error of an exchange that did not complete in time, and counts it if that cut
    /// its response off.
    pub fn timeout_error(&self, addr: SocketAddr, limit: Limit) -> Error {
        let step = self.step.get();
        if let (Step::Body(_), Some(label)) = (step, self.label) {
            label.count_timed_out();
        }
        match (step, limit) {
            (Step::Connect, _) => Error::ConnectTimeout(addr),
            (Step::Sent, _) | (Step::Body(_), Limit::Total(_)) => Error::ResponseTimeout(addr),
            (Step::Body(_), Limit::Progress { timeout, .. }) => {
                if self.last_at.get().elapsed() < timeout {
                    Error::TooSlow(addr)
                } else {
                    Error::Stalled(addr)
                }
            }
        }
    }

    fn deadline(&self, limit: Limit) -> Instant {
        match (limit, self.step.get()) {
            (Limit::Total(timeout), _) => self.started_at + timeout,
            (Limit::Progress { timeout, .. }, Step::Connect | Step::Sent) => {
                self.started_at + timeout
            }
            (
                Limit::Progress {
                    timeout,
                    max_transfer,
                },
                Step::Body(head_at),
            ) => (self.last_at.get() + timeout).min(head_at + max_transfer),
        }
    }
}
