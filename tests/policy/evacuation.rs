//! Choice of the runs that leave an evacuated zone.

use std::time::Duration;

use ragwortstall::core::workload::policy::evacuation::MovableRun;
use ragwortstall::core::workload::policy::evacuation::choose_moves;
use ragwortstall::core::workload::policy::evacuation::is_movable;
use ragwortstall::core::workload::policy::evacuation::max_view_age;
use ragwortstall::core::workload::submission::Step;

const STOP_TIMEOUT: Duration = Duration::from_millis(900);

/// Returns the run of a task of a step.
fn run(task: u32, step: u32) -> MovableRun<u32, u32> {
    MovableRun {
        task,
        step,
        long_running: false,
        spare: None,
    }
}

#[test]
fn runs_that_do_not_end_by_themselves_are_moved_first() {
    let mut lasting = run(9, 2);
    lasting.long_running = true;
    let runs = vec![run(3, 1), run(1, 1), lasting];
    assert_eq!(choose_moves(runs, 2, |_| true), [9, 1]);
}

#[test]
fn no_more_runs_are_chosen_than_there_is_room_for() {
    let runs = (0..10).map(|task| run(task, task)).collect();
    let mut room = 4;
    let reserve = |_| {
        let has_room = room > 0;
        room -= i32::from(has_room);
        has_room
    };
    assert_eq!(choose_moves(runs, 100, reserve), [0, 1, 2, 3]);
}

/// Guards against a search of the fleet for each of many tasks of a step that fits nowhere.
#[test]
fn a_step_without_room_is_tried_once() {
    let runs = (0..500).map(|task| run(task, task % 2)).collect();
    let mut calls = 0;
    let chosen = choose_moves(runs, 100, |_| {
        calls += 1;
        false
    });
    assert!(chosen.is_empty());
    assert_eq!(calls, 2);
}

#[test]
fn no_more_runs_of_a_step_are_chosen_than_its_budget_allows() {
    let with_spare = |task, step, spare| MovableRun {
        spare: Some(spare),
        ..run(task, step)
    };
    let runs = (0..4).flat_map(|task| [with_spare(task, 1, 2), with_spare(10 + task, 2, 0)]);
    assert_eq!(choose_moves(runs.collect(), 100, |_| true), [0, 1]);
}

#[test]
fn the_limit_holds_for_all_steps_together() {
    let runs = (0..10).map(|task| run(task, task)).collect();
    assert_eq!(choose_moves(runs, 3, |_| true).len(), 3);
}

#[test]
fn only_long_running_and_checkpointing_tasks_are_movable() {
    let mut step = Step {
        estimate_ms: 5_000,
        ..Step::default()
    };
    assert!(!is_movable(&step, STOP_TIMEOUT));
    step.traits.checkpointing = true;
    assert!(is_movable(&step, STOP_TIMEOUT));
    step.estimate_ms = 900;
    assert!(!is_movable(&step, STOP_TIMEOUT), "ends as soon as a stop");
    step.traits.long_running = true;
    assert!(is_movable(&step, STOP_TIMEOUT));
    step.traits.gang = true;
    assert!(!is_movable(&step, STOP_TIMEOUT));
}

#[test]
fn an_order_sent_with_the_oldest_view_takes_effect_within_the_bound() {
    let (bound, order) = (Duration::from_secs(5), Duration::from_millis(600));
    assert!(max_view_age(bound, order) + order < bound);
    assert_eq!(max_view_age(order, order), Duration::ZERO);
}
