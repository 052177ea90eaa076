//! Placers that end, are cut off from the table, or come back.

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::task::TaskName;

use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::world::World;

/// A stop that takes less time than there is between two lists of a VM.
const SHORT_STOP: Duration = Duration::from_millis(200);

/// A stop that takes nearly as long.
const LONG_STOP: Duration = Duration::from_millis(900);

/// Id of a second job.
const OTHER: &str = "00000000000000a2";

#[test]
fn another_daemon_takes_over_and_adopts_what_runs() {
    let mut world = World::new(3, 2);
    let one = job(vec![step(4, 5_000, &[]), step(1, 300, &[0])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    world.run_for(500);
    let placer = world.placer().expect("a placer");
    world.kill(placer);
    world.run_for(6_500);
    let next = world.placer().expect("a new placer");
    assert_ne!(next, placer);
    assert_eq!(world.state(next, ID), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 5);
}

#[test]
fn a_placer_cut_off_from_the_table_is_fenced() {
    let mut world = World::new(3, 2);
    let one = job(vec![step(4, 4_000, &[])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    world.run_for(500);
    let placer = world.placer().expect("a placer");
    world.cut_from_table(placer, true);
    world.run_for(5_000);
    world.cut_from_table(placer, false);
    world.run_for(3_000);
    assert_ne!(world.placer(), Some(placer));
    assert_eq!(world.state(placer, ID), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 4);
}

#[test]
fn failures_count_across_placers_whatever_the_order_of_their_ends() {
    let mut world = World::new(3, 2);
    let name = TaskName {
        job: ID.into(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    world.failing.insert(name.clone(), 9);
    let one = job(vec![step(1, 400, &[])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    world.run_for(200);
    // Neither end reaches the table before the placer ends, and the next placer hears of the
    // second one first.
    world.table_up = false;
    let first = world.starts[0].3.clone();
    world.vms.get_mut(&first).expect("a VM").full = true;
    world.run_for(700);
    assert_ne!(world.starts[1].3, first);
    let placer = world.placer().expect("a placer");
    world.kill(placer);
    let vm = world.vms.get_mut(&first).expect("a VM");
    vm.full = false;
    vm.connected = false;
    world.table_up = true;
    world.run_for(3_000);
    world.vms.get_mut(&first).expect("a VM").connected = true;
    world.run_for(3_000);
    let next = world.placer().expect("a new placer");
    assert_eq!(world.state(next, ID), Some(JobState::Failed));
    let runs = world.starts.iter().filter(|start| start.1 == name);
    assert_eq!(runs.count(), 2);
}

#[test]
fn a_placer_that_comes_back_at_once_takes_its_role_again() {
    let mut world = World::new(2, 1);
    let one = job(vec![step(2, 2_000, &[])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    world.run_for(300);
    let placer = world.placer().expect("a placer");
    world.kill(placer);
    world.run_for(100);
    world.revive(placer);
    world.run_for(400);
    assert_eq!(world.placer(), Some(placer));
    world.run_for(2_500);
    assert_eq!(world.state(placer, ID), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn a_slow_table_does_not_make_the_role_change_hands() {
    let mut world = World::new(3, 2);
    let epoch = world.epoch();
    world.table_delay = Duration::from_millis(350);
    world.run_for(8_000);
    assert_eq!(world.epoch(), epoch);
}

#[test]
fn tasks_that_may_run_on_a_silent_vm_count_against_the_cap_of_their_team() {
    let mut world = World::new(2, 2);
    let placer = world.placer().expect("a placer");
    let next = 1 - placer;
    // The next placer knows of a cap of 10 cores.
    world.cap = Resources::new(10_000, 0, 0, 0);
    world.kill(next);
    world.revive(next);
    world.run_for(300);
    let one = job(vec![step(8, 20_000, &[])]);
    assert_eq!(world.submit(placer, ID, one), Reply::Accepted);
    world.run_for(500);
    let vm = world.starts[0].3.clone();
    world.kill(placer);
    world.vms.get_mut(&vm).expect("a VM").connected = false;
    world.run_for(2_000);
    assert_eq!(world.placer(), Some(next));
    let two = job(vec![step(8, 20_000, &[])]);
    assert_eq!(world.submit(next, OTHER, two), Reply::Accepted);
    world.run_for(600);
    // Eight tasks of the first job may still run, so that two of the second may start.
    assert_eq!(world.starts.len(), 10);
}

#[test]
fn stops_under_way_at_a_takeover_keep_their_room() {
    // Whatever the placer had sent or written when it ended.
    for delay in 0..40 {
        kill_after_cancelling(delay, false, LONG_STOP);
    }
    kill_after_cancelling(30, true, LONG_STOP);
    kill_after_cancelling(5, false, SHORT_STOP);
    kill_after_cancelling(30, true, SHORT_STOP);
}

/// Ends the placer some time after a job was cancelled; the table may refuse its writes until then.
fn kill_after_cancelling(millis: u64, refused: bool, stop_time: Duration) {
    let mut world = World::with_stop_time(2, 1, stop_time);
    let one = job(vec![step(16, 60_000, &[])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    world.run_for(300);
    let two = job(vec![step(16, 1_000, &[])]);
    assert_eq!(world.submit(0, OTHER, two), Reply::Accepted);
    let placer = world.placer().expect("a placer");
    assert_eq!(world.call(0, ID, Action::Cancel), Reply::Cancelled);
    if refused {
        world.busy_until = world.now + Duration::from_millis(millis);
    }
    world.run_for(millis);
    world.kill(placer);
    world.run_for(20);
    world.revive(placer);
    // The VM checks that what it stops and what starts there fit together.
    world.run_for(4_000);
    assert_eq!(world.starts.len(), 32);
}

#[test]
fn runs_that_are_not_to_run_keep_their_room_until_they_are_gone() {
    lose_stops_of_strays(SHORT_STOP);
    lose_stops_of_strays(LONG_STOP);
}

fn lose_stops_of_strays(stop_time: Duration) {
    let mut world = World::with_stop_time(2, 1, stop_time);
    let one = job(vec![step(16, 60_000, &[])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    world.run_for(300);
    let two = job(vec![step(16, 1_000, &[])]);
    assert_eq!(world.submit(0, OTHER, two), Reply::Accepted);
    let placer = world.placer().expect("a placer");
    world.kill(placer);
    world.lost_stops = 16;
    let reply = world.call(1 - placer, ID, Action::Cancel);
    assert_eq!(reply, Reply::Cancelled);
    world.run_for(7_000);
    assert_eq!(world.starts.len(), 32);
}

#[test]
fn a_vm_that_was_lost_before_the_placer_does_not_delay_the_next_one() {
    let mut world = World::new(2, 3);
    let one = job(vec![step(6, 60_000, &[])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    world.run_for(300);
    let lost = world.starts[0].3.clone();
    world.vms.get_mut(&lost).expect("a VM").connected = false;
    world.run_for(6_000);
    let placer = world.placer().expect("a placer");
    world.kill(placer);
    let two = job(vec![step(1, 300, &[])]);
    let next = 1 - placer;
    assert_eq!(world.submit(next, OTHER, two), Reply::Accepted);
    world.run_for(2_500);
    assert_eq!(world.state(next, OTHER), Some(JobState::Completed));
}

#[test]
fn a_vm_that_comes_back_is_used_only_once_it_is_in_the_roster_again() {
    let mut world = World::new(2, 2);
    let one = job(vec![step(30, 60_000, &[])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    world.run_for(300);
    let lost = world.starts[0].3.clone();
    world.vms.get_mut(&lost).expect("a VM").connected = false;
    world.run_for(6_000);
    let started = world.starts.len();
    world.busy_until = world.now + Duration::from_millis(900);
    world.vms.get_mut(&lost).expect("a VM").connected = true;
    world.run_for(850);
    assert_eq!(world.starts.len(), started);
    world.run_for(1_000);
    assert!(world.starts.len() > started);
}

#[test]
fn a_new_placer_uses_vms_at_once_where_nothing_was_being_stopped() {
    let mut world = World::new(2, 2);
    let one = job(vec![step(4, 60_000, &[])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    world.run_for(500);
    let placer = world.placer().expect("a placer");
    world.kill(placer);
    let killed = world.now;
    let two = job(vec![step(1, 300, &[])]);
    assert_eq!(world.submit(1 - placer, OTHER, two), Reply::Accepted);
    world.run_for(3_000);
    let first = world.starts.iter().find(|start| &*start.1.job == OTHER);
    let took = first.expect("a start").0.saturating_sub(killed);
    assert!(took < Duration::from_millis(1_800), "{took:?}");
}

#[test]
fn a_placer_whose_process_has_ended_is_replaced_at_once() {
    let took = time_to_replace(World::kill);
    assert!(took < Duration::from_millis(700), "{took:?}");
}

#[test]
fn a_placer_that_gives_no_answer_is_replaced_once_its_heartbeat_is_overdue() {
    let took = time_to_replace(World::cut_power);
    let patience = Duration::from_secs(1)..Duration::from_millis(1_800);
    assert!(patience.contains(&took), "{took:?}");
}

#[test]
fn few_of_many_daemons_look_for_a_placer_whose_heartbeat_is_late() {
    let mut world = World::new(40, 2);
    world.looks = 0;
    let placer = world.placer().expect("a placer");
    world.cut_power(placer);
    world.run_for(900);
    assert!((1..=12).contains(&world.looks), "{} looks", world.looks);
}

/// Time from the end of the placer to the next one.
fn time_to_replace(end: fn(&mut World, usize)) -> Duration {
    let mut world = World::new(3, 2);
    world.run_for(500);
    let placer = world.placer().expect("a placer");
    end(&mut world, placer);
    let ended = world.now;
    while world.placer().is_none() {
        world.run_for(10);
    }
    world.now.saturating_sub(ended)
}
