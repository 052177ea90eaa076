//! Jobs that the placer knows, their steps and their tasks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::advice::StepAdvice;
use super::fleet::VmKey;
use crate::core::model::JobId;
use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::model::TaskIndex;
use crate::core::model::TeamId;
use crate::core::workload::catalog::Queue;
use crate::core::workload::effect::JobState;
use crate::core::workload::submission::OccurrenceIndex;
use crate::core::workload::submission::Step;
use crate::core::workload::submission::StepIndex;
use crate::core::workload::submission::Submission;
use crate::core::workload::task::Checkpoint;
use crate::core::workload::task::RunNumber;
use crate::core::workload::task::TaskName;

/// Key of a job in the book.
pub(super) type JobKey = u32;

/// Names a step of a job in the book.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct StepKey {
    pub job: JobKey,
    pub occurrence: OccurrenceIndex,
    pub step: StepIndex,
}

/// Names a task of a job in the book.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct TaskKey {
    pub step: StepKey,
    pub index: TaskIndex,
}

/// All jobs.
#[derive(Debug, Default)]
pub(super) struct Book {
    pub jobs: BTreeMap<JobKey, Job>,
    /// Jobs of which tasks may be started.
    open: BTreeSet<JobKey>,
    /// Open jobs with occurrences still to begin.
    timed: BTreeSet<JobKey>,
    /// Jobs whose progress has changed since it was written.
    dirty: BTreeSet<JobKey>,
    ids: FxHashMap<JobId, JobKey>,
    last: JobKey,
}

/// One job.
#[derive(Debug)]
pub(super) struct Job {
    pub id: JobId,
    pub queue: Rc<Queue>,
    pub team: Option<TeamId>,
    /// Version of the job's row.
    pub version: Rev,
    /// Time of acceptance since the Unix epoch.
    pub at: Duration,
    pub payload: Rc<str>,
    pub sub: Rc<Submission>,
    pub state: JobState,
    pub cancelled: bool,
    /// Occurrences below this number are done.
    pub through: OccurrenceIndex,
    /// Number of occurrences that have begun.
    pub begun: OccurrenceIndex,
    pub occurrences: BTreeMap<OccurrenceIndex, Vec<StepRun>>,
    /// Runs that an earlier placer may have numbered stay below this.
    pub run_floor: RunNumber,
    /// When it reached its last state.
    pub ended_at: Option<Now>,
}

/// Progress of one step in one occurrence.
#[derive(Debug)]
pub(super) struct StepRun {
    pub tasks: Vec<Task>,
    pub done: u32,
    /// Tasks that have neither a place nor ended.
    pub waiting: u32,
    /// When it could first start; `None` while it waits for other steps.
    pub ready_at: Option<Now>,
    pub advice: StepAdvice,
    /// Where tasks that are done ran, and for how long.
    pub done_runs: Vec<(VmKey, Duration)>,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub place: Place,
    /// Highest run known.
    pub run: RunNumber,
    /// Runs that failed.
    pub failed: Vec<RunNumber>,
    pub checkpoint: Checkpoint,
    pub waiting_since: Now,
}

/// Where a task is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Place {
    /// It waits for a VM.
    #[default]
    Waiting,
    /// It was started on a VM, or may have been.
    On(VmKey),
    /// It is done.
    Done,
}

impl Book {
    /// Adds a job; false if it is known.
    pub fn add(&mut self, job: Job) -> Option<JobKey> {
        if self.ids.contains_key(&job.id) {
            return None;
        }
        self.last += 1;
        self.ids.insert(job.id.clone(), self.last);
        if job.is_open() {
            self.open.insert(self.last);
        }
        if job.begun < job.sub.occurrences() {
            self.timed.insert(self.last);
        }
        self.jobs.insert(self.last, job);
        Some(self.last)
    }

    /// The key of a job.
    pub fn key(&self, id: &str) -> Option<JobKey> {
        self.ids.get(id).copied()
    }

    /// Jobs of which tasks may be started.
    pub fn open_jobs(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        let open = self.open.iter();
        open.filter_map(|&key| Some((key, self.jobs.get(&key)?)))
    }

    /// Notes that a job has reached its last state.
    pub fn close(&mut self, key: JobKey) {
        self.open.remove(&key);
        self.timed.remove(&key);
    }

    /// Notes that a job's progress has changed.
    pub fn mark(&mut self, key: JobKey) {
        self.dirty.insert(key);
    }

    /// Notes that a job's progress was written.
    pub fn unmark(&mut self, key: JobKey) {
        self.dirty.remove(&key);
    }

    /// Jobs whose progress has changed.
    pub fn marked(&self) -> &BTreeSet<JobKey> {
        &self.dirty
    }

    /// Begins the occurrences whose time has come; true if one did.
    pub fn begin_due(&mut self, now: Now, unix: Duration, early: Duration) -> bool {
        let mut begun = false;
        let mut all_begun = Vec::new();
        for &key in &self.timed {
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            begun |= job.begin_due(now, unix, early);
            if job.begun >= job.sub.occurrences() {
                all_begun.push(key);
            }
        }
        for key in all_begun {
            self.timed.remove(&key);
        }
        begun
    }

