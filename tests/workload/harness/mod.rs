//! Test harness: daemons, a table and VMs that exchange messages in virtual time.

mod backend;
mod callers;
mod crashes;
mod feed_calls;
mod late_commits;
mod link;
mod operator;
mod options;
mod processes;
mod processor;
mod starts;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::Ticket;
use ragwortstall::core::workload::Effect;
use ragwortstall::core::workload::Event;
use ragwortstall::core::workload::Workload;
use ragwortstall::core::workload::capacity::HostCapacity;
use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::ConnectionId;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::event::FeedCall;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::status::Status;
use ragwortstall::core::workload::submission::Submission;
use ragwortstall::core::workload::table::Transaction;
use ragwortstall::core::workload::task::TaskName;

use self::callers::RelayedCall;
use self::crashes::Crashes;
use self::feed_calls::FeedCalls;
use self::late_commits::LateCommits;
use self::link::Link;
use self::options::options;
pub(crate) use self::processor::Costs;
use self::processor::Processor;
use self::processor::count_requests;
pub(crate) use self::starts::Break;
use crate::table::SimTable;
use crate::vm::STOP_TIME;
use crate::vm::SimVm;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(1);

/// One-way latency of a message.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);

/// Latency of a transaction on a slow table, as a multiple of that of a read.
const COMMIT_LATENCY_FACTOR: u32 = 4;

/// Wall time at the start of the simulation, since the Unix epoch.
pub(crate) const START_TIME: Duration = Duration::from_secs(1_700_000_000);

/// A daemon's reducer and the state of its process.
struct SimDaemon {
    state: Workload,
    name: Box<str>,
    /// Capacity of the host.
    capacity: HostCapacity,
    /// Whether the process runs.
    up: bool,
    /// Whether the host is down as well, so that it does not refuse connections.
    host_down: bool,
    /// Whether the daemon can reach the table.
    table_reachable: bool,
    /// Number of the process, which increases when it ends; answers to earlier processes are
    /// dropped.
    lifetime: u64,
    /// Time of the next tick.
    wake_at: Option<Now>,
    link: Link,
    processor: Processor,
}

/// Message in transit, with the index and the lifetime of its daemon.
enum Message {
    /// Request that a daemon has sent.
    Request(usize, u64, Request),
    /// Answer to a daemon.
    Answer(usize, u64, Answer),
}

/// Watch that waits for a change.
struct PendingWatch {
    daemon: usize,
    lifetime: u64,
    call: FeedCall,
    after: u64,
    until: Now,
    /// Time at which the daemon gives up the call without an answer.
    times_out_at: Now,
    /// Time within which the answer has to be transferred.
    limit: Duration,
}

/// Lease renewal that waits for a run to end.
struct PendingRenewal {
    daemon: usize,
    lifetime: u64,
    req: Request,
    until: Now,
    connection: Connection,
}

/// Connection from a daemon to a VM for renewals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Connection {
    id: ConnectionId,
    /// Start of the VM's lifetime that accepted the connection; a later one gets nothing over it.
    started_ms: u64,
}

