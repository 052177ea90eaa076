//! Runs the reducer on one thread, with a timer for its wake-up times.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;
use futures_channel::mpsc;
use futures_channel::oneshot;
use futures_util::StreamExt;
use metrics::counter;
use metrics::histogram;
use rustc_hash::FxHashMap;

use super::advice::forward_query;
use super::load;
use super::load::Load;
use super::load::LoadMeter;
use super::meters;
use super::meters::StatusGauges;
use super::relay::forward_call;
use crate::core::model::Now;
use crate::core::model::RequestLimits;
use crate::core::model::Ticket;
use crate::core::workload::Effect;
use crate::core::workload::Event;
use crate::core::workload::Workload;
use crate::core::workload::effect::Reply;
use crate::core::workload::effect::Request;
use crate::core::workload::event::Answer;
use crate::core::workload::event::Call;
use crate::core::workload::status::PlacerStatus;
use crate::shell::clock::Clock;
use crate::shell::log::Log;
use crate::shell::log::ProcessEvent;
use crate::shell::net::StopSender;
use crate::shell::peer::Channels;

/// Maximum sleep of the timer.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Interval between updates of the status gauges.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum sleep of the timer, so that events due at almost the same time share a tick.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// External systems of a daemon: the table, the VMs and the advice service.
pub trait Backend: 'static {
    /// Executes a request and returns its answer.
    fn execute(self: Rc<Self>, req: Request) -> impl Future<Output = Answer> + 'static;
}

/// Drives the reducer of a daemon and performs its effects.
pub struct Runner<B> {
    clock: Clock,
    state: RefCell<Workload>,
    backend: Rc<B>,
    channels: Rc<Channels>,
    /// Senders of the replies that callers wait for.
    callers: RefCell<FxHashMap<Ticket, oneshot::Sender<Reply>>>,
    last_ticket: Cell<Ticket>,
    log: Log,
    gauges: RefCell<StatusGauges>,
    load: LoadMeter,
    next_report_at: Cell<Now>,
    /// Time of the next tick; `None` to sleep for [`MAX_SLEEP`].
    timer_at: Cell<Option<Now>>,
    /// Interrupts the timer's sleep after `timer_at` has changed.
    wake: mpsc::UnboundedSender<()>,
    exit: StopSender,
}

impl<B: Backend> Runner<B> {
    /// Starts a runner and its timer. Signals `exit` when the drain has ended.
    pub fn start(state: Workload, backend: Rc<B>, log: Log, exit: StopSender) -> Rc<Self> {
        let (wake, wakeups) = mpsc::unbounded();
        let runner = Rc::new(Self {
            clock: Clock::start(),
            state: RefCell::new(state),
            backend,
            channels: Rc::new(Channels::default()),
            callers: RefCell::default(),
            last_ticket: Cell::new(0),
            log,
            gauges: RefCell::default(),
            load: LoadMeter::default(),
            next_report_at: Cell::new(Now::ZERO),
            timer_at: Cell::new(None),
            wake,
            exit,
        });
        compio::runtime::spawn(Rc::clone(&runner).run_timer(wakeups)).detach();
        runner
    }

    /// Applies an event to the reducer and performs its effects.
    pub fn apply(self: &Rc<Self>, event: Event) {
        let started_at = std::time::Instant::now();
        let now = self.clock.now();
        let activity = load::activity(&event);
        let mut state = self.state.borrow_mut();
        let rounds = state.work().rounds;
        let effects = state.step(now, event);
        let step_time = started_at.elapsed();
        state.record_step_time(step_time);
        let has_round = state.work().rounds > rounds;
        drop(state);
        let activity = if has_round { "round" } else { activity };
        self.load.record_step(activity, step_time);
        for effect in effects {
            self.perform(effect);
        }
        let wake_at = self.state.borrow_mut().wake_at(now);
        let is_earlier =
            wake_at.is_some_and(|at| self.timer_at.get().is_none_or(|current| at < current));
        if is_earlier {
            self.timer_at.set(wake_at);
            let _ = self.wake.unbounded_send(());
        }
    }

    /// Passes a call to the reducer and waits for its reply. Returns `None` if the call is dropped
    /// without a reply.
    pub async fn call(self: &Rc<Self>, call: Call) -> Option<Reply> {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        let (tx, rx) = oneshot::channel();
        self.callers.borrow_mut().insert(ticket, tx);
        self.apply(Event::Call { ticket, call });
        rx.await.ok()
    }

