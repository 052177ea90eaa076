//! Moves of running tasks out of an evacuated zone.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::submission::Step;

use crate::evacuation::ADVICE;
use crate::evacuation::ZONE;
use crate::evacuation::evacuate;
use crate::evacuation::starts_in;
use crate::evacuation::two_zones;
use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;
use crate::vm::SimVm;

/// Zone of the VMs that tasks are moved to.
const HOME: &str = "zone-a";

/// Rack of the VMs of [`ZONE`].
const RACK: &str = "r2";

/// Id of a job that takes capacity outside the zone.
const OTHER: &str = "00000000000000b1";

/// Returns a step of tasks of one core that run until they are cancelled and prefer the zone.
fn lasting(count: u32) -> Step {
    let mut step = step(count, 60_000, &[]);
    step.preferred_rack = RACK.into();
    step.traits.long_running = true;
    step
}

/// Returns a step of tasks of one core that save checkpoints and prefer the zone.
fn checkpointing(count: u32, millis: u64) -> Step {
    let mut step = step(count, millis, &[]);
    step.preferred_rack = RACK.into();
    step.traits.checkpointing = true;
    step
}

/// Returns a cell whose zone runs all tasks of a step, beside `outside` tasks of one core elsewhere.
fn cell(spec: Step, outside: u32) -> Harness {
    cell_from(two_zones(2), spec, outside)
}

fn cell_from(mut harness: Harness, spec: Step, outside: u32) -> Harness {
    for vm in ["vm-2", "vm-3"] {
        harness.vms.get_mut(vm).expect("a VM").rack = RACK;
    }
    harness.write_vm_rows();
    harness.run_for(10);
    let count = spec.count as usize;
    assert_eq!(harness.submit(0, ID, job(vec![spec])), Reply::Accepted);
    harness.run_for(500);
    assert_eq!(runs_in(&harness, ZONE), count);
    if outside > 0 {
        let mut other = step(outside, 60_000, &[]);
        other.preferred_rack = "r1".into();
        assert_eq!(harness.submit(0, OTHER, job(vec![other])), Reply::Accepted);
        harness.run_for(300);
    }
    assert_eq!(runs_in(&harness, HOME), outside as usize);
    harness
}

/// Returns the number of runs in a zone, those being stopped included.
fn runs_in(harness: &Harness, zone: &str) -> usize {
    let vms = harness.vms.values().filter(|vm| vm.zone == zone);
    vms.map(|vm| vm.runs.len()).sum()
}

fn stops(harness: &Harness) -> usize {
    let is_stop = |line: &&Decision| matches!(line, Decision::StopOrdered { .. });
    harness.decisions.iter().filter(is_stop).count()
}

/// Asserts that `moved` tasks of a step are running outside the zone some time after the request.
fn assert_moved(spec: Step, outside: u32, moved: usize) {
    let count = spec.count as usize;
    let mut harness = cell(spec, outside);
    let since = evacuate(&mut harness);
    harness.run_for(8_000);
    assert_eq!(runs_in(&harness, HOME), moved + outside as usize);
    assert_eq!(runs_in(&harness, ZONE), count - moved);
    assert_eq!(stops(&harness), moved);
    assert_eq!(starts_in(&harness, ZONE, since), 0);
}

fn with_budget(mut spec: Step, budget: u32) -> Step {
    spec.max_unavailable = Some(budget);
    spec
}

fn as_gang(mut spec: Step) -> Step {
    spec.traits.gang = true;
    spec
}

cases! {
    assert_moved;
    long_running_tasks_are_moved(lasting(20), 0, 20),
    checkpointing_tasks_are_moved(checkpointing(20, 30_000), 0, 20),
    tasks_without_checkpoints_stay(
        Step { traits: step(1, 1, &[]).traits, ..checkpointing(20, 30_000) }, 0, 0
    ),
    gangs_stay(as_gang(checkpointing(20, 30_000)), 0, 0),
    tasks_are_moved_only_as_far_as_there_is_room_elsewhere(lasting(20), 22, 10),
    no_task_is_stopped_without_room_elsewhere(lasting(20), 32, 0),
    tasks_with_a_budget_of_none_stay(with_budget(lasting(4), 0), 0, 0),
    tasks_with_a_budget_are_moved(with_budget(lasting(6), 2), 0, 6),
}

