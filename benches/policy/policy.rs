//! Interface between the simulation and a placement policy.

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

/// Placement policy of one zone; the methods are those of [`Scheduler`].
pub trait Policy {
    fn set_team(&mut self, now: Now, team: &str, policy: TeamPolicy);
    fn add_vm(&mut self, now: Now, vm: VmSpec);
    fn remove_vm(&mut self, now: Now, vm: &str);
    fn submit(&mut self, now: Now, job: QueuedJob) -> Result<(), Reason>;
    fn set_service(&mut self, now: Now, spec: JobSpec);
    fn cancel(&mut self, now: Now, job: &str);
    fn record_report(&mut self, now: Now, vm: &str, running: &[RunningTask]);
    fn record_task_end(&mut self, now: Now, vm: &str, end: &EndedTask);
    fn decide(&mut self, now: Now, limit: usize) -> Vec<Decision>;
}

impl Policy for Scheduler {
    fn set_team(&mut self, now: Now, team: &str, policy: TeamPolicy) {
        Scheduler::set_team(self, now, team, policy);
    }

    fn add_vm(&mut self, now: Now, vm: VmSpec) {
        Scheduler::add_vm(self, now, vm, &[]);
    }

    fn remove_vm(&mut self, now: Now, vm: &str) {
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

    fn record_report(&mut self, now: Now, vm: &str, running: &[RunningTask]) {
        Scheduler::record_report(self, now, vm, running);
    }

    fn record_task_end(&mut self, now: Now, vm: &str, end: &EndedTask) {
        Scheduler::record_task_end(self, now, vm, end);
    }

    fn decide(&mut self, now: Now, limit: usize) -> Vec<Decision> {
        Scheduler::decide(self, now, limit)
    }
}
