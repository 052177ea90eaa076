//! Renewals of VMs' leases, and what the answers tell: which runs are there, and which ended.

use std::time::Duration;

use super::Lost;
use super::Placer;
use super::book::Place;
use super::book::TaskKey;
use super::fleet::ClockReading;
use super::fleet::Phase;
use super::fleet::Run;
use super::fleet::Vm;
use super::fleet::VmKey;
use crate::core::model::Now;
use crate::core::model::VmId;
use crate::core::workload::cx::Cx;
use crate::core::workload::cx::earliest;
use crate::core::workload::cx::millis;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::Request;
use crate::core::workload::event::OrderError;
use crate::core::workload::event::RenewalId;
use crate::core::workload::event::RenewalReport;
use crate::core::workload::event::VmRow;
use crate::core::workload::task::RunningTask;

/// Longest time that ends wait for the table before the VM is asked again all the same.
const UNNOTED_DELAY: Duration = Duration::from_millis(250);

/// Ends that a VM lists in one answer; with as many, runs may be missing from both lists.
const ENDS_IN_ANSWER: usize = 500;

/// Time beyond that of a stop after which a run that no list holds is taken to be gone.
const STOP_MARGIN: Duration = Duration::from_millis(100);

/// Time after a takeover from which on VMs that still have not answered are logged.
const SETTLING_NOTICE: Duration = Duration::from_millis(300);

/// Time between looks for leases that have lapsed.
const LEASE_CHECKS: Duration = Duration::from_millis(20);

/// Longest lease in true time, for one of its length on a VM's slow clock.
const LEASE_STRETCH: f64 = 1.03;

impl Placer {
    /// Takes what a VM says of itself in the table.
    pub(super) fn vm_seen(&mut self, cx: &mut Cx, row: VmRow) {
        let key = self.fleet.add(&row.id, &row.address, cx.now);
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        let (id, born, draining) = (row.id.clone(), row.started_ms, row.draining);
        let cpu_milli = row.capacity.cpu_milli;
        let known = vm.listed && vm.draining_since.is_some() == draining && vm.born == born;
        vm.describe(row, cx.now);
        if born > vm.born {
            let former = vm.born;
            if former == 0 {
                vm.born = born;
            } else {
                self.vm_reborn(cx, key, born);
            }
        }
        if !known {
            cx.log(Decision::VmSeen {
                vm: id,
                draining,
                born,
                cpu_milli,
            });
        }
        if draining {
            self.evacuate(cx, key);
        }
    }

    /// A VM's row was removed.
    pub(super) fn vm_unlisted(&mut self, id: &str) {
        if let Some((_, vm)) = self.fleet.by_id(id) {
            vm.listed = false;
        }
    }

    /// The table of VMs is about to be read whole.
    pub(super) fn unlist_all(&mut self) {
        for vm in self.fleet.vms.values_mut() {
            vm.listed = false;
        }
    }

    /// Sends the renewals that are due.
    pub(super) fn renew(&mut self, cx: &mut Cx) {
        if self.next_renewal().is_none_or(|at| cx.now < at) {
            return;
        }
        let hold_wait = self.hold_wait(cx);
        for key in self.fleet.keys() {
            let Some(vm) = self.fleet.vms.get_mut(&key) else {
                continue;
            };
            if vm.hold.sent.is_some() || cx.now < vm.hold.next_at {
                continue;
            }
            let options = &cx.options.vms;
            // A VM that does not answer is only looked at, so that its lease can lapse.
            let renews = vm.hold.misses == 0;
            let lease_end = vm.lease_from(cx.now, options.lease);
            let deadline_ms = lease_end.filter(|_| renews);
            vm.lease_end_ms = vm.lease_end_ms.max(deadline_ms.unwrap_or(0));
            let waits = vm.fenced && vm.noted_end == vm.seen_end && vm.hold.misses == 0;
            let wait = if waits { hold_wait } else { Duration::ZERO };
            vm.hold.sent = Some(cx.now);
            let renewal = RenewalId {
                vm: vm.id.clone(),
                sent: cx.now,
            };
            let req = Request::Renew {
                renewal,
                address: vm.address.clone(),
                epoch: self.owner.epoch,
                deadline_ms,
                ack: vm.noted_end,
                wait,
                timeout: wait + options.hold_margin,
            };
            cx.send(req);
        }
    }

    /// Time for which a renewal waits for an end: longer in a large fleet.
    pub(super) fn hold_wait(&self, cx: &Cx) -> Duration {
        let options = &cx.options.vms;
        let vms = u32::try_from(self.fleet.vms.len()).unwrap_or(u32::MAX);
        let wait = Duration::from_secs(1) * vms / options.renewals_per_second.max(1);
        wait.clamp(options.hold_wait, options.max_hold_wait)
    }

