//! Runs a cell: takes what is next from the queue, and carries out what the daemons answer.

use std::time::Duration;

use ragwortstall::core::Effect;
use ragwortstall::core::Effects;
use ragwortstall::core::Event;
use ragwortstall::core::event::Call;
use ragwortstall::core::event::Feed;
use ragwortstall::core::event::PeerMessage;
use ragwortstall::core::event::PlatformEvent;
use ragwortstall::core::event::TxnOutcome;
use ragwortstall::core::model::Ticket;
use ragwortstall::core::model::VmSync;
use ragwortstall::core::record;
use ragwortstall::core::step;
use ragwortstall::core::timeline::TimelineEvent;
use rand::Rng;

use super::build;
use super::check;
use super::check::Result;
use super::network::Node;
use super::plan::Fault;
use super::world::Ask;
use super::world::Asked;
use super::world::CallId;
use super::world::Item;
use super::world::Line;
use super::world::Open;
use super::world::Planned;
use super::world::World;

/// Time between a daemon's timer events.
const TICK: Duration = Duration::from_millis(100);

/// Time after which a call to a VM or a peer is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a call to the platform is given up.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// First ticket of the callers; tickets of peers are the numbers of their calls.
const CALLER_TICKETS: Ticket = 1 << 40;

impl World {
    /// Runs until a time, and checks what runs after every message to a VM.
    pub fn run_until(&mut self, until: Duration) -> Result {
        while let Some((at, item)) = self.pop() {
            if at > until {
                self.push(at, item);
                break;
            }
            self.now = at;
            let touches_vm = matches!(item, Item::ToVm { .. });
            self.process(at, item);
            if touches_vm {
                self.check()?;
            }
        }
        self.now = until;
        self.check()?;
        check::history(&self.models, &self.told)
    }

    /// Checks what runs now and what was decided.
    pub fn check(&mut self) -> Result {
        if let Some(broken) = self.broken.take() {
            return Err(broken);
        }
        for (vm, model) in self.vms.iter().zip(&mut self.models) {
            model.advance(vm.clock(self.now));
        }
        check::running(&self.models, &self.limits)
    }

    fn process(&mut self, at: Duration, item: Item) {
        match item {
            Item::Tick { daemon, born } => {
                if self.daemons[daemon].born == born {
                    self.push(at + TICK, Item::Tick { daemon, born });
                    self.arrive(daemon, born, Event::Tick);
                }
            }
            Item::Arrive {
                daemon,
                born,
                event,
            } => self.arrive(daemon, born, event),
            Item::ToVm {
                vm,
                born,
                sync,
                call,
            } => self.reach_vm(vm, born, sync, call),
            Item::ToPlatform { ask, call } => self.reach_platform(&ask, call),
            Item::Reply { call, event } => self.reply(call, event),
            Item::Planned(planned) => self.planned(planned),
        }
    }

    /// Steps a daemon, or keeps the event until it moves again.
    fn arrive(&mut self, daemon: usize, born: Duration, event: Event) {
        let now = self.now;
        let process = &mut self.daemons[daemon];
        if process.born != born {
            return;
        }
        if now < process.paused_until {
            let at = process.paused_until;
            if event != Event::Tick {
                self.push(
                    at,
                    Item::Arrive {
                        daemon,
                        born,
                        event,
                    },
                );
            }
            return;
        }
        let clock = process.clock(now);
        if let Some(state) = &mut process.state {
            let fx = step(state, clock, event);
            self.perform(daemon, fx);
        }
    }

