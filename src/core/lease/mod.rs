//! Leases on the worker VMs of a zone, each granted and fenced by the VM itself.
//!
//! The holder counts a lease from before it sent the renewal and ends it early by the drift margin.
//! It is the zone's placer while it holds the leases of more than half of the zone's VMs.

mod options;
mod state;
mod vm;

use std::collections::BTreeMap;
use std::time::Duration;

use self::vm::TaskKnowledge;
use self::vm::Vm;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::model::DaemonId;
use crate::core::model::Member;
use crate::core::model::MemberRole;
use crate::core::model::MemberState;
use crate::core::model::Now;
use crate::core::model::Resources;
use crate::core::model::StartTask;
use crate::core::model::TaskAction;
use crate::core::model::TaskIndex;
use crate::core::model::TaskRef;
use crate::core::model::VmId;
use crate::core::model::VmReport;
use crate::core::model::VmSync;
use crate::core::model::VmSyncAnswer;
use crate::core::model::ZoneId;

pub use self::options::LeaseOptions;

/// Change for the scheduler, produced only while this daemon is the placer.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseChange {
    /// The VM became available to the scheduler.
    Acquired {
        /// VM that granted its lease.
        vm: VmId,
        /// All tasks on the VM.
        report: VmReport,
    },
    /// The VM renewed its lease.
    Renewed {
        /// VM that renewed its lease.
        vm: VmId,
        /// All tasks on the VM.
        report: VmReport,
    },
    /// The lease ended or the VM is leaving, so that no task may be started there. Tasks may
    /// continue to run.
    Suspended {
        /// VM whose lease ended.
        vm: VmId,
    },
    /// Every task of the VM has stopped, since its task lease ended or it left the cell.
    Lost {
        /// VM that was lost.
        vm: VmId,
    },
    /// A start did not take effect and never will.
    NotStarted {
        /// VM that the start was meant for.
        vm: VmId,
        /// Task that was not started.
        task: TaskRef,
    },
}

/// Leases of one daemon on all VMs of its zone.
#[derive(Clone, Debug)]
pub struct Leases {
    me: DaemonId,
    zone: ZoneId,
    options: LeaseOptions,
    vms: BTreeMap<VmId, Vm>,
    candidate: bool,
    is_placer: bool,
    /// Start of the current attempt to win a majority; in the future during a back-off.
    attempt_start: Now,
    /// Number of attempts that were abandoned.
    failed_attempts: u32,
    /// Whether a VM reported another current holder during the current attempt.
    competitor_seen: bool,
}

impl Leases {
    /// Returns the state of a daemon that holds no lease and is not a candidate.
    #[must_use]
    pub fn new(me: DaemonId, zone: ZoneId, options: LeaseOptions) -> Self {
        Self {
            me,
            zone,
            options,
            vms: BTreeMap::new(),
            candidate: false,
            is_placer: false,
            attempt_start: Now::ZERO,
            failed_attempts: 0,
            competitor_seen: false,
        }
    }

    /// Applies a membership list; only worker VMs of the zone matter.
    pub fn set_members(&mut self, now: Now, members: &[Member]) -> Vec<LeaseChange> {
        for vm in self.vms.values_mut() {
            vm.departed = vm.departed.or(Some(now));
        }
        for member in members.iter().filter(|member| member.zone == self.zone) {
            let MemberRole::Worker { capacity, .. } = &member.role else {
                continue;
            };
            let vm = self
                .vms
                .entry(member.id.clone())
                .or_insert_with(|| Vm::new(now, member.address.clone(), *capacity));
            vm.departed = None;
            vm.leaving = member.state == MemberState::Leaving;
            vm.address = member.address.clone();
            vm.capacity = *capacity;
            if self.is_placer && !vm.is_known() && vm.tasks_stop_at.is_none() {
                vm.tasks_stop_at = Some(now + self.options.tasks_stop_after());
            }
        }
        Vec::new()
    }

    /// Starts to acquire leases (`true`) or releases them (`false`).
    pub fn set_candidate(&mut self, now: Now, candidate: bool) {
        if candidate && !self.candidate {
            self.attempt_start = now;
            self.competitor_seen = false;
        }
        if !candidate && self.candidate {
            self.abandon();
        }
        self.candidate = candidate;
    }

