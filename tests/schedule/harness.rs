//! Simulated cell in virtual time: daemons as reducer states, simulated VMs and platform, and a
//! queue of deliveries.

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

use super::check::CompletedTasks;
use super::network::Network;
use super::network::Process;
use super::plan::Plan;
use super::plan::Setup;

/// Number of a pending call.
pub type CallId = u64;

/// Something delivered at a given time.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// A daemon's timer event.
    Tick { daemon: usize, started_at: Duration },
    /// An event for a daemon.
    ToDaemon {
        daemon: usize,
        started_at: Duration,
        event: Event,
    },
    /// A message to a VM.
    ToVm {
        vm: usize,
        started_at: Duration,
        sync: VmSync,
        call: Option<CallId>,
    },
    /// A request to the platform.
    ToPlatform {
        req: PlatformRequest,
        call: Option<CallId>,
    },
    /// The reply to a call, or its timeout.
    Reply { call: CallId, event: Event },
    /// A step of the plan.
    Plan(PlanStep),
}

/// A request to the platform.
#[derive(Clone, Debug)]
pub enum PlatformRequest {
    Poll(ragwortstall::core::event::Feed, u64),
    Members,
    Commit(u64, Txn),
}

/// A step of the plan, with the index of the submission or fault.
#[derive(Clone, Copy, Debug)]
pub enum PlanStep {
    Submit { submission: usize, repeated: bool },
    Cancel { submission: usize },
    BeginFault { fault: usize },
    EndFault { fault: usize },
}

/// A call that has not been answered.
#[derive(Clone, Debug)]
pub struct PendingCall {
    pub from: Process,
    pub started_at: Duration,
    /// Clock reading of the caller when it sent the request.
    pub sent: Now,
    /// Receiver of the call.
    pub target: CallTarget,
}

/// Receiver of a call; for a peer with the message, which its reply must contain.
#[derive(Clone, Debug)]
pub enum CallTarget {
    Vm,
    Peer(usize, ragwortstall::core::event::PeerMessage),
    Platform,
}

/// One daemon.
pub struct Daemon {
    pub state: Option<State>,
    /// Time at which the process started.
    pub started_at: Duration,
    pub drift_ppm: i64,
    pub paused_until: Duration,
}

impl Daemon {
    /// Returns the reading of the process's clock.
    pub fn clock(&self, now: Duration) -> Now {
        apply_drift(now.saturating_sub(self.started_at), self.drift_ppm)
    }
}

/// One VM.
pub struct Vm {
    pub started_at: Duration,
    pub drift_ppm: i64,
    pub up: bool,
    pub paused_until: Duration,
}

impl Vm {
    /// Returns the reading of the VM's clock.
    pub fn clock(&self, now: Duration) -> Now {
        apply_drift(now, self.drift_ppm)
    }
}

/// A timeline event, and when and where it occurred.
#[derive(Clone, Debug)]
pub struct TimelineEntry {
    pub at: Duration,
    pub daemon: usize,
    pub event: TimelineEvent,
}

/// Answers to the submissions of one job.
#[derive(Clone, Debug, Default)]
pub struct JobAnswers {
    pub submissions: usize,
    pub answers: Vec<Answer>,
}

impl JobAnswers {
    /// Returns whether every submission was answered as not run.
    pub fn is_refused(&self) -> bool {
        let refusal = |answer: &Answer| matches!(answer, Answer::NotRun { .. });
        self.answers.len() == self.submissions && self.answers.iter().all(refusal)
    }

    /// Returns whether a submission was accepted.
    pub fn is_accepted(&self) -> bool {
        let acceptance = |answer: &Answer| matches!(answer, Answer::Accepted { .. });
        self.answers.iter().any(acceptance)
    }
}

/// A simulated cell.
pub struct Harness {
    pub setup: Setup,
    pub plan: Plan,
    pub now: Duration,
    pub rng: SmallRng,
    pub queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pub deliveries: BTreeMap<u64, Delivery>,
    pub calls: BTreeMap<CallId, PendingCall>,
    pub counter: u64,
    pub network: Network,
    pub daemons: Vec<Daemon>,
    pub vms: Vec<Vm>,
    pub vm_models: Vec<VmModel>,
    pub table: Table,
    pub members: Members,
    pub platform_down_until: Duration,
    pub platform_slow_until: Duration,
    pub answers_lost_until: Duration,
    pub limits: BTreeMap<TeamId, Resources>,
    pub tickets: BTreeMap<Ticket, JobId>,
    pub job_answers: BTreeMap<JobId, JobAnswers>,
    pub completed_tasks: CompletedTasks,
    /// First violation found by a check of the timeline.
    pub violation: Option<String>,
    pub timeline: Vec<TimelineEntry>,
}

impl Harness {
    /// Adds a delivery to the queue.
    pub fn push(&mut self, at: Duration, delivery: Delivery) {
        self.counter += 1;
        self.deliveries.insert(self.counter, delivery);
        self.queue.push(Reverse((at, self.counter)));
    }

    /// Removes and returns the next delivery.
    pub fn pop(&mut self) -> Option<(Duration, Delivery)> {
        let Reverse((at, id)) = self.queue.pop()?;
        let delivery = self.deliveries.remove(&id)?;
        Some((at, delivery))
    }

    /// Returns a job that was accepted and is still active.
    pub fn unfinished_job(&self) -> Option<JobId> {
        let open = |job: &JobId| {
            let row = self.table.row(&format!("job/{job}"));
            let active = |text: &str| text.contains("\"state\":\"active\"");
            row.value.as_deref().is_some_and(active)
        };
        self.job_answers
            .iter()
            .find(|(job, answers)| answers.is_accepted() && open(job))
            .map(|(job, _)| job.clone())
    }

    /// Returns the delays of the copies of a message.
    pub fn delays(&mut self, from: Process, to: Process) -> Vec<Duration> {
        self.network.delays(self.now, from, to, &mut self.rng)
    }

    /// Returns the zone of a daemon.
    pub fn daemon_zone(&self, daemon: usize) -> usize {
        daemon / self.setup.daemons_per_zone
    }

    /// Returns a random clock drift within the bound, or the maximum drift with the given sign if
    /// the setup has opposed drift.
    pub fn random_drift_ppm(&mut self, sign: i64) -> i64 {
        let bound = i64::from(self.setup.drift_ppm);
        let drawn = self.rng.random_range(-bound..=bound);
        if self.setup.opposed_drift {
            sign * bound
        } else {
            drawn
        }
    }
}

/// Returns the random number generator of a schedule.
pub fn rng_from_seed(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}

fn apply_drift(elapsed: Duration, drift_ppm: i64) -> Duration {
    let part = elapsed * u32::try_from(drift_ppm.unsigned_abs()).unwrap_or(0) / 1_000_000;
    if drift_ppm < 0 {
        elapsed.saturating_sub(part)
    } else {
        elapsed + part
    }
}
