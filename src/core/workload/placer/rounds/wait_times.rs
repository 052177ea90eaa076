//! Accounts for the time that ready tasks wait, by reason.

use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::job_registry::StepKey;
use crate::core::workload::policy::wait_reasons::StepWait;
use crate::core::workload::policy::wait_reasons::WaitReason;

impl Placer {
    /// Counts the wait of a step since the last round, and records why its remaining tasks wait.
    pub(in crate::core::workload::placer) fn record_wait(
        &mut self,
        cx: &mut Cx,
        key: StepKey,
        reason: WaitReason,
    ) {
        let Some(job) = self.registry.jobs.get_mut(&key.job) else {
            return;
        };
        let steps = job.occurrences.get_mut(&key.occurrence);
        let Some(step) = steps.and_then(|steps| steps.get_mut(usize::from(key.step))) else {
            return;
        };
        let is_current = |wait: &StepWait| wait.is_current(reason, step.waiting, cx.now);
        if step.wait.as_ref().is_some_and(is_current) {
            return;
        }
        let last = step.wait.take();
        if let Some(wait) = &last {
            self.wait_times.add(&job.queue.name, wait, cx.now);
        }
        if step.waiting == 0 {
            return;
        }
        let tasks = step.waiting;
        let mut wait = last.map_or_else(
            || StepWait::new(reason, tasks, cx.now),
            |last| last.next(reason, tasks, cx.now),
        );
        if wait.is_to_be_logged(cx.now) {
            cx.log(Decision::StepWaits {
                id: job.id.clone(),
                queue: job.queue.name.clone(),
                step: key.step,
                tasks,
                reason,
            });
        }
        step.wait = Some(wait);
    }
}
