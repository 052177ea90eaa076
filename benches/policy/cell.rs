//! One daemon's reducer with a table, a membership list and VMs that answer at once, to measure what
//! it costs by size.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use ragwortstall::core::Effect;
use ragwortstall::core::Event;
use ragwortstall::core::Options;
use ragwortstall::core::State;
use ragwortstall::core::event::AttemptOutcome;
use ragwortstall::core::event::Call;
use ragwortstall::core::event::Feed;
use ragwortstall::core::event::PlatformEvent;
use ragwortstall::core::event::TxnOutcome;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::Rev;
use ragwortstall::core::model::Row;
use ragwortstall::core::model::RunningTask;
use ragwortstall::core::model::TaskState;
use ragwortstall::core::model::VmId;
use ragwortstall::core::model::VmReport;
use ragwortstall::core::model::VmSync;
use ragwortstall::core::model::VmSyncAnswer;
use ragwortstall::core::step;
use serde::Serialize;

/// Time between ticks, as in the daemon.
pub const TICK: Duration = Duration::from_millis(20);

const ZONE: &str = "zone-1";

const CAPACITY: Resources = Resources::new(32_000, 131_072, 0, 256);

/// Time and number of the events of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub time: Duration,
    pub events: u32,
    pub bytes: u64,
}

impl Cost {
    /// Microseconds an event.
    pub fn micros(&self) -> f64 {
        self.time.as_secs_f64() * 1e6 / f64::from(self.events.max(1))
    }

    /// Bytes an event.
    #[allow(clippy::cast_precision_loss)]
    pub fn size(&self) -> f64 {
        self.bytes as f64 / f64::from(self.events.max(1))
    }

    fn add(&mut self, time: Duration) {
        self.time += time;
        self.events += 1;
    }
}

/// What a cell's messages cost.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    pub ticks: Cost,
    /// Answers of VMs; bytes are those of the sync and of its answer.
    pub syncs: Cost,
    pub answers: Cost,
    pub commits: Cost,
    pub requests: Cost,
    pub attempts: Cost,
    pub submits: Cost,
    pub members: Cost,
    pub rows: Cost,
    pub largest_commit: usize,
}

/// The reducer and what it talks to.
pub struct Cell {
    pub state: State,
    pub now: Now,
    pub costs: Costs,
    members: Vec<Member>,
    running: HashMap<VmId, Vec<RunningTask>>,
    rows: Vec<(Feed, Row)>,
    rev: Rev,
    ticket: u64,
}

impl Cell {
    /// Returns a daemon of a zone with so many worker VMs and endpoints.
    pub fn new(workers: usize, endpoints: usize) -> Self {
        let mut members = vec![entry()];
        members.extend((0..workers).map(worker));
        members.extend((0..endpoints).map(endpoint));
        Self {
            state: State::new(Options::new("daemon-1".into(), ZONE.into())),
            now: Now::ZERO,
            costs: Costs::default(),
            members,
            running: HashMap::new(),
            rows: Vec::new(),
            rev: 0,
            ticket: 0,
        }
    }

    /// Writes a record.
    pub fn record(&mut self, key: &str, value: &impl Serialize) {
        self.rev += 1;
        let row = Row {
            key: key.into(),
            version: self.rev,
            value: serde_json::to_string(value).ok().map(Into::into),
        };
        self.rows.push((Feed::Records, row));
    }

    /// Bytes of the membership list as the platform sends it.
    pub fn list_bytes(&self) -> usize {
        serde_json::to_vec(&self.members).map_or(0, |text| text.len())
    }

