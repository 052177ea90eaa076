//! A worker VM as a pure model: leases, tasks and faults, without I/O and with the time handed in.

use std::collections::BTreeMap;
use std::time::Duration;

use ragwortstall::core::model::ActionKind;
use ragwortstall::core::model::DaemonId;
use ragwortstall::core::model::EndedTask;
use ragwortstall::core::model::Epoch;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::RunningTask;
use ragwortstall::core::model::StartTask;
use ragwortstall::core::model::TaskAction;
use ragwortstall::core::model::TaskOutcome;
use ragwortstall::core::model::TaskRef;
use ragwortstall::core::model::TaskState;
use ragwortstall::core::model::VmId;
use ragwortstall::core::model::VmReport;
use ragwortstall::core::model::VmSync;
use ragwortstall::core::model::VmSyncAnswer;
use serde::Deserialize;
use serde::Serialize;

/// Time that saving a task's state takes.
const CHECKPOINT_TIME: Duration = Duration::from_millis(500);

/// How much slower a throttled task runs.
const THROTTLE_FACTOR: u32 = 2;

/// What goes wrong on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every task fails at its start.
    pub fail_all: bool,
    /// No sync is answered, and none takes effect.
    pub silent: bool,
    /// Usage as a multiple of the declared size.
    pub usage_factor: f64,
    /// Age of the usage in a report, in milliseconds.
    pub report_lag_ms: u64,
    /// The VM stands still for this long, in milliseconds; for the process only.
    pub pause_ms: u64,
    /// Epochs and sequence numbers are not looked at; for tests that must then fail.
    pub unfenced: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            fail_all: false,
            silent: false,
            usage_factor: 1.0,
            report_lag_ms: 0,
            pause_ms: 0,
            unfenced: false,
        }
    }
}

/// A start or an end of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ran {
    /// Which task.
    pub task: TaskRef,
    /// When it started, by the VM's clock.
    pub started: Duration,
    /// When and how it ended.
    pub ended: Option<(Duration, TaskOutcome)>,
}

#[derive(Clone, Debug)]
struct Task {
    start: StartTask,
    state: TaskState,
    began: Duration,
    ends: Option<(Duration, TaskOutcome)>,
    log: usize,
}

/// A worker VM.
#[derive(Clone, Debug)]
pub struct VmModel {
    id: VmId,
    capacity: Resources,
    holder: DaemonId,
    epoch: Epoch,
    seq: u64,
    lease_until: Duration,
    tasks_until: Duration,
    tasks: BTreeMap<TaskRef, Task>,
    ended: Vec<EndedTask>,
    log: Vec<Ran>,
    /// Present faults.
    pub faults: Faults,
}

impl VmModel {
    /// Returns a VM that runs nothing.
    #[must_use]
    pub fn new(id: VmId, capacity: Resources) -> Self {
        Self {
            id,
            capacity,
            holder: "".into(),
            epoch: 0,
            seq: 0,
            lease_until: Duration::ZERO,
            tasks_until: Duration::ZERO,
            tasks: BTreeMap::new(),
            ended: Vec::new(),
            log: Vec::new(),
            faults: Faults::default(),
        }
    }

    /// The VM stops dead and comes back with nothing in its memory.
    pub fn restart(&mut self, now: Duration) {
        for (_, task) in std::mem::take(&mut self.tasks) {
            self.log[task.log].ended = Some((now, TaskOutcome::Stopped));
        }
        self.ended.clear();
        self.holder = "".into();
        self.epoch = 0;
        self.seq = 0;
        self.lease_until = Duration::ZERO;
    }

