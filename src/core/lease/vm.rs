//! One VM as its lease holder, or candidate, sees it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::LeaseChange;
use super::LeaseOptions;
use super::stage::Lease;
use super::stage::Stage;
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

/// Messages held for the next sync.
#[derive(Clone, Debug, Default)]
struct Outbox {
    starts: Vec<StartTask>,
    actions: Vec<TaskAction>,
    acks: Vec<TaskRef>,
}

/// What is known of the tasks on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Knowledge {
    /// It may run tasks that this holder does not know of.
    Unknown,
    /// Everything, and the scheduler counts nothing there.
    Idle,
    /// Everything; the scheduler counts what runs there and may start nothing.
    Counted,
    /// Everything; the scheduler may start tasks there.
    Usable,
}

/// One VM of the zone.
#[derive(Clone, Debug)]
pub(super) struct Vm {
    pub address: Box<str>,
    pub capacity: Resources,
    /// Whether it finishes what it has and takes nothing new.
    pub leaving: bool,
    /// Since when the membership list does not name it.
    pub departed: Option<Now>,
    pub stage: Stage,
    pub knowledge: Knowledge,
    /// When all tasks have stopped that are there now, if no further message reaches it.
    pub tasks_until: Option<Now>,
    /// What it ran when it last answered.
    report: VmReport,
    /// When the sync under way was handed out.
    under_way: Option<Now>,
    next_sync: Now,
    release_due: bool,
    running: BTreeMap<TaskRef, TeamId>,
    unresolved: BTreeMap<TaskRef, TeamId>,
    outbox: Outbox,
}

impl Vm {
    /// A VM that was just listed.
    pub fn new(now: Now, address: Box<str>, capacity: Resources) -> Self {
        Self {
            address,
            capacity,
            leaving: false,
            departed: None,
            stage: Stage::Unheld(Lease::new(now)),
            knowledge: Knowledge::Unknown,
            tasks_until: None,
            report: VmReport::default(),
            under_way: None,
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

    /// Whether starts or actions wait that can be sent now.
    pub fn is_hurried(&self, now: Now) -> bool {
        let waiting = !self.outbox.starts.is_empty() || !self.outbox.actions.is_empty();
        waiting && self.under_way.is_none() && self.stage.is_held(now)
    }

    /// Whether a renewal is due.
    pub fn is_due(&self, now: Now) -> bool {
        self.under_way.is_none() && now >= self.next_sync
    }

    /// Forgets what another placer may change from now on, and gives the lease back.
    pub fn give_up(&mut self) {
        self.release_due = true;
        self.knowledge = Knowledge::Unknown;
        self.tasks_until = None;
        self.running.clear();
        self.unresolved.clear();
        self.outbox = Outbox::default();
        if self.is_lapsed() {
            self.stage = self.stage.released(Now::ZERO);
        }
    }

    /// Returns the message that gives the lease back, once one can be sent.
    pub fn release(&mut self, now: Now, me: &DaemonId, wait: Duration) -> Option<VmSync> {
        if !self.release_due || self.under_way.is_some() {
            return None;
        }
        self.release_due = false;
        let ask_at = now + wait;
        self.next_sync = ask_at;
        if matches!(self.stage, Stage::Unheld(_) | Stage::Lapsed(_)) {
            return None;
        }
        let (stage, fence) = self.stage.next_message(now)?;
        let seen = stage.seen();
        self.stage = stage.released(ask_at);
        self.under_way = Some(now);
        Some(VmSync {
            holder: me.clone(),
            epoch: fence.epoch,
            seq: fence.seq,
            lease: Duration::ZERO,
            task_lease: Duration::ZERO,
            seen,
            starts: Vec::new(),
            actions: Vec::new(),
            acks: Vec::new(),
        })
    }

    /// Returns the next message: a renewal with all that waits, or a question for the lease.
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
        let (stage, fence) = self.stage.next_message(now)?;
        self.stage = stage;
        self.under_way = Some(now);
        self.next_sync = now + options.renew_every;
        let outbox = if stage.is_held(now) {
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
            epoch: fence.epoch,
            seq: fence.seq,
            lease: options.lease,
            task_lease,
            seen: stage.seen(),
            starts: outbox.starts,
            actions: outbox.actions,
            acks: outbox.acks,
        })
    }

    /// Whether an answer to a sync sent at `sent` belongs to the one under way.
    pub fn is_under_way(&self, sent: Now) -> bool {
        self.under_way.is_some_and(|at| sent >= at)
    }

    /// The sync under way was answered, or will not be.
    pub fn take_answer(&mut self) {
        self.under_way = None;
    }

    /// Whether all that it may run is known.
    pub fn is_known(&self) -> bool {
        self.knowledge != Knowledge::Unknown
    }

    /// Whether the lease was given back or is about to be.
    pub fn is_released(&self) -> bool {
        self.release_due || matches!(self.stage, Stage::Unheld(_) | Stage::Lapsed(_))
    }

    /// Whether every task is known to have stopped.
    pub fn is_lapsed(&self) -> bool {
        matches!(self.stage, Stage::Lapsed(_))
    }

