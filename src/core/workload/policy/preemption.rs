//! Choice of the runs that are stopped to make room for urgent tasks.
//!
//! Urgent tasks are short and rarely fill the VMs, but wait long behind tasks that hold all
//! capacity. Runs that resume from a checkpoint lose little when they are stopped, so they are
//! stopped first where that delays nobody, and only as far as the urgent tasks need.

use std::cmp::Reverse;
use std::time::Duration;

use crate::core::model::Resources;
use crate::core::workload::policy::timeliness::Timeliness;
use crate::core::workload::submission::Step;

/// Minimum time that a run has been confirmed before it may be stopped, so that a task that is
/// restarted makes progress each time.
pub const MIN_RUN_TIME: Duration = Duration::from_secs(2);

/// Largest part of a service's capacity that is being freed at a time, as a divisor.
pub const FREEING_DIVISOR: u32 = 4;

/// Least part of a service's capacity that runs which may be stopped must hold for a search, as a
/// divisor. With less, urgent tasks wait for each other: the search and its advice queries would only
/// delay them.
pub const WORTHWHILE_DIVISOR: u32 = 8;

/// Position of a VM in the list of views.
pub type VmIndex = usize;

/// Tasks of a step that wait for capacity.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Priority of the queue.
    pub priority: u32,
    /// Resources that a task reserves.
    pub reservation: Resources,
    /// Number of tasks.
    pub tasks: u32,
    /// VMs on which the tasks may run.
    pub sites: Vec<Site>,
}

/// VM on which the tasks of a claim may run.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// The VM.
    pub vm: VmIndex,
    /// Maximum number of tasks of the claim on it.
    pub limit: u32,
    /// Whether runs there may be stopped for the claim; otherwise only free room is counted.
    pub may_stop: bool,
}

/// Resources and runs of a VM.
#[derive(Clone, Debug, Default)]
pub struct VmView {
    /// Resources that no run has reserved.
    pub free: Resources,
    /// Resources of runs that are being stopped.
    pub freeing: Resources,
    /// Resources that runs reserve beyond the capacity of the VM, which has shrunk.
    pub excess: Resources,
    /// Runs that resume elsewhere if they are stopped, in the order of their keys.
    pub runs: Vec<RunView>,
}

/// A run that may be stopped.
#[derive(Clone, Copy, Debug)]
pub struct RunView {
    /// Priority of the queue.
    pub priority: u32,
    /// Resources that the run reserves.
    pub reservation: Resources,
    /// Timeliness of the job.
    pub timeliness: Timeliness,
    /// Time by which the job can still end before its objective.
    pub slack: Duration,
    /// Time since the run was confirmed.
    pub age: Duration,
}

/// A run to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Victim {
    /// Position of the claim that the run is stopped for.
    pub claim: usize,
    /// VM of the run.
    pub vm: VmIndex,
    /// Position of the run on its VM.
    pub run: usize,
}

/// Sort key of the runs on a VM: overdue jobs first, then late ones, then those with the most slack;
/// among these the youngest run, and then by position.
type RunOrder = (Reverse<Timeliness>, Reverse<Duration>, Duration, usize);

/// Sort key of the ways to make room for a task: no stop at all, then by the timeliness of the jobs
/// that are stopped, the number of stops, the costliest run, and the VM.
type Cost = (
    Option<Reverse<Timeliness>>,
    usize,
    Option<RunOrder>,
    VmIndex,
);

/// A VM with the runs that are chosen on it so far.
struct SiteState {
    /// Resources that are free, or will be once the chosen runs have ended, before `excess` is taken
    /// off.
    room: Resources,
    /// Resources that runs reserve beyond the capacity of the VM.
    excess: Resources,
    /// Runs that are not chosen, the first to be stopped first.
    remaining: Vec<(RunOrder, usize)>,
}

/// Runs to stop on a VM so that one more task fits there.
struct Plan {
    cost: Cost,
    runs: Vec<usize>,
    freed: Resources,
}

/// Returns whether a step's tasks may be stopped: they resume from a checkpoint, and no other task
/// and no disruption budget depends on them.
#[must_use]
pub fn is_preemptible(step: &Step) -> bool {
    let traits = step.traits;
    let is_independent = !traits.gang && !traits.long_running && !traits.filler;
    traits.checkpointing && is_independent && step.max_unavailable.is_none()
}

/// Returns whether the runs that may be stopped hold enough of a service's CPU or memory that urgent tasks gain by a search for victims.
#[must_use]
pub fn is_worthwhile(capacity: &Resources, stoppable: &Resources) -> bool {
    let holds = |part: u32, whole: u32| part > 0 && part >= whole / WORTHWHILE_DIVISOR;
    holds(stoppable.cpu_milli, capacity.cpu_milli) || holds(stoppable.mem_mib, capacity.mem_mib)
}

/// Returns the resources that may be freed in addition to those that are being freed already.
#[must_use]
pub fn budget(capacity: &Resources, freeing: &Resources) -> Resources {
    let part = Resources::new(
        capacity.cpu_milli / FREEING_DIVISOR,
        capacity.mem_mib / FREEING_DIVISOR,
        capacity.accel / FREEING_DIVISOR,
        capacity.tasks / FREEING_DIVISOR,
    );
    part.minus(freeing)
}

