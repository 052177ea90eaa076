//! Model of a worker VM: leases, tasks and faults, without I/O. Callers pass in the time.

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

/// Duration of a checkpoint.
const CHECKPOINT_DURATION: Duration = Duration::from_millis(500);

/// Factor by which throttling extends the remaining run time of a task.
const THROTTLE_FACTOR: u32 = 2;

/// Injected faults of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every task fails as soon as it starts.
    pub fail_all: bool,
    /// No sync has an effect or receives an answer.
    pub silent: bool,
    /// Resource usage of a task as a multiple of its declared size.
    pub usage_factor: f64,
    /// Time from a task's start until reports show its usage, in milliseconds.
    pub report_lag_ms: u64,
    /// Time for which the VM pauses when the fault is set, in milliseconds. Only the server applies
    /// it, not the model.
    pub pause_ms: u64,
    /// Every sync is accepted, whatever its epoch, its sequence number and the age of its report.
    /// Tests set it to show that their checks fail without fencing.
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

/// One run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRun {
    /// Task and attempt.
    pub task: TaskRef,
    /// When the run started, by the VM's clock.
    pub started: Duration,
    /// When and how the run ended, `None` while it is running.
    pub ended: Option<(Duration, TaskOutcome)>,
}

#[derive(Clone, Debug)]
struct Task {
    start: StartTask,
    state: TaskState,
    started_at: Duration,
    /// When and how the task will end unless the task lease expires first.
    end: Option<(Duration, TaskOutcome)>,
    /// Position of the run in the VM's log.
    log_index: usize,
}

/// Model of a worker VM.
#[derive(Clone, Debug)]
pub struct VmModel {
    id: VmId,
    capacity: Resources,
    holder: DaemonId,
    epoch: Epoch,
    seq: u64,
    lease_expires_at: Duration,
    task_lease_expires_at: Duration,
    tasks: BTreeMap<TaskRef, Task>,
    ended: Vec<EndedTask>,
    log: Vec<TaskRun>,
    /// Faults in effect.
    pub faults: Faults,
}

impl VmModel {
    /// Returns a VM without tasks or lease holder.
    #[must_use]
    pub fn new(id: VmId, capacity: Resources) -> Self {
        Self {
            id,
            capacity,
            holder: "".into(),
            epoch: 0,
            seq: 0,
            lease_expires_at: Duration::ZERO,
            task_lease_expires_at: Duration::ZERO,
            tasks: BTreeMap::new(),
            ended: Vec::new(),
            log: Vec::new(),
            faults: Faults::default(),
        }
    }

    /// Restarts the VM: all running tasks stop, and it loses its reports and its lease holder.
    pub fn restart(&mut self, now: Duration) {
        for (_, task) in std::mem::take(&mut self.tasks) {
            self.log[task.log_index].ended = Some((now, TaskOutcome::Stopped));
        }
        self.ended.clear();
        self.holder = "".into();
        self.epoch = 0;
        self.seq = 0;
        self.lease_expires_at = Duration::ZERO;
    }