    /// Returns whether this daemon can serve callers.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().is_ready(self.clock.now())
    }

    /// Returns the version of the configuration in force.
    pub fn config_version(&self) -> u64 {
        self.state.borrow().config_version()
    }

    /// Returns the limits of clients' requests in force.
    pub fn request_limits(&self) -> RequestLimits {
        self.state.borrow().request_limits()
    }

    /// Returns the external systems of the daemon.
    pub fn backend(&self) -> Rc<B> {
        Rc::clone(&self.backend)
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Send(req) => self.spawn_request(req),
            Effect::Reply(ticket, reply) => {
                counter!("ragwortstall_replies_total", "reply" => reply.name()).increment(1);
                if let Some(tx) = self.callers.borrow_mut().remove(&ticket) {
                    let _ = tx.send(reply);
                }
            }
            Effect::Log(decision) => {
                meters::record(&decision);
                self.log.decision(&decision);
            }
            Effect::Exit => self.exit.send(),
        }
    }

    fn spawn_request(self: &Rc<Self>, req: Request) {
        self.load.record_request(req.name());
        let runner = Rc::clone(self);
        compio::runtime::spawn(async move {
            let kind = req.name();
            let started_at = std::time::Instant::now();
            let answer = match req {
                Request::Advise {
                    query,
                    via: Some(via),
                    timeout,
                } => {
                    let result = forward_query(&runner.channels, &via, &query, timeout).await;
                    Answer::Advised(query, result)
                }
                Request::Relay {
                    ticket,
                    call,
                    via,
                    timeout,
                } => {
                    let result = forward_call(&runner.channels, &via, *call, timeout).await;
                    Answer::Relayed(ticket, result)
                }
                req => Rc::clone(&runner.backend).execute(req).await,
            };
            let result = if answer.is_success() { "ok" } else { "failed" };
            counter!("ragwortstall_requests_total", "request" => kind, "result" => result)
                .increment(1);
            histogram!("ragwortstall_request_seconds", "request" => kind)
                .record(started_at.elapsed().as_secs_f64());
            runner.load.record_answer();
            runner.apply(Event::Answer(answer));
        })
        .detach();
    }

    /// Sends a tick to the reducer at each of its wake-up times, and at least every [`MAX_SLEEP`].
    async fn run_timer(self: Rc<Self>, mut wakeups: mpsc::UnboundedReceiver<()>) {
        loop {
            self.timer_at.set(None);
            self.apply(Event::Tick {
                unix_time: Clock::unix_time(),
            });
            self.report();
            loop {
                let now = self.clock.now();
                let at = self.timer_at.get().unwrap_or(now + MAX_SLEEP);
                let sleep = at.saturating_sub(now).clamp(MIN_SLEEP, MAX_SLEEP);
                if timeout(sleep, wakeups.next()).await.is_err() {
                    let delay = self.clock.now().saturating_sub(now + sleep);
                    self.load.record_delay(delay);
                    break;
                }
            }
        }
    }

    /// Updates the status gauges, and logs the load of a placer, if [`REPORT_INTERVAL`] has passed.
    fn report(&self) {
        let now = self.clock.now();
        if now < self.next_report_at.get() {
            return;
        }
        self.next_report_at.set(now + REPORT_INTERVAL);
        let status = self.state.borrow_mut().status(now);
        self.gauges.borrow_mut().report(&status);
        let load = self.load.take();
        if let Some(placer) = &status.placer {
            self.log.process(&load_event(&load, placer));
        }
    }
}

/// Returns the times for which tasks have waited, in milliseconds, by queue and reason.
fn wait_ms(placer: &PlacerStatus) -> BTreeMap<Box<str>, u64> {
    let times = placer.wait_times.iter();
    let times = times.map(|((queue, reason), time)| {
        let name = format!("{queue}/{}", reason.name());
        (
            name.into(),
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
        )
    });
    times.collect()
}

fn load_event(load: &Load, placer: &PlacerStatus) -> ProcessEvent {
    ProcessEvent::PlacerLoad {
        epoch: placer.epoch,
        events: load.events,
        step_us: load::micros(load.step_time()),
        activity_us: load
            .step_times
            .iter()
            .map(|(activity, time)| (*activity, load::micros(*time)))
            .collect(),
        requests: load.requests.values().sum(),
        requests_by_kind: load.requests.clone(),
        pending_requests: load.pending_requests,
        max_delay_us: load::micros(load.max_delay),
        rounds: placer.work.rounds,
        steps_examined: placer.work.steps_examined,
        vm_scans: placer.work.vm_scans,
        vms_usable: placer.usable_vms,
        runs: placer.runs,
        waiting: placer.waiting.values().sum(),
        wait_ms: wait_ms(placer),
        advice: placer.advice.queues.clone(),
        advice_idle_ms: u64::try_from(placer.advice.idle.as_millis()).unwrap_or(u64::MAX),
    }
}
