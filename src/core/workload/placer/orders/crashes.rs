//! Crashes of VMs, and the runs that were lost with them.

use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::JobState;
use crate::core::workload::event::RenewalReport;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::lost_vms::Lifetime;
use crate::core::workload::placer::state::lost_vms::LostVm;
use crate::core::workload::placer::state::run::Run;
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
        let mut runs = self.drop_runs(cx, key, reason, matches);
        runs.retain(|(task, _, _)| !proven.contains(task));
        let runs: Vec<(TaskName, RunNumber)> =
            runs.into_iter().map(|(_, name, run)| (name, run)).collect();
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
                && !state.crashed.is_empty()
            {
                state.crashed.clear();
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
        self.record_crashes(cx, &seen);
    }

    /// Records the crashes of lost VMs that a lifetime shows.
    pub(in crate::core::workload::placer) fn record_crashes(
        &mut self,
        cx: &mut Cx,
        seen: &Lifetime,
    ) {
        self.lost_vms.remove_overdue(cx.now);
        for lost in self.lost_vms.take_crashed(seen) {
            cx.log(Decision::VmCrashed {
                vm: lost.lifetime.vm.clone(),
                machine: lost.lifetime.machine.clone(),
                born: lost.lifetime.started_ms,
                next_born: seen.started_ms,
                runs: lost.runs.len(),
            });
            let was_alone = self.has_one_suspect(&lost);
            for (name, run) in &lost.runs {
                self.record_crash(cx, &lost.lifetime, name, *run, was_alone);
            }
        }
    }

    /// Marks the runs on a VM that has restarted whose starts were not confirmed before: the VM may
    /// have crashed under them, unless it had announced its end.
    pub(in crate::core::workload::placer) fn mark_unconfirmed_runs(&mut self, key: VmKey) {
        if let Some(vm) = self.fleet.vms.get_mut(&key)
            && !vm.has_announced_end()
        {
            for run in vm.runs.values_mut() {
                run.may_have_crashed = true;
            }
        }
    }

    /// Records a crash under a run that a VM, which has restarted since, does not have.
    pub(in crate::core::workload::placer) fn record_unconfirmed_crash(
        &mut self,
        cx: &mut Cx,
        key: VmKey,
        task: TaskKey,
        run: RunNumber,
    ) {
        let vm = self.fleet.vms.get(&key).map(Vm::lifetime);
        if let (Some(vm), Some(name)) = (vm, self.registry.task_name(task)) {
            self.record_crash(cx, &vm, &name, run, false);
        }
    }

    /// Records the crashes under runs of jobs that were not known when their VMs came back.
    pub(in crate::core::workload::placer) fn record_kept_crashes(&mut self, cx: &mut Cx) {
        for crash in self.lost_vms.take_kept_crashes() {
            self.record_crash(cx, &crash.former, &crash.task, crash.run, crash.was_alone);
        }
    }

    /// Handles a run that a VM lists: no VM has crashed under it.
    pub(in crate::core::workload::placer) fn disprove_crash(
        &mut self,
        task: TaskKey,
        run: RunNumber,
    ) {
        if let Some(state) = self.registry.task_mut(task)
            && state.crashed.contains(&run)
        {
            state.crashed.retain(|&crashed| crashed != run);
            self.registry.mark_dirty(task.step.job);
        }
    }

    /// Returns whether all lost runs are of one task or of one gang, whose tasks crash and end
    /// together.
    fn has_one_suspect(&self, lost: &LostVm) -> bool {
        let [(first, _), others @ ..] = &lost.runs[..] else {
            return false;
        };
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
        others.iter().all(|(other, _)| is_member(other))
    }

    /// Records that a VM has crashed under a run, unless the task is done. Fails the job once too many
    /// VMs have crashed under the task.
    fn record_crash(
        &mut self,
        cx: &mut Cx,
        former: &Lifetime,
        name: &TaskName,
        run: RunNumber,
        was_alone: bool,
    ) {
        if self.is_unread(&name.job) {
            return self.lost_vms.keep_crash(former, name, run, was_alone);
        }
        let Some(task) = self.registry.find_task(name) else {
            return;
        };
        let Some(state) = self.registry.task_mut(task) else {
            return;
        };
        if state.placement == Placement::Done || state.crashed.contains(&run) {
            return;
        }
        state.crashed.push(run);
        let crashes = state.crashed.len();
        self.registry.mark_dirty(task.step.job);
        cx.log(Decision::RunCrashed {
            id: name.job.clone(),
            task: name.to_string().into(),
            run,
            vm: former.vm.clone(),
            crashes,
        });
        let job = task.step.job;
        let is_active = self.registry.jobs.get(&job).is_some_and(Job::is_active);
        if is_active && is_given_up(crashes, was_alone) {
            self.finish_job(cx, job, JobState::Failed, "VMs crashed under a task");
        }
    }
}
