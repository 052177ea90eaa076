//! Evacuation of zones: no task starts in an evacuated zone, and nothing is refused or lost.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::JobState;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::submission::Step;
use ragwortstall::core::workload::task::TaskName;

use crate::catalog::OTHER_KEY;
use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;

/// Zone that the tests evacuate.
pub(crate) const ZONE: &str = "zone-b";

/// Zone of the other VMs.
const HOME: &str = "zone-a";

/// Id of a second job.
const OTHER: &str = "00000000000000b1";

/// Time after which a change of the operator's table is in force, in milliseconds.
pub(crate) const NOTICE_MS: u64 = 10;

/// Time within which a placement round takes place while tasks wait, in milliseconds.
const ROUND_MS: u64 = 100;

/// Advice that takes longer than a placement round.
pub(crate) const ADVICE: AdviceTiming = AdviceTiming {
    base_latency: Duration::from_millis(200),
    latency_per_vm: Duration::from_micros(400),
    ticket_validity: Duration::from_millis(2_500),
};

/// Returns a cell of `daemons` daemons and four VMs, the last two of them in [`ZONE`].
pub(crate) fn two_zones(daemons: usize) -> Harness {
    let mut harness = Harness::new(daemons, 4);
    harness.move_to_zone(2..4, ZONE);
    harness
}

/// Requests the evacuation of [`ZONE`] and returns the time from which it is in force.
pub(crate) fn evacuate(harness: &mut Harness) -> Now {
    harness.request_evacuation(ZONE);
    harness.run_for(NOTICE_MS);
    harness.now
}

/// Returns the number of starts in a zone from a time on.
pub(crate) fn starts_in(harness: &Harness, zone: &str, since: Now) -> usize {
    let starts = harness.starts.iter().filter(|start| start.0 >= since);
    let inside = starts.filter(|start| harness.vms[&start.3].zone == zone);
    inside.count()
}

/// Returns a step of one gang of `count` tasks that use ten cores each.
fn gang(count: u32, millis: u64) -> Step {
    let mut gang = step(count, millis, &[]);
    gang.demand.cpu_milli = 10_000;
    gang.traits.gang = true;
    gang
}

fn accept(harness: &mut Harness, steps: Vec<Step>) {
    assert_eq!(harness.submit(0, ID, job(steps)), Reply::Accepted);
}

fn count(harness: &Harness, matches: impl Fn(&Decision) -> bool) -> usize {
    harness
        .decisions
        .iter()
        .filter(|line| matches(line))
        .count()
}

#[test]
fn no_task_starts_in_an_evacuated_zone() {
    let mut harness = two_zones(2);
    let since = evacuate(&mut harness);
    accept(&mut harness, vec![step(40, 300, &[]), step(20, 300, &[0])]);
    harness.run_for(4_000);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
    assert_eq!(starts_in(&harness, ZONE, since), 0);
    assert_eq!(starts_in(&harness, HOME, since), 60);
}

#[test]
fn a_task_that_failed_in_the_zone_is_retried_elsewhere() {
    let mut harness = two_zones(2);
    let names = (0..64).map(|index| TaskName {
        job: ID.into(),
        occurrence: 0,
        step: 0,
        index,
    });
    harness.remaining_failures = names.map(|name| (name, 1)).collect();
    accept(&mut harness, vec![step(64, 500, &[])]);
    harness.run_for(200);
    assert_eq!(starts_in(&harness, ZONE, Now::ZERO), 32);
    let since = evacuate(&mut harness);
    harness.run_for(5_000);
    assert_eq!(starts_in(&harness, ZONE, since), 0);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
    assert_eq!(harness.starts.len(), 128);
}

