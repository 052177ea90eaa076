//! Lease holder's state for one VM.

use std::collections::BTreeMap;
use std::time::Duration;

use super::LeaseChange;
use super::LeaseOptions;
use super::state::Lease;
use super::state::LeaseState;
use crate::core::model::DaemonId;
use crate::core::model::EndedTask;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::StartTask;
use crate::core::model::TaskAction;
use crate::core::model::TaskIndex;
use crate::core::model::TaskOutcome;
use crate::core::model::TaskRef;
use crate::core::model::TeamId;
use crate::core::model::VmId;
use crate::core::model::VmReport;
use crate::core::model::VmSync;

/// Content of the next sync.
#[derive(Clone, Debug, Default)]
struct Outbox {
    starts: Vec<StartTask>,
    actions: Vec<TaskAction>,
    acks: Vec<TaskRef>,
}

/// Knowledge of the tasks on a VM, from least to most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TaskKnowledge {
    /// The VM may run tasks that this holder does not know of.
    Unknown,
    /// All tasks are known; the scheduler counts none of them.
    Known,
    /// All tasks are known; the scheduler counts them but may start none there.
    Counted,
    /// All tasks are known, and the scheduler may start more there.
    Schedulable,
}

/// One VM of the zone.
#[derive(Clone, Debug)]
pub(super) struct Vm {
    pub address: Box<str>,
    pub capacity: Resources,
    /// Whether the VM finishes its tasks and accepts no new ones.
    pub leaving: bool,
    /// When the membership list was first read without the VM.
    pub departed: Option<Now>,
    pub lease: LeaseState,
    pub knowledge: TaskKnowledge,
    /// When all tasks now on the VM will have stopped, if no further message reaches it.
    pub tasks_stop_at: Option<Now>,
    /// Last report that has not been passed on to the scheduler.
    report: VmReport,
    /// When the sync in flight was issued.
    in_flight: Option<Now>,
    next_sync: Now,
    /// Whether the lease has to be released by the next message.
    release_due: bool,
    /// Tasks that were running in the last report.
    running: BTreeMap<TaskRef, TeamId>,
    /// Starts that were sent and that no report has confirmed or ruled out yet.
    unresolved: BTreeMap<TaskRef, TeamId>,
    outbox: Outbox,
}

impl Vm {
    /// Returns the state for a VM that has just been listed.
    pub fn new(now: Now, address: Box<str>, capacity: Resources) -> Self {
        Self {
            address,
            capacity,
            leaving: false,
            departed: None,
            lease: LeaseState::Unheld(Lease::new(now)),
            knowledge: TaskKnowledge::Unknown,
            tasks_stop_at: None,
            report: VmReport::default(),
            in_flight: None,
            next_sync: now,
            release_due: false,
            running: BTreeMap::new(),
            unresolved: BTreeMap::new(),
            outbox: Outbox::default(),
        }
    }

    /// Adds a start to the next sync.
    pub fn start(&mut self, start: StartTask) {
        self.outbox.starts.push(start);
    }

    /// Adds an action to the next sync.
    pub fn act(&mut self, action: TaskAction) {
        self.outbox.actions.push(action);
    }

    /// Adds acknowledgements to the next sync.
    pub fn ack(&mut self, tasks: &[TaskRef]) {
        self.outbox.acks.extend_from_slice(tasks);
    }

    /// Returns whether the outbox has starts or actions that can be sent now.
    pub fn has_urgent_messages(&self, now: Now) -> bool {
        let pending = !self.outbox.starts.is_empty() || !self.outbox.actions.is_empty();
        pending && self.in_flight.is_none() && self.lease.is_held(now)
    }

    /// Returns whether a renewal or a request for the lease is due.
    pub fn is_due(&self, now: Now) -> bool {
        self.in_flight.is_none() && now >= self.next_sync
    }

    /// Schedules the release of the lease, and discards all state that another placer may change
    /// from now on.
    pub fn abandon(&mut self) {
        self.release_due = true;
        self.knowledge = TaskKnowledge::Unknown;
        self.tasks_stop_at = None;
        self.running.clear();
        self.unresolved.clear();
        self.outbox = Outbox::default();
        if self.is_lapsed() {
            self.lease = self.lease.release(Now::ZERO);
        }
    }