    fn perform(&mut self, daemon: usize, fx: Effects) {
        for effect in fx {
            match effect {
                Effect::Answer { ticket, answer } => {
                    if let Some(job) = self.tickets.remove(&ticket) {
                        self.told.entry(job).or_default().answers.push(answer);
                    }
                }
                Effect::Poll { feed, after } => self.ask(daemon, &Ask::Poll(feed, after)),
                Effect::PollMembers => self.ask(daemon, &Ask::Members),
                Effect::Commit { token, txn } => self.ask(daemon, &Ask::Commit(token, txn)),
                Effect::SyncVm { vm, sync, .. } => self.sync(daemon, &vm, &sync),
                Effect::Peer { to, message, .. } => self.tell(daemon, &to, &message),
                Effect::PeerReply { ticket, message } => self.answer_peer(daemon, ticket, message),
                Effect::Timeline(happening) => self.note(daemon, happening),
                Effect::Drained => self.daemons[daemon].state = None,
                Effect::Dispatch { .. } => {}
            }
        }
    }

    fn note(&mut self, daemon: usize, happening: TimelineEvent) {
        let found = self.decisions.take(daemon, &happening, &self.table);
        self.broken = self.broken.take().or(found.err());
        self.lines.push(Line {
            at: self.now,
            daemon,
            happening,
        });
    }

    /// Opens a call that ends with `late` if no answer comes in time.
    fn open(&mut self, daemon: usize, asked: Asked, timeout: Duration, late: Event) -> CallId {
        self.counter += 1;
        let call = self.counter;
        let process = &self.daemons[daemon];
        let open = Open {
            from: Node::Daemon(daemon),
            born: process.born,
            sent: process.clock(self.now),
            asked,
        };
        self.calls.insert(call, open);
        let event = late;
        self.push(self.now + timeout, Item::Reply { call, event });
        call
    }

