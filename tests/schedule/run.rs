//! Execution of a simulated cell: delivers what is queued and executes the effects of the daemons.

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
use super::harness::CallId;
use super::harness::CallTarget;
use super::harness::Delivery;
use super::harness::Harness;
use super::harness::PendingCall;
use super::harness::PlanStep;
use super::harness::PlatformRequest;
use super::harness::TimelineEntry;
use super::network::Process;

/// Interval between a daemon's timer events.
const TICK: Duration = Duration::from_millis(100);

/// Timeout of a call to a VM or a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// First ticket of the callers. The tickets of peers are the numbers of their calls.
const CALLER_TICKET_BASE: Ticket = 1 << 40;

impl Harness {
    /// Runs until a given time, and checks the invariants after every message to a VM.
    pub fn run_until(&mut self, until: Duration) -> Result {
        while let Some((at, delivery)) = self.pop() {
            if at > until {
                self.push(at, delivery);
                break;
            }
            self.now = at;
            let touches_vm = matches!(delivery, Delivery::ToVm { .. });
            self.deliver(at, delivery);
            if touches_vm {
                self.check_invariants()?;
            }
        }
        self.now = until;
        self.check_invariants()?;
        check::check_refused_jobs(&self.vm_models, &self.job_answers)
    }

    /// Checks the running tasks and the decisions of the placers.
    pub fn check_invariants(&mut self) -> Result {
        if let Some(violation) = self.violation.take() {
            return Err(violation);
        }
        for (vm, model) in self.vms.iter().zip(&mut self.vm_models) {
            model.advance(vm.clock(self.now));
        }
        check::check_running_tasks(&self.vm_models, &self.limits)
    }

    fn deliver(&mut self, at: Duration, delivery: Delivery) {
        match delivery {
            Delivery::Tick { daemon, started_at } => {
                if self.daemons[daemon].started_at == started_at {
                    self.push(at + TICK, Delivery::Tick { daemon, started_at });
                    self.deliver_event(daemon, started_at, Event::Tick);
                }
            }
            Delivery::ToDaemon {
                daemon,
                started_at,
                event,
            } => self.deliver_event(daemon, started_at, event),
            Delivery::ToVm {
                vm,
                started_at,
                sync,
                call,
            } => self.deliver_to_vm(vm, started_at, sync, call),
            Delivery::ToPlatform { req, call } => self.deliver_to_platform(&req, call),
            Delivery::Reply { call, event } => self.complete_call(call, event),
            Delivery::Plan(step) => self.execute_step(step),
        }
    }

    /// Delivers an event to a daemon, or delays it until the daemon's pause ends.
    pub fn deliver_event(&mut self, daemon: usize, started_at: Duration, event: Event) {
        let now = self.now;
        let process = &mut self.daemons[daemon];
        if process.started_at != started_at {
            return;
        }
        if now < process.paused_until {
            let at = process.paused_until;
            if event != Event::Tick {
                self.push(
                    at,
                    Delivery::ToDaemon {
                        daemon,
                        started_at,
                        event,
                    },
                );
            }
            return;
        }
        let clock = process.clock(now);
        if let Some(state) = &mut process.state {
            let fx = step(state, clock, event);
            self.execute(daemon, fx);
        }
    }

    fn execute(&mut self, daemon: usize, fx: Effects) {
        for effect in fx {
            match effect {
                Effect::Answer { ticket, answer } => {
                    if let Some(job) = self.tickets.remove(&ticket) {
                        self.job_answers
                            .entry(job)
                            .or_default()
                            .answers
                            .push(answer);
                    }
                }
                Effect::Poll { feed, after } => {
                    self.send_platform_request(daemon, &PlatformRequest::Poll(feed, after));
                }
                Effect::PollMembers => {
                    self.send_platform_request(daemon, &PlatformRequest::Members);
                }
                Effect::Commit { token, txn } => {
                    self.send_platform_request(daemon, &PlatformRequest::Commit(token, txn));
                }
                Effect::SyncVm { vm, sync, .. } => self.send_sync(daemon, &vm, &sync),
                Effect::Peer { to, message, .. } => self.send_peer_message(daemon, &to, &message),
                Effect::PeerReply { ticket, message } => {
                    self.send_peer_reply(daemon, ticket, message);
                }
                Effect::Timeline(event) => self.record_timeline_event(daemon, event),
                Effect::Drained => self.daemons[daemon].state = None,
                Effect::Dispatch { .. } => {}
            }
        }
    }

    fn record_timeline_event(&mut self, daemon: usize, event: TimelineEvent) {
        let result = self
            .completed_tasks
            .check_event(daemon, &event, &self.table);
        self.violation = self.violation.take().or(result.err());
        self.timeline.push(TimelineEntry {
            at: self.now,
            daemon,
            event,
        });
    }

