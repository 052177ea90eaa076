//! Daemons, a table and VMs that exchange messages in virtual time.

mod outside;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::Ticket;
use ragwortstall::core::workload::Effect;
use ragwortstall::core::workload::Event;
use ragwortstall::core::workload::Options;
use ragwortstall::core::workload::Workload;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::Call;
use ragwortstall::core::workload::event::FeedCall;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::status::Status;
use ragwortstall::core::workload::submission::Submission;
use ragwortstall::core::workload::task::TaskName;

use crate::catalog::KEY;
use crate::table::SimTable;
use crate::vm::STOP_TIME;
use crate::vm::SimVm;

/// Time that a message takes one way.
const DELAY: Duration = Duration::from_millis(1);

/// Time of a transaction on a slow table, for one of a read.
const COMMIT_FACTOR: u32 = 4;

/// Wall time at the start.
pub(crate) const EPOCH: Duration = Duration::from_secs(1_700_000_000);

/// A daemon and whether it runs.
struct SimDaemon {
    state: Workload,
    name: Box<str>,
    up: bool,
    /// Whether its host is gone as well.
    dark: bool,
    /// Whether it reaches the table.
    sees_table: bool,
    life: u64,
    wake: Option<Now>,
}

/// What happens at a time.
enum Due {
    Arrive(usize, u64, Request),
    Answer(usize, u64, Answer),
}

/// A watch that waits for a change.
struct Watch {
    daemon: usize,
    life: u64,
    call: FeedCall,
    after: u64,
    until: Now,
}

/// A renewal that waits for an end.
struct Held {
    daemon: usize,
    life: u64,
    req: Request,
    until: Now,
}

/// All of it.
pub(crate) struct World {
    pub now: Now,
    pub vms: BTreeMap<Box<str>, SimVm>,
    /// Tasks that fail on their next runs, and how often.
    pub failing: BTreeMap<TaskName, u32>,
    /// VMs whose answers to starts are lost.
    pub mute_starts: BTreeSet<Box<str>>,
    /// Number of the next orders to stop that are lost.
    pub lost_stops: u32,
    pub table_up: bool,
    /// Number of the next commits that take effect without an answer.
    pub lost_commits: u32,
    /// Cap of the team, for daemons that start from now on.
    pub cap: Resources,
    /// Additional time that the table takes for each read.
    pub table_delay: Duration,
    /// Time up to which the table refuses all commits.
    pub busy_until: Now,
    /// Time up to which no call on the table is answered, and none takes effect.
    pub silent_until: Now,
    /// Time up to which commits take effect without an answer.
    pub mute_until: Now,
    /// Lines of the log.
    pub logged: Vec<Decision>,
    /// Looks whether a daemon's process is there.
    pub looks: u32,
    pub starts: Vec<(Now, TaskName, u64, Box<str>)>,
    /// Speeds ordered, in percent.
    pub paces: Vec<(TaskName, u32)>,
    stop_time: Duration,
    daemons: Vec<SimDaemon>,
    jobs: BTreeMap<Box<str>, Submission>,
    done: BTreeSet<TaskName>,
    pub(crate) table: SimTable,
    /// Changes of the VMs' rows that the placer has not yet heard of.
    pub(crate) vm_rows: Vec<(u64, FeedRow)>,
    queue: BTreeMap<(Now, u64), Due>,
    sequence: u64,
    watches: Vec<Watch>,
    held: Vec<Held>,
    replies: BTreeMap<Ticket, Reply>,
    tickets: Ticket,
}

impl World {
    /// A cell of so many daemons and VMs of 16 cores, after its start.
    pub(crate) fn new(daemons: usize, vms: usize) -> Self {
        Self::with_stop_time(daemons, vms, STOP_TIME)
    }

    /// The same with VMs that take so long for a stop.
    pub(crate) fn with_stop_time(daemons: usize, vms: usize, stop_time: Duration) -> Self {
        let capacity = Resources::new(16_000, 64_000, 0, u32::MAX);
        let vms = (0..vms).map(|ix| {
            let id: Box<str> = format!("vm-{ix}").into();
            let mut vm = SimVm::new(&id, capacity);
            vm.stop_time = stop_time;
            (id, vm)
        });
        let mut world = Self {
            now: Now::ZERO,
            vms: vms.collect(),
            failing: BTreeMap::new(),
            mute_starts: BTreeSet::new(),
            lost_stops: 0,
            table_up: true,
            lost_commits: 0,
            cap: Resources::ZERO,
            table_delay: Duration::ZERO,
            busy_until: Now::ZERO,
            silent_until: Now::ZERO,
            mute_until: Now::ZERO,
            logged: Vec::new(),
            looks: 0,
            starts: Vec::new(),
            paces: Vec::new(),
            stop_time,
            daemons: Vec::new(),
            jobs: BTreeMap::new(),
            done: BTreeSet::new(),
            table: SimTable::default(),
            vm_rows: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            watches: Vec::new(),
            held: Vec::new(),
            replies: BTreeMap::new(),
            tickets: 0,
        };
        for ix in 0..daemons {
            let name = format!("entry-{ix}");
            world.daemons.push(SimDaemon {
                state: Workload::new(options(&name, 1, stop_time)),
                name: name.into(),
                up: true,
                dark: false,
                sees_table: true,
                life: 1,
                wake: Some(Now::ZERO),
            });
        }
        world.run_for(2_000);
        world
    }

