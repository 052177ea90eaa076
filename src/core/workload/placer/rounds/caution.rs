//! Placement of tasks under which VMs have crashed: apart from each other, or alone on a VM.

use crate::core::model::Now;
use crate::core::model::ServiceId;
use crate::core::workload::cx::Cx;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::rounds::candidates::Candidate;
use crate::core::workload::placer::rounds::dispatch::PlannedStart;
use crate::core::workload::placer::rounds::round::Round;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::job_registry::StepKey;
use crate::core::workload::placer::state::job_registry::Task;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::policy::crashes::CLEARING_TIME;
use crate::core::workload::policy::crashes::Caution;
use crate::core::workload::policy::crashes::MAX_ALONE_WAIT;
use crate::core::workload::policy::crashes::max_alone;
use crate::core::workload::policy::crashes::max_clearing;

impl Placer {
    /// Returns the caution with which a task is placed.
    pub(in crate::core::workload::placer) fn caution(&self, now: Now, task: TaskKey) -> Caution {
        let state = self.registry.task(task);
        state.map_or(Caution::None, |state| state.caution(now))
    }

    /// Returns the greatest caution with which a waiting task of a step is placed.
    pub(in crate::core::workload::placer) fn step_caution(
        &self,
        now: Now,
        key: StepKey,
    ) -> Caution {
        let tasks = self.registry.step(key).map(|step| &*step.tasks);
        let waiting = tasks.unwrap_or_default().iter();
        let waiting = waiting.filter(|task| task.placement == Placement::Waiting);
        let cautions = waiting.map(|task| task.caution(now));
        cautions.max().unwrap_or(Caution::None)
    }

    /// Returns the number of VMs of a service on which further tasks may run alone.
    pub(in crate::core::workload::placer) fn free_lone_slots(&self, service: &ServiceId) -> usize {
        let vms = self.fleet.vms.values();
        let vms = vms.filter(|vm| vm.service == *service);
        let (mut total, mut taken) = (0, 0);
        for vm in vms {
            total += usize::from(vm.listed);
            taken += usize::from(vm.has_lone_run());
        }
        max_alone(total).saturating_sub(taken)
    }

    /// Keeps new tasks off some of the candidates, so that the waiting tasks of a step that are to run
    /// alone find a VM without runs.
    pub(in crate::core::workload::placer) fn clear_vms(
        &mut self,
        cx: &Cx,
        round: &mut Round,
        key: StepKey,
        service: &ServiceId,
        candidates: &[Candidate],
        planned: &[PlannedStart],
    ) {
        let is_planned = |index: u32| planned.iter().any(|start| start.index == index);
        let tasks = self.registry.step(key).map(|step| &*step.tasks);
        let waiting = (0..).zip(tasks.unwrap_or_default());
        let waiting = waiting.filter(|(index, task)| {
            task.placement == Placement::Waiting
                && task.caution(cx.now) == Caution::Alone
                && !is_planned(*index)
        });
        let needed = waiting.count();
        if needed == 0 {
            return;
        }
        let vms = self.fleet.vms.values();
        let vms = vms.filter(|vm| vm.service == *service && vm.listed);
        let (mut total, mut clearing) = (0, 0);
        for vm in vms {
            total += 1;
            clearing += usize::from(vm.is_clearing(cx.now));
        }
        let mut chosen: Vec<(bool, usize, VmKey)> = candidates
            .iter()
            .filter_map(|candidate| {
                let vm = self.fleet.vms.get(&candidate.vm)?;
                Some((!vm.is_clearing(cx.now), vm.runs.len(), candidate.vm))
            })
            .collect();
        chosen.sort_unstable();
        let mut left = max_clearing(total).saturating_sub(clearing);
        for (is_new, _, key) in chosen.into_iter().take(needed) {
            if is_new && left == 0 {
                break;
            }
            left -= usize::from(is_new);
            if let Some(vm) = self.fleet.vms.get_mut(&key) {
                vm.clearing_until = cx.now + CLEARING_TIME;
            }
            round.pool(service, Vec::new).keep_for_lone_tasks(key);
        }
    }
}

impl Task {
    /// Returns the caution with which the task is placed.
    pub fn caution(&self, now: Now) -> Caution {
        let caution = Caution::new(self.crashed.len());
        if caution == Caution::Alone && now >= self.waiting_since + MAX_ALONE_WAIT {
            return Caution::Apart;
        }
        caution
    }
}

impl Vm {
    /// Returns whether the VM gets no tasks but those that are to run alone.
    pub fn is_clearing(&self, now: Now) -> bool {
        now < self.clearing_until
    }
}