    /// Opens a call that ends with `timeout_event` if no reply arrives in time.
    fn open_call(
        &mut self,
        daemon: usize,
        target: CallTarget,
        timeout: Duration,
        timeout_event: Event,
    ) -> CallId {
        self.counter += 1;
        let call = self.counter;
        let process = &self.daemons[daemon];
        let pending = PendingCall {
            from: Process::Daemon(daemon),
            started_at: process.started_at,
            sent: process.clock(self.now),
            target,
        };
        self.calls.insert(call, pending);
        let event = timeout_event;
        self.push(self.now + timeout, Delivery::Reply { call, event });
        call
    }

    fn complete_call(&mut self, call: CallId, event: Event) {
        let Some(pending) = self.calls.remove(&call) else {
            return;
        };
        if let Process::Daemon(daemon) = pending.from {
            self.deliver_event(daemon, pending.started_at, event);
        }
    }

    /// Sends the reply to a call over the network.
    fn send_reply(&mut self, from: Process, call: CallId, event: &Event) {
        let Some(to) = self.calls.get(&call).map(|pending| pending.from) else {
            return;
        };
        if let Some(delay) = self.delays(from, to).first() {
            let event = event.clone();
            self.push(self.now + *delay, Delivery::Reply { call, event });
        }
    }

    fn send_sync(&mut self, daemon: usize, name: &str, sync: &VmSync) {
        let Some(vm) = self.vm_models.iter().position(|model| model.id() == name) else {
            return;
        };
        let timeout_event = Event::VmReplied {
            vm: name.into(),
            sent: self.daemons[daemon].clock(self.now),
            answer: None,
        };
        let call = self.open_call(daemon, CallTarget::Vm, CALL_TIMEOUT, timeout_event);
        let started_at = self.vms[vm].started_at;
        let delays = self.delays(Process::Daemon(daemon), Process::Vm(vm));
        for (copy, delay) in delays.into_iter().enumerate() {
            let delivery = Delivery::ToVm {
                vm,
                started_at,
                sync: sync.clone(),
                call: (copy == 0).then_some(call),
            };
            self.push(self.now + delay, delivery);
        }
    }

    fn deliver_to_vm(
        &mut self,
        vm: usize,
        started_at: Duration,
        sync: VmSync,
        call: Option<CallId>,
    ) {
        let vm_state = &self.vms[vm];
        if !vm_state.up || vm_state.started_at != started_at {
            return;
        }
        if self.now < vm_state.paused_until {
            let at = vm_state.paused_until;
            self.push(
                at,
                Delivery::ToVm {
                    vm,
                    started_at,
                    sync,
                    call,
                },
            );
            return;
        }
        let clock = vm_state.clock(self.now);
        let answer = self.vm_models[vm].sync(clock, &sync);
        let Some(call) = call else {
            return;
        };
        if let Some(sent) = self.calls.get(&call).map(|pending| pending.sent) {
            let event = Event::VmReplied {
                vm: self.vm_models[vm].id().into(),
                sent,
                answer,
            };
            self.send_reply(Process::Vm(vm), call, &event);
        }
    }

    fn send_peer_message(&mut self, daemon: usize, name: &str, message: &PeerMessage) {
        let to = (0..self.daemons.len()).find(|peer| *build::daemon_name(*peer) == *name);
        let Some(to) = to else {
            return;
        };
        let timeout_event = Event::PeerReplied {
            to: name.into(),
            sent: self.daemons[daemon].clock(self.now),
            message: message.clone(),
            reply: None,
        };
        let target = CallTarget::Peer(to, message.clone());
        let call = self.open_call(daemon, target, CALL_TIMEOUT, timeout_event);
        let delays = self.delays(Process::Daemon(daemon), Process::Daemon(to));
        let started_at = self.daemons[to].started_at;
        for delay in delays {
            let event = Event::Peer {
                from: build::daemon_name(daemon),
                ticket: call,
                message: message.clone(),
            };
            self.push(
                self.now + delay,
                Delivery::ToDaemon {
                    daemon: to,
                    started_at,
                    event,
                },
            );
        }
    }

    fn send_peer_reply(&mut self, daemon: usize, call: CallId, message: PeerMessage) {
        let Some(pending) = self.calls.get(&call).cloned() else {
            return;
        };
        let CallTarget::Peer(to, request) = pending.target else {
            return;
        };
        let event = Event::PeerReplied {
            to: build::daemon_name(to),
            sent: pending.sent,
            message: request,
            reply: Some(message),
        };
        self.send_reply(Process::Daemon(daemon), call, &event);
    }