    /// Returns the message that releases the lease, if a release is due and no sync is in flight.
    pub fn release(&mut self, now: Now, me: &DaemonId, wait: Duration) -> Option<VmSync> {
        if !self.release_due || self.in_flight.is_some() {
            return None;
        }
        self.release_due = false;
        let retry_at = now + wait;
        self.next_sync = retry_at;
        if matches!(self.lease, LeaseState::Unheld(_) | LeaseState::Lapsed(_)) {
            return None;
        }
        let (state, token) = self.lease.next_message(now)?;
        let seen = state.seen();
        self.lease = state.release(retry_at);
        self.in_flight = Some(now);
        Some(VmSync {
            holder: me.clone(),
            epoch: token.epoch,
            seq: token.seq,
            lease: Duration::ZERO,
            task_lease: Duration::ZERO,
            seen,
            starts: Vec::new(),
            actions: Vec::new(),
            acks: Vec::new(),
        })
    }

    /// Returns the next sync: a renewal with the content of the outbox if the lease is held, and
    /// otherwise a request for the lease without starts, actions and acknowledgements.
    pub fn sync(
        &mut self,
        now: Now,
        me: &DaemonId,
        options: &LeaseOptions,
        task_lease: Duration,
    ) -> Option<VmSync> {
        if self.release_due {
            return None;
        }
        let (state, token) = self.lease.next_message(now)?;
        self.lease = state;
        self.in_flight = Some(now);
        self.next_sync = now + options.renew_every;
        let outbox = if state.is_held(now) {
            std::mem::take(&mut self.outbox)
        } else {
            Outbox::default()
        };
        for start in &outbox.starts {
            self.unresolved
                .insert(start.task.clone(), start.team.clone());
        }
        Some(VmSync {
            holder: me.clone(),
            epoch: token.epoch,
            seq: token.seq,
            lease: options.lease,
            task_lease,
            seen: state.seen(),
            starts: outbox.starts,
            actions: outbox.actions,
            acks: outbox.acks,
        })
    }

    /// Returns whether an answer to a sync that was sent at `sent` belongs to the one in flight.
    pub fn matches_in_flight(&self, sent: Now) -> bool {
        self.in_flight.is_some_and(|at| sent >= at)
    }

    /// Records that the sync in flight was answered or failed.
    pub fn clear_in_flight(&mut self) {
        self.in_flight = None;
    }

    /// Returns whether all tasks on the VM are known.
    pub fn is_known(&self) -> bool {
        self.knowledge != TaskKnowledge::Unknown
    }

    /// Returns whether the lease is not held, or is about to be released.
    pub fn is_released(&self) -> bool {
        self.release_due || matches!(self.lease, LeaseState::Unheld(_) | LeaseState::Lapsed(_))
    }

    /// Returns whether every task is known to have stopped.
    pub fn is_lapsed(&self) -> bool {
        matches!(self.lease, LeaseState::Lapsed(_))
    }

    /// Discards the knowledge of the tasks if the lease is not held, since another placer may start
    /// tasks on the VM.
    pub fn invalidate(&mut self) {
        if !matches!(self.lease, LeaseState::Held(_)) {
            self.knowledge = TaskKnowledge::Unknown;
            self.running.clear();
        }
    }

    /// Schedules the next sync after one that was not answered. Its answer will show whether the
    /// unanswered one took effect.
    pub fn schedule_retry(&mut self, now: Now, options: &LeaseOptions) {
        let retry_at = now + options.retry_interval();
        self.next_sync = self.next_sync.min(retry_at).max(now);
    }

    /// Records a grant or renewal in answer to a sync sent at `sent`. The lease counts from before
    /// the sync was sent and ends early by the drift margin.
    pub fn record_grant(&mut self, now: Now, sent: Now, report: VmReport, options: &LeaseOptions) {
        let until = sent
            + options
                .lease
                .saturating_sub(options.drift_margin(options.lease));
        self.lease = self.lease.grant(until, report.clock);
        self.knowledge = self.knowledge.max(TaskKnowledge::Known);
        self.tasks_stop_at = Some(now + options.tasks_stop_after());
        self.report = report;
    }

    /// Returns the changes for the scheduler that follow from the last report.
    pub fn report_changes(&mut self, id: &VmId) -> Vec<LeaseChange> {
        let mut report = std::mem::take(&mut self.report);
        let mut changes = self.resolve_starts(id, &report);
        let missing = self.missing_tasks(&report);
        report.ended.extend(missing);
        self.running = running_tasks(&report);
        let vm = id.clone();
        if self.knowledge == TaskKnowledge::Schedulable || self.is_draining() {
            changes.push(LeaseChange::Renewed { vm, report });
        } else {
            self.knowledge = TaskKnowledge::Schedulable;
            changes.push(LeaseChange::Acquired { vm, report });
        }
        if self.leaving {
            changes.extend(self.suspend(id));
        }
        changes
    }

    fn is_draining(&self) -> bool {
        self.leaving && self.knowledge == TaskKnowledge::Counted
    }

