//! Outages of single parts of the table.

use ragwortstall::core::workload::effect::Reply;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::part_number;
use crate::jobs::step;

/// Time after the loss of a placer within which its successor places jobs, in milliseconds: the
/// time without a heartbeat, and the leases of the VMs.
const TAKEOVER_MS: u64 = 6_000;

/// Guards against a takeover that places no job while one part of the table cannot be read.
#[test]
fn a_takeover_places_the_jobs_that_it_can_read() {
    let mut harness = Harness::new(3, 2);
    let submission = job(vec![step(1, 1_000, &[]), step(1, 1_000, &[0])]);
    assert_eq!(harness.submit(0, ID, submission), Reply::Accepted);
    harness.run_for(500);
    let other = (part_number(ID) + 1) % 32;
    harness
        .unreadable_parts
        .insert(format!("jobs-{other}").into());
    let placer = harness.placer().expect("a placer");
    harness.kill(placer);
    harness.run_for(TAKEOVER_MS);
    assert_eq!(harness.starts.len(), 2, "the second step was not started");
}
