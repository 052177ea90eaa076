//! What daemons tell of themselves for metrics.

use ragwortstall::core::workload::effect::Reply;

use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::world::World;

#[test]
fn the_placer_tells_its_room_and_what_waits_by_queue_and_team() {
    let mut world = World::new(2, 2);
    let one = job(vec![step(40, 60_000, &[]), step(9, 1_000, &[0])]);
    assert_eq!(world.submit(0, ID, one), Reply::Accepted);
    world.run_for(500);
    let placer = world.placer().expect("a placer");
    let status = world.status(placer);
    assert_eq!(status.config_version, 1);
    let placing = status.placer.expect("a placer's status");
    assert_eq!((placing.vms, placing.usable_vms, placing.runs), (2, 2, 32));
    assert_eq!(
        (placing.capacity.cpu_milli, placing.free.cpu_milli),
        (32_000, 0)
    );
    // Tasks of the second step cannot start yet, so that they do not count.
    let waiting: Vec<_> = placing.waiting.into_iter().collect();
    let labels = ("labels".into(), Some("dairy".into()));
    assert_eq!(waiting, [(labels, 8)]);
}

#[test]
fn the_others_tell_who_places_and_how_old_its_heartbeat_is() {
    let mut world = World::new(2, 2);
    let placer = world.placer().expect("a placer");
    let epoch = world.epoch().expect("an epoch");
    let status = world.status(1 - placer);
    assert_eq!(status.placer, None);
    let (seen, age) = status.heartbeat.expect("a heartbeat");
    assert_eq!(seen, epoch);
    assert!(age.as_millis() < 400);
}