    /// Returns the name of the VM.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the resources of the VM.
    #[must_use]
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Returns the sum of the declared sizes of all running tasks.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        self.tasks
            .values()
            .fold(Resources::ZERO, |sum, task| sum.plus(&task.start.size))
    }

    /// Returns the running tasks.
    pub fn running(&self) -> impl Iterator<Item = &StartTask> {
        self.tasks.values().map(|task| &task.start)
    }

    /// Returns all runs of tasks, in the order of their starts.
    #[must_use]
    pub fn log(&self) -> &[TaskRun] {
        &self.log
    }

    /// Returns when the next task ends, by itself or because the task lease expires.
    #[must_use]
    pub fn next_end(&self) -> Option<Duration> {
        let ends = self.tasks.values().filter_map(|task| task.end);
        let first = ends.map(|(at, _)| at).min();
        let expiry = (!self.tasks.is_empty()).then_some(self.task_lease_expires_at);
        first.into_iter().chain(expiry).min()
    }

    /// Ends the tasks whose time has come by `now`, and all tasks if the task lease has expired.
    pub fn advance(&mut self, now: Duration) {
        while let Some(task) = self.next_ended(now) {
            let (at, outcome) = self.tasks[&task].end.unwrap_or((now, TaskOutcome::Stopped));
            self.end_task(&task, at, outcome);
        }
        if now >= self.task_lease_expires_at {
            let tasks: Vec<TaskRef> = self.tasks.keys().cloned().collect();
            for task in tasks {
                self.end_task(&task, self.task_lease_expires_at, TaskOutcome::Stopped);
            }
        }
    }

    /// Handles a sync and returns the answer, `None` if the VM is silent.
    pub fn sync(&mut self, now: Duration, sync: &VmSync) -> Option<VmSyncAnswer> {
        self.advance(now);
        if self.faults.silent {
            return None;
        }
        if !self.faults.unfenced && !self.accepts(now, sync) {
            return Some(VmSyncAnswer::Refused {
                holder: self.holder.clone(),
                epoch: self.epoch,
                remaining: self.lease_expires_at.saturating_sub(now),
            });
        }
        self.holder = sync.holder.clone();
        self.epoch = sync.epoch;
        self.seq = sync.seq;
        self.lease_expires_at = now + sync.lease;
        if sync.seen.is_some() {
            self.apply(now, sync);
        }
        self.advance(now);
        Some(VmSyncAnswer::Granted(self.report(now)))
    }

    /// Returns the running tasks, and the ended ones that the holder has not acknowledged.
    #[must_use]
    pub fn report(&self, now: Duration) -> VmReport {
        VmReport {
            clock: now,
            running: self
                .tasks
                .values()
                .map(|task| self.report_task(now, task))
                .collect(),
            ended: self.ended.clone(),
        }
    }

    fn accepts(&self, now: Duration, sync: &VmSync) -> bool {
        let is_newer = (sync.epoch, sync.seq) > (self.epoch, self.seq);
        let is_same_holder = sync.epoch == self.epoch && sync.holder == self.holder;
        let is_takeover = sync.epoch > self.epoch && now >= self.lease_expires_at;
        is_newer && (is_same_holder || is_takeover) && Self::is_fresh(now, sync)
    }

    /// Returns whether a sync releases the lease, is based on no report, or is based on a report
    /// that is no older than the lease.
    fn is_fresh(now: Duration, sync: &VmSync) -> bool {
        sync.lease.is_zero()
            || sync
                .seen
                .is_none_or(|seen| seen <= now && now.saturating_sub(seen) <= sync.lease)
    }

    fn apply(&mut self, now: Duration, sync: &VmSync) {
        if !sync.task_lease.is_zero() {
            self.task_lease_expires_at = self.task_lease_expires_at.max(now + sync.task_lease);
        }
        self.ended.retain(|end| !sync.acks.contains(&end.task));
        for start in &sync.starts {
            self.start_task(now, start);
        }
        for action in &sync.actions {
            self.apply_action(now, action);
        }
    }

    fn start_task(&mut self, now: Duration, start: &StartTask) {
        let has_ended = self.ended.iter().any(|end| end.task == start.task);
        if has_ended || self.tasks.contains_key(&start.task) {
            return;
        }
        let end = if self.faults.fail_all {
            Some((now, TaskOutcome::Failed))
        } else {
            start.run_time.map(|time| (now + time, TaskOutcome::Done))
        };
        let task = Task {
            start: start.clone(),
            state: TaskState::Running,
            started_at: now,
            end,
            log_index: self.log.len(),
        };
        self.tasks.insert(start.task.clone(), task);
        self.log.push(TaskRun {
            task: start.task.clone(),
            started: now,
            ended: None,
        });
    }

    fn apply_action(&mut self, now: Duration, action: &TaskAction) {
        let Some(task) = self.tasks.get_mut(&action.task) else {
            return;
        };
        match action.kind {
            ActionKind::Stop => task.end = Some((now, TaskOutcome::Stopped)),
            ActionKind::Checkpoint if task.state != TaskState::Checkpointing => {
                task.state = TaskState::Checkpointing;
                task.end = Some((now + CHECKPOINT_DURATION, TaskOutcome::Checkpointed));
            }
            ActionKind::Throttle if task.state == TaskState::Running => {
                task.state = TaskState::Throttled;
                task.end = task.end.map(|(at, outcome)| {
                    let remaining = at.saturating_sub(now) * THROTTLE_FACTOR;
                    (now + remaining, outcome)
                });
            }
            ActionKind::Checkpoint | ActionKind::Throttle => {}
        }
    }

    fn next_ended(&self, now: Duration) -> Option<TaskRef> {
        let expiry = self.task_lease_expires_at;
        self.tasks
            .iter()
            .filter_map(|(id, task)| task.end.map(|(at, _)| (at, id)))
            .filter(|(at, _)| *at <= now && *at <= expiry)
            .min()
            .map(|(_, id)| id.clone())
    }

    fn end_task(&mut self, id: &TaskRef, at: Duration, outcome: TaskOutcome) {
        let Some(task) = self.tasks.remove(id) else {
            return;
        };
        self.log[task.log_index].ended = Some((at, outcome));
        self.ended.push(EndedTask {
            task: id.clone(),
            team: task.start.team,
            outcome,
        });
    }

    fn report_task(&self, now: Duration, task: &Task) -> RunningTask {
        let lag = Duration::from_millis(self.faults.report_lag_ms);
        let shows_usage = now.saturating_sub(task.started_at) >= lag;
        let factor = if shows_usage {
            self.faults.usage_factor
        } else {
            0.0
        };
        RunningTask {
            task: task.start.task.clone(),
            team: task.start.team.clone(),
            size: task.start.size,
            used: scaled_usage(&task.start.size, factor, task.state),
            state: task.state,
        }
    }
}

fn scaled_usage(size: &Resources, factor: f64, state: TaskState) -> Resources {
    let cpu = if state == TaskState::Throttled {
        factor.min(1.0)
    } else {
        factor
    };
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "out-of-range values saturate"
    )]
    let scale = |amount: u32, factor: f64| (f64::from(amount) * factor) as u32;
    Resources {
        cpu_milli: scale(size.cpu_milli, cpu),
        mem_mib: scale(size.mem_mib, factor),
        ..*size
    }
}
