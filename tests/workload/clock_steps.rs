//! VMs that restart under their ids after the time of day of their machine was set back, so that the new
//! lifetime starts before the former one by the VM's clock.

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::submission::Step;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;
use crate::terms::Daemon;
use crate::vm::SimVm;

/// The only VM.
const VM: &str = "vm-0";

/// Job that comes after a restart.
const SECOND_ID: &str = "00000000000000b1";

/// Difference that a different order of messages makes.
const TOLERANCE: Duration = Duration::from_millis(20);

/// Interval between two ticks.
const TICK: Duration = Duration::from_millis(20);

/// Largest number of renewals of a VM in a second.
const MAX_RENEWALS: usize = 30;

fn vm(harness: &mut Harness) -> &mut SimVm {
    harness.vms.get_mut(VM).expect("a VM")
}

/// Returns a cell with one VM, whose start is a time of day.
fn cell() -> Harness {
    let mut harness = Harness::new(2, 1);
    vm(&mut harness).restart();
    harness.write_vm_rows();
    harness.run_for(2_000);
    harness
}

fn submit(harness: &mut Harness, id: &str, spec: Step) {
    let daemon = (0..2).find(|&daemon| harness.is_up(daemon));
    let reply = harness.submit(daemon.expect("a daemon"), id, job(vec![spec]));
    assert_eq!(reply, Reply::Accepted);
}

fn ordinary() -> Step {
    step(1, 5_000, &[])
}

fn standing() -> Step {
    let mut spec = step(1, 60_000, &[]);
    spec.traits.long_running = true;
    spec
}

/// Runs a task on the VM, which restarts then, and returns the time until the task starts again.
fn time_to_start_again(spec: Step, writes_row: bool, restart: fn(&mut SimVm)) -> Duration {
    let mut harness = cell();
    submit(&mut harness, ID, spec);
    harness.run_for(1_500);
    assert_eq!(harness.starts.len(), 1);
    restart(vm(&mut harness));
    let restarted_at = harness.now;
    if writes_row {
        harness.write_vm_rows();
    }
    harness.run_for(12_000);
    assert_eq!(harness.starts.len(), 2, "{:?}", harness.decisions);
    harness.starts[1].0.saturating_sub(restarted_at)
}

fn assert_starts_again_in_time(spec: fn() -> Step, writes_row: bool) {
    let normal = time_to_start_again(spec(), writes_row, SimVm::restart);
    let restart = SimVm::restart_with_clock_set_back;
    let set_back = time_to_start_again(spec(), writes_row, restart);
    assert!(set_back <= normal + TOLERANCE, "{set_back:?}, {normal:?}");
}

// Guard against tasks that never run again, as their VM has restarted with a lower start.
cases! {
    assert_starts_again_in_time;
    an_ordinary_task_starts_again_after_a_report(ordinary, false),
    an_ordinary_task_starts_again_after_a_row(ordinary, true),
    a_standing_task_starts_again_after_a_report(standing, false),
    a_standing_task_starts_again_after_a_row(standing, true),
}

/// Guards against a VM that is never used again, and that is asked without a pause.
#[test]
fn a_vm_that_restarts_with_a_lower_start_gets_tasks() {
    let mut harness = cell();
    vm(&mut harness).restart_with_clock_set_back();
    harness.write_vm_rows();
    harness.run_for(1_000);
    let renewals = harness.renewals;
    harness.run_for(1_000);
    let renewals = harness.renewals - renewals;
    assert!(renewals <= MAX_RENEWALS, "{renewals} renewals");
    submit(&mut harness, ID, step(4, 100, &[]));
    harness.run_for(1_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 4);
}

/// Guards against tasks that a new placer, which has read the row of the former lifetime, never starts
/// again.
#[test]
fn a_new_placer_starts_the_tasks_of_a_vm_with_a_lower_start() {
    let mut harness = cell();
    submit(&mut harness, ID, ordinary());
    harness.run_for(500);
    vm(&mut harness).restart_with_clock_set_back();
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.run_for(20_000);
    let placer = harness.placer().expect("a placer");
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 2);
}

/// Guards against a crash that is not counted, so that a task goes on to crash VMs.
#[test]
fn a_crash_before_a_lower_start_is_counted() {
    let mut harness = cell();
    submit(&mut harness, ID, ordinary());
    harness.run_for(500);
    vm(&mut harness).restart_with_clock_set_back();
    harness.run_for(3_000);
    let is_crash = |decision: &&Decision| matches!(decision, Decision::RunCrashed { .. });
    assert_eq!(harness.decisions.iter().filter(is_crash).count(), 1);
}

/// Guards against the same if the VM returns under a new id on its machine.
#[test]
fn a_crash_before_a_lower_start_under_a_new_id_is_counted() {
    let mut harness = cell();
    harness.crashes.new_ids = true;
    submit(&mut harness, ID, ordinary());
    harness.run_for(500);
    harness.crash_vm(VM);
    // The start of the VM that returns is the next millisecond.
    vm(&mut harness).started_ms -= 2_000;
    harness.run_for(12_000);
    let is_crash = |decision: &&Decision| matches!(decision, Decision::RunCrashed { .. });
    assert_eq!(harness.decisions.iter().filter(is_crash).count(), 1);
}

