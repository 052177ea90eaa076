//! Placed tasks: those running or being started on a VM.

use rustc_hash::FxHashMap;

use super::Scheduler;
use super::slab::Slab;
use super::slab::SlabIndex;
use crate::core::model::ActionKind;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::TaskIndex;
use crate::core::model::TaskRef;
use crate::core::model::TaskState;

/// How the scheduler learned of a placed task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This scheduler started it.
    Started,
    /// A VM reported it, and no other instance of the task was known.
    Adopted,
    /// A VM reported it while another instance of the task was valid; it is being stopped.
    Duplicate,
}

/// A task that occupies resources of a VM.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// Job.
    pub job: SlabIndex,
    /// Team.
    pub team: SlabIndex,
    /// VM.
    pub vm: SlabIndex,
    /// Position in its job.
    pub index: TaskIndex,
    /// Number of earlier starts.
    pub attempt: u32,
    /// Size it was started with.
    pub size: Resources,
    /// Resources charged to its VM and team: the larger of its size and its last reported usage,
    /// which is capped at the VM's capacity.
    pub charged: Resources,
    /// Highest reported usage.
    pub peak: Resources,
    /// When it was started, or first reported.
    pub started: Now,
    /// How the scheduler learned of it.
    pub origin: Origin,
    /// Number of the last report of its VM that listed it; `None` before the first.
    pub last_report: Option<u32>,
    /// Last reported state.
    pub state: TaskState,
    /// Action that it was or will be asked to take.
    pub action: Option<ActionKind>,
    /// When the action is next sent, resent or escalated.
    pub action_due: Now,
    /// Whether it has the long time-out for a checkpoint, since no urgent job or service waits for
    /// its end.
    pub long_checkpoint: bool,
    /// When throttling was requested.
    pub throttled: Option<Now>,
    /// Whether it was backfilled into resources reserved for a gang.
    pub is_backfill: bool,
    /// Positions in the lists of its VM, job and team.
    positions: [u32; 3],
}

impl PlacedTask {
    /// Returns a running task that this scheduler starts. `task` is its index in the job and its
    /// attempt number.
    pub fn new(
        job: SlabIndex,
        team: SlabIndex,
        vm: SlabIndex,
        task: (TaskIndex, u32),
        size: Resources,
    ) -> Self {
        Self {
            job,
            team,
            vm,
            index: task.0,
            attempt: task.1,
            size,
            charged: size,
            peak: Resources::ZERO,
            started: Now::ZERO,
            origin: Origin::Started,
            last_report: None,
            state: TaskState::Running,
            action: None,
            action_due: Now::ZERO,
            long_checkpoint: false,
            throttled: None,
            is_backfill: false,
            positions: [0; 3],
        }
    }

    /// Whether another instance of the task is valid instead.
    pub fn is_duplicate(&self) -> bool {
        self.origin == Origin::Duplicate
    }

    /// Whether its peak memory usage exceeds its size.
    pub fn exceeded_memory(&self) -> bool {
        self.peak.mem_mib > self.size.mem_mib
    }

    /// Whether a checkpoint or stop was requested.
    pub fn is_terminating(&self) -> bool {
        matches!(self.action, Some(ActionKind::Checkpoint | ActionKind::Stop))
    }
}

/// The placed tasks of the zone.
#[derive(Clone, Debug, Default)]
pub struct Tasks {
    slab: Slab<PlacedTask>,
    valid_instances: FxHashMap<(SlabIndex, TaskIndex), SlabIndex>,
}

impl Tasks {
    /// Index of the valid instance of a job's task.
    pub fn find(&self, job: SlabIndex, index: TaskIndex) -> Option<SlabIndex> {
        self.valid_instances.get(&(job, index)).copied()
    }

    /// Returns a placed task.
    ///
    /// Panics if there is none at this index.
    pub fn get_mut(&mut self, task: SlabIndex) -> &mut PlacedTask {
        &mut self.slab[task]
    }

    /// Number of placed tasks.
    pub fn len(&self) -> usize {
        self.slab.len()
    }

