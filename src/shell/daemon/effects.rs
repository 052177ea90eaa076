//! Executes the reducer's effects. Each asynchronous effect runs as a task, whose result is applied
//! to the reducer as an event.

use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use spdlog::info;

use super::Daemon;
use crate::core::Effect;
use crate::core::Event;
use crate::core::event::AttemptOutcome;
use crate::core::event::Feed;
use crate::core::event::PeerMessage;
use crate::core::event::PlatformEvent;
use crate::core::model::DaemonId;
use crate::core::model::EndpointId;
use crate::core::model::Rev;
use crate::core::model::Ticket;
use crate::core::model::Token;
use crate::core::model::Txn;
use crate::core::model::VmId;
use crate::core::model::VmSync;
use crate::core::timeline::Entry;
use crate::core::timeline::TimelineEvent;
use crate::shell::peer::PeerRequest;

impl Daemon {
    /// Executes one effect.
    pub(super) fn execute(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Answer { ticket, answer } => self.pending.borrow_mut().answer(ticket, answer),
            Effect::Dispatch {
                ticket,
                attempt,
                endpoint,
                timeout,
                max_idle,
            } => {
                self.dispatch(ticket, attempt, endpoint, timeout, max_idle as usize);
            }
            Effect::Poll { feed, after } => self.poll(feed, after),
            Effect::PollMembers => self.read_members(),
            Effect::Commit { token, txn } => self.commit(token, txn),
            Effect::SyncVm { vm, address, sync } => self.sync_vm(vm, address, sync),
            Effect::Peer {
                to,
                address,
                message,
            } => self.call_peer(to, address, message),
            Effect::PeerReply { ticket, message } => {
                self.pending.borrow_mut().reply_to_peer(ticket, message);
            }
            Effect::Timeline(event) => self.record_event(event),
            Effect::Drained => self.drained_tx.send(),
        }
    }

    /// Applies a peer's message and sends the reducer's reply back.
    pub(super) fn handle_peer_request(self: &Rc<Self>, req: PeerRequest) {
        self.hybrid_clock.borrow_mut().observe(req.stamp);
        let ticket = self.next_ticket();
        let rx = self.pending.borrow_mut().add_peer_message(ticket);
        self.apply(Event::Peer {
            from: req.from,
            ticket,
            message: req.message,
        });
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            if let Ok(message) = rx.await {
                let _ = req.reply.send((message, this.next_stamp()));
            }
        })
        .detach();
    }

    fn dispatch(
        self: &Rc<Self>,
        ticket: Ticket,
        attempt: u32,
        endpoint: EndpointId,
        timeout: Duration,
        max_idle: usize,
    ) {
        let req = self.pending.borrow().endpoint_request(ticket);
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            let outcome = match req {
                Some(req) => {
                    let (outcome, response) = this
                        .endpoints
                        .attempt(&endpoint, req, timeout, max_idle)
                        .await;
                    if let Some(response) = response {
                        this.pending
                            .borrow_mut()
                            .store_response(ticket, attempt, response);
                    }
                    outcome
                }
                None => AttemptOutcome::NotSent,
            };
            this.apply(Event::Attempt {
                ticket,
                attempt,
                outcome,
            });
        })
        .detach();
    }

    fn poll(self: &Rc<Self>, feed: Feed, after: Rev) {
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            let sent = this.clock.now();
            let event = match this.platform.poll(feed, after).await {
                Some(reply) => PlatformEvent::Changes {
                    feed,
                    sent,
                    rows: reply.rows,
                    rev: reply.rev,
                },
                None => platform_unreachable(Some(feed)),
            };
            this.apply(Event::Platform(event));
        })
        .detach();
    }

    fn read_members(self: &Rc<Self>) {
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            let sent = this.clock.now();
            let event = match this.platform.members().await {
                Some(members) => PlatformEvent::Members { sent, members },
                None => platform_unreachable(None),
            };
            this.apply(Event::Platform(event));
        })
        .detach();
    }

    fn commit(self: &Rc<Self>, token: Token, txn: Txn) {
        counter!("ragwortstall_table_transactions_total").increment(1);
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            let outcome = this.platform.commit(&txn).await;
            this.apply(Event::Platform(PlatformEvent::Txn { token, outcome }));
        })
        .detach();
    }

    fn sync_vm(self: &Rc<Self>, vm: VmId, address: Box<str>, sync: VmSync) {
        counter!("ragwortstall_vm_syncs_total").increment(1);
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            let sent = this.clock.now();
            let answer = this.workers.sync(&address, &sync).await;
            this.apply(Event::VmReplied { vm, sent, answer });
        })
        .detach();
    }

    fn call_peer(self: &Rc<Self>, to: DaemonId, address: Box<str>, message: PeerMessage) {
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            let sent = this.clock.now();
            let stamp = this.next_stamp();
            let answer = this.peers.call(&address, &this.id, stamp, &message).await;
            let reply = answer.map(|(reply, stamp)| {
                this.hybrid_clock.borrow_mut().observe(stamp);
                reply
            });
            this.apply(Event::PeerReplied {
                to,
                sent,
                message,
                reply,
            });
        })
        .detach();
    }

    /// Appends an event to the timeline; state changes are logged as well.
    fn record_event(&self, event: TimelineEvent) {
        counter!("ragwortstall_events_total", "what" => event.name()).increment(1);
        if event.is_state_change() {
            info!("{}", event.name(), kv: { happening:? = event });
        }
        let entry = Entry {
            stamp: self.next_stamp(),
            daemon: self.id.clone(),
            event,
        };
        self.timeline.borrow_mut().push(entry);
    }
}

/// Counts a failed platform call and returns its event.
fn platform_unreachable(feed: Option<Feed>) -> PlatformEvent {
    counter!("ragwortstall_platform_failures_total").increment(1);
    PlatformEvent::PollFailed { feed }
}
