//! In-memory registry of jobs with the progress of their steps and tasks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::core::model::JobId;
use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::model::ServiceId;
use crate::core::model::TaskIndex;
use crate::core::model::TeamId;
use crate::core::workload::catalog::Queue;
use crate::core::workload::effect::JobState;
use crate::core::workload::placer::rounds::advice::StepAdvice;
use crate::core::workload::placer::rounds::gang::GangSearch;
use crate::core::workload::placer::state::dirty_jobs::ChangeNumber;
use crate::core::workload::placer::state::dirty_jobs::DirtyJobs;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::storage::histories::StoredHistories;
use crate::core::workload::policy::crashes::Losses;
use crate::core::workload::policy::wait_reasons::StepWait;
use crate::core::workload::submission::OccurrenceIndex;
use crate::core::workload::submission::Step;
use crate::core::workload::submission::StepIndex;
use crate::core::workload::submission::Submission;
use crate::core::workload::task::Checkpoint;
use crate::core::workload::task::RunNumber;
use crate::core::workload::task::TaskName;

/// Key of a job in the registry.
pub(in crate::core::workload::placer) type JobKey = u32;

/// Key of a step within one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(in crate::core::workload::placer) struct StepKey {
    pub job: JobKey,
    pub occurrence: OccurrenceIndex,
    pub step: StepIndex,
}

/// Key of a task in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(in crate::core::workload::placer) struct TaskKey {
    pub step: StepKey,
    pub index: TaskIndex,
}

/// All jobs known to the placer, indexed by id and by state.
#[derive(Debug, Default)]
pub(in crate::core::workload::placer) struct JobRegistry {
    pub jobs: BTreeMap<JobKey, Job>,
    /// Jobs that are neither cancelled nor ended.
    active: BTreeSet<JobKey>,
    /// Active jobs with occurrences that have not begun.
    scheduled: BTreeSet<JobKey>,
    /// Jobs whose progress has changed since it was last written to the table.
    dirty: DirtyJobs,
    ids: FxHashMap<JobId, JobKey>,
    last_key: JobKey,
}

/// A job and its progress.
#[derive(Debug)]
pub(in crate::core::workload::placer) struct Job {
    pub id: JobId,
    pub queue: Rc<Queue>,
    /// Whether `queue` has the terms of the job's queue. They are not known of a queue that is not
    /// configured if an earlier version has stored the job.
    pub has_terms: bool,
    pub team: Option<TeamId>,
    /// Pool of VMs at the time of submission.
    pub service: ServiceId,
    /// Version of the job's row.
    pub version: Rev,
    /// Whether the job's row is the small one of an ended job.
    pub archived: bool,
    /// Time since the Unix epoch.
    pub accepted_at: Duration,
    /// Payload; empty once the final state is stored.
    pub payload: Rc<str>,
    /// Submitted job without its payload; without steps if it was loaded from a small row.
    pub submission: Rc<Submission>,
    pub state: JobState,
    pub cancelled: bool,
    /// All earlier occurrences are done.
    pub first_unfinished: OccurrenceIndex,
    /// Number of occurrences that have begun.
    pub begun: OccurrenceIndex,
    pub occurrences: BTreeMap<OccurrenceIndex, Vec<StepProgress>>,
    /// Maximum number of occurrences from the first unfinished one on that have begun.
    pub max_open_occurrences: OccurrenceIndex,
    /// Rows with the histories of the tasks.
    pub histories: StoredHistories,
    /// Highest run number that an earlier placer may have assigned.
    pub run_floor: RunNumber,
    /// Time of the transition to a terminal state.
    pub ended_at: Option<Now>,
}

/// Progress of one step in one occurrence.
#[derive(Debug)]
pub(in crate::core::workload::placer) struct StepProgress {
    pub tasks: Vec<Task>,
    pub done: u32,
    /// Number of tasks that are neither assigned to a VM nor done.
    pub waiting: u32,
    /// Time at which all dependencies were done; `None` before that.
    pub ready_at: Option<Now>,
    pub advice: StepAdvice,
    pub gang: GangSearch,
    /// Wait of the tasks at the end of the last round; `None` if none waited.
    pub wait: Option<StepWait>,
    /// VM and duration of each completed run that counts for speed estimates.
    pub done_runs: Vec<(VmKey, Duration)>,
}

