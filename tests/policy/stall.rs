//! Detection of hung VMs while the others work through a burst.

use std::time::Duration;

use ragwortstall::core::workload::policy::estimates::RunTimeEstimates;
use ragwortstall::core::workload::policy::stall::OverdueRun;
use ragwortstall::core::workload::policy::stall::VmView;
use ragwortstall::core::workload::policy::stall::new_suspects;
use ragwortstall::core::workload::policy::stall::overdue_age;

/// Declared run time of the tasks of a burst.
const DECLARED: Duration = Duration::from_millis(640);

/// Returns a VM with one run for each of these jobs and ages in milliseconds, of which those are
/// kept that are overdue. No run has ended there.
fn vm(vm: u32, expected: Duration, runs: &[(u32, u64)]) -> VmView {
    let runs = runs.iter().map(|&(job, age)| OverdueRun {
        job,
        age: Duration::from_millis(age),
        expected,
    });
    VmView {
        vm,
        overdue: runs.filter(|run| run.age > overdue_age(expected)).collect(),
        since_last_end: None,
        answers: true,
        suspect: false,
    }
}

/// Guards against a hung VM that keeps the tasks of a burst, while runs on the other VMs end.
#[test]
fn hung_vms_among_healthy_ones_are_suspect() {
    let mut vms: Vec<VmView> = (0..300)
        .map(|key| {
            let mut healthy = vm(key, DECLARED, &[(1, 1_900), (2, 1_800)]);
            healthy.since_last_end = Some(Duration::from_millis(100));
            healthy
        })
        .collect();
    for key in [7, 80, 211] {
        vms[key].since_last_end = Some(Duration::from_secs(3));
    }
    let mut suspects = new_suspects(&vms, 350, 0);
    suspects.sort_unstable();
    assert_eq!(suspects, [7, 80, 211]);
}

/// Guards against VMs that get no tasks because one job takes longer than declared.
#[test]
fn a_job_that_takes_long_everywhere_makes_no_vm_suspect() {
    let vms: Vec<VmView> = (0..100)
        .map(|key| vm(key, DECLARED, &[(1, 9_000), (1, 8_000), (2, 500)]))
        .collect();
    assert!(new_suspects(&vms, 100, 0).is_empty());
}

/// Guards against runs that are stopped for nothing after submitters have declared half of the run
/// time for a whole queue.
#[test]
fn estimates_that_are_half_of_the_run_time_make_no_vm_suspect() {
    let queue = "batch".into();
    let mut estimates = RunTimeEstimates::default();
    for _ in 0..20 {
        estimates.record(&queue, DECLARED, DECLARED * 2);
    }
    let expected = estimates.expected(&queue, DECLARED).expect("enough runs");
    let age = DECLARED * 9 / 2;
    let age = u64::try_from(age.as_millis()).expect("a short run");
    let vms: Vec<VmView> = (0..100)
        .map(|key| vm(key, expected, &[(1, age), (2, age)]))
        .collect();
    assert!(new_suspects(&vms, 100, 0).is_empty());
}

/// Guards against a fleet without usable VMs when all of them are slow for a common reason. Those
/// without progress for longest are suspect.
#[test]
fn at_most_a_tenth_of_the_vms_are_suspect() {
    let vms: Vec<VmView> = (0..60)
        .map(|key| {
            let age = 3_000 + u64::from(key);
            vm(key, DECLARED, &[(1, age), (2, age)])
        })
        .collect();
    assert_eq!(new_suspects(&vms, 100, 7), [59, 58, 57]);
    assert!(new_suspects(&vms, 100, 10).is_empty());
    assert_eq!(new_suspects(&vms, 5, 0).len(), 1);
}

/// Names a VM with two overdue runs that is not suspect.
macro_rules! unsuspicious {
    ($($name:ident: $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut view = vm(1, DECLARED, &[(1, 3_000), (2, 2_900)]);
            assert_eq!(new_suspects(&[view.clone()], 10, 0), [1]);
            let change: fn(&mut VmView) = $change;
            change(&mut view);
            assert!(new_suspects(&[view], 10, 0).is_empty());
        }
    )*};
}

unsuspicious! {
    a_vm_that_recovers_is_not_suspect: |vm| vm.since_last_end = Some(Duration::from_millis(50));
    a_vm_that_fails_what_it_starts_is_not_suspect: |vm| vm.since_last_end = Some(Duration::ZERO);
    a_silent_vm_is_left_to_its_lease: |vm| vm.answers = false;
    a_vm_is_suspect_once: |vm| vm.suspect = true;
    a_single_overdue_run_is_no_evidence: |vm| vm.overdue.truncate(1);
}

/// Guards against short tasks that are overdue after a delay of their report.
#[test]
fn a_short_run_is_overdue_after_a_second_at_the_earliest() {
    assert_eq!(
        overdue_age(Duration::from_millis(20)),
        Duration::from_millis(1_020)
    );
    assert_eq!(overdue_age(Duration::from_secs(4)), Duration::from_secs(10));
}
