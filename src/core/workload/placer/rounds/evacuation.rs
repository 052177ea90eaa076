//! Evacuation of zones: suspends starts while the view of the requests is too old, and moves runs
//! out of evacuated zones as far as other VMs have free capacity.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::core::model::ZoneId;
use crate::core::workload::cx::Cx;
use crate::core::workload::cx::millis;
use crate::core::workload::decision::Decision;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::rounds::candidates::CandidateList;
use crate::core::workload::placer::rounds::round::Round;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::job_registry::StepKey;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::run::Phase;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::policy::evacuation::MAX_CONCURRENT_MOVES;
use crate::core::workload::policy::evacuation::MovableRun;
use crate::core::workload::policy::evacuation::choose_moves;
use crate::core::workload::policy::evacuation::is_movable;

/// Interval of placement rounds while only runs in evacuated zones wait for capacity elsewhere.
pub(in crate::core::workload::placer) const MOVE_ROUND_INTERVAL: Duration =
    Duration::from_millis(250);

impl Placer {
    /// Applies changes of the set of evacuated zones: zones, with `true` for those whose evacuation
    /// began.
    pub fn apply_evacuation(&mut self, cx: &mut Cx, changes: &[(ZoneId, bool)]) {
        for (zone, _) in changes.iter().filter(|(_, on)| *on) {
            if zone.is_empty() || !self.fleet.vms.values().any(|vm| vm.zone == *zone) {
                cx.log(Decision::EvacuatedZoneEmpty { zone: zone.clone() });
            }
        }
        self.schedule_round(cx.now);
    }

    /// Returns whether no task may be started, as the view of the evacuation requests is too old.
    /// Logs when that changes.
    pub(in crate::core::workload::placer) fn suspends_starts(&mut self, cx: &mut Cx) -> bool {
        let suspended = cx.is_evacuation_view_stale();
        if suspended != self.starts_suspended {
            self.starts_suspended = suspended;
            let max_age = cx.options.max_evacuation_view_age().unwrap_or_default();
            cx.log(Decision::StartsSuspended {
                suspended,
                view_age_ms: cx.evacuation.age(cx.now).map(millis),
                max_age_ms: millis(max_age),
            });
        }
        suspended
    }

    /// Stops runs in evacuated zones whose tasks fit on other VMs. Returns whether there were runs that
    /// may be moved later.
    ///
    /// Does nothing until the placer is settled, as the tasks could not be started again before.
    pub(in crate::core::workload::placer) fn move_out_of_zones(
        &mut self,
        cx: &mut Cx,
        round: &mut Round,
    ) -> bool {
        if cx.evacuation.is_empty() || !self.settled {
            return false;
        }
        let moving = self.moving_runs(cx);
        for &task in &moving {
            self.reserve_elsewhere(cx, round, task);
        }
        let runs = self.movable_runs(cx);
        let has_runs = !runs.is_empty();
        let limit = MAX_CONCURRENT_MOVES.saturating_sub(moving.len());
        let chosen = choose_moves(runs, limit, |task| self.reserve_elsewhere(cx, round, task));
        for task in chosen {
            if let Some(vm) = self.assigned_vm(task) {
                self.order_stop(cx, vm, task, "zone is evacuated");
            }
        }
        has_runs
    }

    /// Returns the tasks of active jobs whose runs in evacuated zones are being stopped.
    fn moving_runs(&self, cx: &Cx) -> Vec<TaskKey> {
        let is_stopping =
            |run: &Run| matches!(run.phase, Phase::StopPending(_) | Phase::Stopping { .. });
        let runs = self.runs_in_zones(cx).filter(|(_, run)| is_stopping(run));
        let mut tasks: Vec<TaskKey> = runs
            .map(|(task, _)| task)
            .filter(|&task| self.is_assigned(task))
            .collect();
        tasks.sort_unstable();
        tasks
    }

