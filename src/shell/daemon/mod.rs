//! The running daemon: applies events to the reducer and executes its effects.

mod effects;
mod pending;
mod run;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;

use self::pending::PendingReplies;
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
use crate::shell::net::StopSender;
use crate::shell::peer::PeerClient;
use crate::shell::platform::PlatformClient;
use crate::shell::worker::WorkerClient;

pub use pending::Reply;
pub use run::Error;
pub use run::Result;
pub use run::run;

/// Number of events that the timeline retains.
const TIMELINE_CAPACITY: usize = 16_384;

/// One daemon; single-threaded.
pub struct Daemon {
    id: DaemonId,
    clock: Clock,
    state: RefCell<State>,
    hybrid_clock: RefCell<HybridClock>,
    timeline: RefCell<Ring>,
    platform: PlatformClient,
    workers: WorkerClient,
    endpoints: EndpointClient,
    peers: PeerClient,
    pending: RefCell<PendingReplies>,
    last_ticket: Cell<Ticket>,
    drained_tx: StopSender,
}

impl Daemon {
    /// Applies an event to the reducer and executes the resulting effects.
    pub fn apply(self: &Rc<Self>, event: Event) {
        let effects = step(&mut self.state.borrow_mut(), self.clock.now(), event);
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Sends a call to the reducer and waits for the reply. If the future is dropped before the
    /// reply, the reducer is notified that the caller disconnected.
    pub async fn call(self: &Rc<Self>, call: Call) -> Option<Reply> {
        let ticket = self.next_ticket();
        let rx = self.pending.borrow_mut().add_call(ticket);
        self.wait_for_reply(ticket, call, rx).await
    }

    /// Like [`Daemon::call`], for a service request whose head and body are kept so that it can be
    /// sent to endpoints.
    pub async fn request(
        self: &Rc<Self>,
        call: Call,
        head: http::request::Parts,
        body: bytes::Bytes,
    ) -> Option<Reply> {
        let ticket = self.next_ticket();
        let rx = self.pending.borrow_mut().add_request(ticket, head, body);
        self.wait_for_reply(ticket, call, rx).await
    }

    /// Returns the timeline's events with a stamp greater than `after`, oldest first.
    #[must_use]
    pub fn timeline(&self, after: u64) -> Vec<Entry> {
        self.timeline.borrow().after(after).cloned().collect()
    }

    async fn wait_for_reply(
        self: &Rc<Self>,
        ticket: Ticket,
        call: Call,
        rx: oneshot::Receiver<Reply>,
    ) -> Option<Reply> {
        let guard = DisconnectGuard {
            daemon: Rc::clone(self),
            ticket,
        };
        self.apply(Event::Call { ticket, call });
        let reply = rx.await.ok();
        drop(guard);
        reply
    }

    fn next_ticket(&self) -> Ticket {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        ticket
    }

    fn next_stamp(&self) -> u64 {
        self.hybrid_clock.borrow_mut().stamp(Clock::unix_time())
    }
}

/// Notifies the reducer on drop that the caller disconnected, unless it has been answered.
struct DisconnectGuard {
    daemon: Rc<Daemon>,
    ticket: Ticket,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        let unanswered = self.daemon.pending.borrow_mut().remove(self.ticket);
        if unanswered {
            self.daemon.apply(Event::CallerDisconnected {
                ticket: self.ticket,
            });
        }
    }
}