    /// Name.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// What it can hold.
    #[must_use]
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// What the tasks that run were started with.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        self.tasks
            .values()
            .fold(Resources::ZERO, |sum, task| sum.plus(&task.start.size))
    }

    /// Tasks that run now.
    pub fn running(&self) -> impl Iterator<Item = &StartTask> {
        self.tasks.values().map(|task| &task.start)
    }

    /// Every start, with its end if it has ended.
    #[must_use]
    pub fn log(&self) -> &[Ran] {
        &self.log
    }

    /// When the next task ends by itself or by the task lease.
    #[must_use]
    pub fn next_end(&self) -> Option<Duration> {
        let ends = self.tasks.values().filter_map(|task| task.ends);
        let first = ends.map(|(at, _)| at).min();
        let lapse = (!self.tasks.is_empty()).then_some(self.tasks_until);
        first.into_iter().chain(lapse).min()
    }

    /// Ends what has run out by `now`.
    pub fn advance(&mut self, now: Duration) {
        while let Some(task) = self.first_ended(now) {
            let (at, outcome) = self.tasks[&task]
                .ends
                .unwrap_or((now, TaskOutcome::Stopped));
            self.end(&task, at, outcome);
        }
        if now >= self.tasks_until {
            let tasks: Vec<TaskRef> = self.tasks.keys().cloned().collect();
            for task in tasks {
                self.end(&task, self.tasks_until, TaskOutcome::Stopped);
            }
        }
    }

    /// Takes a message; `None` when the VM is silent.
    pub fn sync(&mut self, now: Duration, sync: &VmSync) -> Option<VmSyncAnswer> {
        self.advance(now);
        if self.faults.silent {
            return None;
        }
        if !self.faults.unfenced && !self.accepts(now, sync) {
            return Some(VmSyncAnswer::Refused {
                holder: self.holder.clone(),
                epoch: self.epoch,
                remaining: self.lease_until.saturating_sub(now),
            });
        }
        self.holder = sync.holder.clone();
        self.epoch = sync.epoch;
        self.seq = sync.seq;
        self.lease_until = now + sync.lease;
        if sync.seen.is_some() {
            self.carry_out(now, sync);
        }
        self.advance(now);
        Some(VmSyncAnswer::Granted(self.report(now)))
    }

    /// What the VM runs, and what ended on it.
    #[must_use]
    pub fn report(&self, now: Duration) -> VmReport {
        VmReport {
            clock: now,
            running: self
                .tasks
                .values()
                .map(|task| self.sample(now, task))
                .collect(),
            ended: self.ended.clone(),
        }
    }

    fn accepts(&self, now: Duration, sync: &VmSync) -> bool {
        let newer = (sync.epoch, sync.seq) > (self.epoch, self.seq);
        let same_holder = sync.epoch == self.epoch && sync.holder == self.holder;
        let vacant = sync.epoch > self.epoch && now >= self.lease_until;
        newer && (same_holder || vacant) && Self::is_fresh(now, sync)
    }

    /// Whether the message builds on a report of this VM that is younger than the lease.
    fn is_fresh(now: Duration, sync: &VmSync) -> bool {
        sync.lease.is_zero()
            || sync
                .seen
                .is_none_or(|seen| seen <= now && now.saturating_sub(seen) <= sync.lease)
    }

    fn carry_out(&mut self, now: Duration, sync: &VmSync) {
        if !sync.task_lease.is_zero() {
            self.tasks_until = self.tasks_until.max(now + sync.task_lease);
        }
        self.ended.retain(|end| !sync.acks.contains(&end.task));
        for start in &sync.starts {
            self.start(now, start);
        }
        for action in &sync.actions {
            self.act(now, action);
        }
    }

    fn start(&mut self, now: Duration, start: &StartTask) {
        let ended = self.ended.iter().any(|end| end.task == start.task);
        if ended || self.tasks.contains_key(&start.task) {
            return;
        }
        let ends = if self.faults.fail_all {
            Some((now, TaskOutcome::Failed))
        } else {
            start.run_time.map(|time| (now + time, TaskOutcome::Done))
        };
        let task = Task {
            start: start.clone(),
            state: TaskState::Running,
            began: now,
            ends,
            log: self.log.len(),
        };
        self.tasks.insert(start.task.clone(), task);
        self.log.push(Ran {
            task: start.task.clone(),
            started: now,
            ended: None,
        });
    }

    fn act(&mut self, now: Duration, action: &TaskAction) {
        let Some(task) = self.tasks.get_mut(&action.task) else {
            return;
        };
        match action.kind {
            ActionKind::Stop => task.ends = Some((now, TaskOutcome::Stopped)),
            ActionKind::Checkpoint if task.state != TaskState::Checkpointing => {
                task.state = TaskState::Checkpointing;
                task.ends = Some((now + CHECKPOINT_TIME, TaskOutcome::Checkpointed));
            }
            ActionKind::Throttle if task.state == TaskState::Running => {
                task.state = TaskState::Throttled;
                task.ends = task.ends.map(|(at, outcome)| {
                    let left = at.saturating_sub(now) * THROTTLE_FACTOR;
                    (now + left, outcome)
                });
            }
            ActionKind::Checkpoint | ActionKind::Throttle => {}
        }
    }

    fn first_ended(&self, now: Duration) -> Option<TaskRef> {
        let lapse = self.tasks_until;
        self.tasks
            .iter()
            .filter_map(|(id, task)| task.ends.map(|(at, _)| (at, id)))
            .filter(|(at, _)| *at <= now && *at <= lapse)
            .min()
            .map(|(_, id)| id.clone())
    }

    fn end(&mut self, id: &TaskRef, at: Duration, outcome: TaskOutcome) {
        let Some(task) = self.tasks.remove(id) else {
            return;
        };
        self.log[task.log].ended = Some((at, outcome));
        self.ended.push(EndedTask {
            task: id.clone(),
            team: task.start.team,
            outcome,
        });
    }

    fn sample(&self, now: Duration, task: &Task) -> RunningTask {
        let lag = Duration::from_millis(self.faults.report_lag_ms);
        let started = now.saturating_sub(task.began) >= lag;
        let factor = if started {
            self.faults.usage_factor
        } else {
            0.0
        };
        RunningTask {
            task: task.start.task.clone(),
            team: task.start.team.clone(),
            size: task.start.size,
            used: scaled(&task.start.size, factor, task.state),
            state: task.state,
        }
    }
}

fn scaled(size: &Resources, factor: f64, state: TaskState) -> Resources {
    let cpu = if state == TaskState::Throttled {
        factor.min(1.0)
    } else {
        factor
    };
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float that is too large saturates"
    )]
    let scale = |amount: u32, factor: f64| (f64::from(amount) * factor) as u32;
    Resources {
        cpu_milli: scale(size.cpu_milli, cpu),
        mem_mib: scale(size.mem_mib, factor),
        ..*size
    }
}