/// State of one task.
#[derive(Clone, Debug, Default)]
pub(in crate::core::workload::placer) struct Task {
    pub placement: Placement,
    /// Highest known run number.
    pub run: RunNumber,
    /// Numbers of the runs that failed.
    pub failed: Vec<RunNumber>,
    /// Numbers of the runs under which the VM crashed.
    pub crashed: Vec<RunNumber>,
    /// Last run whose VM has crashed, perhaps before the start reached it.
    pub uncertain: Option<RunNumber>,
    /// VMs that were lost lately under runs of the task, and may have crashed.
    pub recent_losses: Losses,
    pub checkpoint: Checkpoint,
    pub waiting_since: Now,
    /// Whether the task runs until its job is cancelled.
    pub long_running: bool,
    /// When this placer last sent a start that was not rejected; zero if none.
    pub last_start_at: Now,
    /// Number of runs that were stopped because their VM seemed stalled.
    pub stall_stops: u32,
}

/// Placement of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::core::workload::placer) enum Placement {
    /// Not assigned to a VM.
    #[default]
    Waiting,
    /// Assigned to a VM. The start may still be unconfirmed.
    Assigned(VmKey),
    /// Completed.
    Done,
}

impl JobRegistry {
    /// Adds a job and returns its key, or `None` if the id is already registered.
    pub fn add(&mut self, job: Job) -> Option<JobKey> {
        if self.ids.contains_key(&job.id) {
            return None;
        }
        self.last_key += 1;
        self.ids.insert(job.id.clone(), self.last_key);
        if job.is_active() {
            self.active.insert(self.last_key);
        }
        if job.begun < job.submission.occurrences() {
            self.scheduled.insert(self.last_key);
        }
        self.jobs.insert(self.last_key, job);
        Some(self.last_key)
    }

    /// Returns the key of a job.
    pub fn key(&self, id: &str) -> Option<JobKey> {
        self.ids.get(id).copied()
    }

    /// Returns the jobs whose tasks may be started.
    pub fn active_jobs(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        let active = self.active.iter();
        active.filter_map(|&key| Some((key, self.jobs.get(&key)?)))
    }

    /// Removes a job that has reached a terminal state from the active and scheduled sets.
    pub fn mark_ended(&mut self, key: JobKey) {
        self.active.remove(&key);
        self.scheduled.remove(&key);
    }

    /// Marks a job's progress as changed since the last write.
    pub fn mark_dirty(&mut self, key: JobKey) {
        self.dirty.insert(key);
    }

    /// Marks a job's progress as written.
    pub fn clear_dirty(&mut self, key: JobKey) {
        self.dirty.remove(key);
    }

    /// Marks a job's progress as changed again, as a write of it has failed.
    pub fn restore_dirty(&mut self, key: JobKey, number: ChangeNumber) {
        if self.jobs.contains_key(&key) {
            self.dirty.restore(key, number);
        }
    }

    /// Returns the jobs whose progress has changed since the last write.
    pub fn dirty_jobs(&self) -> &DirtyJobs {
        &self.dirty
    }

    /// Begins the due occurrences of all jobs. Returns whether any began.
    ///
    /// An occurrence may begin up to `lead_time` before its scheduled time.
    pub fn begin_due_occurrences(
        &mut self,
        now: Now,
        unix_time: Duration,
        lead_time: Duration,
    ) -> bool {
        let mut begun = false;
        let mut all_begun = Vec::new();
        for &key in &self.scheduled {
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            begun |= job.begin_due_occurrences(now, unix_time, lead_time);
            if job.begun >= job.submission.occurrences() {
                all_begun.push(key);
            }
        }
        for key in all_begun {
            self.scheduled.remove(&key);
        }
        begun
    }

    /// Returns the time until the next occurrence is due, if any.
    pub fn next_due(&self, unix_time: Duration, lead_time: Duration) -> Option<Duration> {
        let scheduled = self.scheduled.iter().filter_map(|key| self.jobs.get(key));
        let scheduled = scheduled.filter(|job| job.may_begin_occurrence());
        let due = scheduled.map(|job| job.due_at(job.begun).saturating_sub(unix_time + lead_time));
        due.min()
    }