    /// Lets so many milliseconds pass.
    pub(crate) fn run_for(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.step();
            self.now += Duration::from_millis(1);
        }
    }

    /// Submits a job by way of a daemon and waits for the answer.
    pub(crate) fn submit(&mut self, daemon: usize, id: &str, job: Submission) -> Reply {
        self.submit_as(KEY, daemon, id, job)
    }

    /// The same with the key of a team.
    pub(crate) fn submit_as(
        &mut self,
        key: &str,
        daemon: usize,
        id: &str,
        job: Submission,
    ) -> Reply {
        self.jobs.insert(id.into(), job.clone());
        self.call_as(key, daemon, id, Action::Submit(Ok(job)))
    }

    /// State of a job, as a daemon tells it.
    pub(crate) fn state(&mut self, daemon: usize, id: &str) -> Option<JobState> {
        match self.call(daemon, id, Action::Get) {
            Reply::State(state) => Some(state),
            _ => None,
        }
    }

    /// Sends a call and waits up to three seconds for its answer.
    pub(crate) fn call(&mut self, daemon: usize, id: &str, action: Action) -> Reply {
        self.call_as(KEY, daemon, id, action)
    }

    /// The same with the key of a team.
    pub(crate) fn call_as(&mut self, key: &str, daemon: usize, id: &str, action: Action) -> Reply {
        self.tickets += 1;
        let ticket = self.tickets;
        let call = Call {
            host: "labels.example".into(),
            path: format!("/jobs/{id}").into(),
            key: Some(key.into()),
            action,
        };
        self.feed(daemon, Event::Call { ticket, call });
        for _ in 0..3_000 {
            if let Some(reply) = self.replies.remove(&ticket) {
                return reply;
            }
            self.run_for(1);
        }
        panic!("no answer to a call about {id}");
    }

    /// The daemon that places, if one does.
    pub(crate) fn placer(&mut self) -> Option<usize> {
        let placing = |daemon: &mut SimDaemon| daemon.up && daemon.state.epoch().is_some();
        let mut list = self.daemons.iter_mut().enumerate();
        list.find_map(|(ix, daemon)| placing(daemon).then_some(ix))
    }

    /// Epoch of the daemon that places, if one does.
    pub(crate) fn epoch(&mut self) -> Option<u64> {
        let placer = self.placer()?;
        self.daemons[placer].state.epoch()
    }

    /// What a daemon tells for metrics.
    pub(crate) fn status(&mut self, daemon: usize) -> Status {
        self.daemons[daemon].state.status(self.now)
    }

    /// Ends a daemon's process.
    pub(crate) fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].up = false;
        self.daemons[daemon].life += 1;
    }

    /// Ends a daemon's process and its host.
    pub(crate) fn cut_power(&mut self, daemon: usize) {
        self.kill(daemon);
        self.daemons[daemon].dark = true;
    }

    /// Starts a daemon's process again.
    pub(crate) fn revive(&mut self, daemon: usize) {
        let one = &mut self.daemons[daemon];
        one.up = true;
        one.dark = false;
        one.state = Workload::new(options(&one.name, one.life, self.stop_time));
        one.wake = Some(self.now);
    }

    /// Cuts a daemon off from the table, or heals that.
    pub(crate) fn cut_from_table(&mut self, daemon: usize, cut: bool) {
        self.daemons[daemon].sees_table = !cut;
    }

    fn step(&mut self) {
        for vm in self.vms.values_mut() {
            vm.advance(self.now);
        }
        self.wake_daemons();
        while let Some(due) = self.next_due() {
            match due {
                Due::Arrive(daemon, life, req) => self.arrive(daemon, life, req),
                Due::Answer(daemon, life, answer) => {
                    if self.is_alive(daemon, life) {
                        self.feed(daemon, Event::Answer(answer));
                    }
                }
            }
        }
        self.serve_waiting();
    }

    fn next_due(&mut self) -> Option<Due> {
        let first = *self.queue.first_key_value()?.0;
        (first.0 <= self.now).then(|| self.queue.remove(&first))?
    }

    fn wake_daemons(&mut self) {
        for ix in 0..self.daemons.len() {
            let daemon = &self.daemons[ix];
            if daemon.up && daemon.wake.is_some_and(|at| self.now >= at) {
                let unix_time = EPOCH + self.now;
                self.feed(ix, Event::Tick { unix_time });
            }
        }
    }

    fn feed(&mut self, ix: usize, event: Event) {
        let daemon = &mut self.daemons[ix];
        let effects = daemon.state.step(self.now, event);
        daemon.wake = daemon.state.wake_at(self.now);
        let life = daemon.life;
        for effect in effects {
            match effect {
                Effect::Send(req) => self.at(DELAY, Due::Arrive(ix, life, req)),
                Effect::Reply(ticket, reply) => {
                    self.replies.insert(ticket, reply);
                }
                Effect::Log(decision) => self.logged.push(decision),
                Effect::Exit => {}
            }
        }
    }

    fn at(&mut self, delay: Duration, due: Due) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), due);
    }

    fn answer(&mut self, daemon: usize, life: u64, answer: Answer) {
        let delay = match answer {
            Answer::Committed(..) => self.table_delay * COMMIT_FACTOR,
            Answer::Read(..) | Answer::Feed(..) => self.table_delay,
            _ => Duration::ZERO,
        };
        self.at(DELAY + delay, Due::Answer(daemon, life, answer));
    }

    fn is_alive(&self, daemon: usize, life: u64) -> bool {
        self.daemons[daemon].up && self.daemons[daemon].life == life
    }
}

fn options(name: &str, life: u64, stop_time: Duration) -> Options {
    let digits = name.bytes().map(u64::from).sum::<u64>();
    let mut options = Options::new(name, "zone-a", digits * 37 + life);
    options.vms.stop_timeout = stop_time;
    options.peer_address = name.into();
    options
}
