//! Crashes of VMs, and the runs that were lost with them.

use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::JobState;
use crate::core::workload::event::RenewalReport;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::job_registry::Task;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::lost_vms::Evidence;
use crate::core::workload::placer::state::lost_vms::Lifetime;
use crate::core::workload::placer::state::lost_vms::LostRun;
use crate::core::workload::placer::state::lost_vms::LostVm;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::policy::crashes::MAX_KEPT_CRASHES;
use crate::core::workload::policy::crashes::is_given_up;
use crate::core::workload::task::RunNumber;
use crate::core::workload::task::TaskName;

impl Placer {
    /// Drops the runs of a lost VM that match and requeues their tasks. Keeps those that may have
    /// caused a crash until it is known whether the VM has crashed, unless it had announced its end.
    pub(in crate::core::workload::placer) fn drop_lost_runs(
        &mut self,
        cx: &mut Cx,
        key: VmKey,
        reason: &'static str,
        matches: impl Fn(&Run) -> bool,
    ) {
        let Some(vm) = self.fleet.vms.get(&key) else {
            return;
        };
        let (lifetime, end_announced) = (vm.lifetime(), vm.has_announced_end());
        let proven = self.clear_proven_tasks(key);
        let dropped = self.drop_runs(cx, key, reason, matches).into_iter();
        let suspects =
            dropped.filter(|dropped| dropped.run.is_sent() && !proven.contains(&dropped.task));
        let runs: Vec<LostRun> = suspects.map(DroppedRun::into_lost_run).collect();
        if !runs.is_empty() && !end_announced {
            self.lost_vms.add(LostVm {
                lifetime,
                lost_at: cx.now,
                runs,
                has_more: false,
            });
        }
    }

    /// Clears the crashes under tasks whose runs on a VM have lasted so long that they are not the
    /// cause. Returns the tasks.
    fn clear_proven_tasks(&mut self, key: VmKey) -> Vec<TaskKey> {
        let Some(vm) = self.fleet.vms.get(&key) else {
            return Vec::new();
        };
        let proven = vm.runs.iter().filter(|(_, run)| vm.is_proven(run));
        let proven: Vec<TaskKey> = proven.map(|(&task, _)| task).collect();
        for &task in &proven {
            if let Some(state) = self.registry.task_mut(task)
                && (!state.crashed.is_empty() || state.uncertain.is_some())
            {
                state.crashed.clear();
                state.uncertain = None;
                self.registry.mark_dirty(task.step.job);
            }
        }
        proven
    }

    /// Handles the lifetime that a VM reports: a lost VM has not crashed if this is the same lifetime,
    /// and has crashed if it is a later one. It has not crashed under the runs that it still lists.
    pub(in crate::core::workload::placer) fn record_lifetime_of(
        &mut self,
        cx: &mut Cx,
        key: VmKey,
        sent: Now,
        report: &RenewalReport,
    ) {
        if self.lost_vms.is_empty() {
            return;
        }
        let Some(vm) = self.fleet.vms.get(&key) else {
            return;
        };
        let seen = Lifetime {
            started_ms: report.started_ms,
            ..vm.lifetime()
        };
        self.lost_vms.remove_listed_runs(&seen.vm, report);
        self.lost_vms.remove_alive(&seen);
        self.record_crashes(cx, &seen, Some(sent));
    }

    /// Records the crashes of lost VMs that a lifetime shows. If it has answered a renewal, `asked_at` is
    /// when that was sent.
    pub(in crate::core::workload::placer) fn record_crashes(
        &mut self,
        cx: &mut Cx,
        seen: &Lifetime,
        asked_at: Option<Now>,
    ) {
        self.lost_vms.remove_overdue(cx.now);
        for lost in self.lost_vms.take_crashed(seen, asked_at) {
            cx.log(Decision::VmCrashed {
                vm: lost.lifetime.vm.clone(),
                machine: lost.lifetime.machine.clone(),
                born: lost.lifetime.started_ms,
                next_born: seen.started_ms,
                runs: lost.runs.len(),
            });
            let was_alone = self.has_one_suspect(&lost);
            for run in &lost.runs {
                self.record_crash(cx, &lost.lifetime, run, was_alone);
            }
        }
    }

    /// Marks the runs on a VM that has restarted whose starts were not confirmed before: the VM may
    /// have crashed under them, unless it had announced its end.
    pub(in crate::core::workload::placer) fn mark_unconfirmed_runs(
        &mut self,
        cx: &mut Cx,
        key: VmKey,
    ) {
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        if vm.has_announced_end() {
            return;
        }
        let lifetime = vm.lifetime();
        let mut uncertain = Vec::new();
        for (&task, run) in vm.runs.iter_mut().filter(|(_, run)| run.is_sent()) {
            run.crashed_lifetime_ms.get_or_insert(lifetime.started_ms);
            if run.evidence() == Evidence::Uncertain {
                uncertain.push((task, *run));
            }
        }
        uncertain.sort_unstable_by_key(|(task, _)| *task);
        for (task, run) in uncertain {
            if let Some(run) = self.lost_run(task, &run) {
                self.record_crash(cx, &lifetime, &run, false);
            }
        }
    }

