//! Starts that are sent to VMs which were down before: no task is the cause of that.

use std::time::Duration;

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::submission::Step;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;

/// Number of times that a start is sent to a VM which is down, if the placer sends it.
const ROUNDS: usize = 5;

/// Time within which a start is sent to a VM, in milliseconds.
const START_MS: u64 = 1_500;

/// Time within which a run is lost with its VM or the new placer has settled, in milliseconds.
const LOSS_MS: u64 = 15_000;

/// Time within which the job completes once all VMs are up, in milliseconds.
const COMPLETION_MS: u64 = 12_000;

/// What is varied.
#[derive(Clone, Copy, Default)]
struct Case {
    /// Whether VMs return under new ids.
    new_ids: bool,
    /// Whether all daemons are restarted after each loss.
    restarts: bool,
    /// Whether a VM is back before the lease of the run is over.
    is_quick: bool,
    /// Changes the step.
    change: Option<fn(&mut Step)>,
}

fn count(harness: &Harness, matches: fn(&Decision) -> bool) -> usize {
    let decisions = harness.decisions.iter();
    decisions.filter(|decision| matches(decision)).count()
}

fn is_placed(decision: &Decision) -> bool {
    matches!(decision, Decision::Placed { .. })
}

fn is_crash(decision: &Decision) -> bool {
    matches!(
        decision,
        Decision::RunCrashed { .. } | Decision::StartUncertain { .. }
    )
}

fn is_loss(decision: &Decision) -> bool {
    matches!(decision, Decision::RunLost { .. })
}

fn is_settled(decision: &Decision) -> bool {
    matches!(decision, Decision::Settled { .. })
}

/// Runs the cell until more decisions match than have been seen; returns whether any did in time.
fn run_until(
    harness: &mut Harness,
    matches: fn(&Decision) -> bool,
    seen: usize,
    millis: u64,
) -> bool {
    let end = harness.now + Duration::from_millis(millis);
    while count(harness, matches) <= seen && harness.now < end {
        harness.run_for(1);
    }
    count(harness, matches) > seen
}

/// Crashes all VMs that are up.
fn crash_all(harness: &mut Harness) {
    let up = harness.vms.values().filter(|vm| vm.connected);
    let up: Vec<Box<str>> = up.map(|vm| vm.id.clone()).collect();
    for vm in up {
        harness.crash_vm_silently(&vm);
    }
}

/// Brings back the VMs that are down, but for one.
fn bring_back_all_but(harness: &mut Harness, kept: Option<&str>) {
    let down: Vec<Box<str>> = harness.silent_vms.iter().cloned().collect();
    for vm in down.iter().filter(|vm| Some(&***vm) != kept) {
        harness.bring_back(vm);
    }
}

fn last_placed_on(harness: &Harness) -> Box<str> {
    let mut decisions = harness.decisions.iter().rev();
    let vm = decisions.find_map(|decision| match decision {
        Decision::Placed { vm, .. } => Some(vm.clone()),
        _ => None,
    });
    vm.expect("a start")
}

/// Restarts all daemons and runs the cell until the new placer starts tasks. All VMs are down before,
/// and one remains so.
fn restart_daemons(harness: &mut Harness, down: &str) {
    crash_all(harness);
    harness.run_for(300);
    let settled = count(harness, is_settled);
    for daemon in 0..3 {
        harness.kill(daemon);
        harness.restart(daemon);
    }
    bring_back_all_but(harness, Some(down));
    assert!(run_until(harness, is_settled, settled, LOSS_MS));
}