    /// Another placer may start tasks on a VM that is not held.
    pub fn doubt(&mut self) {
        if !matches!(self.stage, Stage::Held(_)) {
            self.knowledge = Knowledge::Unknown;
            self.running.clear();
        }
    }

    /// No answer came; the next sync tells whether this one took effect.
    pub fn unanswered(&mut self, now: Now, options: &LeaseOptions) {
        let soon = now + options.retry_every();
        self.next_sync = self.next_sync.min(soon).max(now);
    }

    /// The VM granted or renewed the lease.
    pub fn granted(&mut self, now: Now, sent: Now, report: VmReport, options: &LeaseOptions) {
        let until = sent + options.lease.saturating_sub(options.margin(options.lease));
        self.stage = self.stage.granted(until, report.clock);
        self.knowledge = self.knowledge.max(Knowledge::Idle);
        self.tasks_until = Some(now + options.tasks_stop_after());
        self.report = report;
    }

    /// Tells the placer of the last report.
    pub fn tell(&mut self, id: &VmId) -> Vec<LeaseChange> {
        let mut report = std::mem::take(&mut self.report);
        let mut changes = self.resolve(id, &report);
        let vanished = self.vanished(&report);
        report.ended.extend(vanished);
        self.running = tasks_of(&report);
        let vm = id.clone();
        if self.knowledge == Knowledge::Usable || self.is_counted_leaving() {
            changes.push(LeaseChange::Reported { vm, report });
        } else {
            self.knowledge = Knowledge::Usable;
            changes.push(LeaseChange::Held { vm, report });
        }
        if self.leaving {
            changes.extend(self.suspended(id));
        }
        changes
    }

    fn is_counted_leaving(&self) -> bool {
        self.leaving && self.knowledge == Knowledge::Counted
    }

    /// Whether a task runs there, or was sent and may run.
    pub fn runs(&self, job: &str, index: TaskIndex) -> bool {
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

    /// The VM has another holder, or took the message for a stale one.
    pub fn refused(
        &mut self,
        now: Now,
        id: &VmId,
        epoch: u64,
        remaining: Duration,
        options: &LeaseOptions,
    ) -> Vec<LeaseChange> {
        let wait = remaining + options.margin(remaining);
        let ask_at = now + wait.min(options.renew_every);
        let held = self.stage.is_held(now);
        self.stage = self.stage.refused(epoch, ask_at);
        self.next_sync = ask_at;
        if held { self.suspended(id) } else { Vec::new() }
    }

    /// Ends a lease that ran out.
    pub fn expire(&mut self, now: Now, id: &VmId) -> Vec<LeaseChange> {
        match self.stage {
            Stage::Held(lease) if !lease.is_current(now) => {
                self.stage = Stage::Suspended(lease.suspend());
                self.suspended(id)
            }
            _ => Vec::new(),
        }
    }

    /// Declares the VM lost once every task on it must have stopped.
    pub fn lapse(&mut self, now: Now, id: &VmId) -> Vec<LeaseChange> {
        let stopped = self.tasks_until.is_some_and(|until| now >= until);
        if !stopped || self.stage.is_held(now) || matches!(self.stage, Stage::Lapsed(_)) {
            return Vec::new();
        }
        self.stage = self.stage.lapsed();
        self.tasks_until = None;
        let before = std::mem::replace(&mut self.knowledge, Knowledge::Idle);
        let ended = self.stop_all();
        if before < Knowledge::Counted {
            return Vec::new();
        }
        let report = VmReport {
            ended,
            ..VmReport::default()
        };
        let vm = id.clone();
        vec![
            LeaseChange::Reported {
                vm: vm.clone(),
                report,
            },
            LeaseChange::Lost { vm },
        ]
    }

    /// Takes back what was never sent, and what the scheduler may not count on any more.
    fn suspended(&mut self, id: &VmId) -> Vec<LeaseChange> {
        if self.knowledge != Knowledge::Usable {
            return Vec::new();
        }
        self.knowledge = Knowledge::Counted;
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

    /// Starts whose end was unknown are settled by a report: the VM refuses a lower number.
    fn resolve(&mut self, id: &VmId, report: &VmReport) -> Vec<LeaseChange> {
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

    /// Tasks that were there and of which the VM, which must have restarted, knows nothing.
    fn vanished(&self, report: &VmReport) -> Vec<EndedTask> {
        self.running
            .iter()
            .filter(|(task, _)| !mentions(report, task))
            .map(stopped)
            .collect()
    }

    fn stop_all(&mut self) -> Vec<EndedTask> {
        let mut tasks = std::mem::take(&mut self.running);
        tasks.append(&mut self.unresolved);
        tasks.iter().map(stopped).collect()
    }
}

fn mentions(report: &VmReport, task: &TaskRef) -> bool {
    report.running.iter().any(|running| running.task == *task)
        || report.ended.iter().any(|end| end.task == *task)
}

fn tasks_of(report: &VmReport) -> BTreeMap<TaskRef, TeamId> {
    report
        .running
        .iter()
        .map(|running| (running.task.clone(), running.team.clone()))
        .collect()
}

fn stopped((task, team): (&TaskRef, &TeamId)) -> EndedTask {
    EndedTask {
        task: task.clone(),
        team: team.clone(),
        outcome: TaskOutcome::Stopped,
    }
}