/// Simulated cell: daemons, VMs, table and messages in transit.
pub(crate) struct Harness {
    pub now: Now,
    pub vms: BTreeMap<Box<str>, SimVm>,
    /// Number of the next runs that fail, by task.
    pub remaining_failures: BTreeMap<TaskName, u32>,
    /// VMs that neither carry out nor answer anything, as if they were cut off.
    pub silent_vms: BTreeSet<Box<str>>,
    /// Time by which the wall clocks of daemons are behind.
    pub clock_lags: BTreeMap<usize, Duration>,
    /// Daemons and VMs between which no new call gets through.
    pub cut_paths: BTreeSet<(usize, Box<str>)>,
    /// VMs whose answers to start orders are lost.
    pub lost_start_answers: BTreeSet<Box<str>>,
    /// How the connections of the next starts break, by VM.
    pub broken_starts: BTreeMap<Box<str>, Vec<Break>>,
    /// Number of the next stop orders that are lost.
    pub lost_stops: u32,
    /// Whether the table answers calls.
    pub table_up: bool,
    /// Number of the next commits that take effect without an answer.
    pub lost_commit_answers: u32,
    /// Cap of each team, for daemons that start from now on.
    pub cap: Resources,
    /// Version of the configuration, for daemons that start from now on.
    pub config_version: u64,
    /// Whether the configuration does not have the queue, for daemons that start from now on.
    pub queue_is_away: bool,
    /// Advice on the queue, for daemons that start from now on.
    pub advice: Option<AdviceTiming>,
    /// VMs that the advice service rejects.
    pub unadvised_vms: BTreeSet<Box<str>>,
    /// Priority of the queue, for daemons that start from now on.
    pub priority: u32,
    /// Priority of the batch queue, for daemons that start from now on; `None` without that queue.
    pub batch_priority: Option<u32>,
    /// Bound on starts in evacuated zones, for daemons that start from now on.
    pub evacuation_bound: Option<Duration>,
    /// VMs named in advice queries, with the time of the query.
    pub asked: Vec<(Now, Box<str>)>,
    /// Additional latency of each read of the table.
    pub table_latency: Duration,
    /// Time until which the table refuses all commits.
    pub commits_refused_until: Now,
    /// Time until which calls to the table neither take effect nor get an answer.
    pub table_silent_until: Now,
    /// Time until which commits take effect without an answer.
    pub commit_answers_lost_until: Now,
    /// Daemons and followed tables whose watches get no answer; all other calls work.
    pub lost_watch_answers: BTreeSet<(usize, Feed)>,
    /// Daemons and followed tables whose next watch finds its history expired.
    pub expired_histories: BTreeSet<(usize, Feed)>,
    /// Numbers of calls for the rows of followed tables.
    pub feed_calls: FeedCalls,
    /// Parts of the jobs' table that cannot be read.
    pub unreadable_parts: BTreeSet<Box<str>>,
    /// Ranges that daemons have read, as part and first key.
    pub reads: Vec<(Box<str>, Box<str>)>,
    /// Time until which the table refuses the placer's writes of progress.
    pub progress_refused_until: Now,
    /// Number of the placer's next writes of progress that neither take effect nor get an answer.
    pub silent_progress_writes: u32,
    /// Time until which no write of progress takes effect or gets an answer.
    pub progress_silent_until: Now,
    /// Number of the next heartbeats of a load that neither take effect nor get an answer.
    pub silent_loading_heartbeats: u32,
    /// Whether replacements of ended jobs' rows are held back without an answer.
    pub hold_archives: bool,
    /// Replacements that were held back.
    pub held_archives: Vec<Transaction>,
    /// Decisions that the daemons have logged.
    pub decisions: Vec<Decision>,
    /// Number of calls relayed between daemons.
    pub relays: u32,
    /// Number of the next relayed calls whose replies are lost.
    pub lost_relay_replies: u32,
    /// Number of probes of daemons' processes.
    pub probes: u32,
    /// Starts that took effect: time, task, run number and VM.
    pub starts: Vec<(Now, TaskName, u64, Box<str>)>,
    /// Checks of VMs before starts: time and VM.
    pub checks: Vec<(Now, Box<str>)>,
    /// Crashes of VMs.
    pub crashes: Crashes,
    pub late_commits: LateCommits,
    /// Ordered speeds in percent, by task.
    pub speed_orders: Vec<(TaskName, u32)>,
    stop_time: Duration,
    daemons: Vec<SimDaemon>,
    submissions: BTreeMap<Box<str>, Submission>,
    /// Tasks whose completion a placer has acknowledged.
    acknowledged: BTreeSet<TaskName>,
    pub(crate) table: SimTable,
    /// Changes of the VMs' rows that the placer has not received yet.
    pub(crate) pending_vm_rows: Vec<(u64, FeedRow)>,
    /// Messages in transit, by arrival time and number.
    messages: BTreeMap<(Now, u64), Message>,
    last_message: u64,
    pending_watches: Vec<PendingWatch>,
    pending_renewals: Vec<PendingRenewal>,
    /// Open connections for renewals, by daemon, lifetime of its process, and VM.
    connections: BTreeMap<(usize, u64, Box<str>), Connection>,
    last_connection: ConnectionId,
    /// Number of renewals that were sent to VMs.
    pub(crate) renewals: usize,
    replies: BTreeMap<Ticket, Reply>,
    /// Relayed calls, by the ticket at the daemon that handles them.
    relayed: BTreeMap<Ticket, RelayedCall>,
    last_ticket: Ticket,
}

impl Harness {
    /// Creates a cell of `daemons` daemons and `vms` VMs of 16 cores and runs it until it has
    /// started.
    pub(crate) fn new(daemons: usize, vms: usize) -> Self {
        Self::with_stop_time(daemons, vms, STOP_TIME)
    }

    /// Creates the same cell with VMs that take `stop_time` to stop a run.
    pub(crate) fn with_stop_time(daemons: usize, vms: usize, stop_time: Duration) -> Self {
        Self::start(&vec![HostCapacity::default(); daemons], vms, stop_time)
    }

    /// Creates the same cell with one daemon on a host of each of these capacities.
    pub(crate) fn with_hosts(hosts: &[HostCapacity], vms: usize) -> Self {
        Self::start(hosts, vms, STOP_TIME)
    }

