//! Baseline policies: one queue in the order of submission, without shares, learned sizes or
//! preemption.
//!
//! Like the scheduler, they charge a VM the larger of declared and observed size of its tasks. With
//! declared sizes alone, they would overcommit the VMs and seem to pack better.

use std::collections::HashMap;
use std::collections::VecDeque;

use ragwortstall::core::effect::Reason;
use ragwortstall::core::model::ActionKind;
use ragwortstall::core::model::EndedTask;
use ragwortstall::core::model::JobId;
use ragwortstall::core::model::JobKind;
use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::RunningTask;
use ragwortstall::core::model::StartTask;
use ragwortstall::core::model::TaskAction;
use ragwortstall::core::model::TaskOutcome;
use ragwortstall::core::model::TaskRef;
use ragwortstall::core::model::TeamId;
use ragwortstall::core::sched::Decision;
use ragwortstall::core::sched::PendingTask;
use ragwortstall::core::sched::QueuedJob;
use ragwortstall::core::sched::TeamPolicy;
use ragwortstall::core::sched::VmSpec;

use crate::policy::Policy;

/// Jobs examined in one round.
const MAX_JOBS_PER_ROUND: usize = 200;

/// Restarts of one task after which it is not started again.
const MAX_RESTARTS: u32 = 6;

/// Order of jobs and choice of VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementRule {
    /// The first job blocks all others; a task goes to the first VM on which it fits.
    FirstComeFirstFit,
    /// Jobs that do not fit are skipped; a task goes to the VM with the fewest free processors on
    /// which it fits.
    BestFit,
}

#[derive(Debug)]
struct Vm {
    spec: VmSpec,
    /// Capacity less the declared sizes of the tasks.
    free: Resources,
    /// Sum over the tasks of the larger of declared and observed size, as of the last report.
    observed: Resources,
    up: bool,
}

impl Vm {
    /// Returns what is free both by the declared sizes and by the last report.
    fn available(&self) -> Resources {
        self.free.min(&self.spec.capacity.minus(&self.observed))
    }
}

#[derive(Debug)]
struct Job {
    spec: JobSpec,
    pending: VecDeque<PendingTask>,
}

#[derive(Debug, Default)]
struct Team {
    allotment: Resources,
    used: Resources,
}

#[derive(Debug)]
pub struct Baseline {
    rule: PlacementRule,
    vms: Vec<Vm>,
    vm_indexes: HashMap<Box<str>, usize>,
    teams: HashMap<TeamId, Team>,
    jobs: HashMap<JobId, Job>,
    queue: VecDeque<JobId>,
    /// VM, declared size and team of each running task.
    running: HashMap<TaskRef, (usize, Resources, TeamId)>,
    pending_stops: Vec<Decision>,
}

impl Baseline {
    pub fn new(rule: PlacementRule) -> Self {
        Self {
            rule,
            vms: Vec::new(),
            vm_indexes: HashMap::new(),
            teams: HashMap::new(),
            jobs: HashMap::new(),
            queue: VecDeque::new(),
            running: HashMap::new(),
            pending_stops: Vec::new(),
        }
    }

    fn choose_vm(&self, size: &Resources) -> Option<usize> {
        let mut fitting = self
            .vms
            .iter()
            .enumerate()
            .filter(|(_, vm)| vm.up && vm.available().holds(size));
        let chosen = match self.rule {
            PlacementRule::FirstComeFirstFit => fitting.next(),
            PlacementRule::BestFit => fitting.min_by_key(|(_, vm)| vm.free.cpu_milli),
        };
        chosen.map(|(index, _)| index)
    }

    fn start_task(&mut self, id: &JobId, task: PendingTask, vm: usize) -> Decision {
        let spec = &self.jobs[id].spec;
        let name = TaskRef {
            job: id.clone(),
            index: task.index,
            attempt: task.attempt,
        };
        self.vms[vm].free = self.vms[vm].free.minus(&spec.size);
        let team = self.teams.entry(spec.team.clone()).or_default();
        team.used = team.used.plus(&spec.size);
        let start = StartTask {
            task: name.clone(),
            team: spec.team.clone(),
            size: spec.size,
            run_time: spec.run_time,
            service: None,
        };
        self.running
            .insert(name, (vm, spec.size, spec.team.clone()));
        Decision::Start {
            vm: self.vms[vm].spec.id.clone(),
            start,
        }
    }

    /// Frees the resources of a task; returns whether it was running.
    fn release(&mut self, task: &TaskRef) -> bool {
        let Some((vm, size, team)) = self.running.remove(task) else {
            return false;
        };
        if self.vms[vm].up {
            self.vms[vm].free = self.vms[vm].free.plus(&size);
        }
        let team = self.teams.entry(team).or_default();
        team.used = team.used.minus(&size);
        true
    }