    /// Ends the leases that have expired and sends the syncs that are due.
    pub fn tick(&mut self, now: Now, fx: &mut Effects) -> Vec<LeaseChange> {
        let mut changes = Vec::new();
        for (id, vm) in &mut self.vms {
            changes.extend(vm.expire(now, id));
            if self.is_placer {
                changes.extend(vm.lapse(now, id));
            } else {
                vm.invalidate();
            }
        }
        self.remove_departed(now);
        changes.extend(self.check_majority(now));
        self.yield_to_competitor(now);
        self.send(now, fx);
        changes
    }

    /// Handles a VM's answer to a sync; `None` if no answer was received.
    pub fn handle_answer(
        &mut self,
        now: Now,
        id: &str,
        sent: Now,
        answer: Option<VmSyncAnswer>,
    ) -> Vec<LeaseChange> {
        let Some((id, vm)) = self
            .vms
            .get_mut(id)
            .map(|vm| (VmId::from(id), vm))
            .filter(|(_, vm)| vm.matches_in_flight(sent))
        else {
            return Vec::new();
        };
        vm.clear_in_flight();
        let mut changes = match answer {
            None => {
                vm.schedule_retry(now, &self.options);
                Vec::new()
            }
            Some(VmSyncAnswer::Granted(_)) if vm.is_released() => Vec::new(),
            Some(VmSyncAnswer::Granted(report)) => {
                vm.record_grant(now, sent, report, &self.options);
                if self.is_placer {
                    vm.report_changes(&id)
                } else {
                    Vec::new()
                }
            }
            Some(VmSyncAnswer::Refused {
                holder,
                epoch,
                remaining,
            }) => {
                self.competitor_seen |= holder != self.me && !remaining.is_zero();
                vm.record_refusal(now, &id, epoch, remaining, &self.options)
            }
        };
        if !self.is_placer {
            vm.invalidate();
        }
        changes.extend(self.check_majority(now));
        changes
    }