    /// When the next renewal is due.
    pub(super) fn next_renewal(&self) -> Option<Now> {
        let idle = self.fleet.vms.values().filter(|vm| vm.hold.sent.is_none());
        idle.fold(None, |at, vm| earliest(at, Some(vm.hold.next_at)))
    }

    /// Takes the answer to a renewal.
    pub(super) fn held(
        &mut self,
        cx: &mut Cx,
        renewal: &RenewalId,
        result: Result<RenewalReport, OrderError>,
    ) -> Lost {
        let (key, vm) = self.fleet.by_id(&renewal.vm)?;
        if vm.hold.sent == Some(renewal.sent) {
            vm.hold.sent = None;
        }
        match result {
            Ok(report) => self.reported(cx, key, renewal.sent, &report),
            Err(OrderError::Fenced) => return Some(format!("fenced by VM {}", renewal.vm).into()),
            Err(err) => self.missed(cx, key, &err),
        }
        None
    }

    /// Gives up what ran on VMs whose leases have lapsed unrenewed.
    pub(super) fn check_leases(&mut self, cx: &mut Cx) {
        if cx.now < self.leases_at {
            return;
        }
        self.leases_at = cx.now + LEASE_CHECKS;
        for key in self.fleet.keys() {
            let lapsed = self.fleet.vms.get(&key).is_some_and(|vm| {
                vm.hold.misses > 0 && !vm.runs.is_empty() && vm.has_lapsed(cx.now)
            });
            if lapsed {
                self.drop_runs(cx, key, "its lease lapsed");
            }
        }
        self.settle(cx);
        self.register(cx);
    }

    /// Notes when all that an earlier placer may have started is accounted for.
    fn settle(&mut self, cx: &mut Cx) {
        if self.settled {
            return;
        }
        let horizon = self.former_until + cx.options.vms.lease.mul_f64(LEASE_STRETCH);
        let unheard = |vm: &&Vm| !vm.fenced && vm.roster.is_inherited() && cx.now < horizon;
        let unheard = self.fleet.vms.values().filter(unheard);
        let vms: Box<[VmId]> = unheard.map(|vm| vm.id.clone()).collect();
        let took = cx.now.saturating_sub(self.taken_at);
        if vms.is_empty() {
            self.settled = true;
            cx.log(Decision::Settled {
                epoch: self.owner.epoch,
                took_ms: millis(took),
            });
            self.want_round(cx.now);
        } else if !self.settling_logged && took >= SETTLING_NOTICE {
            self.settling_logged = true;
            cx.log(Decision::Settling {
                epoch: self.owner.epoch,
                vms,
                latest_ms: millis(horizon.saturating_sub(cx.now)),
            });
        }
    }

    fn reported(&mut self, cx: &mut Cx, key: VmKey, sent: Now, report: &RenewalReport) {
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        if report.started_ms != 0 && vm.born != 0 && report.started_ms != vm.born {
            if report.started_ms < vm.born {
                return;
            }
            self.vm_reborn(cx, key, report.started_ms);
        }
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        if report.started_ms != 0 {
            vm.born = report.started_ms;
        }
        if !vm.fenced {
            vm.fenced = true;
            if vm.inherits_stops {
                vm.inherits_stops = false;
                vm.unclear_until = cx.now + cx.options.vms.stop_timeout + STOP_MARGIN;
            }
            self.round_at = Some(cx.now);
        }
        vm.clock = Some(ClockReading {
            ms: report.clock_ms,
            received: cx.now,
        });
        contact(cx, vm);
        for ended in report
            .ended
            .iter()
            .filter(|ended| ended.number > vm.seen_end)
        {
            self.pending_ends.push((key, ended.clone()));
        }
        let complete = report.ended.len() < ENDS_IN_ANSWER;
        self.take_ends(cx);
        self.reconcile(cx, key, sent, &report.running, complete);
        self.pace_fillers(cx, key);
        if let Some(vm) = self.fleet.vms.get_mut(&key) {
            let noted = vm.noted_end == vm.seen_end;
            let renewed = vm.lease_end_ms > report.clock_ms;
            let gap = cx.options.vms.hold_gap;
            vm.hold.next_at = match (renewed, noted) {
                (false, _) => cx.now,
                (true, true) => cx.now + gap,
                (true, false) => cx.now + UNNOTED_DELAY,
            };
        }
    }

    fn missed(&mut self, cx: &mut Cx, key: VmKey, err: &OrderError) {
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        vm.hold.misses += 1;
        vm.hold.next_at = cx.now + cx.options.vms.retry_delay;
        if vm.hold.misses == 1 {
            cx.log(Decision::VmContact {
                vm: vm.id.clone(),
                reachable: false,
                silent_ms: millis(cx.now.saturating_sub(vm.heard)),
                reason: format!("{err:?}").into(),
            });
        }
    }

