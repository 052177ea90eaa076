//! Lease renewals, and reconciliation of the placer's state with the running and ended runs that
//! VMs report in their answers.

use std::time::Duration;

use crate::core::model::Now;
use crate::core::model::VmId;
use crate::core::workload::cx::Cx;
use crate::core::workload::cx::millis;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::Request;
use crate::core::workload::event::OrderError;
use crate::core::workload::event::RenewalId;
use crate::core::workload::event::RenewalReport;
use crate::core::workload::event::VmRow;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::RoleLoss;
use crate::core::workload::placer::orders::STOP_MARGIN;
use crate::core::workload::placer::orders::authority::Authority;
use crate::core::workload::placer::orders::crashes::DroppedRun;
use crate::core::workload::placer::state::fleet::Reports;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::placer::state::fleet::VmKey;
use crate::core::workload::placer::state::job_registry::TaskKey;
use crate::core::workload::placer::state::lifetime::ClockReading;
use crate::core::workload::placer::state::lost_vms::Lifetime;
use crate::core::workload::placer::state::run::Run;

/// Largest difference between the wall clocks of a VM and of this host.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(3_600);

/// Longest delay of the next renewal while ended runs of the last report are not yet stored in the
/// table.
const STORE_WAIT: Duration = Duration::from_millis(250);

/// Largest number of ended runs in one report. A run may be missing from both lists of a full
/// report.
const MAX_ENDED_PER_REPORT: usize = 500;

/// Time after a takeover before the VMs that have not answered yet are logged.
const SETTLING_LOG_DELAY: Duration = Duration::from_millis(300);

/// Interval of checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Upper bound of the true duration of a lease relative to its duration on a VM's slow clock.
const LEASE_DRIFT_FACTOR: f64 = 1.03;

impl Placer {
    /// Applies a row of the VM table. A row with a start in the future is of another writer.
    pub(in crate::core::workload::placer) fn apply_vm_row(&mut self, cx: &mut Cx, row: VmRow) {
        if row.started_ms > millis(cx.unix_time + MAX_CLOCK_DIFFERENCE) {
            self.mark_vm_unlisted(&row.id);
            let reason = format!("start {} is in the future", row.started_ms).into();
            return cx.log(Decision::RowUnreadable {
                key: row.id,
                reason,
            });
        }
        let key = self.fleet.get_or_add(&row.id, &row.address, cx.now);
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        let (id, started_ms, draining) = (row.id.clone(), row.started_ms, row.draining);
        let cpu_milli = row.capacity.cpu_milli;
        let seen = Lifetime {
            vm: row.id.clone(),
            machine: row.machine.clone(),
            started_ms,
        };
        let is_unchanged =
            vm.listed && vm.draining_since.is_some() == draining && vm.started_ms == started_ms;
        let is_resized = vm.listed && vm.capacity != row.capacity;
        let is_new_start = vm.row_started_ms != started_ms;
        vm.apply_row(row, cx.now);
        if is_resized {
            cx.log(Decision::VmResized {
                vm: id.clone(),
                cpu_milli,
                mem_mib: vm.capacity.mem_mib,
                accel: vm.capacity.accel,
                used_cpu_milli: vm.used.cpu_milli,
                used_mem_mib: vm.used.mem_mib,
            });
        }
        if vm.started_ms == 0 && started_ms != 0 {
            vm.started_ms = started_ms;
            vm.lifetime_since = cx.now;
        } else if is_new_start && started_ms != 0 && started_ms != vm.started_ms {
            self.apply_row_start(cx, key, started_ms);
        }
        if !is_unchanged {
            self.record_crashes(cx, &seen, None);
            cx.log(Decision::VmSeen {
                vm: id,
                machine: seen.machine,
                draining,
                born: started_ms,
                cpu_milli,
            });
        }
        if draining {
            self.evacuate_vm(cx, key);
        }
    }

    /// Handles the removal of a VM's row, or a row that names no VM to use. Its runs go on, and its lease
    /// is renewed as before.
    pub(in crate::core::workload::placer) fn mark_vm_unlisted(&mut self, id: &str) {
        if let Some((_, vm)) = self.fleet.by_id(id) {
            vm.listed = false;
        }
    }

    /// Marks all VMs as not listed, before a snapshot of the VM table is applied.
    pub(in crate::core::workload::placer) fn mark_all_vms_unlisted(&mut self) {
        for vm in self.fleet.vms.values_mut() {
            vm.listed = false;
        }
    }

