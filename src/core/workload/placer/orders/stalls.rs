//! Stalled VMs: they get no new tasks for a while, and their overdue runs are stopped so that the
//! tasks start elsewhere.

use std::time::Duration;

use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::cx::earliest;
use crate::core::workload::cx::millis;
use crate::core::workload::decision::Decision;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::run::Phase;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::policy::stall::OverdueRun;
use crate::core::workload::policy::stall::SUSPECT_TIME;
use crate::core::workload::policy::stall::VmView;
use crate::core::workload::policy::stall::new_suspects;
use crate::core::workload::policy::stall::overdue_age;
use crate::core::workload::task::RunOutcome;

/// Longest time between two looks at the runs of a VM.
const MAX_LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of groups of VMs that are looked at in turn, so that no check looks at all of them.
const LOOK_GROUPS: u32 = 4;

/// Largest number of doublings of the expected run time of a task.
const MAX_DOUBLINGS: u32 = 10;

/// Overdue runs of a VM.
struct Overdue {
    view: VmView,
    /// Tasks of the overdue runs, in the order of the view.
    tasks: Vec<TaskKey>,
}

impl Placer {
    /// Checks for stalled VMs if that is due.
    pub(in crate::core::workload::placer) fn check_stalls(&mut self, cx: &mut Cx) {
        if !self.stall_checks.begin(cx.now) {
            return;
        }
        self.end_suspicions(cx);
        let overdue = self.overdue_runs(cx.now);
        let views: Vec<VmView> = overdue.iter().map(|vm| vm.view.clone()).collect();
        let vms = self.fleet.vms.values();
        let suspects = vms.filter(|vm| vm.stall.suspect_since.is_some()).count();
        for key in new_suspects(&views, self.fleet.vms.len(), suspects) {
            if let Some(vm) = views.iter().find(|view| view.vm == key) {
                self.suspect(cx, vm);
            }
        }
        for vm in overdue {
            self.stop_overdue_runs(cx, &vm);
        }
    }

    /// Records that a run on a VM has ended. Runs that were stopped are no sign of progress.
    pub(in crate::core::workload::placer) fn record_end(
        &mut self,
        cx: &mut Cx,
        key: VmKey,
        outcome: RunOutcome,
    ) {
        if !matches!(outcome, RunOutcome::Done | RunOutcome::Failed) {
            return;
        }
        if let Some(vm) = self.fleet.vms.get_mut(&key) {
            vm.stall.last_end_at = Some(cx.now);
        }
        self.clear_suspicion(cx, key, "a run has ended");
    }

    /// Allows new tasks on a VM that is suspect.
    pub(in crate::core::workload::placer) fn clear_suspicion(
        &mut self,
        cx: &mut Cx,
        key: VmKey,
        reason: &'static str,
    ) {
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        let Some(since) = vm.stall.suspect_since.take() else {
            return;
        };
        cx.log(Decision::VmRecovered {
            vm: vm.id.clone(),
            suspect_ms: millis(cx.now.saturating_sub(since)),
            reason,
        });
        self.schedule_round(cx.now);
    }

    fn end_suspicions(&mut self, cx: &mut Cx) {
        let is_over = |vm: &Vm| {
            let since = vm.stall.suspect_since;
            since.is_some_and(|since| cx.now >= since + SUSPECT_TIME)
        };
        for key in self.fleet.select(is_over, usize::MAX) {
            self.clear_suspicion(cx, key, "gets tasks again");
        }
    }

    fn suspect(&mut self, cx: &mut Cx, view: &VmView) {
        let Some(vm) = self.fleet.vms.get_mut(&view.vm) else {
            return;
        };
        vm.stall.suspect_since = Some(cx.now);
        let Some(oldest) = view.overdue.iter().max_by_key(|run| run.age) else {
            return;
        };
        cx.log(Decision::VmStalled {
            vm: vm.id.clone(),
            overdue: view.overdue.len(),
            oldest_ms: millis(oldest.age),
            expected_ms: millis(oldest.expected),
        });
    }

    /// Stops the overdue runs of a VM if it is suspect.
    fn stop_overdue_runs(&mut self, cx: &mut Cx, overdue: &Overdue) {
        let key = overdue.view.vm;
        let vm = self.fleet.vms.get(&key);
        if vm.is_none_or(|vm| vm.stall.suspect_since.is_none()) {
            return;
        }
        for &task in &overdue.tasks {
            if let Some(state) = self.registry.task_mut(task) {
                state.stall_stops += 1;
            }
            self.order_stop(cx, key, task, "VM is stalled");
        }
    }

