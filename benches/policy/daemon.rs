//! Reducer of one daemon with a simulated platform table, membership list and VMs that answer at
//! once, to measure the daemon's cost by size.

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

/// Interval between ticks, as in the daemon.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

const ZONE: &str = "zone-1";

const CAPACITY: Resources = Resources::new(32_000, 131_072, 0, 256);

/// Time, number and bytes of the events of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub time: Duration,
    pub events: u32,
    pub bytes: u64,
}

impl Cost {
    /// Returns the mean time per event, in microseconds.
    pub fn micros_per_event(&self) -> f64 {
        self.time.as_secs_f64() * 1e6 / f64::from(self.events.max(1))
    }

    /// Returns the mean number of bytes per event.
    #[allow(clippy::cast_precision_loss)]
    pub fn bytes_per_event(&self) -> f64 {
        self.bytes as f64 / f64::from(self.events.max(1))
    }

    fn add(&mut self, time: Duration) {
        self.time += time;
        self.events += 1;
    }
}

/// Costs of the events, by kind.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    pub ticks: Cost,
    /// Syncs without starts: number and JSON bytes only.
    pub syncs: Cost,
    /// Answers to the syncs without starts, with JSON bytes.
    pub answers: Cost,
    /// Outcomes of transactions; the bytes are those of the transactions as JSON.
    pub commits: Cost,
    pub requests: Cost,
    pub attempts: Cost,
    pub submits: Cost,
    pub members: Cost,
    pub rows: Cost,
    /// Size of the largest transaction, in bytes of JSON.
    pub largest_commit: usize,
}

/// A daemon's reducer with a simulated environment.
pub struct SimDaemon {
    pub state: State,
    pub now: Now,
    pub costs: Costs,
    members: Vec<Member>,
    running: HashMap<VmId, Vec<RunningTask>>,
    rows: Vec<(Feed, Row)>,
    rev: Rev,
    ticket: u64,
}

impl SimDaemon {
    /// Returns a daemon of a zone with the given numbers of worker VMs and endpoints.
    pub fn new(workers: usize, endpoints: usize) -> Self {
        let mut members = vec![entry_vm()];
        members.extend((0..workers).map(worker_vm));
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

    /// Writes a record to the table.
    pub fn write_record(&mut self, key: &str, value: &impl Serialize) {
        self.rev += 1;
        let row = Row {
            key: key.into(),
            version: self.rev,
            value: serde_json::to_string(value).ok().map(Into::into),
        };
        self.rows.push((Feed::Records, row));
    }

    /// Returns the size of the membership list as JSON, in bytes.
    pub fn member_list_bytes(&self) -> usize {
        serde_json::to_vec(&self.members).map_or(0, |text| text.len())
    }

    /// Ticks for a period of virtual time.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK_INTERVAL;
            let time = self.deliver(Event::Tick);
            self.costs.ticks.add(time);
        }
    }

    /// Returns the number of tasks on all VMs.
    pub fn running_tasks(&self) -> usize {
        self.running.values().map(Vec::len).sum()
    }

    /// Delivers a call under a new ticket; returns the time of the step.
    pub fn call(&mut self, call: Call) -> Duration {
        self.ticket += 1;
        let ticket = self.ticket;
        self.deliver(Event::Call { ticket, call })
    }

    /// Steps the reducer with an event, then executes the effects, which deliver further events.
    /// Returns the time of the first step.
    pub fn deliver(&mut self, event: Event) -> Duration {
        let start = Instant::now();
        let effects = step(&mut self.state, self.now, event);
        let time = start.elapsed();
        for effect in effects {
            self.execute(effect);
        }
        time
    }

    fn execute(&mut self, effect: Effect) {
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
                let time = self.deliver(Event::Platform(PlatformEvent::Changes {
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
                let time = self.deliver(Event::Platform(PlatformEvent::Members { sent, members }));
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
                let outcome = TxnOutcome::Committed(rows);
                let time = self.deliver(Event::Platform(PlatformEvent::Txn { token, outcome }));
                self.costs.commits.add(time);
            }
            Effect::SyncVm { vm, sync, .. } => self.answer_sync(vm, &sync),
            Effect::Dispatch {
                ticket, attempt, ..
            } => {
                let outcome = AttemptOutcome::Complete;
                let time = self.deliver(Event::Attempt {
                    ticket,
                    attempt,
                    outcome,
                });
                self.costs.attempts.add(time);
            }
            _ => {}
        }
    }

    /// Starts the tasks of a sync and delivers the VM's answer.
    fn answer_sync(&mut self, vm: VmId, sync: &VmSync) {
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
        let is_renewal = sync.starts.is_empty();
        let (sent, answer) = (self.now, Some(answer));
        let time = self.deliver(Event::VmReplied { vm, sent, answer });
        if is_renewal {
            self.costs.answers.add(time);
        }
    }
}

fn entry_vm() -> Member {
    Member::entry("daemon-1", "10.0.0.1:7000", "10.0.0.1:7001", ZONE)
}

pub fn worker_vm(n: usize) -> Member {
    let address = format!("10.1.{}.{}:7100", n / 250, n % 250);
    let rack = format!("rack-{}", n / 6);
    Member::worker(&format!("worker-{n:05}"), &address, ZONE, &rack, CAPACITY)
}

fn endpoint(n: usize) -> Member {
    let address = format!("10.2.{}.{}:7200", n / 250, n % 250);
    Member::endpoint(&address, ZONE, "service-0", 8, 64)
}