/// Returns the runs to stop so that the tasks of the claims fit, as far as `budget` allows.
///
/// Claims are served in their order. Room that is free or being freed counts first.
#[must_use]
pub fn choose_victims(claims: &[Claim], vms: &[VmView], mut budget: Resources) -> Vec<Victim> {
    let mut runs = vms.iter().flat_map(|vm| &vm.runs);
    if !runs.any(|run| budget.holds(&run.reservation)) {
        return Vec::new();
    }
    let mut states: Vec<SiteState> = vms.iter().map(SiteState::new).collect();
    let mut victims = Vec::new();
    for (ix, claim) in claims.iter().enumerate() {
        serve(claim, vms, &mut states, &mut budget, |vm, run| {
            victims.push(Victim { claim: ix, vm, run });
        });
    }
    victims
}

/// Makes room for the tasks of a claim, one by one, where that costs least.
fn serve(
    claim: &Claim,
    vms: &[VmView],
    states: &mut [SiteState],
    budget: &mut Resources,
    mut stop: impl FnMut(VmIndex, usize),
) {
    let plan = |site: &Site, states: &[SiteState]| {
        let state = &states[site.vm];
        state.plan(claim, site, &vms[site.vm].runs)
    };
    let mut sites: Vec<(Option<Plan>, Site)> = claim
        .sites
        .iter()
        .map(|site| (plan(site, states), *site))
        .collect();
    for _ in 0..claim.tasks {
        let affordable = sites.iter_mut().filter_map(|(plan, site)| {
            let is_affordable = plan.as_ref().is_some_and(|plan| budget.holds(&plan.freed));
            is_affordable.then_some((plan, site))
        });
        let best = affordable.min_by_key(|(plan, _)| plan.as_ref().map(|plan| plan.cost));
        let Some((best, site)) = best else {
            return;
        };
        let Some(chosen) = best.take() else {
            return;
        };
        *budget = budget.minus(&chosen.freed);
        states[site.vm].apply(claim, &chosen);
        for run in chosen.runs {
            stop(site.vm, run);
        }
        site.limit -= 1;
        *best = plan(site, states);
    }
}

impl SiteState {
    fn new(vm: &VmView) -> Self {
        let old = vm.runs.iter().enumerate();
        let old = old.filter(|(_, run)| run.age >= MIN_RUN_TIME);
        let mut remaining: Vec<(RunOrder, usize)> =
            old.map(|(ix, run)| (run.order(ix), ix)).collect();
        remaining.sort_unstable();
        Self {
            room: vm.free.plus(&vm.freeing),
            excess: vm.excess,
            remaining,
        }
    }

    /// Returns how to make room for a task of a claim; `None` if that is not possible.
    fn plan(&self, claim: &Claim, site: &Site, runs: &[RunView]) -> Option<Plan> {
        if site.limit == 0 {
            return None;
        }
        let mut room = self.room;
        let needed = claim.reservation.plus(&self.excess);
        let mut chosen: Vec<(RunOrder, usize)> = Vec::new();
        let may_stop = |ix: usize| site.may_stop && runs[ix].priority > claim.priority;
        for &(order, ix) in self.remaining.iter().filter(|(_, ix)| may_stop(*ix)) {
            if room.holds(&needed) {
                break;
            }
            room = room.plus(&runs[ix].reservation);
            chosen.push((order, ix));
        }
        if !room.holds(&needed) {
            return None;
        }
        drop_surplus(&mut chosen, room, &needed, runs);
        let freed = chosen.iter().fold(Resources::ZERO, |sum, (_, ix)| {
            sum.plus(&runs[*ix].reservation)
        });
        let costliest = chosen.last().map(|(order, _)| *order);
        let timeliness = costliest.map(|order| order.0);
        Some(Plan {
            cost: (timeliness, chosen.len(), costliest, site.vm),
            runs: chosen.into_iter().map(|(_, ix)| ix).collect(),
            freed,
        })
    }

    /// Removes the runs of a plan and reserves the resources of its task.
    fn apply(&mut self, claim: &Claim, plan: &Plan) {
        self.remaining.retain(|(_, ix)| !plan.runs.contains(ix));
        let room = self.room.plus(&plan.freed);
        self.room = room.minus(&claim.reservation).minus(&self.excess);
        self.excess = Resources::ZERO;
    }
}

impl RunView {
    fn order(&self, ix: usize) -> RunOrder {
        (Reverse(self.timeliness), Reverse(self.slack), self.age, ix)
    }
}

/// Drops the runs, the costliest first, without which the room is still enough.
fn drop_surplus(
    chosen: &mut Vec<(RunOrder, usize)>,
    mut room: Resources,
    needed: &Resources,
    runs: &[RunView],
) {
    for ix in (0..chosen.len()).rev() {
        let without = room.minus(&runs[chosen[ix].1].reservation);
        if without.holds(needed) {
            room = without;
            chosen.remove(ix);
        }
    }
}