    fn start(hosts: &[HostCapacity], vms: usize, stop_time: Duration) -> Self {
        let capacity = Resources::new(16_000, 64_000, 0, u32::MAX);
        let vms = (0..vms).map(|ix| {
            let id: Box<str> = format!("vm-{ix}").into();
            let mut vm = SimVm::new(&id, capacity);
            vm.stop_time = stop_time;
            (id, vm)
        });
        let mut harness = Self {
            now: Now::ZERO,
            vms: vms.collect(),
            remaining_failures: BTreeMap::new(),
            silent_vms: BTreeSet::new(),
            clock_lags: BTreeMap::new(),
            cut_paths: BTreeSet::new(),
            lost_start_answers: BTreeSet::new(),
            broken_starts: BTreeMap::new(),
            lost_stops: 0,
            table_up: true,
            lost_commit_answers: 0,
            cap: Resources::ZERO,
            config_version: 1,
            queue_is_away: false,
            advice: None,
            unadvised_vms: BTreeSet::new(),
            priority: 0,
            batch_priority: None,
            evacuation_bound: None,
            asked: Vec::new(),
            table_latency: Duration::ZERO,
            commits_refused_until: Now::ZERO,
            table_silent_until: Now::ZERO,
            commit_answers_lost_until: Now::ZERO,
            lost_watch_answers: BTreeSet::new(),
            expired_histories: BTreeSet::new(),
            feed_calls: FeedCalls::default(),
            unreadable_parts: BTreeSet::new(),
            reads: Vec::new(),
            progress_refused_until: Now::ZERO,
            silent_progress_writes: 0,
            progress_silent_until: Now::ZERO,
            silent_loading_heartbeats: 0,
            hold_archives: false,
            held_archives: Vec::new(),
            decisions: Vec::new(),
            relays: 0,
            lost_relay_replies: 0,
            probes: 0,
            starts: Vec::new(),
            checks: Vec::new(),
            crashes: Crashes::default(),
            late_commits: LateCommits::default(),
            speed_orders: Vec::new(),
            stop_time,
            daemons: Vec::new(),
            submissions: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            table: SimTable::default(),
            pending_vm_rows: Vec::new(),
            messages: BTreeMap::new(),
            last_message: 0,
            pending_watches: Vec::new(),
            pending_renewals: Vec::new(),
            connections: BTreeMap::new(),
            last_connection: 0,
            renewals: 0,
            replies: BTreeMap::new(),
            relayed: BTreeMap::new(),
            last_ticket: 0,
        };
        for (ix, &capacity) in hosts.iter().enumerate() {
            let name = format!("entry-{ix}");
            harness.daemons.push(SimDaemon {
                state: Workload::new(options(&name, capacity, 1, stop_time)),
                name: name.into(),
                capacity,
                up: true,
                host_down: false,
                table_reachable: true,
                lifetime: 1,
                wake_at: Some(Now::ZERO),
                link: Link::default(),
                processor: Processor::default(),
            });
        }
        harness.run_for(2_000);
        harness
    }

