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
use crate::core::workload::placer::state::lost_vms::Evidence;
use crate::core::workload::policy::crashes::CLEARING_TIME;
use crate::core::workload::policy::crashes::Caution;
use crate::core::workload::policy::crashes::Losses;
use crate::core::workload::policy::crashes::MAX_ALONE_WAIT;
use crate::core::workload::policy::crashes::MAX_LASTING_ALONE_WAIT;
use crate::core::workload::policy::crashes::RECENT_LOSS;
use crate::core::workload::policy::crashes::is_outage;
use crate::core::workload::policy::crashes::max_alone;
use crate::core::workload::policy::crashes::max_clearing;
use crate::core::workload::policy::crashes::start_interval;

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
        self.cautions(now, key).max().unwrap_or(Caution::None)
    }

    /// Returns whether a waiting task of a step is to run alone.
    pub(in crate::core::workload::placer) fn has_lone_tasks(&self, now: Now, key: StepKey) -> bool {
        let mut cautions = self.cautions(now, key);
        cautions.any(|caution| caution == Caution::Alone)
    }

    /// Returns whether no waiting task of a step may start yet.
    pub(in crate::core::workload::placer) fn is_held(&self, now: Now, key: StepKey) -> bool {
        let mut cautions = self.cautions(now, key);
        cautions.all(|caution| caution == Caution::Hold)
    }

    /// Returns the cautions with which the waiting tasks of a step are placed.
    fn cautions(&self, now: Now, key: StepKey) -> impl Iterator<Item = Caution> {
        let tasks = self.registry.step(key).map(|step| &*step.tasks);
        let waiting = tasks.unwrap_or_default().iter();
        let waiting = waiting.filter(|task| task.placement == Placement::Waiting);
        waiting.map(move |task| task.caution(now))
    }

    /// Updates the recent losses of all tasks.
    pub(in crate::core::workload::placer) fn count_recent_losses(&mut self, now: Now) {
        for task in std::mem::take(&mut self.tasks_with_losses) {
            if let Some(state) = self.registry.task_mut(task) {
                state.recent_losses = Losses::default();
            }
        }
        let since = now.saturating_sub(RECENT_LOSS);
        let lost = self.lost_vms.lost_after(since).count();
        let in_outage = is_outage(lost, self.fleet.vms.len());
        let mut tasks = Vec::new();
        for (vm, run) in self.lost_vms.runs() {
            let Some(task) = self.registry.find_task(&run.task) else {
                continue;
            };
            let Some(state) = self.registry.task_mut(task) else {
                continue;
            };
            if run.evidence != Evidence::Delivered {
                state.recent_losses.uncertain = true;
            } else if vm.lost_at > since {
                state.recent_losses.count += 1;
                state.recent_losses.in_outage = in_outage;
            }
            tasks.push(task);
        }
        self.tasks_with_losses = tasks;
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
        let losses = Losses {
            uncertain: self.recent_losses.uncertain || self.uncertain.is_some(),
            ..self.recent_losses
        };
        if self.long_running {
            return self.lasting_caution(now, losses);
        }
        let caution = Caution::new(self.crashed.len(), losses);
        if caution == Caution::Alone && now >= self.waiting_since + MAX_ALONE_WAIT {
            return Caution::Apart;
        }
        caution
    }

    /// Returns the caution with which a task is placed that runs until its job is cancelled.
    fn lasting_caution(&self, now: Now, losses: Losses) -> Caution {
        let crashes = self.crashed.len();
        let may_start_at = self.last_start_at + start_interval(crashes + losses.count);
        if now < may_start_at {
            return Caution::Hold;
        }
        let caution = Caution::for_lasting_task(crashes, losses);
        let alone_until = self.waiting_since.max(may_start_at) + MAX_LASTING_ALONE_WAIT;
        if caution == Caution::Alone && now >= alone_until {
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
