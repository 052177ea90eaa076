//! Answers that arrive after the daemon has lost the role in whose term it asked.

use std::time::Duration;

use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::submission::Submission;

use crate::harness::Harness;
use crate::jobs::job;
use crate::jobs::step;

/// First part of the table that stores jobs.
const FIRST_PART: &str = "jobs-0";

/// Number of the parts that store jobs.
const JOB_PARTS: u8 = 32;

/// Number of jobs, which are read in two pages.
const JOBS: usize = 150;

/// Rate of a link of 10 Mbit/s, in bytes per millisecond.
const SLOW_LINK: u64 = 1_250;

/// Rate of a link that transfers single rows only, in bytes per millisecond.
const NEARLY_BLOCKED_LINK: u64 = 20;

/// Time within which a condition must hold.
const MAX_TIME: Duration = Duration::from_secs(20);

/// Returns whether the job is stored in the first part.
fn is_in_first_part(id: &str) -> bool {
    let add = |hash: u8, byte: u8| hash.wrapping_mul(31).wrapping_add(byte);
    id.bytes().fold(0, add) % JOB_PARTS == 0
}

/// Runs the cell until a condition holds.
fn run_until(harness: &mut Harness, condition: impl Fn(&Harness) -> bool) {
    let end = harness.now + MAX_TIME;
    while !condition(harness) {
        let lines = &harness.decisions;
        assert!(harness.now < end, "the condition does not hold: {lines:?}");
        harness.run_for(1);
    }
}

/// Returns whether the second page of the first part has been requested.
fn reads_second_page(harness: &Harness) -> bool {
    let mut reads = harness.reads.iter();
    reads.any(|(part, from)| &**part == FIRST_PART && !from.is_empty())
}

fn takeovers(harness: &Harness) -> usize {
    let lines = harness.decisions.iter();
    let taken = lines.filter(|line| matches!(line, Decision::RoleTaken { .. }));
    taken.count()
}

/// Returns the number of jobs of the first load that ended.
fn loaded_jobs(harness: &Harness) -> Option<usize> {
    harness.decisions.iter().find_map(|line| match line {
        Decision::RoleReady { jobs, .. } => Some(*jobs),
        _ => None,
    })
}

/// Guards against the late last page of a former load of the same daemon, which is taken for the
/// first page of the present load, so that the rows before it are never read.
#[test]
fn a_late_page_of_a_former_load_is_not_taken_for_one_of_the_present_load() {
    let mut harness = Harness::new(2, 2);
    let submission = Submission {
        payload: "x".repeat(4_000).into(),
        ..job(vec![step(1, 120_000, &[])])
    };
    let ids = (0_u64..).map(|number| format!("{number:016x}"));
    for id in ids.filter(|id| is_in_first_part(id)).take(JOBS) {
        assert_eq!(harness.submit(0, &id, submission.clone()), Reply::Accepted);
    }
    let placer = harness.placer().expect("a placer");
    let other = 1 - placer;
    harness.set_link_rate(other, SLOW_LINK);
    harness.decisions.clear();
    harness.reads.clear();
    harness.kill_host(placer);
    // The link is nearly blocked while the second page is on its way, until the daemon has given the
    // load up and has claimed the role again.
    run_until(&mut harness, reads_second_page);
    harness.run_for(20);
    harness.set_link_rate(other, NEARLY_BLOCKED_LINK);
    run_until(&mut harness, |harness| takeovers(harness) == 2);
    harness.run_for(20);
    harness.set_link_rate(other, SLOW_LINK);
    run_until(&mut harness, |harness| loaded_jobs(harness).is_some());
    assert_eq!(loaded_jobs(&harness), Some(JOBS), "jobs that were loaded");
}
