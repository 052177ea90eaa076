//! Fillers beside tasks that serve.

use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::submission::Step;

use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::world::World;

/// Target of the serving task, in milliseconds.
const TARGET: u64 = 100;

/// A VM with a task that serves and one that fills.
fn shared_vm() -> World {
    let mut world = World::new(1, 1);
    let mut serving = step(1, 0, &[]);
    serving.traits.long_running = true;
    serving.target_ms = TARGET;
    let mut filling: Step = step(1, 60_000, &[]);
    filling.traits.filler = true;
    assert_eq!(world.submit(0, ID, job(vec![serving])), Reply::Accepted);
    let filler = job(vec![filling]);
    assert_eq!(world.submit(0, "00000000000000a2", filler), Reply::Accepted);
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 2);
    world
}

fn set_tail(world: &mut World, millis: u64) {
    for vm in world.vms.values_mut() {
        vm.tail_ms = millis;
    }
}

#[test]
fn a_filler_stops_working_soon_after_the_tail_passes_its_target() {
    let mut world = shared_vm();
    assert!(world.paces.is_empty());
    set_tail(&mut world, TARGET * 2);
    world.run_for(1_500);
    assert_eq!(world.paces.last().map(|pace| pace.1), Some(0));
}

#[test]
fn a_filler_slows_down_before_the_tail_reaches_its_target() {
    let mut world = shared_vm();
    set_tail(&mut world, TARGET * 9 / 10);
    world.run_for(1_200);
    assert_eq!(world.paces.first().map(|pace| pace.1), Some(50));
}

#[test]
fn a_filler_goes_faster_step_by_step_when_the_tail_is_low() {
    let mut world = shared_vm();
    set_tail(&mut world, TARGET * 2);
    world.run_for(1_500);
    set_tail(&mut world, TARGET / 2);
    world.run_for(4_000);
    let speeds: Vec<u32> = world.paces.iter().map(|pace| pace.1).collect();
    assert_eq!(speeds[..3], [0, 20, 40]);
}
