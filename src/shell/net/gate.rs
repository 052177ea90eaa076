//! Bounds how much is under way to each peer at a time; the rest waits in order.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use futures_channel::oneshot;
use rustc_hash::FxHashMap;

/// Gate before each peer.
pub struct Gate {
    most: usize,
    peers: Rc<RefCell<FxHashMap<Box<str>, Queue>>>,
}

/// What is under way to a peer, and what waits.
#[derive(Default)]
struct Queue {
    under_way: usize,
    waiting: VecDeque<oneshot::Sender<()>>,
}

/// Permission to use a peer; given back when dropped.
pub struct Pass {
    peer: Box<str>,
    peers: Rc<RefCell<FxHashMap<Box<str>, Queue>>>,
}

impl Gate {
    /// A gate that lets `most` through to each peer at a time.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most,
            peers: Rc::default(),
        }
    }

    /// Waits for its turn.
    pub async fn enter(&self, peer: &str) -> Pass {
        let turn = self.queue(peer);
        if let Some(turn) = turn {
            let _ = turn.await;
        }
        Pass {
            peer: peer.into(),
            peers: Rc::clone(&self.peers),
        }
    }

    fn queue(&self, peer: &str) -> Option<oneshot::Receiver<()>> {
        let mut peers = self.peers.borrow_mut();
        let queue = peers.entry(peer.into()).or_default();
        if queue.under_way < self.most {
            queue.under_way += 1;
            return None;
        }
        let (tx, rx) = oneshot::channel();
        queue.waiting.push_back(tx);
        Some(rx)
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let mut peers = self.peers.borrow_mut();
        let Some(queue) = peers.get_mut(&self.peer) else {
            return;
        };
        while let Some(next) = queue.waiting.pop_front() {
            if next.send(()).is_ok() {
                return;
            }
        }
        queue.under_way -= 1;
        if queue.under_way == 0 {
            peers.remove(&self.peer);
        }
    }
}
