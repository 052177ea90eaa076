//! A cell in virtual time: daemons as reducer states, pure models of VMs and platform, and a queue
//! of what arrives when.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use ragwortstall::core::Event;
use ragwortstall::core::State;
use ragwortstall::core::effect::Answer;
use ragwortstall::core::model::JobId;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::TeamId;
use ragwortstall::core::model::Ticket;
use ragwortstall::core::model::Txn;
use ragwortstall::core::model::VmSync;
use ragwortstall::core::timeline::TimelineEvent;
use ragwortstall_standins::platform::Members;
use ragwortstall_standins::platform::Table;
use ragwortstall_standins::worker::VmModel;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::check::Decisions;
use super::network::Network;
use super::network::Node;
use super::plan::Plan;
use super::plan::Setup;

/// Number of a call that waits for its answer.
pub type CallId = u64;

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub enum Item {
    /// A daemon's timer.
    Tick { daemon: usize, born: Duration },
    /// Something arrives at a daemon.
    Arrive {
        daemon: usize,
        born: Duration,
        event: Event,
    },
    /// A message arrives at a VM.
    ToVm {
        vm: usize,
        born: Duration,
        sync: VmSync,
        call: Option<CallId>,
    },
    /// A question arrives at the platform.
    ToPlatform { ask: Ask, call: Option<CallId> },
    /// An answer arrives, or the caller has waited too long.
    Reply { call: CallId, event: Event },
    /// The plan's next submission, cancellation or fault.
    Planned(Planned),
}

/// A question to the platform.
#[derive(Clone, Debug)]
pub enum Ask {
    Poll(ragwortstall::core::event::Feed, u64),
    Members,
    Commit(u64, Txn),
}

/// A part of the plan, by its position.
#[derive(Clone, Copy, Debug)]
pub enum Planned {
    Submit { work: usize, again: bool },
    Cancel { work: usize },
    Begin { fault: usize },
    End { fault: usize },
}

/// A call under way.
#[derive(Clone, Debug)]
pub struct Open {
    pub from: Node,
    pub born: Duration,
    /// Clock reading of the caller before it sent.
    pub sent: Now,
    /// Who was asked, and what.
    pub asked: Asked,
}

/// What a call asked for, to make its answer from.
#[derive(Clone, Debug)]
pub enum Asked {
    Vm,
    Peer(usize, ragwortstall::core::event::PeerMessage),
    Platform,
}

/// One daemon.
pub struct Daemon {
    pub state: Option<State>,
    /// When the process began.
    pub born: Duration,
    pub rate_ppm: i64,
    pub paused_until: Duration,
}

impl Daemon {
    /// Reading of the process's clock.
    pub fn clock(&self, now: Duration) -> Now {
        drifted(now.saturating_sub(self.born), self.rate_ppm)
    }
}

/// One VM.
pub struct Vm {
    pub born: Duration,
    pub rate_ppm: i64,
    pub up: bool,
    pub paused_until: Duration,
}

impl Vm {
    /// Reading of the VM's clock.
    pub fn clock(&self, now: Duration) -> Now {
        drifted(now, self.rate_ppm)
    }
}

/// A change of state, when and where it happened.
#[derive(Clone, Debug)]
pub struct Line {
    pub at: Duration,
    pub daemon: usize,
    pub happening: TimelineEvent,
}

/// What the callers of one job heard.
#[derive(Clone, Debug, Default)]
pub struct Told {
    pub submissions: usize,
    pub answers: Vec<Answer>,
}

impl Told {
    /// Whether every submission was refused.
    pub fn is_refused(&self) -> bool {
        let refusal = |answer: &Answer| matches!(answer, Answer::NotRun { .. });
        self.answers.len() == self.submissions && self.answers.iter().all(refusal)
    }

    /// Whether a submission was accepted.
    pub fn is_accepted(&self) -> bool {
        let acceptance = |answer: &Answer| matches!(answer, Answer::Accepted { .. });
        self.answers.iter().any(acceptance)
    }
}

/// The whole cell.
pub struct World {
    pub setup: Setup,
    pub plan: Plan,
    pub now: Duration,
    pub rng: SmallRng,
    pub queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pub items: BTreeMap<u64, Item>,
    pub calls: BTreeMap<CallId, Open>,
    pub counter: u64,
    pub network: Network,
    pub daemons: Vec<Daemon>,
    pub vms: Vec<Vm>,
    pub models: Vec<VmModel>,
    pub table: Table,
    pub members: Members,
    pub store_down_until: Duration,
    pub store_slow_until: Duration,
    pub answers_lost_until: Duration,
    pub limits: BTreeMap<TeamId, Resources>,
    pub tickets: BTreeMap<Ticket, JobId>,
    pub told: BTreeMap<JobId, Told>,
    pub decisions: Decisions,
    /// First decision that a check found wrong.
    pub broken: Option<String>,
    pub lines: Vec<Line>,
}

impl World {
    /// Adds something to the queue.
    pub fn push(&mut self, at: Duration, item: Item) {
        self.counter += 1;
        self.items.insert(self.counter, item);
        self.queue.push(Reverse((at, self.counter)));
    }

    /// Removes the next item of the queue.
    pub fn pop(&mut self) -> Option<(Duration, Item)> {
        let Reverse((at, id)) = self.queue.pop()?;
        let item = self.items.remove(&id)?;
        Some((at, item))
    }

    /// A job that was accepted, not cancelled, and has not come to its end.
    pub fn unfinished(&self) -> Option<JobId> {
        let open = |job: &JobId| {
            let row = self.table.row(&format!("job/{job}"));
            let active = |text: &str| text.contains("\"state\":\"active\"");
            row.value.as_deref().is_some_and(active)
        };
        self.told
            .iter()
            .find(|(job, told)| told.is_accepted() && open(job))
            .map(|(job, _)| job.clone())
    }

    /// Delays of a message's copies from now.
    pub fn delays(&mut self, from: Node, to: Node) -> Vec<Duration> {
        self.network.delays(self.now, from, to, &mut self.rng)
    }

    /// Zone of a daemon.
    pub fn daemon_zone(&self, daemon: usize) -> usize {
        daemon / self.setup.daemons_per_zone
    }

    /// A clock's drift within the bound; under opposed drift, of `sign` and as large as it may be.
    pub fn draw_rate(&mut self, sign: i64) -> i64 {
        let bound = i64::from(self.setup.drift_ppm);
        let drawn = self.rng.random_range(-bound..=bound);
        if self.setup.opposed_drift {
            sign * bound
        } else {
            drawn
        }
    }
}

/// A generator for a schedule.
pub fn generator(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}

fn drifted(elapsed: Duration, rate_ppm: i64) -> Duration {
    let part = elapsed * u32::try_from(rate_ppm.unsigned_abs()).unwrap_or(0) / 1_000_000;
    if rate_ppm < 0 {
        elapsed.saturating_sub(part)
    } else {
        elapsed + part
    }
}
