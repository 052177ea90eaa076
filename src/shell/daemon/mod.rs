//! The running daemon: feeds events to the reducer and carries its effects out.

mod effects;
mod run;
mod waiting;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;

use crate::core::Event;
use crate::core::State;
use crate::core::event::Call;
use crate::core::model::DaemonId;
use crate::core::model::Ticket;
use crate::core::step;
use crate::core::timeline::Entry;
use crate::core::timeline::HybridClock;
use crate::core::timeline::Ring;
use crate::shell::clock::Clock;
use crate::shell::endpoint::EndpointClient;
use crate::shell::net::Stopper;
use crate::shell::peer::PeerClient;
use crate::shell::platform::PlatformClient;
use crate::shell::worker::WorkerClient;

pub use run::Error;
pub use run::Result;
pub use run::run;
pub use waiting::Reply;
use waiting::Waiting;

/// Events kept for the timeline.
const TIMELINE_CAPACITY: usize = 16_384;

/// One daemon, on one thread.
pub struct Daemon {
    me: DaemonId,
    clock: Clock,
    state: RefCell<State>,
    stamps: RefCell<HybridClock>,
    ring: RefCell<Ring>,
    platform: PlatformClient,
    workers: WorkerClient,
    endpoints: EndpointClient,
    peers: PeerClient,
    waiting: RefCell<Waiting>,
    tickets: Cell<Ticket>,
    drained: Stopper,
}

impl Daemon {
    /// Applies an event and carries its effects out.
    pub fn feed(self: &Rc<Self>, event: Event) {
        let effects = step(&mut self.state.borrow_mut(), self.clock.now(), event);
        for effect in effects {
            self.perform(effect);
        }
    }

    /// Asks the reducer and waits for its answer. When the future is dropped before, the reducer
    /// is told that the caller went away.
    pub async fn call(self: &Rc<Self>, call: Call) -> Option<Reply> {
        let ticket = self.ticket();
        let rx = self.waiting.borrow_mut().call(ticket);
        self.wait(ticket, call, rx).await
    }

    /// Like [`Daemon::call`] for a request whose head and body are kept for its attempts.
    pub async fn request(
        self: &Rc<Self>,
        call: Call,
        head: http::request::Parts,
        body: bytes::Bytes,
    ) -> Option<Reply> {
        let ticket = self.ticket();
        let rx = self.waiting.borrow_mut().request(ticket, head, body);
        self.wait(ticket, call, rx).await
    }

    /// The timeline's events stamped above `after`, oldest first.
    #[must_use]
    pub fn timeline(&self, after: u64) -> Vec<Entry> {
        self.ring.borrow().after(after).cloned().collect()
    }

    async fn wait(
        self: &Rc<Self>,
        ticket: Ticket,
        call: Call,
        rx: oneshot::Receiver<Reply>,
    ) -> Option<Reply> {
        let guard = Hangup {
            daemon: Rc::clone(self),
            ticket,
        };
        self.feed(Event::Call { ticket, call });
        let reply = rx.await.ok();
        drop(guard);
        reply
    }

    fn ticket(&self) -> Ticket {
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        ticket
    }

    fn stamp(&self) -> u64 {
        self.stamps.borrow_mut().stamp(Clock::unix())
    }
}

/// Tells the reducer that a caller went away, unless it was answered.
struct Hangup {
    daemon: Rc<Daemon>,
    ticket: Ticket,
}

impl Drop for Hangup {
    fn drop(&mut self) {
        let forgotten = self.daemon.waiting.borrow_mut().forget(self.ticket);
        if forgotten {
            self.daemon.feed(Event::CallerDisconnected {
                ticket: self.ticket,
            });
        }
    }
}
