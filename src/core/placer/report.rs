//! Handling of VM reports: updates scheduler and jobs, and acknowledges task ends to the VMs.

use super::Placer;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::job::Jobs;
use crate::core::lease::LeaseChange;
use crate::core::model::ActionKind;
use crate::core::model::EndedTask;
use crate::core::model::Now;
use crate::core::model::TaskAction;
use crate::core::model::TaskRef;
use crate::core::model::VmReport;
use crate::core::timeline::TimelineEvent;

impl Placer {
    /// Applies changes of the leases to the scheduler and the jobs.
    pub(super) fn apply_lease_changes(
        &mut self,
        now: Now,
        changes: Vec<LeaseChange>,
        jobs: &mut Jobs,
        fx: &mut Effects,
    ) {
        for change in changes {
            match change {
                LeaseChange::Acquired { vm, report } => {
                    if let Some(spec) = self.vms.get(&vm) {
                        self.sched.add_vm(now, spec.clone(), &report.running);
                    }
                    self.handle_report(now, &vm, &report, jobs, fx);
                    fx.push(Effect::Timeline(TimelineEvent::LeaseGained { vm }));
                }
                LeaseChange::Renewed { vm, report } => {
                    self.sched.record_report(now, &vm, &report.running);
                    self.handle_report(now, &vm, &report, jobs, fx);
                }
                LeaseChange::Suspended { vm } => {
                    self.sched.suspend_vm(now, &vm);
                    fx.push(Effect::Timeline(TimelineEvent::LeaseLost { vm }));
                }
                LeaseChange::Lost { vm } => self.sched.remove_vm(now, &vm),
                LeaseChange::NotStarted { vm, task } => {
                    jobs.revert_start(&task);
                    self.sched.revert_start(now, &vm, &task);
                }
            }
        }
    }

    /// Updates the jobs from a report, and stops the tasks of jobs that are over.
    fn handle_report(
        &mut self,
        now: Now,
        vm: &str,
        report: &VmReport,
        jobs: &mut Jobs,
        fx: &mut Effects,
    ) {
        for running in &report.running {
            if jobs.is_ended(&running.task.job) {
                let task = running.task.clone();
                let kind = ActionKind::Stop;
                self.leases.act(vm, TaskAction { task, kind });
            } else {
                jobs.record_start(now, &running.task);
            }
        }
        self.handle_task_ends(now, vm, &report.ended, jobs, fx);
    }

    fn handle_task_ends(
        &mut self,
        now: Now,
        vm: &str,
        ends: &[EndedTask],
        jobs: &mut Jobs,
        fx: &mut Effects,
    ) {
        for end in ends {
            self.sched.record_task_end(now, vm, end);
            if jobs.record_task_end(now, vm, end) {
                let task = end.task.clone();
                fx.push(Effect::Timeline(TimelineEvent::TaskEnded {
                    task,
                    outcome: end.outcome,
                }));
            }
        }
        // The VM must keep the other ends until a row records them.
        let acked: Vec<TaskRef> = ends
            .iter()
            .filter(|end| !jobs.needs_recording(end))
            .map(|end| end.task.clone())
            .collect();
        self.leases.ack(vm, &acked);
    }
}
