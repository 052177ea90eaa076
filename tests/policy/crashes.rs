//! Policy for tasks under which VMs have crashed.

use std::time::Duration;

use ragwortstall::core::workload::policy::crashes::Caution;
use ragwortstall::core::workload::policy::crashes::Losses;
use ragwortstall::core::workload::policy::crashes::MAX_KEPT_CRASHES;
use ragwortstall::core::workload::policy::crashes::MAX_LASTING_ALONE_WAIT;
use ragwortstall::core::workload::policy::crashes::is_given_up;
use ragwortstall::core::workload::policy::crashes::is_outage;
use ragwortstall::core::workload::policy::crashes::max_alone;
use ragwortstall::core::workload::policy::crashes::max_clearing;
use ragwortstall::core::workload::policy::crashes::start_interval;

use crate::support::cases;

/// Largest number of starts of a task after three VMs have crashed under it.
const MAX_LATER_STARTS: usize = 2;

fn assert_caution(crashes: usize, losses: usize, expected: Caution) {
    let losses = Losses {
        count: losses,
        in_outage: false,
        uncertain: false,
    };
    assert_eq!(Caution::new(crashes, losses), expected);
}

// Guards against tasks that crash together being placed together again.
cases! {
    assert_caution;
    a_task_without_crashes_is_placed_like_any_other(0, 0, Caution::None),
    a_task_is_placed_apart_after_a_crash(1, 0, Caution::Apart),
    a_task_is_placed_alone_after_two_crashes(2, 0, Caution::Alone),
    a_task_stays_alone_after_more_crashes(3, 0, Caution::Alone),
}

// Guards against tasks that start together again before the crash of their VM is known, and against
// a task that starts again and again while the returns of its VMs are not known.
cases! {
    assert_caution;
    a_task_of_a_lost_vm_is_placed_apart(0, 1, Caution::Apart),
    a_task_of_two_lost_vms_is_placed_apart(0, 2, Caution::Apart),
    a_task_is_placed_alone_after_a_crash_and_a_loss(1, 1, Caution::Alone),
    a_task_is_held_after_three_losses(0, 3, Caution::Hold),
    a_task_is_held_after_two_crashes_and_a_loss(2, 1, Caution::Hold),
}

fn assert_lasting_caution(crashes: usize, losses: usize, expected: Caution) {
    let losses = Losses {
        count: losses,
        in_outage: false,
        uncertain: false,
    };
    assert_eq!(Caution::for_lasting_task(crashes, losses), expected);
}

// Guards against a lasting task that is kept off all VMs until it is known whether its VMs have crashed,
// and against one that crashes others with it.
cases! {
    assert_lasting_caution;
    a_lasting_task_without_crashes_is_placed_like_any_other(0, 0, Caution::None),
    a_lasting_task_is_placed_apart_after_a_crash(1, 0, Caution::Apart),
    a_lasting_task_is_placed_alone_after_two_crashes(2, 0, Caution::Alone),
    a_lasting_task_is_placed_alone_after_three_losses(0, 3, Caution::Alone),
    a_lasting_task_is_placed_alone_after_two_crashes_and_a_loss(2, 1, Caution::Alone),
}

/// Guards against a lasting task that is started again and again without a pause, and against one that
/// has to run again within 6 s and waits for longer.
#[test]
fn starts_of_a_lasting_task_are_kept_apart_with_each_crash() {
    assert_eq!(start_interval(1), Duration::ZERO);
    for crashes in 2..=MAX_KEPT_CRASHES {
        assert!(start_interval(crashes) > start_interval(crashes - 1));
    }
    let longest = start_interval(MAX_KEPT_CRASHES);
    assert_eq!(start_interval(1_000), longest);
    assert!(longest + MAX_LASTING_ALONE_WAIT < Duration::from_secs(6));
}

fn assert_caution_with_uncertain_loss(crashes: usize, losses: usize, expected: Caution) {
    for in_outage in [false, true] {
        let losses = Losses {
            count: losses,
            in_outage: in_outage && losses > 0,
            uncertain: true,
        };
        assert_eq!(Caution::new(crashes, losses), expected);
    }
}

// Guards against a task that waits or takes room as if it had crashed VMs, although none of its starts
// may have reached one, and against further starts of which the same is true.
cases! {
    assert_caution_with_uncertain_loss;
    a_task_with_an_uncertain_loss_is_checked(0, 0, Caution::Checked),
    a_task_with_a_crash_and_an_uncertain_loss_is_placed_apart(1, 0, Caution::Apart),
    a_task_with_two_crashes_and_an_uncertain_loss_is_placed_alone(2, 0, Caution::Alone),
    a_task_with_three_losses_and_an_uncertain_one_is_held(0, 3, Caution::Hold),
}

/// Guards against a job that fails for crashes of VMs that its starts may not have reached.
#[test]
fn an_uncertain_crash_counts_only_beside_three_others() {
    assert!(!is_given_up(0, true, true));
    assert!(!is_given_up(2, true, true));
    assert!(is_given_up(3, true, false));
}

/// Guards against the tasks of a zone that is cut off being placed as if they had crashed their VMs.
#[test]
fn losses_in_an_outage_do_not_affect_the_choice_of_the_vm() {
    let losses = |count| Losses {
        count,
        in_outage: true,
        uncertain: false,
    };
    assert_eq!(Caution::new(0, losses(1)), Caution::None);
    assert_eq!(Caution::new(0, losses(3)), Caution::Hold);
    assert_eq!(Caution::new(1, losses(0)), Caution::Apart);
    assert!(is_outage(12, 48) && !is_outage(11, 48));
}

/// Guards against jobs that fail for a crash that another task may have caused.
#[test]
fn two_crashes_are_no_proof_and_three_only_without_other_runs() {
    assert!(!is_given_up(2, false, true));
    assert!(!is_given_up(3, false, false));
    assert!(is_given_up(3, false, true));
}

/// Guards against a task that is started too often, as each of its VMs runs other tasks as well.
#[test]
fn a_task_is_given_up_within_the_limit_of_starts() {
    assert!(is_given_up(3 + MAX_LATER_STARTS, false, false));
}

/// Guards against a cell in which no task can run alone, and one that is taken by such tasks.
#[test]
fn few_vms_run_a_task_alone_or_are_cleared_for_one() {
    for vms in [0, 1, 3] {
        assert_eq!((max_alone(vms), max_clearing(vms)), (1, 1));
    }
    for vms in [48, 350, 3_000] {
        assert!(max_alone(vms) * 2 < vms && max_clearing(vms) * 2 < vms);
    }
}
