//! Leases on the worker VMs of a zone, each granted and fenced by the VM itself.
//!
//! The holder counts a lease from before it sent the renewal and stops early by the drift margin.
//! It is the zone's placer while it holds the leases of more than half of the zone's VMs.

mod options;
mod stage;
mod vm;

use std::collections::BTreeMap;
use std::time::Duration;

use self::vm::Knowledge;
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

/// What changed for the scheduler; told only while this daemon is the placer.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseChange {
    /// Tasks may be started on the VM; the report is all that it runs.
    Acquired {
        /// Which VM.
        vm: VmId,
        /// What it runs.
        report: VmReport,
    },
    /// The VM renewed its lease.
    Renewed {
        /// Which VM.
        vm: VmId,
        /// What it runs.
        report: VmReport,
    },
    /// The lease ended; tasks may run on there.
    Suspended {
        /// Which VM.
        vm: VmId,
    },
    /// Every task of the VM has stopped, since its task lease ended or it left the cell.
    Lost {
        /// Which VM.
        vm: VmId,
    },
    /// A start is proved not to have taken effect.
    NotStarted {
        /// Which VM.
        vm: VmId,
        /// Which task.
        task: TaskRef,
    },
}

/// Lease holder's side of all VMs of one zone.
#[derive(Clone, Debug)]
pub struct Leases {
    me: DaemonId,
    zone: ZoneId,
    options: LeaseOptions,
    vms: BTreeMap<VmId, Vm>,
    candidate: bool,
    placing: bool,
    /// When the present attempt at a majority began.
    began: Now,
    /// Attempts at a majority that were given up.
    given_up: u32,
    rival_seen: bool,
}

impl Leases {
    /// Returns a holder without leases.
    #[must_use]
    pub fn new(me: DaemonId, zone: ZoneId, options: LeaseOptions) -> Self {
        Self {
            me,
            zone,
            options,
            vms: BTreeMap::new(),
            candidate: false,
            placing: false,
            began: Now::ZERO,
            given_up: 0,
            rival_seen: false,
        }
    }