    /// Allocated bytes.
    pub fn bytes(&self) -> usize {
        self.slab.bytes()
            + self.valid_instances.capacity() * size_of::<((SlabIndex, TaskIndex), SlabIndex, u8)>()
    }
}

impl std::ops::Index<SlabIndex> for Tasks {
    type Output = PlacedTask;

    fn index(&self, task: SlabIndex) -> &PlacedTask {
        &self.slab[task]
    }
}

/// Index of each list in [`PlacedTask::positions`].
const VM_LIST: usize = 0;
const JOB_LIST: usize = 1;
const TEAM_LIST: usize = 2;

impl Scheduler {
    /// Adds a placed task and charges it to its VM and team.
    pub(super) fn add_placed(&mut self, mut placed: PlacedTask) -> SlabIndex {
        let (job, team, vm, index) = (placed.job, placed.team, placed.vm, placed.index);
        placed.positions = [
            position(&self.vms.get(vm).tasks),
            position(&self.jobs[job].placed),
            position(&self.teams[team].tasks),
        ];
        self.vms.charge(vm, &placed.charged);
        self.teams[team].used.add(&placed.charged);
        let duplicate = placed.is_duplicate();
        let task = self.tasks.slab.insert(placed);
        self.vms.tasks_mut(vm).push(task);
        self.jobs[job].placed.push(task);
        self.teams[team].tasks.push(task);
        if !duplicate {
            self.tasks.valid_instances.insert((job, index), task);
        }
        task
    }

    /// Removes a placed task and reverts its charges.
    pub(super) fn remove_placed(&mut self, task: SlabIndex) -> Option<PlacedTask> {
        let placed = self.tasks.slab.remove(task)?;
        self.pending_actions.remove(&(placed.action_due, task));
        self.vms.uncharge(placed.vm, &placed.charged);
        self.teams[placed.team].used.sub(&placed.charged);
        let [on_vm, of_job, of_team] = placed.positions;
        self.remove_from_list(VM_LIST, on_vm, &placed);
        self.remove_from_list(JOB_LIST, of_job, &placed);
        self.remove_from_list(TEAM_LIST, of_team, &placed);
        if !placed.is_duplicate() {
            self.tasks
                .valid_instances
                .remove(&(placed.job, placed.index));
        }
        Some(placed)
    }

    /// Applies a usage sample to a task's peak and charge.
    pub(super) fn update_charge(&mut self, task: SlabIndex, used: Resources) {
        let placed = &mut self.tasks.slab[task];
        let bound = self.vms.get(placed.vm).capacity;
        placed.peak = placed.peak.max(&used);
        let charged = placed.size.max(&used.min(&bound));
        if charged == placed.charged {
            return;
        }
        let before = std::mem::replace(&mut placed.charged, charged);
        let (vm, team) = (placed.vm, placed.team);
        self.vms.uncharge(vm, &before);
        self.vms.charge(vm, &charged);
        self.teams[team].used.sub(&before);
        self.teams[team].used.add(&charged);
    }

    /// Identifier of a placed task.
    pub(super) fn task_ref(&self, placed: &PlacedTask) -> TaskRef {
        TaskRef {
            job: self.jobs[placed.job].spec.id.clone(),
            index: placed.index,
            attempt: placed.attempt,
        }
    }

    /// Removes a task from a list by swapping in the last entry, whose position is updated.
    fn remove_from_list(&mut self, list: usize, position: u32, placed: &PlacedTask) {
        let entries = match list {
            VM_LIST => self.vms.tasks_mut(placed.vm),
            JOB_LIST => &mut self.jobs[placed.job].placed,
            _ => &mut self.teams[placed.team].tasks,
        };
        entries.swap_remove(position as usize);
        if let Some(&moved) = entries.get(position as usize) {
            self.tasks.slab[moved].positions[list] = position;
        }
    }
}

fn position(entries: &[SlabIndex]) -> u32 {
    u32::try_from(entries.len()).expect("fewer than 2^32 tasks")
}