    /// Advances the simulation by `millis` milliseconds.
    pub(crate) fn run_for(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.step();
            self.now += STEP;
        }
    }

    /// Returns the index of the placer's daemon, if there is a placer.
    pub(crate) fn placer(&mut self) -> Option<usize> {
        let is_placer = |daemon: &mut SimDaemon| daemon.up && daemon.state.epoch().is_some();
        let mut list = self.daemons.iter_mut().enumerate();
        list.find_map(|(ix, daemon)| is_placer(daemon).then_some(ix))
    }

    /// Returns the number of daemons that are placers.
    pub(crate) fn placer_count(&mut self) -> usize {
        let daemons = self.daemons.iter_mut().filter(|daemon| daemon.up);
        daemons.filter_map(|daemon| daemon.state.epoch()).count()
    }

    /// Returns the epoch of the placer, if there is one.
    pub(crate) fn epoch(&mut self) -> Option<u64> {
        let placer = self.placer()?;
        self.daemons[placer].state.epoch()
    }

    /// Returns the status that a daemon reports as metrics.
    pub(crate) fn status(&mut self, daemon: usize) -> Status {
        self.daemons[daemon].state.status(self.now)
    }

    /// Sets whether a daemon can reach the table.
    pub(crate) fn set_table_reachable(&mut self, daemon: usize, reachable: bool) {
        self.daemons[daemon].table_reachable = reachable;
    }

    /// Sets the rate of a daemon's link, in bytes per millisecond.
    pub(crate) fn set_link_rate(&mut self, daemon: usize, rate: u64) {
        self.daemons[daemon].link.rate = Some(rate);
    }

    /// Sets the processor time that the work of all daemons takes.
    pub(crate) fn set_costs(&mut self, costs: Costs) {
        for daemon in &mut self.daemons {
            daemon.processor.costs = Some(costs);
        }
    }

    /// Simulates one point in time: transfers, VMs, ticks, messages and delayed answers.
    fn step(&mut self) {
        self.advance_links();
        for vm in self.vms.values_mut() {
            vm.advance(self.now);
        }
        self.advance_crashes();
        self.advance_late_commits();
        self.tick_daemons();
        while let Some(message) = self.next_message() {
            match message {
                Message::Request(daemon, lifetime, req) => {
                    self.handle_request(daemon, lifetime, req);
                }
                Message::Answer(daemon, lifetime, answer) => {
                    if let Some(at) = self.busy_after(daemon) {
                        self.defer(at, Message::Answer(daemon, lifetime, answer));
                        continue;
                    }
                    if self.is_alive(daemon, lifetime) {
                        self.feed_calls.remove(daemon, &answer);
                        self.apply(daemon, Event::Answer(answer));
                    }
                }
            }
        }
        self.answer_pending();
    }

    /// Advances the transfers of all daemons and delivers the answers that are complete.
    fn advance_links(&mut self) {
        for ix in 0..self.daemons.len() {
            let daemon = &mut self.daemons[ix];
            let lifetime = daemon.lifetime;
            for answer in daemon.link.advance(self.now) {
                self.answer(ix, lifetime, answer);
            }
        }
    }

    fn next_message(&mut self) -> Option<Message> {
        let first = *self.messages.first_key_value()?.0;
        (first.0 <= self.now).then(|| self.messages.remove(&first))?
    }

    /// Returns the time until which a daemon's processor is busy, if that is past this step.
    fn busy_after(&self, daemon: usize) -> Option<Now> {
        let end = self.now + STEP;
        self.daemons[daemon].processor.busy_after(end)
    }

    /// Puts a message back until a time, behind those that wait for that time already.
    fn defer(&mut self, at: Now, message: Message) {
        self.last_message += 1;
        self.messages.insert((at, self.last_message), message);
    }

    fn tick_daemons(&mut self) {
        for ix in 0..self.daemons.len() {
            if self.busy_after(ix).is_some() {
                continue;
            }
            let daemon = &self.daemons[ix];
            if daemon.up && daemon.wake_at.is_some_and(|at| self.now >= at) {
                let lag = self.clock_lags.get(&ix).copied().unwrap_or_default();
                let unix_time = (START_TIME + self.now).saturating_sub(lag);
                self.apply(ix, Event::Tick { unix_time });
            }
        }
    }

    /// Applies an event to a daemon and performs the effects.
    fn apply(&mut self, ix: usize, event: Event) {
        let daemon = &mut self.daemons[ix];
        let started_at = Instant::now();
        let effects = daemon.state.step(self.now, event);
        daemon.processor.record_step(started_at.elapsed());
        daemon.wake_at = daemon.state.wake_at(self.now);
        let lifetime = daemon.lifetime;
        let requests = count_requests(&effects);
        let work = daemon.state.work();
        let step_time = daemon.processor.handle(self.now, requests, work.vm_scans);
        daemon.state.record_step_time(step_time);
        for effect in effects {
            match effect {
                Effect::Send(req) => {
                    self.feed_calls.add(ix, &req);
                    self.send_after(MESSAGE_DELAY, Message::Request(ix, lifetime, req));
                }
                Effect::Reply(ticket, reply) => self.handle_reply(ticket, reply),
                Effect::Log(decision) => self.decisions.push(decision),
                Effect::Exit => self.kill(ix),
            }
        }
    }

    fn send_after(&mut self, delay: Duration, message: Message) {
        self.last_message += 1;
        self.messages
            .insert((self.now + delay, self.last_message), message);
    }

    /// Transfers an answer of the table to a daemon within a time limit.
    fn transfer(&mut self, daemon: usize, lifetime: u64, answer: Answer, limit: Duration) {
        if !self.is_alive(daemon, lifetime) {
            return;
        }
        let link = &mut self.daemons[daemon].link;
        if let Some(answer) = link.start(self.now, answer, limit) {
            self.answer(daemon, lifetime, answer);
        }
    }

    fn answer(&mut self, daemon: usize, lifetime: u64, answer: Answer) {
        let delay = match answer {
            Answer::Committed(..) => self.table_latency * COMMIT_LATENCY_FACTOR,
            Answer::Read(..) | Answer::Feed(..) => self.table_latency,
            _ => Duration::ZERO,
        };
        let message = Message::Answer(daemon, lifetime, answer);
        self.send_after(MESSAGE_DELAY + delay, message);
    }

    fn is_alive(&self, daemon: usize, lifetime: u64) -> bool {
        self.daemons[daemon].up && self.daemons[daemon].lifetime == lifetime
    }
}