    fn reply(&mut self, call: CallId, event: Event) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        if let Node::Daemon(daemon) = open.from {
            self.arrive(daemon, open.born, event);
        }
    }

    /// Sends an answer to a call back over its link.
    fn send_reply(&mut self, from: Node, call: CallId, event: &Event) {
        let Some(to) = self.calls.get(&call).map(|open| open.from) else {
            return;
        };
        if let Some(delay) = self.delays(from, to).first() {
            let event = event.clone();
            self.push(self.now + *delay, Item::Reply { call, event });
        }
    }

    fn sync(&mut self, daemon: usize, name: &str, sync: &VmSync) {
        let Some(vm) = self.models.iter().position(|model| model.id() == name) else {
            return;
        };
        let late = Event::VmReplied {
            vm: name.into(),
            sent: self.daemons[daemon].clock(self.now),
            answer: None,
        };
        let call = self.open(daemon, Asked::Vm, CALL_TIMEOUT, late);
        let born = self.vms[vm].born;
        let delays = self.delays(Node::Daemon(daemon), Node::Vm(vm));
        for (copy, delay) in delays.into_iter().enumerate() {
            let item = Item::ToVm {
                vm,
                born,
                sync: sync.clone(),
                call: (copy == 0).then_some(call),
            };
            self.push(self.now + delay, item);
        }
    }

    fn reach_vm(&mut self, vm: usize, born: Duration, sync: VmSync, call: Option<CallId>) {
        let place = &self.vms[vm];
        if !place.up || place.born != born {
            return;
        }
        if self.now < place.paused_until {
            let at = place.paused_until;
            self.push(
                at,
                Item::ToVm {
                    vm,
                    born,
                    sync,
                    call,
                },
            );
            return;
        }
        let clock = place.clock(self.now);
        let answer = self.models[vm].sync(clock, &sync);
        let Some(call) = call else {
            return;
        };
        if let Some(sent) = self.calls.get(&call).map(|open| open.sent) {
            let event = Event::VmReplied {
                vm: self.models[vm].id().into(),
                sent,
                answer,
            };
            self.send_reply(Node::Vm(vm), call, &event);
        }
    }

    fn tell(&mut self, daemon: usize, name: &str, message: &PeerMessage) {
        let to = (0..self.daemons.len()).find(|peer| *build::daemon_name(*peer) == *name);
        let Some(to) = to else {
            return;
        };
        let late = Event::PeerReplied {
            to: name.into(),
            sent: self.daemons[daemon].clock(self.now),
            message: message.clone(),
            reply: None,
        };
        let asked = Asked::Peer(to, message.clone());
        let call = self.open(daemon, asked, CALL_TIMEOUT, late);
        let delays = self.delays(Node::Daemon(daemon), Node::Daemon(to));
        let born = self.daemons[to].born;
        for delay in delays {
            let event = Event::Peer {
                from: build::daemon_name(daemon),
                ticket: call,
                message: message.clone(),
            };
            self.push(
                self.now + delay,
                Item::Arrive {
                    daemon: to,
                    born,
                    event,
                },
            );
        }
    }

    fn answer_peer(&mut self, daemon: usize, call: CallId, message: PeerMessage) {
        let Some(open) = self.calls.get(&call).cloned() else {
            return;
        };
        let Asked::Peer(to, asked) = open.asked else {
            return;
        };
        let event = Event::PeerReplied {
            to: build::daemon_name(to),
            sent: open.sent,
            message: asked,
            reply: Some(message),
        };
        self.send_reply(Node::Daemon(daemon), call, &event);
    }

    fn ask(&mut self, daemon: usize, ask: &Ask) {
        let late = Event::Platform(match ask {
            Ask::Poll(feed, _) => PlatformEvent::PollFailed { feed: Some(*feed) },
            Ask::Members => PlatformEvent::PollFailed { feed: None },
            Ask::Commit(token, _) => PlatformEvent::Txn {
                token: *token,
                outcome: TxnOutcome::Unknown,
            },
        });
        let call = self.open(daemon, Asked::Platform, PLATFORM_TIMEOUT, late);
        let mut delays = self.delays(Node::Daemon(daemon), Node::Platform);
        if matches!(ask, Ask::Commit(..)) {
            // Over one connection a refusal holds for every copy of a request.
            delays.truncate(1);
        }
        for (copy, mut delay) in delays.into_iter().enumerate() {
            if self.now < self.store_slow_until {
                delay += Duration::from_millis(self.rng.random_range(500..5_000));
            }
            let item = Item::ToPlatform {
                ask: ask.clone(),
                call: (copy == 0).then_some(call),
            };
            self.push(self.now + delay, item);
        }
    }

    fn reach_platform(&mut self, ask: &Ask, call: Option<CallId>) {
        let down = self.now < self.store_down_until;
        let sent = call
            .and_then(|call| self.calls.get(&call))
            .map_or(Duration::ZERO, |open| open.sent);
        let event = match ask {
            Ask::Poll(feed, _) if down => PlatformEvent::PollFailed { feed: Some(*feed) },
            Ask::Members if down => PlatformEvent::PollFailed { feed: None },
            Ask::Commit(token, _) if down => PlatformEvent::Txn {
                token: *token,
                outcome: TxnOutcome::NotSent,
            },
            Ask::Poll(feed, after) => PlatformEvent::Changes {
                feed: *feed,
                sent,
                rows: match feed {
                    Feed::Records => self.table.changes(&record::SPACES, *after),
                    Feed::Work => self.table.changes(&["job/", "escrow/"], *after),
                },
                rev: self.table.rev(),
            },
            Ask::Members => PlatformEvent::Members {
                sent,
                members: self.members.list(self.now),
            },
            Ask::Commit(token, txn) => PlatformEvent::Txn {
                token: *token,
                outcome: self.table.commit(txn).into(),
            },
        };
        let lost = matches!(ask, Ask::Commit(..)) && self.now < self.answers_lost_until;
        if let (Some(call), false) = (call, lost) {
            self.send_reply(Node::Platform, call, &Event::Platform(event));
        }
    }

    fn planned(&mut self, planned: Planned) {
        match planned {
            Planned::Submit { work, again } => self.submit(work, again),
            Planned::Cancel { work } => self.cancel(work),
            Planned::Begin { fault } => self.begin(fault),
            Planned::End { fault } => self.end(fault),
        }
    }

    fn submit(&mut self, position: usize, again: bool) {
        let work = self.plan.work[position];
        let call = Call::Submit {
            key: None,
            queue: Some(format!("t{}", work.team).into()),
            spec: build::spec(position, &work),
        };
        let daemon = work.daemon + usize::from(again);
        self.call(daemon, position, call);
    }

    fn cancel(&mut self, position: usize) {
        let work = self.plan.work[position];
        let job = build::job_name(position);
        let daemon = work.daemon % self.daemons.len();
        let ticket = self.next_ticket();
        let event = Event::Call {
            ticket,
            call: Call::Cancel { key: None, job },
        };
        let born = self.daemons[daemon].born;
        self.arrive(daemon, born, event);
    }

    /// Submits to a daemon, if one runs there.
    fn call(&mut self, daemon: usize, position: usize, call: Call) {
        let daemon = daemon % self.daemons.len();
        if self.daemons[daemon].state.is_none() {
            return;
        }
        let ticket = self.next_ticket();
        let job = build::job_name(position);
        self.tickets.insert(ticket, job.clone());
        self.told.entry(job).or_default().submissions += 1;
        let born = self.daemons[daemon].born;
        self.arrive(daemon, born, Event::Call { ticket, call });
    }

    fn next_ticket(&mut self) -> Ticket {
        self.counter += 1;
        CALLER_TICKETS + self.counter
    }

    fn begin(&mut self, position: usize) {
        let timed = self.plan.faults[position];
        let until = self.now + timed.lasts;
        let daemons = self.daemons.len();
        let vms = self.vms.len();
        match timed.fault {
            Fault::KillDaemon(daemon) => self.daemons[daemon % daemons].state = None,
            Fault::PauseDaemon(daemon) => self.daemons[daemon % daemons].paused_until = until,
            Fault::Drain(daemon) => {
                let daemon = daemon % daemons;
                let born = self.daemons[daemon].born;
                self.arrive(daemon, born, Event::Drain);
            }
            Fault::KillVm(vm) => self.kill_vm(vm % vms),
            Fault::PauseVm(vm) => self.vms[vm % vms].paused_until = until,
            Fault::Cut(from, to) => self.network.cut(from, to, until),
            Fault::CutBoth(a, b) => {
                self.network.cut(a, b, until);
                self.network.cut(b, a, until);
            }
            Fault::StoreDown => self.store_down_until = until,
            Fault::StoreSlow => self.store_slow_until = until,
            Fault::StoreLosesAnswers => self.answers_lost_until = until,
            Fault::Noise => self.network.set_noise(until),
        }
    }

    fn end(&mut self, position: usize) {
        match self.plan.faults[position].fault {
            Fault::KillDaemon(daemon) | Fault::Drain(daemon) => {
                let daemon = daemon % self.daemons.len();
                self.daemons[daemon].state = None;
                self.start_daemon(daemon);
            }
            Fault::KillVm(vm) => self.start_vm(vm % self.vms.len()),
            _ => {}
        }
    }

    fn kill_vm(&mut self, vm: usize) {
        let clock = self.vms[vm].clock(self.now);
        self.models[vm].advance(clock);
        self.models[vm].restart(clock);
        self.vms[vm].up = false;
        let name = build::vm_name(vm);
        self.members.remove(self.now, &name);
    }

    fn start_vm(&mut self, vm: usize) {
        if !self.vms[vm].up {
            self.vms[vm].up = true;
            self.vms[vm].born = self.now;
            let member = self.vm_member(vm);
            self.members.put(self.now, member);
        }
    }

    /// Mends every fault that is still there.
    pub fn mend(&mut self) {
        self.network.heal();
        self.store_down_until = Duration::ZERO;
        self.store_slow_until = Duration::ZERO;
        self.answers_lost_until = Duration::ZERO;
        for daemon in 0..self.daemons.len() {
            self.start_daemon(daemon);
        }
        for vm in 0..self.vms.len() {
            self.start_vm(vm);
        }
    }
}
