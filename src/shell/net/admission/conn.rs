//! State of one open connection.

use std::cell::Cell;
use std::cell::RefCell;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use super::Tick;
use super::bounds::INCLUDED_BYTES;

/// Order in which connections are closed when a bound is reached: lower ones first. A connection gets a new
/// rank, above all others, when it is opened and with each completed request.
pub(super) type Rank = u64;

/// What a connection's task has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::shell::net) enum Signal {
    /// Close the connection at once.
    Close,
    /// Close the connection when it has no request.
    Retire,
}

/// State of one open connection.
#[derive(Debug, Default)]
pub(super) struct Conn {
    pub rank: Cell<Rank>,
    /// Maximum size of a head on this connection, in bytes.
    pub max_head_bytes: usize,
    /// Requests that have begun and are not yet answered.
    pub requests: Cell<u32>,
    /// Those of them that the daemon works on: received as far as needed, and without an answer.
    pub in_work: Cell<u32>,
    /// Bytes held for heads, bodies and answers.
    pub held: Cell<usize>,
    /// Bytes received of a head that is not complete; part of `held`.
    pub head_bytes: Cell<usize>,
    /// Time at which the first byte of that head was received.
    pub head_since: Cell<Option<Tick>>,
    /// Time at which bytes were last received or sent.
    pub progress_at: Cell<Tick>,
    /// Whether the connection no longer counts.
    pub is_closed: Cell<bool>,
    signal: Cell<Option<Signal>>,
    waker: RefCell<Option<Waker>>,
}

impl Conn {
    /// Returns the state of a connection that is opened now.
    pub fn new(rank: Rank, max_head_bytes: usize, now: Tick) -> Self {
        Self {
            rank: Cell::new(rank),
            max_head_bytes,
            progress_at: Cell::new(now),
            ..Self::default()
        }
    }

    /// Returns whether the connection may be closed: no request on it has been received whole without
    /// being answered.
    pub fn may_be_closed(&self) -> bool {
        self.in_work.get() == 0
    }

    /// Returns the bytes that count beyond those included with each connection.
    pub fn counted(&self) -> usize {
        self.held.get().saturating_sub(INCLUDED_BYTES)
    }

    /// Notifies the connection's task. A signal to close replaces one to retire.
    pub fn send_signal(&self, signal: Signal) {
        self.signal.set(Some(signal));
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Waits for a signal.
    pub fn poll_signal(&self, cx: &mut Context<'_>) -> Poll<Signal> {
        if let Some(signal) = self.signal.take() {
            return Poll::Ready(signal);
        }
        let mut waker = self.waker.borrow_mut();
        match &mut *waker {
            Some(current) => current.clone_from(cx.waker()),
            None => *waker = Some(cx.waker().clone()),
        }
        Poll::Pending
    }
}