#[test]
fn a_gang_that_needs_the_zone_waits_until_the_request_is_withdrawn() {
    let mut harness = two_zones(2);
    let since = evacuate(&mut harness);
    accept(&mut harness, vec![gang(4, 500)]);
    harness.run_for(2_000);
    assert!(harness.starts.is_empty());
    assert_eq!(harness.state(1, ID), Some(JobState::Queued));
    harness.withdraw_evacuation(ZONE);
    harness.run_for(ROUND_MS);
    assert_eq!(harness.starts.len(), 4);
    assert_eq!(starts_in(&harness, ZONE, since), 2);
    harness.run_for(1_500);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
}

#[test]
fn a_gang_starts_outside_the_zone() {
    let mut harness = two_zones(2);
    let since = evacuate(&mut harness);
    accept(&mut harness, vec![gang(2, 500)]);
    harness.run_for(1_500);
    assert_eq!(starts_in(&harness, ZONE, since), 0);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
}

/// Guards against starts with tickets for VMs in the zone that were asked for before the request.
#[test]
fn advice_that_was_asked_for_before_the_request_starts_nothing_in_the_zone() {
    let mut harness = Harness::with_advice(2, 4, Some(ADVICE));
    harness.move_to_zone(2..4, ZONE);
    accept(&mut harness, vec![step(40, 300, &[])]);
    harness.run_for(50);
    assert!(harness.asked.iter().any(|(_, vm)| &**vm == "vm-3"));
    assert!(harness.starts.is_empty());
    let since = evacuate(&mut harness);
    harness.run_for(4_000);
    assert_eq!(starts_in(&harness, ZONE, since), 0);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
}

#[test]
fn vms_of_the_zone_are_not_asked_about() {
    let mut harness = Harness::with_advice(2, 4, Some(ADVICE));
    harness.move_to_zone(2..4, ZONE);
    evacuate(&mut harness);
    accept(&mut harness, vec![step(40, 300, &[]), gang(2, 300)]);
    harness.run_for(4_000);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
    let zone_of = |vm: &str| harness.vms[vm].zone;
    assert!(harness.asked.iter().all(|(_, vm)| zone_of(vm) == HOME));
}

#[test]
fn tasks_start_in_the_zone_again_once_the_request_is_withdrawn() {
    let mut harness = two_zones(2);
    evacuate(&mut harness);
    accept(&mut harness, vec![step(64, 60_000, &[])]);
    harness.run_for(500);
    assert_eq!(harness.starts.len(), 32);
    harness.withdraw_evacuation(ZONE);
    harness.run_for(ROUND_MS);
    assert_eq!(starts_in(&harness, ZONE, Now::ZERO), 32);
}

#[test]
fn a_request_that_is_withdrawn_at_once_delays_no_start() {
    let mut harness = two_zones(2);
    harness.request_evacuation(ZONE);
    harness.run_for(5);
    accept(&mut harness, vec![step(64, 60_000, &[])]);
    harness.withdraw_evacuation(ZONE);
    harness.run_for(ROUND_MS);
    assert_eq!(harness.starts.len(), 64);
}

#[test]
fn a_placer_that_takes_over_starts_nothing_in_the_zone() {
    let mut harness = two_zones(3);
    let since = evacuate(&mut harness);
    accept(&mut harness, vec![step(100, 600, &[])]);
    harness.run_for(300);
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.run_for(500);
    harness.restart(placer);
    harness.run_for(9_000);
    assert_eq!(harness.state(placer, ID), Some(JobState::Completed));
    assert_eq!(starts_in(&harness, ZONE, since), 0);
}

/// Guards against a daemon that misses a withdrawal, as the history of the table has expired.
#[test]
fn a_full_read_replaces_the_set_of_evacuated_zones() {
    let mut harness = two_zones(1);
    evacuate(&mut harness);
    harness.set_table_reachable(0, false);
    harness.run_for(2_000);
    harness.withdraw_evacuation(ZONE);
    harness.request_evacuation(HOME);
    harness.expired_histories.insert((0, Feed::Config));
    harness.set_table_reachable(0, true);
    harness.run_for(2_000);
    let since = harness.now;
    accept(&mut harness, vec![step(40, 300, &[])]);
    harness.run_for(3_000);
    assert!(harness.expired_histories.is_empty());
    assert_eq!(starts_in(&harness, HOME, since), 0);
    assert_eq!(starts_in(&harness, ZONE, since), 40);
}