    /// Adds a start to the VM's next sync.
    pub fn start(&mut self, vm: &str, start: StartTask) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.start(start);
        }
    }

    /// Adds an action to the VM's next sync.
    pub fn act(&mut self, vm: &str, action: TaskAction) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.act(action);
        }
    }

    /// Adds acknowledgements of recorded task ends to the VM's next sync.
    pub fn ack(&mut self, vm: &str, tasks: &[TaskRef]) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.ack(tasks);
        }
    }

    /// Sends pending starts and actions at once to the VMs that have no sync in flight.
    pub fn flush(&mut self, now: Now, fx: &mut Effects) {
        let task_lease = self.task_lease(now);
        for (id, vm) in self
            .vms
            .iter_mut()
            .filter(|(_, vm)| vm.has_urgent_messages(now))
        {
            let sync = vm.sync(now, &self.me, &self.options, task_lease);
            push(id, vm, sync, fx);
        }
    }

    /// Returns whether this daemon holds the leases of more than half of the zone's VMs at `now`.
    #[must_use]
    pub fn has_majority(&self, now: Now) -> bool {
        let held = self.vms.values().filter(|vm| vm.lease.is_held(now)).count();
        self.candidate && 2 * held > self.vms.len()
    }

    /// Returns whether this daemon has won the majority as a candidate and has not released its
    /// leases since. It may have lost the majority in the meantime, see [`Self::has_majority`].
    #[must_use]
    pub fn is_placer(&self) -> bool {
        self.is_placer
    }

    /// Returns whether the leases of all listed VMs are held at `now`.
    #[must_use]
    pub fn all_held(&self, now: Now) -> bool {
        self.vms
            .values()
            .all(|vm| vm.departed.is_some() || vm.lease.is_held(now))
    }

    /// Returns the capacity of the VMs whose tasks are unknown, as they have neither reported to
    /// this holder nor passed their task lease.
    #[must_use]
    pub fn unknown_capacity(&self, _now: Now) -> Resources {
        self.vms
            .values()
            .filter(|vm| !vm.is_known())
            .fold(Resources::ZERO, |sum, vm| sum.plus(&vm.capacity))
    }

    /// Returns whether the tasks of every VM are known.
    #[must_use]
    pub fn all_tasks_known(&self) -> bool {
        self.vms.values().all(Vm::is_known)
    }

    /// Returns whether a task runs on one of the VMs, or was sent to one and may run.
    #[must_use]
    pub fn may_run(&self, job: &str, index: TaskIndex) -> bool {
        self.vms.values().any(|vm| vm.may_run(job, index))
    }

    /// Returns the name of this holder and its timing.
    #[must_use]
    pub fn holder(&self) -> (&str, &LeaseOptions) {
        (&self.me, &self.options)
    }

    /// Returns the zone of the VMs.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Leaves the role of placer, schedules the release of all leases and discards the knowledge of
    /// the VMs' tasks.
    fn abandon(&mut self) {
        self.is_placer = false;
        for vm in self.vms.values_mut() {
            vm.abandon();
        }
    }

    /// Removes VMs that left the membership list once every task on them must have stopped, whoever
    /// held their lease.
    ///
    /// They count in the majority until then. Otherwise, a daemon that reads a shorter list could
    /// win a smaller majority beside the current placer.
    fn remove_departed(&mut self, now: Now) {
        let after = self.options.tasks_stop_after();
        let is_placer = self.is_placer;
        self.vms.retain(|_, vm| {
            let gone = vm
                .departed
                .is_some_and(|since| now.saturating_sub(since) >= after);
            !gone || (is_placer && !vm.is_lapsed())
        });
    }

    /// Makes this daemon the placer if it has just won a majority.
    ///
    /// From then on, no other daemon can place, so that all tasks on VMs that have not reported yet
    /// were started before.
    fn check_majority(&mut self, now: Now) -> Vec<LeaseChange> {
        if self.is_placer || !self.has_majority(now) {
            return Vec::new();
        }
        self.is_placer = true;
        let stop_at = now + self.options.tasks_stop_after();
        let mut changes = Vec::new();
        for (id, vm) in &mut self.vms {
            if vm.lease.is_held(now) {
                changes.extend(vm.report_changes(id));
            } else {
                vm.knowledge = TaskKnowledge::Unknown;
                vm.tasks_stop_at = Some(stop_at);
            }
        }
        changes
    }

    /// Releases the leases if another candidate holds some and this one has not won a majority in
    /// time.
    fn yield_to_competitor(&mut self, now: Now) {
        let timed_out = now.saturating_sub(self.attempt_start) > self.options.majority_timeout();
        if !self.candidate || self.is_placer || !self.competitor_seen || !timed_out {
            return;
        }
        self.failed_attempts += 1;
        self.attempt_start = now + self.backoff();
        self.competitor_seen = false;
        self.abandon();
    }

    /// Returns a delay that depends on the daemon's name and the number of failed attempts, so that
    /// competing candidates do not collide repeatedly.
    fn backoff(&self) -> Duration {
        let seed = self.me.bytes().fold(self.failed_attempts, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
        });
        self.options.lease * (1 + (seed >> 16) % 4)
    }

    /// Sends the releases that are due and, for a candidate that is not in a back-off, the requests
    /// and renewals that are due.
    fn send(&mut self, now: Now, fx: &mut Effects) {
        let task_lease = self.task_lease(now);
        let wait = self
            .attempt_start
            .saturating_sub(now)
            .max(self.options.renew_every);
        let may_request = self.candidate && now >= self.attempt_start;
        for (id, vm) in &mut self.vms {
            let mut sync = vm.release(now, &self.me, wait);
            if sync.is_none() && may_request && vm.departed.is_none() && vm.is_due(now) {
                sync = vm.sync(now, &self.me, &self.options, task_lease);
            }
            push(id, vm, sync, fx);
        }
    }

    /// Returns the task lease of a sync: zero, which does not extend tasks, unless this daemon is
    /// the placer.
    fn task_lease(&self, now: Now) -> Duration {
        if self.is_placer && self.has_majority(now) {
            self.options.task_lease
        } else {
            Duration::ZERO
        }
    }
}

fn push(id: &VmId, vm: &Vm, sync: Option<VmSync>, fx: &mut Effects) {
    if let Some(sync) = sync {
        fx.push(Effect::SyncVm {
            vm: id.clone(),
            address: vm.address.clone(),
            sync,
        });
    }
}