    /// A VM has begun a new lifetime: nothing of the former one runs.
    fn vm_reborn(&mut self, cx: &mut Cx, key: VmKey, born: u64) {
        self.drop_runs(cx, key, "its VM started anew");
        if let Some(vm) = self.fleet.vms.get_mut(&key) {
            vm.reborn(born);
            vm.hold.next_at = cx.now;
        }
    }

    /// Forgets all runs of a VM; their tasks wait again.
    pub(super) fn drop_runs(&mut self, cx: &mut Cx, key: VmKey, reason: &'static str) {
        let Some(vm) = self.fleet.vms.get(&key) else {
            return;
        };
        let id = vm.id.clone();
        let mut runs: Vec<(TaskKey, u64)> = vm
            .runs
            .iter()
            .map(|(&task, run)| (task, run.number))
            .collect();
        runs.sort_unstable();
        for (task, run) in runs {
            if let Some(name) = self.book.name(task) {
                cx.log(Decision::RunLost {
                    id: name.job.clone(),
                    task: name.to_string().into(),
                    run,
                    vm: id.clone(),
                    reason,
                });
            }
            self.free(cx, key, task);
        }
    }

    /// Compares the runs that a VM lists with those that it should have.
    fn reconcile(
        &mut self,
        cx: &mut Cx,
        key: VmKey,
        sent: Now,
        listed: &[RunningTask],
        complete: bool,
    ) {
        for running in listed {
            self.listed_run(cx, key, running);
        }
        if !complete {
            return;
        }
        let Some(vm) = self.fleet.vms.get(&key) else {
            return;
        };
        let missing = vm.runs.iter().filter(|(task, run)| {
            let name = self.book.name(**task);
            let is_listed =
                |row: &RunningTask| Some(&row.task) == name.as_ref() && row.run == run.number;
            is_overdue(run, sent, cx) && !listed.iter().any(is_listed)
        });
        let mut missing: Vec<(TaskKey, Run)> = missing.map(|(&task, &run)| (task, run)).collect();
        missing.sort_unstable_by_key(|(task, _)| *task);
        for (task, run) in missing {
            match run.phase {
                // The start may still arrive: a stop of the same number makes it void.
                Phase::Starting | Phase::Unconfirmed | Phase::StopWanted(_) => {
                    self.order_stop(cx, key, task, "its start got no answer");
                }
                Phase::Running { .. } | Phase::Stopping { .. } => self.free(cx, key, task),
            }
        }
    }

    fn listed_run(&mut self, cx: &mut Cx, key: VmKey, row: &RunningTask) {
        let Some(task) = self.book.find(&row.task) else {
            return self.stop_stray(cx, key, row, "its job is unknown");
        };
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        if let Some(run) = vm.runs.get_mut(&task)
            && run.number == row.run
        {
            run.figure = row.figure;
            if matches!(run.phase, Phase::Starting | Phase::Unconfirmed) {
                run.phase = Phase::Running { since: cx.now };
                self.mark_started(cx, task);
            }
            if let Some(state) = self.book.task_mut(task)
                && !row.checkpoint.is_empty()
            {
                state.checkpoint.clone_from(&row.checkpoint);
            }
            return;
        }
        let open = self
            .book
            .jobs
            .get(&task.step.job)
            .is_some_and(super::book::Job::is_open);
        let waits = self
            .book
            .task(task)
            .is_some_and(|task| task.place == Place::Waiting);
        if open && waits {
            self.adopt(cx, key, task, row);
        } else {
            self.stop_stray(cx, key, row, "it is not to run there");
        }
    }
}

/// Whether a VM that does not list a run, in answer to a renewal sent at `sent`, would have listed
/// it if it had it.
fn is_overdue(run: &Run, sent: Now, cx: &Cx) -> bool {
    match run.phase {
        Phase::Starting | Phase::StopWanted(_) => false,
        Phase::Unconfirmed => sent > run.sent + cx.options.vms.order_timeout,
        Phase::Running { since } => sent > since,
        // A run that is being stopped may be in neither list, and takes its room until it ends.
        Phase::Stopping { acked, .. } => {
            acked.is_some_and(|acked| sent > acked + cx.options.vms.stop_timeout + STOP_MARGIN)
        }
    }
}

fn contact(cx: &mut Cx, vm: &mut Vm) {
    if vm.hold.misses > 0 {
        cx.log(Decision::VmContact {
            vm: vm.id.clone(),
            reachable: true,
            silent_ms: millis(cx.now.saturating_sub(vm.heard)),
            reason: "".into(),
        });
    }
    vm.hold.misses = 0;
    vm.heard = cx.now;
}