#[test]
fn two_zones_are_evacuated_at_once() {
    let mut harness = two_zones(2);
    harness.move_to_zone(1..2, "zone-c");
    harness.request_evacuation("zone-c");
    let since = evacuate(&mut harness);
    accept(&mut harness, vec![step(40, 200, &[])]);
    harness.run_for(3_000);
    assert_eq!(starts_in(&harness, HOME, since), 40);
    assert_eq!(harness.starts.len(), 40);
    assert_eq!(harness.status(0).evacuated_zones, 2);
}

#[test]
fn a_job_waits_while_all_zones_are_evacuated() {
    let mut harness = two_zones(2);
    harness.request_evacuation(HOME);
    evacuate(&mut harness);
    accept(&mut harness, vec![step(10, 300, &[])]);
    harness.run_for(10_000);
    assert_eq!(harness.state(1, ID), Some(JobState::Queued));
    assert!(harness.starts.is_empty());
    harness.withdraw_evacuation(HOME);
    harness.run_for(1_500);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
}

/// Guards against failing a job as one that fits on no VM.
#[test]
fn a_job_that_fits_only_in_the_zone_waits() {
    let mut harness = two_zones(2);
    let large = harness.vms.get_mut("vm-3").expect("a VM");
    large.capacity = Resources::new(32_000, 64_000, 0, u32::MAX);
    harness.write_vm_rows();
    harness.run_for(4_000);
    evacuate(&mut harness);
    let mut wide = step(1, 300, &[]);
    wide.demand.cpu_milli = 20_000;
    accept(&mut harness, vec![wide]);
    harness.run_for(3_000);
    assert_eq!(harness.state(1, ID), Some(JobState::Queued));
    harness.withdraw_evacuation(ZONE);
    harness.run_for(1_500);
    assert_eq!(harness.state(1, ID), Some(JobState::Completed));
}

#[test]
fn a_request_for_a_zone_without_vms_is_kept_for_vms_that_come_later() {
    let mut harness = two_zones(2);
    harness.request_evacuation("zone-x");
    harness.run_for(NOTICE_MS);
    let is_empty = |line: &Decision| matches!(line, Decision::EvacuatedZoneEmpty { .. });
    assert_eq!(count(&harness, is_empty), 1);
    accept(&mut harness, vec![step(64, 300, &[])]);
    harness.run_for(1_500);
    assert_eq!(starts_in(&harness, ZONE, Now::ZERO), 32);
    harness.move_to_zone(1..2, "zone-x");
    let reply = harness.submit(0, OTHER, job(vec![step(48, 300, &[])]));
    assert_eq!(reply, Reply::Accepted);
    let since = harness.now;
    harness.run_for(1_500);
    assert_eq!(starts_in(&harness, "zone-x", since), 0);
    assert_eq!(harness.state(1, OTHER), Some(JobState::Completed));
}

/// Guards against a request that moves the work of VMs whose zone is not known yet, as after a
/// takeover: their zone has an empty name.
#[test]
fn a_request_that_names_no_zone_has_no_effect() {
    let mut harness = two_zones(2);
    harness.move_to_zone(2..4, "");
    harness.request_evacuation("");
    harness.run_for(NOTICE_MS);
    let is_empty = |line: &Decision| matches!(line, Decision::EvacuatedZoneEmpty { .. });
    assert_eq!(count(&harness, is_empty), 1);
    let mut lasting = step(50, 60_000, &[]);
    lasting.traits.long_running = true;
    accept(&mut harness, vec![lasting]);
    harness.run_for(1_000);
    assert_eq!(harness.starts.len(), 50);
    let is_stop = |line: &Decision| matches!(line, Decision::StopOrdered { .. });
    assert_eq!(count(&harness, is_stop), 0);
}