    /// Removes a job.
    pub fn remove(&mut self, key: JobKey) {
        self.mark_ended(key);
        self.clear_dirty(key);
        if let Some(job) = self.jobs.remove(&key) {
            self.ids.remove(&job.id);
        }
    }

    /// Returns the key of a named task, if the registry has it.
    pub fn find_task(&self, name: &TaskName) -> Option<TaskKey> {
        let key = self.task_key(name)?;
        self.task(key).map(|_| key)
    }

    /// Returns the key of a named task of a known job, also if the task's occurrence is done.
    pub fn task_key(&self, name: &TaskName) -> Option<TaskKey> {
        let step = StepKey {
            job: self.key(&name.job)?,
            occurrence: name.occurrence,
            step: name.step,
        };
        Some(TaskKey {
            step,
            index: name.index,
        })
    }

    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.step(key.step)?.tasks.get(key.index as usize)
    }

    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.step_mut(key.step)?.tasks.get_mut(key.index as usize)
    }

    pub fn step(&self, key: StepKey) -> Option<&StepProgress> {
        let job = self.jobs.get(&key.job)?;
        job.occurrences
            .get(&key.occurrence)?
            .get(usize::from(key.step))
    }

    pub fn step_mut(&mut self, key: StepKey) -> Option<&mut StepProgress> {
        let job = self.jobs.get_mut(&key.job)?;
        job.occurrences
            .get_mut(&key.occurrence)?
            .get_mut(usize::from(key.step))
    }

    /// Begins the occurrence of a task that a VM lists, as an earlier placer has begun it, and those before
    /// it, as far as the job's progress has room for them. Returns whether the occurrence has still not
    /// begun.
    pub fn awaits_occurrence(&mut self, name: &TaskName, now: Now) -> bool {
        let key = self.key(&name.job);
        let job = key.and_then(|key| self.jobs.get_mut(&key));
        let Some(job) = job.filter(|job| job.is_active()) else {
            return false;
        };
        if name.occurrence >= job.submission.occurrences() {
            return false;
        }
        while job.begun <= name.occurrence && job.may_begin_occurrence() {
            job.begin_occurrence(job.begun, now);
            job.begun += 1;
        }
        job.begun <= name.occurrence
    }

    /// Returns the full name of a task.
    pub fn task_name(&self, key: TaskKey) -> Option<TaskName> {
        let job = self.jobs.get(&key.step.job)?;
        Some(TaskName {
            job: job.id.clone(),
            occurrence: key.step.occurrence,
            step: key.step.step,
            index: key.index,
        })
    }

    /// Returns an assigned task to the waiting state. Does nothing for other tasks.
    pub fn requeue(&mut self, key: TaskKey, now: Now) {
        let Some(step) = self.step_mut(key.step) else {
            return;
        };
        if let Some(task) = step.tasks.get_mut(key.index as usize)
            && matches!(task.placement, Placement::Assigned(_))
        {
            task.placement = Placement::Waiting;
            task.waiting_since = now;
            step.waiting += 1;
        }
    }
}

impl Job {
    /// Returns whether tasks of the job may be started.
    pub fn is_active(&self) -> bool {
        !self.cancelled && self.ended_at.is_none()
    }

    /// Returns the submitted specification of a step.
    pub fn spec(&self, step: StepIndex) -> &Step {
        &self.submission.steps[usize::from(step)]
    }

    /// Returns whether a step is a gang.
    pub fn has_gang(&self, step: StepIndex) -> bool {
        let spec = self.submission.steps.get(usize::from(step));
        spec.is_some_and(|spec| spec.traits.gang)
    }

    /// Returns whether the job is active and no task has started.
    pub fn is_unstarted(&self) -> bool {
        self.state == JobState::Queued && self.is_active()
    }

    /// Returns whether a step has a task that may have used up its attempts, as the terms of the queue
    /// are not known.
    pub fn awaits_terms(&self, steps: &[StepProgress], step: usize) -> bool {
        let has_failed =
            |step: &StepProgress| step.tasks.iter().any(|task| !task.failed.is_empty());
        !self.has_terms && steps.get(step).is_some_and(has_failed)
    }

