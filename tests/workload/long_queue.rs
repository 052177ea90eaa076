//! Placement rounds with a long queue of waiting steps.

use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::status::PlacerWork;
use ragwortstall::core::workload::submission::Step;

use crate::harness::Harness;
use crate::jobs::job;
use crate::jobs::step;

/// Number of jobs that wait.
const JOBS: u64 = 600;

/// Time for which searches of the fleet are counted, in milliseconds.
const COUNTED_MS: u64 = 1_000;

/// Largest number of searches in that time: placement rounds are at least 20 ms apart, and each may
/// search once for each of the two daemons that can ask for advice, and once for each step whose
/// tickets are valid.
const MAX_SCANS: u64 = 400;

/// Daemons and VMs of a cell with a burst.
const DAEMONS: usize = 20;
const BUSY_VMS: u32 = 200;

/// Largest number of searches in the same time in a burst: in each round, each idle daemon may send a
/// query, for which the free room and that of runs that may be stopped are looked at.
const MAX_BURST_SCANS: u64 = 50 * (DAEMONS as u64 / 2 + 1);

/// Advice that is given at once.
const FAST_ADVICE: AdviceTiming = AdviceTiming {
    base_latency: Duration::from_millis(18),
    latency_per_vm: Duration::from_micros(260),
    ticket_validity: Duration::from_millis(2_500),
};

/// Advice that takes so long that only a few steps get it while searches are counted.
const SLOW_ADVICE: AdviceTiming = AdviceTiming {
    base_latency: Duration::from_millis(400),
    latency_per_vm: Duration::from_millis(5),
    ticket_validity: Duration::from_millis(2_500),
};

/// Tasks and jobs of gangs that wait for advice.
const GANG_TASKS: u32 = 4;
const GANGS: u64 = 40;

/// Gangs that wait for room, and the interval at which each is searched for.
const WAITING_GANGS: u64 = 10;
const GANG_SEARCH_MS: u64 = 60;

/// Largest number of examined steps in [`COUNTED_MS`]: in each round, one for each of the two daemons
/// that can ask for advice, and those whose tickets are valid. Each daemon gets two answers a second,
/// which are valid for less than three seconds.
const MAX_EXAMINED: u64 = 50 * (2 + 2 * 2 * 3);

fn submit(harness: &mut Harness, count: u64) {
    for number in 0..count {
        let id = format!("{number:016x}");
        let submission = job(vec![step(1, 600_000, &[])]);
        assert_eq!(harness.submit(0, &id, submission), Reply::Accepted);
    }
}

/// Returns the number of searches of the fleet while the queue waits.
fn scans(harness: &mut Harness) -> u64 {
    let before = total_scans(harness);
    harness.run_for(COUNTED_MS);
    total_scans(harness) - before
}

fn total_scans(harness: &mut Harness) -> u64 {
    work(harness).vm_scans
}

/// Guards against a placer whose processor is busy with steps that cannot be placed, so that its
/// heartbeats come late and it is replaced by one with the same queue.
#[test]
fn steps_that_wait_for_advice_cost_no_searches_of_the_fleet() {
    let mut harness = Harness::with_advice(2, 100, Some(SLOW_ADVICE));
    submit(&mut harness, JOBS);
    let scans = scans(&mut harness);
    assert!(scans <= MAX_SCANS, "{scans} searches in {COUNTED_MS} ms");
}

/// Guards against the same where the VMs are full.
#[test]
fn steps_that_no_vm_has_room_for_cost_no_searches_of_the_fleet() {
    let mut harness = Harness::with_advice(2, 2, None);
    submit(&mut harness, JOBS);
    assert_eq!(harness.starts.len(), 32);
    let scans = scans(&mut harness);
    assert!(scans <= MAX_SCANS, "{scans} searches in {COUNTED_MS} ms");
}

/// Guards against the same in a burst of urgent jobs that have advice for VMs full of runs that may be
/// stopped, of which no more may be stopped at a time: each has a valid ticket, and free room is left
/// on many VMs, but too little on each.
#[test]
fn steps_with_tickets_for_full_vms_cost_no_searches_of_the_fleet() {
    let mut harness = Harness::with_advice(DAEMONS, BUSY_VMS as usize, Some(FAST_ADVICE));
    harness.batch_priority = Some(2);
    harness.restart_all();
    let mut batch = large_step(BUSY_VMS, 60_000);
    batch.traits.checkpointing = true;
    harness.send_batch(0, "00000000000000b0", job(vec![batch]));
    harness.run_for(4_000);
    assert_eq!(harness.starts.len(), BUSY_VMS as usize);
    for (number, daemon) in (0..JOBS).zip((0..DAEMONS).cycle()) {
        let submission = job(vec![large_step(2, 60_000)]);
        harness.send_submission(daemon, &format!("{number:016x}"), submission);
    }
    harness.run_for(500);
    let scans = scans(&mut harness);
    assert!(
        scans <= MAX_BURST_SCANS,
        "{scans} searches in {COUNTED_MS} ms"
    );
}