    fn send_platform_request(&mut self, daemon: usize, req: &PlatformRequest) {
        let timeout_event = Event::Platform(match req {
            PlatformRequest::Poll(feed, _) => PlatformEvent::PollFailed { feed: Some(*feed) },
            PlatformRequest::Members => PlatformEvent::PollFailed { feed: None },
            PlatformRequest::Commit(token, _) => PlatformEvent::Txn {
                token: *token,
                outcome: TxnOutcome::Unknown,
            },
        });
        let call = self.open_call(
            daemon,
            CallTarget::Platform,
            PLATFORM_TIMEOUT,
            timeout_event,
        );
        let mut delays = self.delays(Process::Daemon(daemon), Process::Platform);
        if matches!(req, PlatformRequest::Commit(..)) {
            // Commits use one connection, so the network does not duplicate them: a refusal means
            // that no copy takes effect.
            delays.truncate(1);
        }
        for (copy, mut delay) in delays.into_iter().enumerate() {
            if self.now < self.platform_slow_until {
                delay += Duration::from_millis(self.rng.random_range(500..5_000));
            }
            let delivery = Delivery::ToPlatform {
                req: req.clone(),
                call: (copy == 0).then_some(call),
            };
            self.push(self.now + delay, delivery);
        }
    }

    fn deliver_to_platform(&mut self, req: &PlatformRequest, call: Option<CallId>) {
        let down = self.now < self.platform_down_until;
        let sent = call
            .and_then(|call| self.calls.get(&call))
            .map_or(Duration::ZERO, |pending| pending.sent);
        let event = match req {
            PlatformRequest::Poll(feed, _) if down => {
                PlatformEvent::PollFailed { feed: Some(*feed) }
            }
            PlatformRequest::Members if down => PlatformEvent::PollFailed { feed: None },
            PlatformRequest::Commit(token, _) if down => PlatformEvent::Txn {
                token: *token,
                outcome: TxnOutcome::NotSent,
            },
            PlatformRequest::Poll(feed, after) => PlatformEvent::Changes {
                feed: *feed,
                sent,
                rows: match feed {
                    Feed::Records => self.table.changes(&record::SPACES, *after),
                    Feed::Work => self.table.changes(&["job/", "escrow/"], *after),
                },
                rev: self.table.rev(),
            },
            PlatformRequest::Members => PlatformEvent::Members {
                sent,
                members: self.members.list(self.now),
            },
            PlatformRequest::Commit(token, txn) => PlatformEvent::Txn {
                token: *token,
                outcome: self.table.commit(txn).into(),
            },
        };
        let lost = matches!(req, PlatformRequest::Commit(..)) && self.now < self.answers_lost_until;
        if let (Some(call), false) = (call, lost) {
            self.send_reply(Process::Platform, call, &Event::Platform(event));
        }
    }

    fn execute_step(&mut self, step: PlanStep) {
        match step {
            PlanStep::Submit {
                submission,
                repeated,
            } => self.submit(submission, repeated),
            PlanStep::Cancel { submission } => self.cancel(submission),
            PlanStep::BeginFault { fault } => self.begin_fault(fault),
            PlanStep::EndFault { fault } => self.end_fault(fault),
        }
    }

    fn submit(&mut self, index: usize, repeated: bool) {
        let submission = self.plan.submissions[index];
        let call = Call::Submit {
            key: None,
            queue: Some(format!("t{}", submission.team).into()),
            spec: build::job_spec(index, &submission),
        };
        let daemon = submission.daemon + usize::from(repeated);
        self.submit_to(daemon, index, call);
    }

    fn cancel(&mut self, index: usize) {
        let submission = self.plan.submissions[index];
        let job = build::job_name(index);
        let daemon = submission.daemon % self.daemons.len();
        let ticket = self.next_ticket();
        let event = Event::Call {
            ticket,
            call: Call::Cancel { key: None, job },
        };
        let started_at = self.daemons[daemon].started_at;
        self.deliver_event(daemon, started_at, event);
    }

    /// Submits a job to a daemon if it is running.
    fn submit_to(&mut self, daemon: usize, index: usize, call: Call) {
        let daemon = daemon % self.daemons.len();
        if self.daemons[daemon].state.is_none() {
            return;
        }
        let ticket = self.next_ticket();
        let job = build::job_name(index);
        self.tickets.insert(ticket, job.clone());
        self.job_answers.entry(job).or_default().submissions += 1;
        let started_at = self.daemons[daemon].started_at;
        self.deliver_event(daemon, started_at, Event::Call { ticket, call });
    }

    fn next_ticket(&mut self) -> Ticket {
        self.counter += 1;
        CALLER_TICKET_BASE + self.counter
    }
}