#[test]
fn a_request_whose_value_cannot_be_read_counts() {
    let mut harness = two_zones(1);
    harness.request_evacuation_with(ZONE, b"[");
    harness.run_for(NOTICE_MS);
    let since = harness.now;
    accept(&mut harness, vec![step(40, 200, &[])]);
    harness.run_for(2_000);
    assert_eq!(starts_in(&harness, ZONE, since), 0);
    let is_unreadable = |line: &Decision| matches!(line, Decision::RowUnreadable { .. });
    assert_eq!(count(&harness, is_unreadable), 1);
}

#[test]
fn each_change_of_a_zone_is_logged_once() {
    let mut harness = two_zones(1);
    harness.request_evacuation(ZONE);
    harness.run_for(2_000);
    harness.request_evacuation(ZONE);
    harness.run_for(2_000);
    harness.withdraw_evacuation(ZONE);
    harness.run_for(2_000);
    let changes = harness.decisions.iter().filter_map(|line| match line {
        Decision::ZoneEvacuation { zone, on, .. } => Some((&**zone, *on)),
        _ => None,
    });
    assert_eq!(changes.collect::<Vec<_>>(), [(ZONE, true), (ZONE, false)]);
}

/// Guards against shares of the capacity of the zone: a team would then use all that is left.
#[test]
fn fair_shares_exclude_the_capacity_of_the_zone() {
    let mut harness = Harness::new(2, 3);
    harness.move_to_zone(1..3, ZONE);
    evacuate(&mut harness);
    // Capacity becomes free in four parts, while the team still uses more than half of the rest. The
    // jobs of the team that wait then have an earlier objective than the one of the other team.
    for (ix, millis) in [600, 700, 800, 900, 500, 500, 500, 500]
        .into_iter()
        .enumerate()
    {
        let id = format!("00000000000000a{ix}");
        let flood = job(vec![step(4, millis, &[])]);
        assert_eq!(harness.submit(0, &id, flood), Reply::Accepted);
    }
    let small = job(vec![step(8, 1_000, &[])]);
    let reply = harness.submit_as(OTHER_KEY, 1, OTHER, small);
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(850);
    let starts = harness.starts.iter();
    let starts = starts.filter(|start| &*start.1.job == OTHER);
    assert_eq!(starts.count(), 8);
}

#[test]
fn cold_vms_are_chosen_after_others_and_not_refused() {
    let mut harness = two_zones(2);
    for vm in ["vm-0", "vm-1"] {
        let vm = harness.vms.get_mut(vm).expect("a VM");
        vm.cold_remaining = Duration::from_secs(20);
    }
    harness.write_vm_rows();
    harness.run_for(NOTICE_MS);
    accept(&mut harness, vec![step(32, 60_000, &[])]);
    harness.run_for(300);
    assert_eq!(starts_in(&harness, ZONE, Now::ZERO), 32);
    let reply = harness.submit(0, OTHER, job(vec![step(4, 300, &[])]));
    assert_eq!(reply, Reply::Accepted);
    harness.run_for(300);
    assert_eq!(starts_in(&harness, HOME, Now::ZERO), 4);
}

/// Guards against a VM that stays cold because its row is read again.
#[test]
fn reading_a_row_again_does_not_extend_the_cold_time() {
    let mut harness = two_zones(2);
    for vm in ["vm-0", "vm-1"] {
        let vm = harness.vms.get_mut(vm).expect("a VM");
        vm.cold_remaining = Duration::from_secs(2);
    }
    harness.write_vm_rows();
    harness.run_for(1_900);
    harness.write_vm_rows();
    harness.run_for(200);
    accept(&mut harness, vec![step(4, 300, &[])]);
    harness.run_for(300);
    assert_eq!(starts_in(&harness, HOME, Now::ZERO), 4);
}