/// Returns the start in an entry of the VM from another one.
type OtherStart = fn(u64) -> u64;

/// Asserts that the runs on a VM in use go on, and start nowhere else, when its row is replaced by an
/// entry with another start: a late one of a former lifetime, or one of another writer.
fn assert_vm_in_use_is_kept(restart: fn(&mut SimVm), other_start: OtherStart) {
    let mut harness = cell();
    restart(vm(&mut harness));
    harness.write_vm_rows();
    harness.run_for(1_000);
    submit(&mut harness, ID, ordinary());
    harness.run_for(500);
    let mut row = harness.vms[VM].row();
    row.started_ms = other_start(row.started_ms);
    harness.table.version += 1;
    let version = harness.table.version;
    harness.pending_vm_rows.push((version, FeedRow::Vm(row)));
    harness.run_for(2_000);
    submit(&mut harness, SECOND_ID, step(1, 100, &[]));
    harness.run_for(4_000);
    assert_eq!(harness.state(0, ID), Some(JobState::Completed));
    assert_eq!(harness.state(0, SECOND_ID), Some(JobState::Completed));
    let ids: Vec<&str> = harness.starts.iter().map(|start| &*start.1.job).collect();
    assert_eq!(ids, [ID, SECOND_ID]);
    let is_lost = |decision: &&Decision| {
        matches!(
            decision,
            Decision::RunLost { .. } | Decision::RunCrashed { .. }
        )
    };
    assert_eq!(harness.decisions.iter().filter(is_lost).count(), 0);
    let is_ignored = |decision: &&Decision| matches!(decision, Decision::VmLifetimeIgnored { .. });
    assert_eq!(harness.decisions.iter().filter(is_ignored).count(), 1);
}

// Guard against a task that starts again while its run goes on.
cases! {
    assert_vm_in_use_is_kept;
    an_entry_with_a_lower_start_ends_no_lifetime(SimVm::restart, |start| start - 500),
    an_entry_with_a_higher_start_ends_no_lifetime(SimVm::restart, |start| start + 1_000),
    an_entry_with_a_lower_start_ends_no_lifetime_after_a_clock_step(
        SimVm::restart_with_clock_set_back,
        |start| start - 500
    ),
    an_entry_with_a_higher_start_ends_no_lifetime_after_a_clock_step(
        SimVm::restart_with_clock_set_back,
        |start| start + 1_000
    ),
}

/// Returns the starts of the lifetimes that were taken for new ones, and of those that were ignored.
fn logged_starts(daemon: &Daemon) -> (Vec<u64>, Vec<u64>) {
    let lines = daemon.decisions.iter();
    let taken = lines.clone().filter_map(|line| match line {
        Decision::VmRestarted { born, .. } => Some(*born),
        _ => None,
    });
    let ignored = lines.filter_map(|line| match line {
        Decision::VmLifetimeIgnored { born, .. } => Some(*born),
        _ => None,
    });
    (taken.collect(), ignored.collect())
}

fn take_renewal(daemon: &mut Daemon) -> Request {
    for _ in 0..50 {
        daemon.tick(TICK);
    }
    daemon.take(|req| matches!(req, Request::Renew { .. }))
}

/// Guards against a late report of a former lifetime that is taken for one of a new lifetime, in either
/// order of their starts: the runs of the present one would start again elsewhere.
fn late_report_is_ignored(former: u64, present: u64) {
    let mut daemon = Daemon::new();
    daemon.claim(None);
    daemon.load(&[]);
    let mut vm = SimVm::new(VM, Resources::new(16_000, 64_000, 0, u32::MAX));
    vm.started_ms = former;
    daemon.answer_feed(Feed::Vms, vec![FeedRow::Vm(vm.row())]);
    let req = take_renewal(&mut daemon);
    daemon.report_of_lifetime(&req, former, Duration::ZERO);
    let late = take_renewal(&mut daemon);
    vm.started_ms = present;
    let restarted_at = daemon.now();
    daemon.answer_feed(Feed::Vms, vec![FeedRow::Vm(vm.row())]);
    let req = take_renewal(&mut daemon);
    daemon.report_of_lifetime(&req, present, restarted_at);
    assert_eq!(logged_starts(&daemon), (vec![present], vec![]));
    let req = take_renewal(&mut daemon);
    daemon.report_of_lifetime(&late, former, Duration::ZERO);
    daemon.report_of_lifetime(&late, former, Duration::ZERO);
    daemon.report_of_lifetime(&req, present, restarted_at);
    let req = take_renewal(&mut daemon);
    daemon.report_of_lifetime(&req, present, restarted_at);
    assert_eq!(logged_starts(&daemon), (vec![present], vec![former]));
}

cases! {
    late_report_is_ignored;
    a_late_report_of_a_lifetime_with_a_lower_start_is_ignored(8_000, 10_000),
    a_late_report_of_a_lifetime_with_a_higher_start_is_ignored(10_000, 8_000),
}