/// Returns a step whose tasks each take more than half of a VM.
fn large_step(count: u32, millis: u64) -> Step {
    Step {
        demand: Resources::new(9_000, 9_000, 0, 1),
        ..step(count, millis, &[])
    }
}

/// Guards against a placer whose rounds take longer the more steps wait for a daemon that can ask for
/// advice, so that answers and ends of runs are noticed late and the daemons are idle meanwhile.
#[test]
fn steps_that_wait_for_a_daemon_to_ask_for_advice_are_not_examined() {
    let mut harness = Harness::with_advice(2, 100, Some(SLOW_ADVICE));
    submit(&mut harness, JOBS);
    let before = work(&mut harness).steps_examined;
    harness.run_for(COUNTED_MS);
    let examined = work(&mut harness).steps_examined - before;
    assert!(
        examined <= MAX_EXAMINED,
        "{examined} steps in {COUNTED_MS} ms"
    );
}

/// Guards against the same by searches for queries that no daemon can send.
#[test]
fn the_fleet_is_searched_once_for_each_advice_query() {
    let mut harness = Harness::with_advice(2, 100, Some(SLOW_ADVICE));
    submit(&mut harness, JOBS);
    let (scans, queries) = (total_scans(&mut harness), queries(&mut harness));
    harness.run_for(COUNTED_MS);
    let scans = total_scans(&mut harness) - scans;
    let queries = self::queries(&mut harness) - queries;
    assert!(queries >= 2, "{queries} queries");
    assert!(
        scans <= queries,
        "{scans} searches, {queries} queries in {COUNTED_MS} ms"
    );
}

/// Guards against the same by gangs, for each of which the fleet was searched in each round.
#[test]
fn gangs_that_wait_for_a_daemon_cost_no_searches_of_the_fleet() {
    let mut harness = Harness::with_advice(2, 100, Some(SLOW_ADVICE));
    for number in 0..GANGS {
        let mut gang = step(GANG_TASKS, 600_000, &[]);
        gang.traits.gang = true;
        let reply = harness.submit(0, &format!("{number:016x}"), job(vec![gang]));
        assert_eq!(reply, Reply::Accepted);
    }
    let (scans, queries) = (total_scans(&mut harness), queries(&mut harness));
    harness.run_for(COUNTED_MS);
    let scans = total_scans(&mut harness) - scans;
    let queries = self::queries(&mut harness) - queries;
    // Before its query and after the answer to it.
    assert!(
        scans <= 2 * (queries + 2),
        "{scans} searches, {queries} queries in {COUNTED_MS} ms"
    );
}

/// Guards against the same by gangs that wait for room in rounds that follow each other fast.
#[test]
fn gangs_that_wait_for_room_are_not_searched_for_in_each_round() {
    let mut harness = Harness::with_advice(DAEMONS, 20, Some(FAST_ADVICE));
    let filling = job(vec![step(320, 600_000, &[])]);
    assert_eq!(
        harness.submit(0, "00000000000000f0", filling),
        Reply::Accepted
    );
    harness.run_for(2_000);
    for number in 0..WAITING_GANGS {
        let mut gang = step(GANG_TASKS, 600_000, &[]);
        gang.traits.gang = true;
        let reply = harness.submit(0, &format!("{number:016x}"), job(vec![gang]));
        assert_eq!(reply, Reply::Accepted);
    }
    harness.run_for(1_000);
    let (scans, queries) = (total_scans(&mut harness), queries(&mut harness));
    for number in 0..COUNTED_MS / 20 {
        let id = format!("{:016x}", 0xa000 + number);
        harness.send_submission(0, &id, job(vec![step(1, 600_000, &[])]));
        harness.run_for(20);
    }
    let scans = total_scans(&mut harness) - scans;
    let queries = self::queries(&mut harness) - queries;
    let searches = WAITING_GANGS * (COUNTED_MS / GANG_SEARCH_MS + 1);
    assert!(
        scans <= searches + 2 * queries + COUNTED_MS / 20,
        "{scans} searches, {queries} queries in {COUNTED_MS} ms"
    );
}

fn work(harness: &mut Harness) -> PlacerWork {
    let placer = harness.placer().expect("a placer");
    harness.work(placer)
}

/// Returns the number of advice queries so far.
fn queries(harness: &mut Harness) -> u64 {
    let placer = harness.placer().expect("a placer");
    let status = harness.status(placer).placer.expect("a placer");
    status
        .advice
        .queues
        .values()
        .map(|queue| queue.queries)
        .sum()
}