    /// Returns the confirmed runs in evacuated zones that may be moved. A step with waiting tasks has
    /// none, so that its tasks start elsewhere before more of them are stopped.
    fn movable_runs(&self, cx: &Cx) -> Vec<MovableRun<TaskKey, StepKey>> {
        let is_running = |run: &Run| matches!(run.phase, Phase::Running { .. });
        let runs = self.runs_in_zones(cx).filter(|(_, run)| is_running(run));
        let stop_timeout = cx.options.vms.stop_timeout;
        let mut unavailable: FxHashMap<StepKey, u32> = FxHashMap::default();
        let movable = runs.filter_map(|(task, run)| {
            let job = self.registry.jobs.get(&task.step.job)?;
            let spec = job.spec(task.step.step);
            let waiting = self.registry.step(task.step)?.waiting;
            if waiting > 0 || !is_movable(spec, stop_timeout) || !self.is_assigned(task) {
                return None;
            }
            let spare = spec.max_unavailable.map(|max| {
                let count = unavailable.entry(task.step);
                let count = count.or_insert_with(|| self.unavailable_tasks(task.step));
                max.saturating_sub(*count)
            });
            Some(MovableRun {
                task,
                step: task.step,
                long_running: run.long_running,
                spare,
            })
        });
        movable.collect()
    }

    fn runs_in_zones<'a>(&'a self, cx: &'a Cx) -> impl Iterator<Item = (TaskKey, &'a Run)> {
        let vms = self.fleet.vms.values();
        let evacuated = vms.filter(|vm| cx.evacuation.includes(&vm.zone));
        evacuated
            .flat_map(|vm| &vm.runs)
            .map(|(&task, run)| (task, run))
    }

    /// Returns whether a task of an active job is assigned to a VM.
    fn is_assigned(&self, task: TaskKey) -> bool {
        let job = self.registry.jobs.get(&task.step.job);
        job.is_some_and(Job::is_active) && self.assigned_vm(task).is_some()
    }

    fn assigned_vm(&self, task: TaskKey) -> Option<VmKey> {
        match self.registry.task(task)?.placement {
            Placement::Assigned(vm) => Some(vm),
            Placement::Waiting | Placement::Done => None,
        }
    }

    /// Returns the number of tasks of a step that are not done and not known to run on a VM that
    /// answers.
    fn unavailable_tasks(&self, key: StepKey) -> u32 {
        let Some(step) = self.registry.step(key) else {
            return 0;
        };
        let runs_on = |vm: &Vm, task: &TaskKey| {
            let run = vm.runs.get(task);
            vm.renewal.failures == 0
                && run.is_some_and(|run| matches!(run.phase, Phase::Running { .. }))
        };
        let is_unavailable = |index: u32| {
            let task = TaskKey { step: key, index };
            match step.tasks[index as usize].placement {
                Placement::Done => false,
                Placement::Waiting => true,
                Placement::Assigned(vm) => {
                    let vm = self.fleet.vms.get(&vm);
                    !vm.is_some_and(|vm| runs_on(vm, &task))
                }
            }
        };
        let count = u32::try_from(step.tasks.len()).unwrap_or(u32::MAX);
        let unavailable = (0..count).filter(|&index| is_unavailable(index));
        u32::try_from(unavailable.count()).unwrap_or(u32::MAX)
    }

    /// Reserves capacity for a task on a VM that accepts tasks, unless advice has rejected the VM.
    /// Returns whether there was any.
    fn reserve_elsewhere(&self, cx: &Cx, round: &mut Round, task: TaskKey) -> bool {
        let (Some(job), Some(step)) = (
            self.registry.jobs.get(&task.step.job),
            self.registry.step(task.step),
        ) else {
            return false;
        };
        let service = &job.queue.service;
        let spec = job.spec(task.step.step);
        if round.is_unmet(service, spec) {
            return false;
        }
        let pool = round.pool(service, || self.open_vms(cx, service));
        let mut candidates = self.candidates(cx, pool, task.step, spec);
        if candidates.is_empty() && spec.max_per_vm == 0 {
            round.record_unmet(service, spec);
            return false;
        }
        candidates.retain(|candidate| !step.advice.rejected.contains(&candidate.vm));
        let caution = self.caution(cx.now, task);
        let best = CandidateList::new(candidates.into_iter(), spec).reserve_best(caution);
        if let Some(vm) = best {
            round.pool(service, Vec::new).reserve(vm, spec);
        }
        best.is_some()
    }
}