    /// Ticks for a time; everything asked for is answered at once.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            let time = self.feed(Event::Tick);
            self.costs.ticks.add(time);
        }
    }

    /// Number of tasks that the VMs run.
    pub fn tasks(&self) -> usize {
        self.running.values().map(Vec::len).sum()
    }

    /// Submits a call under a new ticket.
    pub fn call(&mut self, call: Call) -> Duration {
        self.ticket += 1;
        let ticket = self.ticket;
        self.feed(Event::Call { ticket, call })
    }

    /// Steps the reducer and all that follows at once; returns the time of the first step.
    pub fn feed(&mut self, event: Event) -> Duration {
        let begin = Instant::now();
        let effects = step(&mut self.state, self.now, event);
        let time = begin.elapsed();
        for effect in effects {
            self.carry_out(effect);
        }
        time
    }

    fn carry_out(&mut self, effect: Effect) {
        let sent = self.now;
        match effect {
            Effect::Poll { feed, after } => {
                let newer = |row: &&(Feed, Row)| row.0 == feed && row.1.version > after;
                let rows: Vec<Row> = self
                    .rows
                    .iter()
                    .filter(newer)
                    .map(|(_, row)| row.clone())
                    .collect();
                let rev = self.rev;
                let count = u32::try_from(rows.len()).unwrap_or(u32::MAX);
                let time = self.feed(Event::Platform(PlatformEvent::Changes {
                    feed,
                    sent,
                    rows,
                    rev,
                }));
                if count > 0 {
                    self.costs.rows.time += time;
                    self.costs.rows.events += count;
                }
            }
            Effect::PollMembers => {
                let members = self.members.clone();
                let time = self.feed(Event::Platform(PlatformEvent::Members { sent, members }));
                self.costs.members.add(time);
            }
            Effect::Commit { token, txn } => {
                self.rev += 1;
                let version = self.rev;
                let rows: Vec<Row> = txn
                    .writes
                    .iter()
                    .map(|write| Row {
                        key: write.key.clone(),
                        version,
                        value: write.value.clone(),
                    })
                    .collect();
                let bytes = serde_json::to_vec(&txn).map_or(0, |text| text.len());
                self.costs.commits.bytes += bytes as u64;
                self.costs.largest_commit = self.costs.largest_commit.max(bytes);
                for row in &rows {
                    let work = row.key.starts_with("job/") || row.key.starts_with("escrow/");
                    let feed = if work { Feed::Work } else { Feed::Records };
                    self.rows.retain(|(_, old)| old.key != row.key);
                    self.rows.push((feed, row.clone()));
                }
                let end = TxnOutcome::Committed(rows);
                let time = self.feed(Event::Platform(PlatformEvent::Txn {
                    token,
                    outcome: end,
                }));
                self.costs.commits.add(time);
            }
            Effect::SyncVm { vm, sync, .. } => self.sync(vm, &sync),
            Effect::Dispatch {
                ticket, attempt, ..
            } => {
                let end = AttemptOutcome::Complete;
                let time = self.feed(Event::Attempt {
                    ticket,
                    attempt,
                    outcome: end,
                });
                self.costs.attempts.add(time);
            }
            _ => {}
        }
    }

    fn sync(&mut self, vm: VmId, sync: &VmSync) {
        let tasks = self.running.entry(vm.clone()).or_default();
        tasks.extend(sync.starts.iter().map(|start| RunningTask {
            task: start.task.clone(),
            team: start.team.clone(),
            size: start.size,
            used: start.size,
            state: TaskState::Running,
        }));
        let report = VmReport {
            running: tasks.clone(),
            ..VmReport::default()
        };
        let answer = VmSyncAnswer::Granted(report);
        let bytes = |value: &dyn Fn() -> serde_json::Result<Vec<u8>>| {
            value().map_or(0, |text| text.len() as u64)
        };
        if sync.starts.is_empty() {
            self.costs.syncs.bytes += bytes(&|| serde_json::to_vec(sync));
            self.costs.answers.bytes += bytes(&|| serde_json::to_vec(&answer));
            self.costs.syncs.events += 1;
        }
        let plain = sync.starts.is_empty();
        let (sent, answer) = (self.now, Some(answer));
        let time = self.feed(Event::VmReplied { vm, sent, answer });
        if plain {
            self.costs.answers.add(time);
        }
    }
}

fn entry() -> Member {
    Member::entry("daemon-1", "10.0.0.1:7000", "10.0.0.1:7001", ZONE)
}

/// A worker VM of the zone.
pub fn worker(n: usize) -> Member {
    let address = format!("10.1.{}.{}:7100", n / 250, n % 250);
    let rack = format!("rack-{}", n / 6);
    Member::worker(&format!("worker-{n:05}"), &address, ZONE, &rack, CAPACITY)
}

fn endpoint(n: usize) -> Member {
    let address = format!("10.2.{}.{}:7200", n / 250, n % 250);
    Member::endpoint(&address, ZONE, "service-0", 8, 64)
}