    /// Returns the VMs with overdue runs that the VM reports as running.
    ///
    /// VMs on which no run can have become overdue since the last look are left out.
    fn overdue_runs(&mut self, now: Now) -> Vec<Overdue> {
        let mut list = Vec::new();
        let mut looks = Vec::new();
        for (&key, vm) in &self.fleet.vms {
            if vm.runs.is_empty() || now < vm.stall.next_look_at || vm.renewal.failures > 0 {
                continue;
            }
            let (overdue, next_overdue_at) = self.overdue_runs_of(key, vm);
            let next_look_at = if overdue.tasks.is_empty() {
                let latest = latest_look(key, vm, now);
                next_overdue_at.map_or(latest, |at| at.min(latest))
            } else {
                now
            };
            looks.push((key, next_look_at, next_overdue_at));
            if !overdue.tasks.is_empty() {
                list.push(overdue);
            }
        }
        for (key, next_look_at, next_overdue_at) in looks {
            if let Some(vm) = self.fleet.vms.get_mut(&key) {
                vm.stall.next_look_at = next_look_at;
                vm.stall.next_overdue_at = next_overdue_at;
            }
        }
        list
    }

    /// Returns the overdue runs of a VM, and the time at which the next run becomes overdue.
    fn overdue_runs_of(&self, key: VmKey, vm: &Vm) -> (Overdue, Option<Now>) {
        let mut runs: Vec<(TaskKey, OverdueRun)> = Vec::new();
        let mut next_overdue_at = None;
        for (&task, run) in &vm.runs {
            let Phase::Running { since } = run.phase else {
                continue;
            };
            let Some(expected) = self.expected_run_time(task, run) else {
                continue;
            };
            let since = since.max(vm.stall.contact_since);
            // A report that has not arrived yet may list the run as ended.
            let age = vm.last_answer_at.saturating_sub(since);
            if age > overdue_age(expected) {
                let job = task.step.job;
                runs.push((task, OverdueRun { job, age, expected }));
            } else {
                let overdue_at = since + overdue_age(expected);
                next_overdue_at = earliest(next_overdue_at, Some(overdue_at));
            }
        }
        runs.sort_unstable_by_key(|(task, _)| *task);
        let last_answer = vm.last_answer_at;
        let last_end = vm.stall.last_end_at;
        let view = VmView {
            vm: key,
            overdue: runs.iter().map(|(_, run)| *run).collect(),
            since_last_end: last_end.map(|ended| last_answer.saturating_sub(ended)),
            answers: self.stall_checks.is_evidence(&vm.stall),
            suspect: vm.stall.suspect_since.is_some(),
        };
        let tasks = runs.into_iter().map(|(task, _)| task).collect();
        (Overdue { view, tasks }, next_overdue_at)
    }

    /// Returns the expected run time of a run; `None` if it is not known.
    ///
    /// It doubles with each run of the task that was stopped because its VM seemed stalled, so that
    /// a task that takes long on every VM completes.
    fn expected_run_time(&self, task: TaskKey, run: &Run) -> Option<Duration> {
        if run.long_running {
            return None;
        }
        let job = self.registry.jobs.get(&task.step.job)?;
        if !job.is_active() {
            return None;
        }
        let spec = job.spec(task.step.step);
        if !spec.has_expected_run_time() {
            return None;
        }
        let declared = Duration::from_millis(spec.estimate_ms);
        let expected = self.estimates.expected(&job.queue.name, declared)?;
        let stops = self.registry.task(task)?.stall_stops;
        Some(expected * 2_u32.pow(stops.min(MAX_DOUBLINGS)))
    }
}

/// Returns the latest time of the next look at a VM. The first one depends on the group of the VM.
fn latest_look(key: VmKey, vm: &Vm, now: Now) -> Now {
    let is_first = vm.stall.next_look_at == Now::ZERO;
    let groups = if is_first {
        key % LOOK_GROUPS + 1
    } else {
        LOOK_GROUPS
    };
    now + MAX_LOOK_INTERVAL * groups / LOOK_GROUPS
}
