//! Reconciliation of the placer's runs with those that a VM reports.

use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::orders::STOP_MARGIN;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::Job;
use crate::core::workload::placer::state::job_registry::Placement;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::run::HostLifetime;
use crate::core::workload::placer::state::run::Phase;
use crate::core::workload::placer::state::run::Run;
use crate::core::workload::task::RunningTask;

impl Placer {
    /// Compares the runs that a VM reports with those that the placer expects there.
    pub(in crate::core::workload::placer) fn reconcile(
        &mut self,
        cx: &mut Cx,
        key: VmKey,
        sent: Now,
        listed: &[RunningTask],
        is_complete: bool,
    ) {
        for running in listed {
            self.reconcile_run(cx, key, running);
        }
        if !is_complete {
            return;
        }
        let Some(vm) = self.fleet.vms.get(&key) else {
            return;
        };
        let missing = vm.runs.iter().filter(|(task, run)| {
            let name = self.registry.task_name(**task);
            let is_listed =
                |row: &RunningTask| Some(&row.task) == name.as_ref() && row.run == run.number;
            would_be_listed(run, sent, cx) && !listed.iter().any(is_listed)
        });
        let mut missing: Vec<(TaskKey, Run)> = missing.map(|(&task, &run)| (task, run)).collect();
        missing.sort_unstable_by_key(|(task, _)| *task);
        for (task, run) in missing {
            match run.phase {
                // The start may still arrive. A stop with the same run number makes the VM reject
                // it.
                Phase::Starting | Phase::Unconfirmed | Phase::StopPending(_) => {
                    self.order_stop(cx, key, task, "start request was not answered");
                }
                Phase::Running { .. } | Phase::Stopping { .. } => {
                    if run.crashed_lifetime_ms.is_some() {
                        self.record_unconfirmed_crash(cx, key, task, &run);
                    }
                    self.release_and_requeue(cx, key, task);
                }
            }
        }
    }

    /// Compares a run that a VM reports with the one that the placer expects there.
    pub(in crate::core::workload::placer) fn reconcile_run(
        &mut self,
        cx: &mut Cx,
        key: VmKey,
        row: &RunningTask,
    ) {
        if self.is_unknown_yet(cx.now, &row.task) {
            return self.missing.keep_run(key, row);
        }
        let Some(task) = self.registry.find_task(&row.task) else {
            if self.is_surplus_run(key, row) {
                return;
            }
            return self.stop_unexpected(cx, key, row, "job is unknown");
        };
        self.disprove_crash(task, row.run);
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        if let Some(run) = vm.runs.get_mut(&task)
            && run.number == row.run
        {
            run.measurement = row.measurement;
            run.crashed_lifetime_ms = None;
            run.host = HostLifetime::Current;
            if matches!(run.phase, Phase::Starting | Phase::Unconfirmed) {
                run.phase = Phase::Running { since: cx.now };
                self.record_start(cx, task);
            }
            if let Some(state) = self.registry.task_mut(task)
                && !row.checkpoint.is_empty()
            {
                state.checkpoint.clone_from(&row.checkpoint);
            }
            return;
        }
        let is_active = self
            .registry
            .jobs
            .get(&task.step.job)
            .is_some_and(Job::is_active);
        let is_waiting = self
            .registry
            .task(task)
            .is_some_and(|task| task.placement == Placement::Waiting);
        if !is_waiting {
            return self.stop_unexpected(cx, key, row, "run is not assigned to this VM");
        }
        // A run of a job that has ended counts for its VM and its team until it has stopped.
        self.adopt_run(cx, key, task, row);
        if !is_active {
            self.order_stop(cx, key, task, "job has ended");
        }
    }

    /// Returns whether a run of a task whose occurrence is done is known, and so is being stopped.
    fn is_surplus_run(&self, key: VmKey, row: &RunningTask) -> bool {
        let task = self.registry.task_key(&row.task);
        let vm = self.fleet.vms.get(&key);
        let run = task.and_then(|task| vm?.runs.get(&task));
        run.is_some_and(|run| run.number == row.run)
    }
}

/// Returns whether the answer to a renewal sent at `sent` would list the run if the VM had it.
fn would_be_listed(run: &Run, sent: Now, cx: &Cx) -> bool {
    match run.phase {
        Phase::Starting | Phase::StopPending(_) => false,
        Phase::Unconfirmed => sent > run.sent_at + cx.options.vms.order_timeout,
        Phase::Running { since } => sent > since,
        // A run that is being stopped may be in neither list, and uses its resources until it ends.
        Phase::Stopping { acked_at, .. } => acked_at
            .is_some_and(|acked_at| sent > acked_at + cx.options.vms.stop_timeout + STOP_MARGIN),
    }
}
