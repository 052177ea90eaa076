//! Status that daemons report as metrics.

use ragwortstall::core::workload::effect::Reply;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

#[test]
fn the_placer_reports_its_capacity_and_waiting_tasks_by_queue_and_team() {
    let mut harness = Harness::new(2, 2);
    let submission = job(vec![step(40, 60_000, &[]), step(9, 1_000, &[0])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    let placer = harness.placer().expect("a placer");
    let status = harness.status(placer);
    assert_eq!(status.config_version, 1);
    let placer_status = status.placer.expect("a placer's status");
    assert_eq!(
        (
            placer_status.vms,
            placer_status.usable_vms,
            placer_status.runs
        ),
        (2, 2, 32)
    );
    assert_eq!(
        (
            placer_status.capacity.cpu_milli,
            placer_status.free.cpu_milli
        ),
        (32_000, 0)
    );
    // Tasks of the second step are not ready yet, so they are not counted.
    let waiting: Vec<_> = placer_status.waiting.into_iter().collect();
    let labels = ("labels".into(), Some("dairy".into()));
    assert_eq!(waiting, [(labels, 8)]);
}

#[test]
fn followers_report_the_epoch_and_heartbeat_age_of_the_placer() {
    let mut harness = Harness::new(2, 2);
    let placer = harness.placer().expect("a placer");
    let epoch = harness.epoch().expect("an epoch");
    let status = harness.status(1 - placer);
    assert_eq!(status.placer, None);
    let (heartbeat_epoch, age) = status.heartbeat.expect("a heartbeat");
    assert_eq!(heartbeat_epoch, epoch);
    assert!(age.as_millis() < 400);
}
