//! What VMs report: to the scheduler, to the jobs, and back to the VMs as acknowledgements.

use super::Placer;
use crate::core::effect::Effect;
use crate::core::effect::Effects;
use crate::core::job::Jobs;
use crate::core::lease::LeaseChange;
use crate::core::model::ActionKind;
use crate::core::model::Now;
use crate::core::model::TaskAction;
use crate::core::model::TaskEnd;
use crate::core::model::TaskRef;
use crate::core::model::VmReport;
use crate::core::timeline::Happening;

impl Placer {
    pub(super) fn apply(
        &mut self,
        now: Now,
        changes: Vec<LeaseChange>,
        jobs: &mut Jobs,
        fx: &mut Effects,
    ) {
        for change in changes {
            match change {
                LeaseChange::Held { vm, report } => {
                    if let Some(spec) = self.vms.get(&vm) {
                        self.sched.add_vm(now, spec.clone(), &report.running);
                    }
                    self.reported(now, &vm, &report, jobs, fx);
                    fx.push(Effect::Note(Happening::LeaseGained { vm }));
                }
                LeaseChange::Reported { vm, report } => {
                    self.sched.record_report(now, &vm, &report.running);
                    self.reported(now, &vm, &report, jobs, fx);
                }
                LeaseChange::Suspended { vm } => {
                    self.sched.suspend_vm(now, &vm);
                    fx.push(Effect::Note(Happening::LeaseLost { vm }));
                }
                LeaseChange::Lost { vm } => self.sched.remove_vm(now, &vm),
                LeaseChange::NotStarted { vm, task } => {
                    jobs.not_started(&task);
                    self.sched.revert_start(now, &vm, &task);
                }
            }
        }
    }

    fn reported(
        &mut self,
        now: Now,
        vm: &str,
        report: &VmReport,
        jobs: &mut Jobs,
        fx: &mut Effects,
    ) {
        for running in &report.running {
            if jobs.is_over(&running.task.job) {
                let task = running.task.clone();
                let kind = ActionKind::Stop;
                self.leases.act(vm, TaskAction { task, kind });
            } else {
                jobs.started(now, &running.task);
            }
        }
        self.ended(now, vm, &report.ended, jobs, fx);
    }

    fn ended(&mut self, now: Now, vm: &str, ends: &[TaskEnd], jobs: &mut Jobs, fx: &mut Effects) {
        for end in ends {
            self.sched.record_task_end(now, vm, end);
            if jobs.ended(now, vm, end) {
                let task = end.task.clone();
                fx.push(Effect::Note(Happening::TaskEnded {
                    task,
                    outcome: end.outcome,
                }));
            }
        }
        let unrecorded: Vec<TaskRef> = ends
            .iter()
            .filter(|end| !jobs.records(end))
            .map(|end| end.task.clone())
            .collect();
        self.leases.ack(vm, &unrecorded);
    }
}