    /// Returns the steps that are ready and have waiting tasks.
    pub fn ready_steps(&self, key: JobKey) -> impl Iterator<Item = StepKey> {
        self.occurrences
            .iter()
            .flat_map(move |(&occurrence, steps)| {
                let ready = steps.iter().enumerate();
                let ready = ready.filter(|(_, step)| step.ready_at.is_some() && step.waiting > 0);
                let ready = ready.filter(|(ix, _)| !self.awaits_terms(steps, *ix));
                ready.map(move |(ix, _)| StepKey {
                    job: key,
                    occurrence,
                    step: StepIndex::try_from(ix).unwrap_or(StepIndex::MAX),
                })
            })
    }

    /// Begins the due occurrences. Returns whether any began.
    pub fn begin_due_occurrences(
        &mut self,
        now: Now,
        unix_time: Duration,
        lead_time: Duration,
    ) -> bool {
        let mut begun = false;
        while self.begun < self.submission.occurrences()
            && self.may_begin_occurrence()
            && unix_time + lead_time >= self.due_at(self.begun)
        {
            self.begin_occurrence(self.begun, now);
            self.begun += 1;
            begun = true;
        }
        begun
    }

    /// Returns whether the progress has room for one more occurrence. A job of which many are due at once
    /// begins them as earlier ones are done.
    pub fn may_begin_occurrence(&self) -> bool {
        let open = self.begun.saturating_sub(self.first_unfinished);
        open < self.max_open_occurrences
    }

    /// Returns the scheduled time of an occurrence since the Unix epoch; zero without a schedule.
    pub fn due_at(&self, occurrence: OccurrenceIndex) -> Duration {
        match self.submission.schedule {
            Some(schedule) => {
                let since_first = schedule.interval.checked_mul(occurrence);
                schedule
                    .first
                    .saturating_add(since_first.unwrap_or(Duration::MAX))
            }
            None => Duration::ZERO,
        }
    }

    /// Adds an occurrence with all its tasks waiting.
    pub fn begin_occurrence(&mut self, occurrence: OccurrenceIndex, now: Now) {
        let steps = self.submission.steps.iter().map(|step| StepProgress {
            tasks: vec![
                Task {
                    waiting_since: now,
                    long_running: step.traits.long_running,
                    ..Task::default()
                };
                step.count as usize
            ],
            done: 0,
            waiting: step.count,
            ready_at: step.after.is_empty().then_some(now),
            advice: StepAdvice::default(),
            gang: GangSearch::default(),
            wait: None,
            done_runs: Vec::new(),
        });
        let steps = steps.collect();
        self.occurrences.insert(occurrence, steps);
    }

    /// Marks the steps of an occurrence as ready whose dependencies are all done.
    pub fn mark_ready_steps(&mut self, occurrence: OccurrenceIndex, now: Now) {
        let Some(steps) = self.occurrences.get_mut(&occurrence) else {
            return;
        };
        let done: Vec<bool> = steps.iter().map(StepProgress::is_done).collect();
        for (step, spec) in steps.iter_mut().zip(&self.submission.steps) {
            let unblocked = spec.after.iter().all(|&dep| done[usize::from(dep)]);
            if unblocked && step.ready_at.is_none() {
                step.ready_at = Some(now);
                for task in &mut step.tasks {
                    task.waiting_since = now;
                }
            }
        }
    }

    /// Removes leading occurrences that are done. Returns whether all occurrences are done.
    pub fn remove_done_occurrences(&mut self) -> bool {
        while let Some(steps) = self.occurrences.get(&self.first_unfinished) {
            if !steps.iter().all(StepProgress::is_done) {
                break;
            }
            self.occurrences.remove(&self.first_unfinished);
            self.first_unfinished += 1;
        }
        self.first_unfinished >= self.submission.occurrences()
    }

    /// Returns the number of tasks of one occurrence.
    pub fn task_count(&self) -> u64 {
        let steps = self.submission.steps.iter();
        steps.map(|step| u64::from(step.count)).sum()
    }

    /// Returns the objective for the time from acceptance to completion.
    pub fn objective(&self) -> Duration {
        self.queue.objective(self.submission.critical_path())
    }
}

impl StepProgress {
    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize >= self.tasks.len()
    }
}
