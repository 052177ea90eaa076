//! What the event loop needs of a policy.

use ragwortstall::core::effect::Reason;
use ragwortstall::core::model::EndedTask;
use ragwortstall::core::model::JobSpec;
use ragwortstall::core::model::Now;
use ragwortstall::core::model::RunningTask;
use ragwortstall::core::sched::Decision;
use ragwortstall::core::sched::QueuedJob;
use ragwortstall::core::sched::Scheduler;
use ragwortstall::core::sched::TeamPolicy;
use ragwortstall::core::sched::VmSpec;

/// A placement policy of one zone.
pub trait Policy {
    fn set_team(&mut self, now: Now, team: &str, policy: TeamPolicy);
    fn vm_gained(&mut self, now: Now, vm: VmSpec);
    fn vm_lost(&mut self, now: Now, vm: &str);
    fn submit(&mut self, now: Now, job: QueuedJob) -> Result<(), Reason>;
    fn set_service(&mut self, now: Now, spec: JobSpec);
    fn cancel(&mut self, now: Now, job: &str);
    fn reported(&mut self, now: Now, vm: &str, running: &[RunningTask]);
    fn ended(&mut self, now: Now, vm: &str, end: &EndedTask);
    fn decide(&mut self, now: Now, limit: usize) -> Vec<Decision>;
}

impl Policy for Scheduler {
    fn set_team(&mut self, now: Now, team: &str, policy: TeamPolicy) {
        Scheduler::set_team(self, now, team, policy);
    }

    fn vm_gained(&mut self, now: Now, vm: VmSpec) {
        Scheduler::add_vm(self, now, vm, &[]);
    }

    fn vm_lost(&mut self, now: Now, vm: &str) {
        Scheduler::remove_vm(self, now, vm);
    }

    fn submit(&mut self, now: Now, job: QueuedJob) -> Result<(), Reason> {
        Scheduler::submit(self, now, job)
    }

    fn set_service(&mut self, now: Now, spec: JobSpec) {
        Scheduler::set_service(self, now, spec);
    }

    fn cancel(&mut self, now: Now, job: &str) {
        Scheduler::cancel(self, now, job);
    }

    fn reported(&mut self, now: Now, vm: &str, running: &[RunningTask]) {
        Scheduler::record_report(self, now, vm, running);
    }

    fn ended(&mut self, now: Now, vm: &str, end: &EndedTask) {
        Scheduler::record_task_end(self, now, vm, end);
    }

    fn decide(&mut self, now: Now, limit: usize) -> Vec<Decision> {
        Scheduler::decide(self, now, limit)
    }
}