    /// Queues a task again that ended early, if it may be restarted.
    fn requeue(&mut self, task: &TaskRef) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let restarts = job.spec.restartable || job.spec.run_time.is_none();
        if !restarts || task.attempt >= MAX_RESTARTS {
            return;
        }
        let (index, attempt) = (task.index, task.attempt + 1);
        job.pending.push_back(PendingTask { index, attempt });
        if job.pending.len() == 1 {
            self.queue.push_back(task.job.clone());
        }
    }

    /// Starts as many tasks of a job as fit, or all or none of a gang; returns whether all started.
    fn start_job(&mut self, id: &JobId, limit: usize, out: &mut Vec<Decision>) -> bool {
        let job = &self.jobs[id];
        let size = job.spec.size;
        let gang = job.spec.kind == JobKind::Gang;
        let team = self.teams.get(&job.spec.team);
        let headroom = team.map_or(Resources::ZERO, |team| team.allotment.minus(&team.used));
        let count = u32::try_from(job.pending.len()).unwrap_or(u32::MAX);
        if gang && !(headroom.holds(&size.times(count)) && self.has_room_for_gang(&size, count)) {
            return false;
        }
        let mut remaining = headroom;
        while !self.jobs[id].pending.is_empty() {
            let full = !gang && out.len() >= limit;
            if full || !remaining.holds(&size) {
                return false;
            }
            let Some(vm) = self.choose_vm(&size) else {
                return false;
            };
            remaining = remaining.minus(&size);
            let job = self.jobs.get_mut(id).expect("the job is queued");
            let task = job.pending.pop_front().expect("a task waits");
            let start = self.start_task(id, task, vm);
            out.push(start);
        }
        true
    }

    fn has_room_for_gang(&self, size: &Resources, count: u32) -> bool {
        let mut remaining = count;
        for vm in self.vms.iter().filter(|vm| vm.up) {
            let mut free = vm.available();
            while remaining > 0 && free.holds(size) {
                free = free.minus(size);
                remaining -= 1;
            }
        }
        remaining == 0
    }
}

impl Policy for Baseline {
    fn set_team(&mut self, _now: Now, team: &str, policy: TeamPolicy) {
        self.teams.entry(team.into()).or_default().allotment = policy.allotment;
    }

    fn add_vm(&mut self, _now: Now, vm: VmSpec) {
        let free = vm.capacity;
        if let Some(&index) = self.vm_indexes.get(&vm.id) {
            self.vms[index].free = free;
            self.vms[index].observed = Resources::ZERO;
            self.vms[index].up = true;
            return;
        }
        self.vm_indexes.insert(vm.id.clone(), self.vms.len());
        self.vms.push(Vm {
            spec: vm,
            free,
            observed: Resources::ZERO,
            up: true,
        });
    }

    fn remove_vm(&mut self, _now: Now, vm: &str) {
        let index = self.vm_indexes[vm];
        self.vms[index].up = false;
        let on_vm = self.running.iter().filter(|(_, (vm, _, _))| *vm == index);
        let mut tasks: Vec<TaskRef> = on_vm.map(|(task, _)| task.clone()).collect();
        tasks.sort();
        for task in tasks {
            self.release(&task);
            self.requeue(&task);
        }
    }

    fn submit(&mut self, _now: Now, job: QueuedJob) -> Result<(), Reason> {
        let id = job.spec.id.clone();
        let pending = job.pending.into();
        let spec = job.spec;
        self.jobs.insert(id.clone(), Job { spec, pending });
        self.queue.push_back(id);
        Ok(())
    }

    fn set_service(&mut self, now: Now, spec: JobSpec) {
        let pending = (0..spec.count)
            .map(|index| PendingTask { index, attempt: 0 })
            .collect();
        let age = Now::ZERO;
        let _ = self.submit(now, QueuedJob { spec, age, pending });
    }

    fn cancel(&mut self, _now: Now, job: &str) {
        self.jobs.remove(job);
        let of_job = self.running.iter().filter(|(task, _)| *task.job == *job);
        let mut tasks: Vec<(TaskRef, usize)> = of_job
            .map(|(task, (vm, _, _))| (task.clone(), *vm))
            .collect();
        tasks.sort();
        for (task, vm) in tasks {
            let vm = self.vms[vm].spec.id.clone();
            let kind = ActionKind::Stop;
            let action = TaskAction { task, kind };
            self.pending_stops.push(Decision::Act { vm, action });
        }
    }

    fn record_report(&mut self, _now: Now, vm: &str, running: &[RunningTask]) {
        let index = self.vm_indexes[vm];
        let larger = running.iter().map(|task| task.size.max(&task.used));
        let observed = larger.fold(Resources::ZERO, |sum, size| sum.plus(&size));
        self.vms[index].observed = observed;
    }

    fn record_task_end(&mut self, _now: Now, _vm: &str, end: &EndedTask) {
        if self.release(&end.task) && end.outcome != TaskOutcome::Done {
            self.requeue(&end.task);
        }
    }

    fn decide(&mut self, _now: Now, limit: usize) -> Vec<Decision> {
        let mut out = std::mem::take(&mut self.pending_stops);
        let mut unfinished = VecDeque::new();
        let mut unplaceable_sizes: Vec<Resources> = Vec::new();
        for _ in 0..MAX_JOBS_PER_ROUND {
            if out.len() >= limit {
                break;
            }
            let Some(id) = self.queue.pop_front() else {
                break;
            };
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let size = job.spec.size;
            let gang = job.spec.kind == JobKind::Gang;
            let is_unplaceable = unplaceable_sizes
                .iter()
                .any(|unplaceable| size.holds(unplaceable));
            if is_unplaceable || !self.start_job(&id, limit, &mut out) {
                if !is_unplaceable && !gang && self.choose_vm(&size).is_none() {
                    unplaceable_sizes.push(size);
                }
                unfinished.push_back(id);
                if self.rule == PlacementRule::FirstComeFirstFit {
                    break;
                }
            }
        }
        unfinished.append(&mut self.queue);
        self.queue = unfinished;
        out
    }
}
