//! Carries the reducer's effects out; what takes time runs as a task and ends in an event.

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
use crate::shell::peer::Incoming;

impl Daemon {
    /// Carries one effect out.
    pub(super) fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Answer { ticket, answer } => self.waiting.borrow_mut().answer(ticket, answer),
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
            } => self.ask_peer(to, address, message),
            Effect::PeerReply { ticket, message } => {
                self.waiting.borrow_mut().reply(ticket, message);
            }
            Effect::Timeline(happening) => self.note(happening),
            Effect::Drained => self.drained.fire(),
        }
    }

    /// Feeds another daemon's message and sends the reply back.
    pub(super) fn peer_asked(self: &Rc<Self>, incoming: Incoming) {
        self.stamps.borrow_mut().observe(incoming.stamp);
        let ticket = self.ticket();
        let rx = self.waiting.borrow_mut().peer(ticket);
        self.feed(Event::Peer {
            from: incoming.from,
            ticket,
            message: incoming.message,
        });
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            if let Ok(message) = rx.await {
                let _ = incoming.reply.send((message, this.stamp()));
            }
        })
        .detach();
    }

    fn dispatch(
        self: &Rc<Self>,
        ticket: Ticket,
        attempt: u32,
        endpoint: EndpointId,
        patience: Duration,
        keep: usize,
    ) {
        let req = self.waiting.borrow().attempt(ticket);
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            let end = match req {
                Some(req) => {
                    let (end, response) =
                        this.endpoints.attempt(&endpoint, req, patience, keep).await;
                    if let Some(response) = response {
                        this.waiting.borrow_mut().hold(ticket, attempt, response);
                    }
                    end
                }
                None => AttemptOutcome::NotSent,
            };
            this.feed(Event::Attempt {
                ticket,
                attempt,
                outcome: end,
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
                None => unreachable(Some(feed)),
            };
            this.feed(Event::Platform(event));
        })
        .detach();
    }

    fn read_members(self: &Rc<Self>) {
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            let sent = this.clock.now();
            let event = match this.platform.members().await {
                Some(members) => PlatformEvent::Members { sent, members },
                None => unreachable(None),
            };
            this.feed(Event::Platform(event));
        })
        .detach();
    }

    fn commit(self: &Rc<Self>, token: Token, txn: Txn) {
        counter!("ragwortstall_table_transactions_total").increment(1);
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            let end = this.platform.commit(&txn).await;
            this.feed(Event::Platform(PlatformEvent::Txn {
                token,
                outcome: end,
            }));
        })
        .detach();
    }

    fn sync_vm(self: &Rc<Self>, vm: VmId, address: Box<str>, sync: VmSync) {
        counter!("ragwortstall_vm_syncs_total").increment(1);
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            let sent = this.clock.now();
            let answer = this.workers.sync(&address, &sync).await;
            this.feed(Event::VmReplied { vm, sent, answer });
        })
        .detach();
    }

    fn ask_peer(self: &Rc<Self>, to: DaemonId, address: Box<str>, message: PeerMessage) {
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            let sent = this.clock.now();
            let stamp = this.stamp();
            let answer = this.peers.call(&address, &this.me, stamp, &message).await;
            let reply = answer.map(|(reply, stamp)| {
                this.stamps.borrow_mut().observe(stamp);
                reply
            });
            this.feed(Event::PeerReplied {
                to,
                sent,
                message,
                reply,
            });
        })
        .detach();
    }

    fn note(&self, happening: TimelineEvent) {
        counter!("ragwortstall_events_total", "what" => happening.name()).increment(1);
        if happening.is_state_change() {
            info!("{}", happening.name(), kv: { happening:? });
        }
        let entry = Entry {
            stamp: self.stamp(),
            daemon: self.me.clone(),
            event: happening,
        };
        self.ring.borrow_mut().push(entry);
    }
}

fn unreachable(feed: Option<Feed>) -> PlatformEvent {
    counter!("ragwortstall_platform_failures_total").increment(1);
    PlatformEvent::Unreachable { feed }
}
