//! Preemption: of tasks of the teams furthest above their entitlement, for tasks that do not fit,
//! and of tasks of teams above their ceiling.

use std::time::Duration;

use super::Scheduler;
use super::slab::SlabIndex;
use super::task::PlacedTask;
use crate::core::model::ActionKind;
use crate::core::model::JobKind;
use crate::core::model::Now;
use crate::core::model::Resources;

/// VMs compared for each team in the search for one preemption.
const MAX_VMS_COMPARED: usize = 16;

/// Tasks examined, over all teams, in the search for one preemption.
const MAX_TASKS_EXAMINED: usize = 1_024;

/// Reservations for single tasks that may be open at the same time.
const MAX_RESERVATIONS: usize = 64;

/// Time after which preemption is tried again for a job for which no victims were found.
const PREEMPTION_RETRY_DELAY: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Preempts tasks for one task of a job and reserves their resources; returns whether it did.
    pub(super) fn preempt_for(&mut self, now: Now, job: SlabIndex) -> bool {
        let entry = &self.jobs[job];
        if entry.open_reservations >= entry.pending.len()
            || self.reservations.len() >= MAX_RESERVATIONS
        {
            return false;
        }
        let with_reserved = u32::try_from(entry.open_reservations + 1).unwrap_or(u32::MAX);
        let headroom = self.teams[entry.team].headroom();
        if entry.preempt_not_before > now || !headroom.holds(&entry.size.times(with_reserved)) {
            return false;
        }
        let Some((vm, victims)) = self.cheapest_victims(job) else {
            self.jobs[job].preempt_not_before = now + PREEMPTION_RETRY_DELAY;
            return false;
        };
        let long_checkpoint = !self.jobs[job].is_priority();
        self.preempt(&victims, long_checkpoint);
        self.reserve(now, job, vm);
        true
    }

    /// Checkpoints tasks, with much or little time to save their state.
    pub(super) fn preempt(&mut self, victims: &[SlabIndex], long_checkpoint: bool) {
        for &task in victims {
            self.tasks.get_mut(task).long_checkpoint = long_checkpoint;
            self.request_action(task, ActionKind::Checkpoint);
        }
    }

    /// Returns the VM and the tasks on it that are cheapest to preempt for a job. Teams are tried
    /// from the one furthest above its entitlement; the job's own team is always among them.
    fn cheapest_victims(&mut self, job: SlabIndex) -> Option<(SlabIndex, Vec<SlabIndex>)> {
        let mut teams: Vec<(f64, SlabIndex)> = self
            .teams
            .iter()
            .map(|(team, _)| (self.share_excess(team), team))
            .filter(|&(excess, team)| excess > 0.0 || team == self.jobs[job].team)
            .collect();
        teams.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut budget = MAX_TASKS_EXAMINED;
        teams
            .into_iter()
            .find_map(|(_, team)| self.cheapest_victims_of_team(team, job, &mut budget))
    }

    /// Returns the cheapest victims on VMs that run tasks of a team, the latest tasks first.
    /// `budget` is the number of tasks that may still be examined.
    fn cheapest_victims_of_team(
        &mut self,
        team: SlabIndex,
        job: SlabIndex,
        budget: &mut usize,
    ) -> Option<(SlabIndex, Vec<SlabIndex>)> {
        let size = self.jobs[job].size;
        let mut compared_vms = Vec::new();
        let mut best: Option<(u64, SlabIndex, Vec<SlabIndex>)> = None;
        let before = *budget;
        for &task in self.teams[team].tasks.iter().rev() {
            let placed = &self.tasks[task];
            if compared_vms.len() >= MAX_VMS_COMPARED || *budget == 0 {
                break;
            }
            *budget -= 1;
            if compared_vms.contains(&placed.vm) || !self.may_preempt(placed, job) {
                continue;
            }
            compared_vms.push(placed.vm);
            let vm = self.vms.get(placed.vm);
            *budget = budget.saturating_sub(vm.tasks.len());
            if !vm.is_schedulable() || !vm.capacity.holds(&size) {
                continue;
            }
            let found = self.victims(placed.vm, &size, &vm.free(), job);
            if let Some((cost, victims)) = found
                && best.as_ref().is_none_or(|(least, _, _)| cost < *least)
            {
                best = Some((cost, placed.vm, victims));
            }
        }
        self.preemption_steps += (before - *budget) as u64;
        best.map(|(_, vm, victims)| (vm, victims))
    }

    /// Returns the cost of preemption and the tasks on a VM whose preemption raises its `free`
    /// resources to `need`, chosen from the cheapest; `None` if there are too few.
    pub(super) fn victims(
        &self,
        vm: SlabIndex,
        need: &Resources,
        free: &Resources,
        job: SlabIndex,
    ) -> Option<(u64, Vec<SlabIndex>)> {
        let tasks = self.vms.get(vm).tasks.iter().copied();
        let mut candidates: Vec<(u64, SlabIndex)> = tasks
            .filter(|&task| self.may_preempt(&self.tasks[task], job))
            .map(|task| (self.preemption_cost(&self.tasks[task]), task))
            .collect();
        candidates.sort_unstable();
        let mut free = *free;
        let mut cost = 0;
        let mut victims = Vec::new();
        for (preemption_cost, task) in candidates {
            if free.holds(need) {
                break;
            }
            free = free.plus(&self.tasks[task].charged);
            cost += preemption_cost;
            victims.push(task);
        }
        free.holds(need).then_some((cost, victims))
    }

    /// Whether a task may be preempted for a job.
    ///
    /// Victims are restartable, not urgent and no service instances. Tasks of the job's own team
    /// are preempted only for services and urgent jobs. A team must stay at or above its
    /// entitlement without the task; for services and urgent jobs, it suffices that it is above
    /// with it.
    pub(super) fn may_preempt(&self, placed: &PlacedTask, job: SlabIndex) -> bool {
        let victim = &self.jobs[placed.job];
        let preemptible = victim.is_active() && !victim.is_service() && victim.spec.restartable;
        if !preemptible || victim.spec.urgent || placed.is_terminating() || placed.is_duplicate() {
            return false;
        }
        let same_team = placed.team == self.jobs[job].team;
        if same_team {
            return self.jobs[job].is_priority();
        }
        let remaining_excess = self.share_excess(placed.team) - self.zone_share(&placed.charged);
        remaining_excess >= 0.0
            || (self.jobs[job].is_priority() && self.share_excess(placed.team) > 0.0)
    }

    /// Work lost by the preemption of a task: its run time, times its processors or its memory at
    /// 4 MiB to a thousandth of a core, whichever is larger, times the members of a gang, since all
    /// of these restart.
    pub(super) fn preemption_cost(&self, placed: &PlacedTask) -> u64 {
        let ran = self.now.saturating_sub(placed.started).as_secs() + 1;
        let weight = u64::from(
            placed
                .charged
                .cpu_milli
                .max(placed.charged.mem_mib / 4)
                .max(1),
        );
        let job = &self.jobs[placed.job];
        let members = if job.spec.kind == JobKind::Gang {
            job.placed.len() as u64
        } else {
            1
        };
        ran.saturating_mul(weight).saturating_mul(members)
    }

    /// Dominant share of an amount in the zone's capacity.
    pub(super) fn zone_share(&self, amount: &Resources) -> f64 {
        amount.dominant_share(&self.vms.capacity())
    }

    /// Preempts tasks of teams that have exceeded their ceiling for [`CEILING_GRACE`].
    ///
    /// [`CEILING_GRACE`]: super::team::CEILING_GRACE
    pub(super) fn enforce_ceilings(&mut self, now: Now) {
        let teams: Vec<SlabIndex> = self.teams.iter().map(|(team, _)| team).collect();
        for team in teams {
            let entry = &mut self.teams[team];
            let Some(policy) = &entry.policy else {
                continue;
            };
            let ceiling = policy.ceiling;
            if ceiling.holds(&entry.used.to_resources()) {
                entry.over_ceiling_since = None;
                continue;
            }
            let since = *entry.over_ceiling_since.get_or_insert(now);
            if now.saturating_sub(since) >= super::team::CEILING_GRACE {
                self.preempt_excess_tasks(team, &ceiling);
            }
        }
    }

    /// Checkpoints tasks of a team to bring its usage within a ceiling. Ordinary tasks go first,
    /// then those that may not be restarted, urgent ones and services; within each group, the
    /// cheapest.
    fn preempt_excess_tasks(&mut self, team: SlabIndex, ceiling: &Resources) {
        let mut used = self.teams[team].used;
        let mut candidates = Vec::new();
        for &task in &self.teams[team].tasks {
            let placed = &self.tasks[task];
            if placed.is_terminating() {
                used.sub(&placed.charged);
            } else {
                let job = &self.jobs[placed.job];
                let protection = (job.is_service(), job.spec.urgent, !job.spec.restartable);
                candidates.push((protection, self.preemption_cost(placed), task));
            }
        }
        if ceiling.holds(&used.to_resources()) {
            return;
        }
        candidates.sort_unstable();
        for (_, _, task) in candidates {
            let charged = self.tasks[task].charged;
            if reduces_excess(&used.to_resources(), ceiling, &charged) {
                used.sub(&charged);
                self.request_action(task, ActionKind::Checkpoint);
            }
        }
    }
}

/// Whether ending a task with these resources reduces the excess of `used` over the ceiling.
fn reduces_excess(used: &Resources, ceiling: &Resources, charged: &Resources) -> bool {
    let over = used.minus(ceiling);
    over.min(charged) != Resources::ZERO
}