    /// Takes the membership list; only workers of the zone matter.
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
            if self.placing && !vm.is_known() && vm.tasks_until.is_none() {
                vm.tasks_until = Some(now + self.options.tasks_stop_after());
            }
        }
        Vec::new()
    }

    /// Whether to acquire leases (`true`) or to give them back.
    pub fn set_candidate(&mut self, now: Now, candidate: bool) {
        if candidate && !self.candidate {
            self.began = now;
            self.rival_seen = false;
        }
        if !candidate && self.candidate {
            self.give_up();
        }
        self.candidate = candidate;
    }

    /// Sends what is due and ends what has run out.
    pub fn tick(&mut self, now: Now, fx: &mut Effects) -> Vec<LeaseChange> {
        let mut changes = Vec::new();
        for (id, vm) in &mut self.vms {
            changes.extend(vm.expire(now, id));
            if self.placing {
                changes.extend(vm.lapse(now, id));
            } else {
                vm.doubt();
            }
        }
        self.forget_departed(now);
        changes.extend(self.note_majority(now));
        self.make_way(now);
        self.send(now, fx);
        changes
    }

    /// Takes a VM's answer to a sync.
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
            .filter(|(_, vm)| vm.is_under_way(sent))
        else {
            return Vec::new();
        };
        vm.take_answer();
        let mut changes = match answer {
            None => {
                vm.unanswered(now, &self.options);
                Vec::new()
            }
            Some(VmSyncAnswer::Granted(_)) if vm.is_released() => Vec::new(),
            Some(VmSyncAnswer::Granted(report)) => {
                vm.granted(now, sent, report, &self.options);
                if self.placing {
                    vm.tell(&id)
                } else {
                    Vec::new()
                }
            }
            Some(VmSyncAnswer::Refused {
                holder,
                epoch,
                remaining,
            }) => {
                self.rival_seen |= holder != self.me && !remaining.is_zero();
                vm.refused(now, &id, epoch, remaining, &self.options)
            }
        };
        if !self.placing {
            vm.doubt();
        }
        changes.extend(self.note_majority(now));
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

    /// Adds acknowledgements of recorded ends to the VM's next sync.
    pub fn ack(&mut self, vm: &str, tasks: &[TaskRef]) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.ack(tasks);
        }
    }

    /// Sends syncs for starts and actions at once, to VMs with none under way.
    pub fn flush(&mut self, now: Now, fx: &mut Effects) {
        let task_lease = self.prolongs(now);
        for (id, vm) in self.vms.iter_mut().filter(|(_, vm)| vm.is_hurried(now)) {
            let sync = vm.sync(now, &self.me, &self.options, task_lease);
            push(id, vm, sync, fx);
        }
    }

    /// Whether this daemon holds the leases of more than half of the zone's VMs at `now`.
    #[must_use]
    pub fn has_majority(&self, now: Now) -> bool {
        let held = self.vms.values().filter(|vm| vm.stage.is_held(now)).count();
        self.candidate && 2 * held > self.vms.len()
    }

    /// Whether this daemon was the placer and has not given its leases back since.
    #[must_use]
    pub fn is_placer(&self) -> bool {
        self.placing
    }

    /// Whether the leases of all listed VMs are held at `now`.
    #[must_use]
    pub fn all_held(&self, now: Now) -> bool {
        self.vms
            .values()
            .all(|vm| vm.departed.is_some() || vm.stage.is_held(now))
    }

    /// Capacity of the VMs whose tasks are not known: neither reported to this holder nor past
    /// their task lease.
    #[must_use]
    pub fn unknown_capacity(&self, _now: Now) -> Resources {
        self.vms
            .values()
            .filter(|vm| !vm.is_known())
            .fold(Resources::ZERO, |sum, vm| sum.plus(&vm.capacity))
    }

    /// Whether the tasks of every VM are known.
    #[must_use]
    pub fn all_tasks_known(&self) -> bool {
        self.vms.values().all(Vm::is_known)
    }

    /// Whether a task runs on some VM of this holder, or was sent to one and may run.
    #[must_use]
    pub fn may_run(&self, job: &str, index: TaskIndex) -> bool {
        self.vms.values().any(|vm| vm.may_run(job, index))
    }

    /// Name of this daemon, and the times that it keeps to.
    #[must_use]
    pub fn holder(&self) -> (&str, &LeaseOptions) {
        (&self.me, &self.options)
    }

    /// Zone whose VMs these are.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.zone
    }

    fn give_up(&mut self) {
        self.placing = false;
        for vm in self.vms.values_mut() {
            vm.give_up();
        }
    }

    /// A VM that left the list counts until every task on it must have stopped, whoever held it.
    fn forget_departed(&mut self, now: Now) {
        let after = self.options.tasks_stop_after();
        let placing = self.placing;
        self.vms.retain(|_, vm| {
            let gone = vm
                .departed
                .is_some_and(|since| now.saturating_sub(since) >= after);
            !gone || (placing && !vm.is_lapsed())
        });
    }

    /// From the time of the majority no other daemon can place, so that whatever runs on VMs not
    /// yet heard was started before.
    fn note_majority(&mut self, now: Now) -> Vec<LeaseChange> {
        if self.placing || !self.has_majority(now) {
            return Vec::new();
        }
        self.placing = true;
        let until = now + self.options.tasks_stop_after();
        let mut changes = Vec::new();
        for (id, vm) in &mut self.vms {
            if vm.stage.is_held(now) {
                changes.extend(vm.tell(id));
            } else {
                vm.knowledge = Knowledge::Unknown;
                vm.tasks_until = Some(until);
            }
        }
        changes
    }

    /// Gives the leases back when a rival holds others and neither has more than half.
    fn make_way(&mut self, now: Now) {
        let waited = now.saturating_sub(self.began) > self.options.majority_timeout();
        if !self.candidate || self.placing || !self.rival_seen || !waited {
            return;
        }
        self.given_up += 1;
        self.began = now + self.backoff();
        self.rival_seen = false;
        self.give_up();
    }

    /// Differs between daemons, so that rivals do not meet again and again.
    fn backoff(&self) -> Duration {
        let seed = self.me.bytes().fold(self.given_up, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
        });
        self.options.lease * (1 + (seed >> 16) % 4)
    }

    fn send(&mut self, now: Now, fx: &mut Effects) {
        let task_lease = self.prolongs(now);
        let wait = self.began.saturating_sub(now).max(self.options.renew_every);
        let asks = self.candidate && now >= self.began;
        for (id, vm) in &mut self.vms {
            let mut sync = vm.release(now, &self.me, wait);
            if sync.is_none() && asks && vm.departed.is_none() && vm.is_due(now) {
                sync = vm.sync(now, &self.me, &self.options, task_lease);
            }
            push(id, vm, sync, fx);
        }
    }

    /// How long a sync prolongs tasks: not at all, unless its sender is the placer.
    fn prolongs(&self, now: Now) -> Duration {
        if self.placing && self.has_majority(now) {
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