/// Guards against stops of more tasks of a step at a time than its budget allows.
#[test]
fn moves_never_exceed_a_disruption_budget() {
    const COUNT: usize = 8;
    const BUDGET: usize = 2;
    let mut harness = cell(with_budget(lasting(8), 2), 0);
    evacuate(&mut harness);
    let mut least = COUNT;
    for _ in 0..8_000 {
        harness.run_for(1);
        let running = harness.vms.values().map(SimVm::live_runs);
        least = least.min(running.sum());
    }
    assert_eq!(least, COUNT - BUDGET);
    assert_eq!(runs_in(&harness, HOME), COUNT);
}

/// Evacuates the zone of a cell and returns the least number of its 30 tasks that run at a time.
fn least_running(harness: &mut Harness) -> usize {
    evacuate(harness);
    let mut least = 30;
    for _ in 0..8_000 {
        harness.run_for(1);
        let running = harness.vms.values().map(SimVm::live_runs);
        least = least.min(running.sum());
    }
    assert_eq!(runs_in(harness, HOME), 30);
    least
}

#[test]
fn a_few_tasks_are_moved_at_a_time() {
    let mut harness = cell(lasting(30), 0);
    assert_eq!(least_running(&mut harness), 30 - 16);
}

/// Guards against stops of more tasks while those before wait for advice.
#[test]
fn tasks_that_wait_for_advice_count_as_being_moved() {
    let mut harness = Harness::with_advice(2, 4, Some(ADVICE));
    harness.move_to_zone(2..4, ZONE);
    let mut harness = cell_from(harness, lasting(30), 0);
    // The tickets of the first starts expire.
    harness.run_for(3_000);
    assert_eq!(least_running(&mut harness), 30 - 16);
}

#[test]
fn short_tasks_run_to_their_end_in_the_zone() {
    let mut harness = cell(checkpointing(10, 600), 0);
    evacuate(&mut harness);
    harness.run_for(1_500);
    assert_eq!(stops(&harness), 0);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 10);
}

#[test]
fn tasks_stay_where_they_are_if_all_zones_are_evacuated() {
    let mut harness = cell(lasting(10), 0);
    harness.request_evacuation(HOME);
    evacuate(&mut harness);
    harness.run_for(4_000);
    assert_eq!(stops(&harness), 0);
    assert_eq!(runs_in(&harness, ZONE), 10);
}

#[test]
fn moves_go_on_when_capacity_becomes_free() {
    let mut harness = cell(lasting(10), 32);
    evacuate(&mut harness);
    harness.run_for(2_000);
    assert_eq!(stops(&harness), 0);
    let cancel = ragwortstall::core::workload::event::Action::Cancel;
    assert_eq!(harness.call(0, OTHER, cancel), Reply::Cancelled);
    harness.run_for(5_000);
    assert_eq!(runs_in(&harness, HOME), 10);
}

/// Guards against stops for which no task could be started again, as the view is too old.
#[test]
fn nothing_is_moved_while_starts_are_suspended() {
    let mut harness = cell(lasting(20), 32);
    harness.set_evacuation_bound(Duration::from_secs(5));
    let placer = harness.placer().expect("a placer");
    evacuate(&mut harness);
    let feed = ragwortstall::core::workload::event::Feed::Config;
    harness.lost_watch_answers.insert((placer, feed));
    harness.run_for(6_000);
    let cancel = ragwortstall::core::workload::event::Action::Cancel;
    assert_eq!(harness.call(0, OTHER, cancel), Reply::Cancelled);
    harness.run_for(4_000);
    assert_eq!(runs_in(&harness, ZONE), 20);
    harness.lost_watch_answers.clear();
    harness.run_for(6_000);
    assert_eq!(runs_in(&harness, HOME), 20);
}

/// Guards against two runs of a task that is being moved while the placer is replaced; the
/// harness asserts that there are none.
#[test]
fn a_takeover_while_tasks_are_moved_loses_and_repeats_nothing() {
    for millis in (0..1_500).step_by(100) {
        let mut harness = cell(lasting(20), 0);
        let since: Now = evacuate(&mut harness);
        harness.run_for(millis);
        let placer = harness.placer().expect("a placer");
        harness.kill(placer);
        harness.run_for(20);
        harness.restart(placer);
        harness.run_for(12_000);
        assert_eq!(
            runs_in(&harness, HOME),
            20,
            "placer ended after {millis} ms"
        );
        assert_eq!(runs_in(&harness, ZONE), 0);
        assert_eq!(starts_in(&harness, ZONE, since), 0);
    }
}