    /// Sends the renewals that are due. Without the authority of the role, they only read the reports.
    pub(in crate::core::workload::placer) fn send_renewals(
        &mut self,
        cx: &mut Cx,
        has_authority: bool,
    ) {
        let renewal_wait = self.renewal_wait(cx);
        let may_wait = !self.needs_confirmations(cx);
        for key in self.fleet.due_renewals(cx.now) {
            self.fleet.begin_renewal(key, cx.now);
            let Some(vm) = self.fleet.vms.get_mut(&key) else {
                continue;
            };
            let options = &cx.options.vms;
            // A VM that failed to answer is polled without renewing its lease, so that the lease
            // can expire.
            let renews = has_authority && vm.renewal.failures == 0;
            let lease_end = vm.lease_deadline_ms(cx.now, options.lease);
            let deadline_ms = lease_end.filter(|_| renews);
            if let Some(deadline_ms) = deadline_ms {
                vm.record_deadline(cx.now, deadline_ms);
            }
            let is_stored = vm.stored_seq == vm.processed_seq;
            let waits = may_wait
                && vm.reports == Reports::Complete
                && is_stored
                && vm.row_start_at.is_none()
                && vm.renewal.failures == 0;
            let wait = if waits {
                vm.stall.limit_wait(cx.now, renewal_wait)
            } else {
                Duration::ZERO
            };
            let renewal = RenewalId {
                vm: vm.id.clone(),
                sent: cx.now,
            };
            let req = Request::Renew {
                renewal,
                address: vm.address.clone(),
                epoch: self.owner.epoch,
                deadline_ms,
                ack: vm.acknowledgement(),
                wait,
                timeout: wait + options.renewal_margin,
            };
            cx.send(req);
        }
    }

    /// Returns the longest time for which a VM delays its answer until a run ends (long poll). It
    /// grows with the number of VMs, to bound the rate of renewals.
    pub(in crate::core::workload::placer) fn renewal_wait(&self, cx: &Cx) -> Duration {
        let options = &cx.options.vms;
        let vms = u32::try_from(self.fleet.vms.len()).unwrap_or(u32::MAX);
        let wait = Duration::from_secs(1) * vms / options.renewals_per_second.max(1);
        wait.clamp(options.renewal_wait, options.max_renewal_wait)
    }

    /// Handles the answer to a renewal.
    pub(in crate::core::workload::placer) fn handle_renewal_answer(
        &mut self,
        cx: &mut Cx,
        renewal: &RenewalId,
        result: Result<RenewalReport, OrderError>,
    ) -> RoleLoss {
        let key = self.fleet.key(&renewal.vm)?;
        let is_pending = self.fleet.end_renewal(key, renewal.sent);
        match result {
            Ok(report) => self.apply_report(cx, key, renewal.sent, &report),
            Err(OrderError::Fenced) => return Some(format!("fenced by VM {}", renewal.vm).into()),
            // The VM has restarted since an abandoned call was sent.
            Err(_) if !is_pending => {}
            Err(err) => {
                self.take_row_start(cx, key);
                self.record_renewal_failure(cx, key, &err);
            }
        }
        None
    }

    /// Drops the runs of VMs that do not answer and whose leases have expired, unless another placer
    /// may have renewed the leases.
    pub(in crate::core::workload::placer) fn expire_leases(&mut self, cx: &mut Cx) {
        if cx.now < self.next_lease_check_at {
            return;
        }
        self.next_lease_check_at = cx.now + LEASE_CHECK_INTERVAL;
        if !self.may_be_replaced(cx) {
            self.drop_runs_of_expired_leases(cx);
        }
        self.check_settled(cx);
        self.update_roster(cx);
    }

    fn drop_runs_of_expired_leases(&mut self, cx: &mut Cx) {
        let now = cx.now;
        let longest_order = self.longest_order(cx);
        let is_expired = |vm: &Vm| vm.is_lease_expired(now) || vm.is_unreported_lease_expired(now);
        let is_lost = |vm: &Vm| vm.renewal.failures > 0 && !vm.runs.is_empty() && is_expired(vm);
        for key in self.fleet.select(is_lost, usize::MAX) {
            let vm = &self.fleet.vms[&key];
            let is_any_over = now > vm.deadline_sent_at + longest_order;
            let is_over = |run: &Run| is_any_over || !run.may_be_in_unknown_lifetime();
            self.drop_lost_runs(cx, key, "lease expired", is_over);
        }
    }