    /// Returns a run as one that was lost with its VM.
    pub(in crate::core::workload::placer) fn lost_run(
        &self,
        task: TaskKey,
        run: &Run,
    ) -> Option<LostRun> {
        Some(LostRun {
            task: self.registry.task_name(task)?,
            number: run.number,
            evidence: run.evidence(),
        })
    }

    /// Records a crash under a run that a VM, which has restarted since, does not have.
    pub(in crate::core::workload::placer) fn record_unconfirmed_crash(
        &mut self,
        cx: &mut Cx,
        key: VmKey,
        task: TaskKey,
        run: &Run,
    ) {
        let vm = self.fleet.vms.get(&key).map(Vm::lifetime);
        if let (Some(vm), Some(run)) = (vm, self.lost_run(task, run)) {
            self.record_crash(cx, &vm, &run, false);
        }
    }

    /// Records the crashes under runs of jobs that were not known when their VMs came back.
    pub(in crate::core::workload::placer) fn record_kept_crashes(&mut self, cx: &mut Cx) {
        for crash in self.lost_vms.take_kept_crashes() {
            self.record_crash(cx, &crash.former, &crash.run, crash.was_alone);
        }
    }

    /// Handles a run that a VM lists: no VM has crashed under it.
    pub(in crate::core::workload::placer) fn disprove_crash(
        &mut self,
        task: TaskKey,
        run: RunNumber,
    ) {
        if let Some(state) = self.registry.task_mut(task)
            && (state.crashed.contains(&run) || state.uncertain == Some(run))
        {
            state.crashed.retain(|&crashed| crashed != run);
            state.uncertain.take_if(|uncertain| *uncertain == run);
            self.registry.mark_dirty(task.step.job);
        }
    }

    /// Returns whether all lost runs are of one task or of one gang, whose tasks crash and end
    /// together.
    fn has_one_suspect(&self, lost: &LostVm) -> bool {
        let [first, others @ ..] = &lost.runs[..] else {
            return false;
        };
        let first = &first.task;
        if lost.has_more {
            return false;
        }
        let job = self
            .registry
            .key(&first.job)
            .map(|job| &self.registry.jobs[&job]);
        let is_gang = job.is_some_and(|job| job.has_gang(first.step));
        let is_member = |other: &TaskName| {
            is_gang
                && (&other.job, other.occurrence, other.step)
                    == (&first.job, first.occurrence, first.step)
        };
        others.iter().all(|other| is_member(&other.task))
    }

    /// Records that the VM of a run has crashed, unless the task is done. Fails the job once too many
    /// VMs have crashed under the task, but for a task that runs until its job is cancelled.
    ///
    /// Only a run that has reached its VM for certain is a reason to fail the job.
    fn record_crash(&mut self, cx: &mut Cx, former: &Lifetime, run: &LostRun, was_alone: bool) {
        if self.is_unread(&run.task.job) {
            return self.lost_vms.keep_crash(former, run, was_alone);
        }
        let Some(task) = self.registry.find_task(&run.task) else {
            return;
        };
        let Some(state) = self.registry.task_mut(task) else {
            return;
        };
        let is_known = state.crashed.contains(&run.number) || state.uncertain == Some(run.number);
        if state.placement == Placement::Done || is_known {
            return;
        }
        let is_uncertain = run.evidence == Evidence::Uncertain;
        if is_uncertain {
            state.uncertain = Some(run.number);
        } else {
            state.add_crash(run.number);
        }
        let long_running = state.long_running;
        let (crashes, has_uncertain) = (state.crashed.len(), state.uncertain.is_some());
        self.registry.mark_dirty(task.step.job);
        let (id, name) = (run.task.job.clone(), run.task.to_string().into());
        if is_uncertain {
            return cx.log(Decision::StartUncertain {
                id,
                task: name,
                run: run.number,
                vm: former.vm.clone(),
            });
        }
        cx.log(Decision::RunCrashed {
            id,
            task: name,
            run: run.number,
            vm: former.vm.clone(),
            crashes,
        });
        let job = task.step.job;
        let is_active = self.registry.jobs.get(&job).is_some_and(Job::is_active);
        let may_fail = !long_running && run.evidence == Evidence::Delivered;
        if is_active && may_fail && is_given_up(crashes, has_uncertain, was_alone) {
            self.finish_job(cx, job, JobState::Failed, "VMs crashed under a task");
        }
    }
}

impl Task {
    /// Adds a run under which its VM has crashed. A task that runs until its job is cancelled keeps the
    /// last ones only, as their number has no limit.
    fn add_crash(&mut self, run: RunNumber) {
        self.crashed.push(run);
        if self.long_running {
            let dropped = self.crashed.len().saturating_sub(MAX_KEPT_CRASHES);
            self.crashed.drain(..dropped);
        }
    }
}

/// A run that was dropped because its VM was lost.
#[derive(Debug)]
pub(in crate::core::workload::placer) struct DroppedRun {
    pub task: TaskKey,
    pub name: TaskName,
    pub run: Run,
}

impl DroppedRun {
    fn into_lost_run(self) -> LostRun {
        LostRun {
            task: self.name,
            number: self.run.number,
            evidence: self.run.evidence(),
        }
    }
}
