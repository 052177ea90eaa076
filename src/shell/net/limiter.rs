//! Limits the number of concurrent exchanges with each peer; waiters are served in FIFO order.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use futures_channel::oneshot;
use rustc_hash::FxHashMap;

/// Concurrency limiter with a separate limit for each peer.
pub struct PeerLimiter {
    limit: usize,
    peers: Rc<RefCell<FxHashMap<Box<str>, Queue>>>,
}

/// Exchanges in flight to one peer, and the waiters for a permit.
#[derive(Default)]
struct Queue {
    in_flight: usize,
    waiters: VecDeque<oneshot::Sender<()>>,
}

/// Permit for one exchange with a peer; released when dropped.
pub struct PeerPermit {
    peer: Box<str>,
    peers: Rc<RefCell<FxHashMap<Box<str>, Queue>>>,
}

impl PeerLimiter {
    /// Returns a limiter that allows `limit` concurrent exchanges with each peer.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            peers: Rc::default(),
        }
    }

    /// Waits for a permit for `peer`.
    pub async fn acquire(&self, peer: &str) -> PeerPermit {
        let waiter = self.enqueue(peer);
        if let Some(waiter) = waiter {
            let _ = waiter.await;
        }
        PeerPermit {
            peer: peer.into(),
            peers: Rc::clone(&self.peers),
        }
    }

    /// Takes a permit, or joins the queue if none is free.
    fn enqueue(&self, peer: &str) -> Option<oneshot::Receiver<()>> {
        let mut peers = self.peers.borrow_mut();
        let queue = peers.entry(peer.into()).or_default();
        if queue.in_flight < self.limit {
            queue.in_flight += 1;
            return None;
        }
        let (tx, rx) = oneshot::channel();
        queue.waiters.push_back(tx);
        Some(rx)
    }
}

impl Drop for PeerPermit {
    fn drop(&mut self) {
        let mut peers = self.peers.borrow_mut();
        let Some(queue) = peers.get_mut(&self.peer) else {
            return;
        };
        while let Some(next) = queue.waiters.pop_front() {
            if next.send(()).is_ok() {
                return;
            }
        }
        queue.in_flight -= 1;
        if queue.in_flight == 0 {
            peers.remove(&self.peer);
        }
    }
}
