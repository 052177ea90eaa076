//! More work than room: who waits, and for whom.

use ragwortstall::core::workload::effect::Reply;

use crate::catalog::OTHER_KEY;
use crate::jobs::job;
use crate::jobs::step;
use crate::world::World;

/// Id of a job of the other team.
const OTHER: &str = "00000000000000b1";

#[test]
fn a_team_that_floods_the_queue_does_not_hold_up_another() {
    let mut world = World::new(2, 2);
    for ix in 0..6 {
        let flood = job(vec![step(16, 2_000, &[])]);
        let id = format!("00000000000000a{ix}");
        assert_eq!(world.submit(0, &id, flood), Reply::Accepted);
    }
    let small = job(vec![step(8, 2_000, &[])]);
    let reply = world.submit_as(OTHER_KEY, 1, OTHER, small);
    assert_eq!(reply, Reply::Accepted);
    // The first room that becomes free is the other team's.
    world.run_for(2_600);
    let starts = world.starts.iter().filter(|start| &*start.1.job == OTHER);
    assert_eq!(starts.count(), 8);
}

#[test]
fn a_team_may_use_all_the_room_that_others_leave() {
    let mut world = World::new(2, 2);
    let small = job(vec![step(2, 60_000, &[])]);
    let reply = world.submit_as(OTHER_KEY, 1, OTHER, small);
    assert_eq!(reply, Reply::Accepted);
    let wide = job(vec![step(40, 60_000, &[])]);
    assert_eq!(world.submit(0, "00000000000000a0", wide), Reply::Accepted);
    world.run_for(500);
    assert_eq!(world.starts.len(), 32);
}
