//! Status that daemons report as metrics.

use std::time::Duration;

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::status::Status;

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

#[test]
fn daemons_report_the_age_of_each_followed_table_and_of_no_other() {
    let mut harness = Harness::new(2, 2);
    let placer = harness.placer().expect("a placer");
    let feeds = |status: Status| -> Vec<Feed> {
        let mut feeds: Vec<Feed> = status.feed_ages.iter().map(|(feed, _)| *feed).collect();
        feeds.sort_unstable();
        feeds
    };
    let of_follower = feeds(harness.status(1 - placer));
    assert_eq!(of_follower, [Feed::Config, Feed::Heartbeats]);
    let of_placer = feeds(harness.status(placer));
    assert_eq!(of_placer, Feed::ALL);
    harness.table_silent_until = harness.now + Duration::from_secs(4);
    harness.run_for(3_000);
    let ages = harness.status(1 - placer).feed_ages;
    let stale = |(_, age): &(Feed, Option<Duration>)| age.is_some_and(|age| age.as_secs() >= 1);
    assert!(ages.iter().all(stale), "{ages:?}");
}

#[test]
fn a_reported_number_of_waiting_jobs_is_logged_with_the_heartbeat_it_rests_on() {
    let mut harness = Harness::new(2, 2);
    let placer = harness.placer().expect("a placer");
    let epoch = harness.epoch();
    assert_eq!(harness.call(1 - placer, "", Action::Get), Reply::Waiting(0));
    let mut decisions = harness.decisions.iter().rev();
    let logged = decisions.find_map(|decision| match decision {
        Decision::WaitingReported {
            waiting,
            epoch,
            beat_age_ms,
            ..
        } => Some((*waiting, *epoch, *beat_age_ms)),
        _ => None,
    });
    let (waiting, logged_epoch, beat_age_ms) = logged.expect("a log line");
    assert_eq!((waiting, logged_epoch), (Some(0), epoch));
    assert!(beat_age_ms.is_some_and(|age| age < 400), "{beat_age_ms:?}");
}
