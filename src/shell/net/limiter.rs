//! Limits the number of concurrent exchanges with each server; waiters are served in FIFO order.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use futures_channel::oneshot;
use rustc_hash::FxHashMap;

/// Concurrency limiter with a separate limit for each server.
pub struct PerServerLimiter {
    limit: usize,
    servers: Rc<RefCell<FxHashMap<Box<str>, Queue>>>,
}

/// Exchanges in flight to one server, and the waiters for a permit.
#[derive(Default)]
struct Queue {
    in_flight: usize,
    waiters: VecDeque<oneshot::Sender<()>>,
}

/// Permit for one exchange with a server; released when dropped.
pub struct ExchangePermit {
    server: Box<str>,
    servers: Rc<RefCell<FxHashMap<Box<str>, Queue>>>,
}

impl PerServerLimiter {
    /// Returns a limiter that allows `limit` concurrent exchanges with each server.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            servers: Rc::default(),
        }
    }

    /// Waits for a permit for `server`.
    pub async fn acquire(&self, server: &str) -> ExchangePermit {
        let waiter = self.enqueue(server);
        if let Some(waiter) = waiter {
            let _ = waiter.await;
        }
        ExchangePermit {
            server: server.into(),
            servers: Rc::clone(&self.servers),
        }
    }

    /// Takes a permit, or joins the queue if none is free.
    fn enqueue(&self, server: &str) -> Option<oneshot::Receiver<()>> {
        let mut servers = self.servers.borrow_mut();
        let queue = servers.entry(server.into()).or_default();
        if queue.in_flight < self.limit {
            queue.in_flight += 1;
            return None;
        }
        let (tx, rx) = oneshot::channel();
        queue.waiters.push_back(tx);
        Some(rx)
    }
}

impl Drop for ExchangePermit {
    fn drop(&mut self) {
        let mut servers = self.servers.borrow_mut();
        let Some(queue) = servers.get_mut(&self.server) else {
            return;
        };
        while let Some(next) = queue.waiters.pop_front() {
            if next.send(()).is_ok() {
                return;
            }
        }
        queue.in_flight -= 1;
        if queue.in_flight == 0 {
            servers.remove(&self.server);
        }
    }
}