    /// Time until the next occurrence is due, if there is one.
    pub fn next_due(&self, unix: Duration, early: Duration) -> Option<Duration> {
        let timed = self.timed.iter().filter_map(|key| self.jobs.get(key));
        let due = timed.map(|job| job.due(job.begun).saturating_sub(unix + early));
        due.min()
    }

    /// Forgets a job.
    pub fn remove(&mut self, key: JobKey) {
        self.close(key);
        self.unmark(key);
        if let Some(job) = self.jobs.remove(&key) {
            self.ids.remove(&job.id);
        }
    }

    /// The key of a named task, if the book has it.
    pub fn find(&self, name: &TaskName) -> Option<TaskKey> {
        let job = self.key(&name.job)?;
        let step = StepKey {
            job,
            occurrence: name.occurrence,
            step: name.step,
        };
        let key = TaskKey {
            step,
            index: name.index,
        };
        self.task(key).map(|_| key)
    }

    /// A task.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.step(key.step)?.tasks.get(key.index as usize)
    }

    /// A task.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.step_mut(key.step)?.tasks.get_mut(key.index as usize)
    }

    /// A step's progress.
    pub fn step(&self, key: StepKey) -> Option<&StepRun> {
        let job = self.jobs.get(&key.job)?;
        job.occurrences
            .get(&key.occurrence)?
            .get(usize::from(key.step))
    }

    /// A step's progress.
    pub fn step_mut(&mut self, key: StepKey) -> Option<&mut StepRun> {
        let job = self.jobs.get_mut(&key.job)?;
        job.occurrences
            .get_mut(&key.occurrence)?
            .get_mut(usize::from(key.step))
    }

    /// The name of a task.
    pub fn name(&self, key: TaskKey) -> Option<TaskName> {
        let job = self.jobs.get(&key.step.job)?;
        Some(TaskName {
            job: job.id.clone(),
            occurrence: key.step.occurrence,
            step: key.step.step,
            index: key.index,
        })
    }

    /// Puts a task back among those that wait.
    pub fn requeue(&mut self, key: TaskKey, now: Now) {
        let Some(step) = self.step_mut(key.step) else {
            return;
        };
        if let Some(task) = step.tasks.get_mut(key.index as usize)
            && matches!(task.place, Place::On(_))
        {
            task.place = Place::Waiting;
            task.waiting_since = now;
            step.waiting += 1;
        }
    }
}

impl Job {
    /// Whether tasks of the job may be started.
    pub fn is_open(&self) -> bool {
        !self.cancelled && self.ended_at.is_none()
    }

    /// What the submitter said of a step.
    pub fn spec(&self, step: StepIndex) -> &Step {
        &self.sub.steps[usize::from(step)]
    }

    /// Whether no task has started yet.
    pub fn is_untouched(&self) -> bool {
        self.state == JobState::Queued && self.is_open()
    }

    /// Begins the occurrences whose time has come; true if one did.
    pub fn begin_due(&mut self, now: Now, unix: Duration, early: Duration) -> bool {
        let mut begun = false;
        while self.begun < self.sub.occurrences() && unix + early >= self.due(self.begun) {
            self.begin(self.begun, now);
            self.begun += 1;
            begun = true;
        }
        begun
    }

    /// Time of an occurrence, since the Unix epoch.
    pub fn due(&self, occurrence: OccurrenceIndex) -> Duration {
        match self.sub.schedule {
            Some(schedule) => schedule.first + schedule.interval * occurrence,
            None => Duration::ZERO,
        }
    }

    /// Adds an occurrence with all tasks waiting.
    pub fn begin(&mut self, occurrence: OccurrenceIndex, now: Now) {
        let steps = self.sub.steps.iter().map(|step| StepRun {
            tasks: vec![
                Task {
                    waiting_since: now,
                    ..Task::default()
                };
                step.count as usize
            ],
            done: 0,
            waiting: step.count,
            ready_at: step.after.is_empty().then_some(now),
            advice: StepAdvice::default(),
            done_runs: Vec::new(),
        });
        let steps = steps.collect();
        self.occurrences.insert(occurrence, steps);
    }

    /// Marks the steps of an occurrence whose dependencies are done.
    pub fn ready_steps(&mut self, occurrence: OccurrenceIndex, now: Now) {
        let Some(runs) = self.occurrences.get_mut(&occurrence) else {
            return;
        };
        let done: Vec<bool> = runs.iter().map(StepRun::is_done).collect();
        for (run, spec) in runs.iter_mut().zip(&self.sub.steps) {
            let free = spec.after.iter().all(|&dep| done[usize::from(dep)]);
            if free && run.ready_at.is_none() {
                run.ready_at = Some(now);
                for task in &mut run.tasks {
                    task.waiting_since = now;
                }
            }
        }
    }

    /// Forgets occurrences that are done; true if all are.
    pub fn fold(&mut self) -> bool {
        while let Some(steps) = self.occurrences.get(&self.through) {
            if !steps.iter().all(StepRun::is_done) {
                break;
            }
            self.occurrences.remove(&self.through);
            self.through += 1;
        }
        self.through >= self.sub.occurrences()
    }

    /// Objective for the time from acceptance to the end.
    pub fn objective(&self) -> Duration {
        let chain = self.sub.critical_path();
        chain.mul_f64(self.queue.stretch.max(0.0)) + self.queue.target
    }
}

impl StepRun {
    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize >= self.tasks.len()
    }
}
