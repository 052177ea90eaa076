//! The reducer on one thread, with a timer that sleeps until the reducer next needs the time.

use std::cell::Cell;
use std::cell::RefCell;
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

use super::advice::ask_peer;
use super::meters;
use super::meters::Meters;
use crate::core::model::Now;
use crate::core::model::Ticket;
use crate::core::workload::Effect;
use crate::core::workload::Event;
use crate::core::workload::Workload;
use crate::core::workload::effect::Reply;
use crate::core::workload::effect::Request;
use crate::core::workload::event::Answer;
use crate::core::workload::event::Call;
use crate::shell::clock::Clock;
use crate::shell::log::Log;
use crate::shell::net::StopSender;
use crate::shell::peer::Channels;

/// Longest sleep of the timer.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// Time between two reports of the state for metrics.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// Shortest sleep of the timer, so that events of one moment share a tick.
const SHORTEST_SLEEP: Duration = Duration::from_millis(1);

/// The systems around a daemon: the table, VMs, the advice service.
pub trait Outside: 'static {
    /// Carries one request out and returns its answer.
    fn ask(self: Rc<Self>, req: Request) -> impl Future<Output = Answer> + 'static;
}

/// A daemon's reducer and all it needs to act.
pub struct Runner<O> {
    clock: Clock,
    state: RefCell<Workload>,
    outside: Rc<O>,
    channels: Rc<Channels>,
    callers: RefCell<FxHashMap<Ticket, oneshot::Sender<Reply>>>,
    tickets: Cell<Ticket>,
    log: Log,
    meters: RefCell<Meters>,
    report_at: Cell<Now>,
    armed: Cell<Option<Now>>,
    wake: mpsc::UnboundedSender<()>,
    exit: StopSender,
}

impl<O: Outside> Runner<O> {
    /// Starts a runner; `exit` fires when the daemon may end.
    pub fn start(state: Workload, outside: Rc<O>, log: Log, exit: StopSender) -> Rc<Self> {
        let (wake, woken) = mpsc::unbounded();
        let runner = Rc::new(Self {
            clock: Clock::start(),
            state: RefCell::new(state),
            outside,
            channels: Rc::new(Channels::default()),
            callers: RefCell::default(),
            tickets: Cell::new(0),
            log,
            meters: RefCell::default(),
            report_at: Cell::new(Now::ZERO),
            armed: Cell::new(None),
            wake,
            exit,
        });
        compio::runtime::spawn(Rc::clone(&runner).keep_time(woken)).detach();
        runner
    }

    /// Applies an event and carries its effects out.
    pub fn feed(self: &Rc<Self>, event: Event) {
        let begun = std::time::Instant::now();
        let now = self.clock.now();
        let effects = self.state.borrow_mut().step(now, event);
        histogram!("ragwortstall_step_seconds").record(begun.elapsed().as_secs_f64());
        for effect in effects {
            self.perform(effect);
        }
        let wake_at = self.state.borrow_mut().wake_at(now);
        let earlier = wake_at.is_some_and(|at| self.armed.get().is_none_or(|armed| at < armed));
        if earlier {
            self.armed.set(wake_at);
            let _ = self.wake.unbounded_send(());
        }
    }

    /// Asks the reducer and waits for its answer.
    pub async fn call(self: &Rc<Self>, call: Call) -> Option<Reply> {
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        let (tx, rx) = oneshot::channel();
        self.callers.borrow_mut().insert(ticket, tx);
        self.feed(Event::Call { ticket, call });
        rx.await.ok()
    }

    /// Whether this daemon can serve callers.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().is_ready(self.clock.now())
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Ask(req) => self.ask(req),
            Effect::Reply(ticket, reply) => {
                counter!("ragwortstall_replies_total", "reply" => reply.name()).increment(1);
                if let Some(tx) = self.callers.borrow_mut().remove(&ticket) {
                    let _ = tx.send(reply);
                }
            }
            Effect::Log(decision) => {
                meters::count(&decision);
                self.log.decision(&decision);
            }
            Effect::Exit => self.exit.send(),
        }
    }

    fn ask(self: &Rc<Self>, req: Request) {
        let runner = Rc::clone(self);
        compio::runtime::spawn(async move {
            let kind = req.name();
            let begun = std::time::Instant::now();
            let answer = match req {
                Request::Advise {
                    query,
                    via: Some(via),
                    timeout,
                } => {
                    let result = ask_peer(&runner.channels, &via, &query, timeout).await;
                    Answer::Advised(query, result)
                }
                req => Rc::clone(&runner.outside).ask(req).await,
            };
            let result = if answer.is_success() { "ok" } else { "failed" };
            counter!("ragwortstall_requests_total", "request" => kind, "result" => result)
                .increment(1);
            histogram!("ragwortstall_request_seconds", "request" => kind)
                .record(begun.elapsed().as_secs_f64());
            runner.feed(Event::Answer(answer));
        })
        .detach();
    }

    /// Ticks whenever the reducer has asked for it, or after [`LONGEST_SLEEP`].
    async fn keep_time(self: Rc<Self>, mut woken: mpsc::UnboundedReceiver<()>) {
        loop {
            self.armed.set(None);
            self.feed(Event::Tick {
                unix: Clock::unix_time(),
            });
            self.report();
            loop {
                let now = self.clock.now();
                let at = self.armed.get().unwrap_or(now + LONGEST_SLEEP);
                let left = at.saturating_sub(now).clamp(SHORTEST_SLEEP, LONGEST_SLEEP);
                if timeout(left, woken.next()).await.is_err() {
                    break;
                }
            }
        }
    }

    /// Reports the state, once every [`REPORT_EVERY`].
    fn report(&self) {
        let now = self.clock.now();
        if now < self.report_at.get() {
            return;
        }
        self.report_at.set(now + REPORT_EVERY);
        let status = self.state.borrow_mut().status(now);
        self.meters.borrow_mut().report(&status);
    }
}