    /// Returns the longest time from the sending of an order or a renewal to the end of the lease that it
    /// may give to a lifetime of the VM whose clock the placer does not know.
    pub(super) fn longest_order(&self, cx: &Cx) -> Duration {
        let options = &cx.options.vms;
        let renewal_timeout = self.renewal_wait(cx) + options.renewal_margin;
        let arrival = options.order_timeout.max(renewal_timeout);
        arrival + options.max_lease.mul_f64(LEASE_DRIFT_FACTOR)
    }

    /// Returns whether another daemon may have taken over: the table has confirmed no write for half
    /// of the time after which that is due at the latest.
    fn may_be_replaced(&self, cx: &Cx) -> bool {
        cx.now >= self.last_commit_sent_at + cx.options.placer.takeover_after / 2
    }

    /// Checks whether every run that an earlier placer may have started is accounted for: each VM
    /// in the roster has listed all its runs to this epoch, or its lease must have expired; and the
    /// runs that an earlier placer was stopping, whose tasks may start again, have ended.
    fn check_settled(&mut self, cx: &mut Cx) {
        if self.settled {
            return;
        }
        self.record_fenced_share(cx.now);
        let former_stops_at = self.former_stops_at();
        let expiry = former_stops_at + cx.options.vms.lease.mul_f64(LEASE_DRIFT_FACTOR);
        let foreign_expiry = former_stops_at + self.longest_order(cx);
        let is_pending = |vm: &&Vm| {
            let is_lost = if vm.is_fenced() {
                vm.renewal.failures > 0 && vm.is_lease_expired(cx.now)
            } else if vm.has_restarted_lately(cx.unix_time) {
                cx.now >= foreign_expiry
            } else {
                cx.now >= expiry
            };
            let is_unknown = vm.roster_state.is_inherited() && vm.reports != Reports::Complete;
            is_unknown && !is_lost || cx.now < vm.inherited_stops_until
        };
        let pending = self.fleet.vms.values().filter(is_pending);
        let vms: Box<[VmId]> = pending.map(|vm| vm.id.clone()).collect();
        let took = cx.now.saturating_sub(self.granted_at);
        if vms.is_empty() {
            self.settled = true;
            cx.log(Decision::Settled {
                epoch: self.owner.epoch,
                took_ms: millis(took),
            });
            self.schedule_round(cx.now);
        } else if !self.settling_logged && took >= SETTLING_LOG_DELAY {
            self.settling_logged = true;
            cx.log(Decision::Settling {
                epoch: self.owner.epoch,
                vms,
                latest_ms: millis(expiry.saturating_sub(cx.now)),
            });
        }
    }

    /// Applies a report: the VM's lifetime and clock, then the ended runs, then the running tasks.
    fn apply_report(&mut self, cx: &mut Cx, key: VmKey, sent: Now, report: &RenewalReport) {
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        let is_known = report.started_ms == 0 || report.started_ms == vm.started_ms;
        if !is_known && vm.started_ms != 0 {
            if !vm.is_after_known_lifetime(sent) {
                return self.ignore_report(cx, key, report.started_ms);
            }
            self.begin_vm_lifetime(cx, key, report.started_ms, "report");
        }
        if report.started_ms == 0 {
            self.take_row_start(cx, key);
        }
        self.refute_row_start(cx, key, sent);
        self.record_lifetime_of(cx, key, sent, report);
        let longest_lease = cx.options.vms.max_lease.mul_f64(LEASE_DRIFT_FACTOR);
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        if report.started_ms != 0 {
            vm.started_ms = report.started_ms;
        }
        if !vm.is_fenced() {
            vm.reports = Reports::Incomplete;
            if vm.roster_state.is_inherited() && vm.has_restarted_lately(cx.unix_time) {
                vm.foreign_lease_until = cx.now + longest_lease;
            }
            if vm.inherits_stops {
                vm.inherits_stops = false;
                vm.inherited_stops_until = cx.now + cx.options.vms.stop_timeout + STOP_MARGIN;
                vm.capacity_uncertain_until = vm.inherited_stops_until;
            }
            self.next_round_at = Some(cx.now);
        }
        vm.clock = Some(ClockReading {
            ms: report.clock_ms,
            requested_at: sent,
            received_at: cx.now,
        });
        vm.report_connection = Some(report.connection);
        vm.confirmed_at = vm.confirmed_at.max(sent);
        record_contact(cx, vm);
        vm.stall.reported_to = sent;
        for ended in report
            .ended
            .iter()
            .filter(|ended| ended.seq > vm.processed_seq)
        {
            self.pending_ended_tasks.push((key, ended.clone()));
        }
        let last_seq = report.ended.iter().map(|ended| ended.seq).max();
        vm.processed_seq = vm.processed_seq.max(last_seq.unwrap_or(0));
        let is_complete = report.ended.len() < MAX_ENDED_PER_REPORT;
        if is_complete {
            vm.reports = Reports::Complete;
        }
        self.process_ended_tasks(cx);
        self.missing.clear_runs(key);
        self.reconcile(cx, key, sent, &report.running, is_complete);
        self.update_uncounted_runs(key, is_complete);
        self.throttle_fillers(cx, key);
        let next_at = self.next_renewal_at(cx, key, sent);
        self.fleet.schedule_renewal(key, next_at);
    }