    /// Returns whether a task runs on the VM, or was sent to it and may run.
    pub fn may_run(&self, job: &str, index: TaskIndex) -> bool {
        let first = TaskRef {
            job: job.into(),
            index,
            attempt: 0,
        };
        let has = |tasks: &BTreeMap<TaskRef, TeamId>| {
            tasks
                .range(&first..)
                .next()
                .is_some_and(|(task, _)| *task.job == *job && task.index == index)
        };
        has(&self.running) || has(&self.unresolved)
    }

    /// Records a refusal by the VM, which has another holder or considered the message stale.
    pub fn record_refusal(
        &mut self,
        now: Now,
        id: &VmId,
        epoch: u64,
        remaining: Duration,
        options: &LeaseOptions,
    ) -> Vec<LeaseChange> {
        let wait = remaining + options.drift_margin(remaining);
        let retry_at = now + wait.min(options.renew_every);
        let held = self.lease.is_held(now);
        self.lease = self.lease.refuse(epoch, retry_at);
        self.next_sync = retry_at;
        if held { self.suspend(id) } else { Vec::new() }
    }

    /// Suspends the lease if it has expired.
    pub fn expire(&mut self, now: Now, id: &VmId) -> Vec<LeaseChange> {
        match self.lease {
            LeaseState::Held(lease) if !lease.is_current(now) => {
                self.lease = LeaseState::Suspended(lease.suspend());
                self.suspend(id)
            }
            _ => Vec::new(),
        }
    }

    /// Declares the VM lost once all of its tasks must have stopped.
    pub fn lapse(&mut self, now: Now, id: &VmId) -> Vec<LeaseChange> {
        let stopped = self.tasks_stop_at.is_some_and(|at| now >= at);
        if !stopped || self.lease.is_held(now) || matches!(self.lease, LeaseState::Lapsed(_)) {
            return Vec::new();
        }
        self.lease = self.lease.lapse();
        self.tasks_stop_at = None;
        let before = std::mem::replace(&mut self.knowledge, TaskKnowledge::Known);
        let ended = self.take_all_stopped();
        if before < TaskKnowledge::Counted {
            return Vec::new();
        }
        let report = VmReport {
            ended,
            ..VmReport::default()
        };
        let vm = id.clone();
        vec![
            LeaseChange::Renewed {
                vm: vm.clone(),
                report,
            },
            LeaseChange::Lost { vm },
        ]
    }

    /// Withdraws the VM from scheduling, and returns the starts that were never sent.
    fn suspend(&mut self, id: &VmId) -> Vec<LeaseChange> {
        if self.knowledge != TaskKnowledge::Schedulable {
            return Vec::new();
        }
        self.knowledge = TaskKnowledge::Counted;
        let outbox = std::mem::take(&mut self.outbox);
        self.outbox.acks = outbox.acks;
        let mut changes: Vec<LeaseChange> = outbox
            .starts
            .into_iter()
            .map(|start| LeaseChange::NotStarted {
                vm: id.clone(),
                task: start.task,
            })
            .collect();
        changes.push(LeaseChange::Suspended { vm: id.clone() });
        changes
    }

    /// Returns the sent starts that a report proves not to have taken effect. They cannot do so
    /// later either, since the VM refuses messages with a lower sequence number.
    fn resolve_starts(&mut self, id: &VmId, report: &VmReport) -> Vec<LeaseChange> {
        let unresolved = std::mem::take(&mut self.unresolved);
        unresolved
            .into_keys()
            .filter(|task| !mentions(report, task))
            .map(|task| LeaseChange::NotStarted {
                vm: id.clone(),
                task,
            })
            .collect()
    }

    /// Returns the previously running tasks that the report does not mention, as stopped. The VM
    /// must have restarted.
    fn missing_tasks(&self, report: &VmReport) -> Vec<EndedTask> {
        self.running
            .iter()
            .filter(|(task, _)| !mentions(report, task))
            .map(stopped_task)
            .collect()
    }

    /// Removes all tasks and returns them as stopped.
    fn take_all_stopped(&mut self) -> Vec<EndedTask> {
        let mut tasks = std::mem::take(&mut self.running);
        tasks.append(&mut self.unresolved);
        tasks.iter().map(stopped_task).collect()
    }
}

fn mentions(report: &VmReport, task: &TaskRef) -> bool {
    report.running.iter().any(|running| running.task == *task)
        || report.ended.iter().any(|end| end.task == *task)
}

fn running_tasks(report: &VmReport) -> BTreeMap<TaskRef, TeamId> {
    report
        .running
        .iter()
        .map(|running| (running.task.clone(), running.team.clone()))
        .collect()
}

fn stopped_task((task, team): (&TaskRef, &TeamId)) -> EndedTask {
    EndedTask {
        task: task.clone(),
        team: team.clone(),
        outcome: TaskOutcome::Stopped,
    }
}