/// Crashes all VMs before each start of a task reaches one.
fn assert_job_outlives_lost_starts(case: Case) {
    let mut harness = Harness::new(3, 3);
    harness.crashes.new_ids = case.new_ids;
    let mut spec = step(1, 500, &[]);
    if let Some(change) = case.change {
        change(&mut spec);
    }
    crash_all(&mut harness);
    assert_eq!(
        harness.submit(0, ID, job(vec![spec.clone()])),
        Reply::Accepted
    );
    let loss = if case.is_quick { is_crash } else { is_loss };
    let mut placed = 0;
    for _ in 0..ROUNDS {
        crash_all(&mut harness);
        if !run_until(&mut harness, is_placed, placed, START_MS) {
            break;
        }
        placed = count(&harness, is_placed);
        let losses = count(&harness, loss);
        let target = last_placed_on(&harness);
        harness.run_for(if case.is_quick { 300 } else { 1_000 });
        let kept = (!case.is_quick).then_some(&*target);
        bring_back_all_but(&mut harness, kept);
        assert!(run_until(&mut harness, loss, losses, LOSS_MS));
        if case.restarts {
            restart_daemons(&mut harness, &target);
        }
    }
    assert!(harness.starts.is_empty(), "{:?}", harness.starts);
    bring_back_all_but(&mut harness, None);
    harness.run_for(COMPLETION_MS);
    let daemon = harness.placer().expect("a placer");
    let expected = if spec.traits.long_running {
        JobState::Running
    } else {
        JobState::Completed
    };
    assert_eq!(harness.state(daemon, ID), Some(expected));
}

// Guards against a job that is given up for crashes of VMs that its starts have not reached.
cases! {
    assert_job_outlives_lost_starts;
    a_job_outlives_starts_that_reach_no_vm(Case::default()),
    a_job_outlives_starts_that_reach_no_vm_whose_id_changes(Case {
        new_ids: true,
        ..Case::default()
    }),
    a_job_outlives_starts_that_reach_no_vm_over_takeovers(Case {
        restarts: true,
        ..Case::default()
    }),
    a_job_outlives_starts_that_reach_no_vm_whose_id_changes_over_takeovers(Case {
        new_ids: true,
        restarts: true,
        ..Case::default()
    }),
    a_lasting_job_outlives_starts_that_reach_no_vm(Case {
        change: Some(|spec| spec.traits.long_running = true),
        ..Case::default()
    }),
    a_gang_outlives_starts_that_reach_no_vm(Case {
        change: Some(|spec| {
            spec.traits.gang = true;
            spec.count = 2;
        }),
        ..Case::default()
    }),
    a_job_outlives_starts_between_the_crashes_and_returns_of_vms(Case {
        is_quick: true,
        ..Case::default()
    }),
}

/// Guards against a gang of which some members are started while the VM of another is down.
#[test]
fn a_gang_starts_only_once_all_its_vms_have_answered() {
    let mut harness = Harness::new(3, 3);
    let mut spec = step(2, 2_000, &[]);
    spec.traits.gang = true;
    spec.max_per_vm = 1;
    crash_all(&mut harness);
    assert_eq!(harness.submit(0, ID, job(vec![spec])), Reply::Accepted);
    assert!(run_until(&mut harness, is_placed, 0, START_MS));
    assert!(run_until(&mut harness, is_loss, 0, LOSS_MS));
    bring_back_all_but(&mut harness, Some("vm-2"));
    while run_count(&mut harness) < 2 {
        harness.run_for(1);
    }
    // The checks have been sent, but not received.
    harness.crash_vm_silently("vm-1");
    harness.run_for(3_000);
    assert!(harness.starts.is_empty(), "{:?}", harness.starts);
    harness.bring_back("vm-1");
    harness.run_for(COMPLETION_MS);
    assert_eq!(harness.starts.len(), 2);
    let daemon = harness.placer().expect("a placer");
    assert_eq!(harness.state(daemon, ID), Some(JobState::Completed));
}

/// Returns the number of runs that the placer has assigned to VMs.
fn run_count(harness: &mut Harness) -> u64 {
    let daemon = harness.placer().expect("a placer");
    harness.status(daemon).placer.expect("a placer").runs
}

/// Guards against checks that go before each start, also of tasks without losses.
#[test]
fn tasks_without_losses_are_started_without_checks() {
    let mut harness = Harness::new(3, 3);
    let submission = job(vec![step(20, 500, &[])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(3_000);
    assert_eq!(harness.starts.len(), 20);
    assert!(harness.checks.is_empty());
}
