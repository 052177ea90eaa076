//! Injection of faults into a simulated cell.

use std::time::Duration;

use ragwortstall::core::Event;

use super::build;
use super::harness::Harness;
use super::plan::Fault;

impl Harness {
    /// Begins the fault with the given index in the plan.
    pub fn begin_fault(&mut self, index: usize) {
        let timed_fault = self.plan.faults[index];
        let until = self.now + timed_fault.duration;
        let daemons = self.daemons.len();
        let vms = self.vms.len();
        match timed_fault.fault {
            Fault::KillDaemon(daemon) => self.daemons[daemon % daemons].state = None,
            Fault::PauseDaemon(daemon) => self.daemons[daemon % daemons].paused_until = until,
            Fault::DrainDaemon(daemon) => {
                let daemon = daemon % daemons;
                let started_at = self.daemons[daemon].started_at;
                self.deliver_event(daemon, started_at, Event::Drain);
            }
            Fault::KillVm(vm) => self.kill_vm(vm % vms),
            Fault::PauseVm(vm) => self.vms[vm % vms].paused_until = until,
            Fault::OneWayPartition(from, to) => self.network.partition(from, to, until),
            Fault::Partition(a, b) => {
                self.network.partition(a, b, until);
                self.network.partition(b, a, until);
            }
            Fault::PlatformDown => self.platform_down_until = until,
            Fault::PlatformSlow => self.platform_slow_until = until,
            Fault::PlatformLosesAnswers => self.answers_lost_until = until,
            Fault::UnreliableNetwork => self.network.set_unreliable(until),
        }
    }

    /// Ends the fault with the given index in the plan, by restarting what it stopped.
    pub fn end_fault(&mut self, index: usize) {
        match self.plan.faults[index].fault {
            Fault::KillDaemon(daemon) | Fault::DrainDaemon(daemon) => {
                let daemon = daemon % self.daemons.len();
                self.daemons[daemon].state = None;
                self.start_daemon(daemon);
            }
            Fault::KillVm(vm) => self.start_vm(vm % self.vms.len()),
            _ => {}
        }
    }

    fn kill_vm(&mut self, vm: usize) {
        let clock = self.vms[vm].clock(self.now);
        self.vm_models[vm].advance(clock);
        self.vm_models[vm].restart(clock);
        self.vms[vm].up = false;
        let name = build::vm_name(vm);
        self.members.remove(self.now, &name);
    }

    fn start_vm(&mut self, vm: usize) {
        if !self.vms[vm].up {
            self.vms[vm].up = true;
            self.vms[vm].started_at = self.now;
            let member = self.vm_member(vm);
            self.members.put(self.now, member);
        }
    }

    /// Ends every fault that is still active.
    pub fn end_all_faults(&mut self) {
        self.network.heal();
        self.platform_down_until = Duration::ZERO;
        self.platform_slow_until = Duration::ZERO;
        self.answers_lost_until = Duration::ZERO;
        for daemon in 0..self.daemons.len() {
            self.start_daemon(daemon);
        }
        for vm in 0..self.vms.len() {
            self.start_vm(vm);
        }
    }
}