    /// Returns the time of the renewal of a VM that follows an answered one, which was sent at `sent`.
    fn next_renewal_at(&self, cx: &Cx, key: VmKey, sent: Now) -> Now {
        let Some(vm) = self.fleet.vms.get(&key) else {
            return cx.now;
        };
        let gap = cx.options.vms.renewal_gap;
        let has_lease = vm.clock.is_some_and(|clock| vm.lease_end_ms > clock.ms);
        if self.needs_confirmations(cx) && (has_lease || self.authority == Authority::Suspended) {
            let interval = cx.options.confirmation_interval(self.fleet.vms.len());
            return (sent + interval).max(cx.now + gap);
        }
        let is_stored = vm.stored_seq == vm.processed_seq;
        match (has_lease, is_stored) {
            (false, _) => cx.now,
            (true, true) => cx.now + gap,
            (true, false) => cx.now + STORE_WAIT,
        }
    }

    fn record_renewal_failure(&mut self, cx: &mut Cx, key: VmKey, err: &OrderError) {
        let Some(vm) = self.fleet.vms.get_mut(&key) else {
            return;
        };
        vm.renewal.failures += 1;
        if vm.renewal.failures == 1 {
            cx.log(Decision::VmContact {
                vm: vm.id.clone(),
                reachable: false,
                silent_ms: millis(cx.now.saturating_sub(vm.last_answer_at)),
                reason: format!("{err:?}").into(),
            });
        }
        let retry_at = cx.now + cx.options.vms.retry_delay;
        self.fleet.schedule_renewal(key, retry_at);
    }

    /// Drops the runs of a VM that match and requeues their tasks. Returns the runs.
    pub(in crate::core::workload::placer) fn drop_runs(
        &mut self,
        cx: &mut Cx,
        key: VmKey,
        reason: &'static str,
        matches: impl Fn(&Run) -> bool,
    ) -> Vec<DroppedRun> {
        let Some(vm) = self.fleet.vms.get(&key) else {
            return Vec::new();
        };
        let id = vm.id.clone();
        let mut runs: Vec<(TaskKey, Run, Duration)> = vm
            .runs
            .iter()
            .filter(|(_, run)| matches(run))
            .map(|(&task, &run)| (task, run, vm.reported_age(&run)))
            .collect();
        runs.sort_unstable_by_key(|(task, _, _)| *task);
        let mut dropped = Vec::with_capacity(runs.len());
        for (task, run, age) in runs {
            if let Some(name) = self.registry.task_name(task) {
                cx.log(Decision::RunLost {
                    id: name.job.clone(),
                    task: name.to_string().into(),
                    run: run.number,
                    vm: id.clone(),
                    reason,
                    age_ms: millis(age),
                });
                dropped.push(DroppedRun { task, name, run });
            }
            self.release_and_requeue(cx, key, task);
        }
        dropped
    }
}

/// Records that a VM has answered, and logs it if renewals had failed before.
fn record_contact(cx: &mut Cx, vm: &mut Vm) {
    if vm.renewal.failures > 0 {
        vm.stall.contact_since = cx.now;
        cx.log(Decision::VmContact {
            vm: vm.id.clone(),
            reachable: true,
            silent_ms: millis(cx.now.saturating_sub(vm.last_answer_at)),
            reason: "".into(),
        });
    }
    vm.renewal.failures = 0;
    vm.unanswered_since = None;
    vm.last_answer_at = cx.now;
}
