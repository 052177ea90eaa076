//! Time, in virtual time, until a cell places tasks normally again after one fault.

use std::time::Duration;

use ragwortstall::core::lease::LeaseOptions;
use ragwortstall::core::timeline::TimelineEvent;

use super::harness::Harness;
use super::plan::Fault;
use super::plan::LinkEnd;
use super::plan::Plan;
use super::plan::Setup;
use super::plan::Submission;
use super::plan::TimedFault;
use super::support::cases;

/// Time at which the fault begins.
const FAULT_AT: Duration = Duration::from_secs(20);

/// Interval between submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(250);

/// Number of submissions in a schedule.
const SUBMISSIONS: u32 = 300;

/// Allowance for a timer event, a few messages and the tasks that are already queued.
const SLACK: Duration = Duration::from_millis(700);

fn setup(zones: usize) -> Setup {
    Setup {
        zones,
        lease: LeaseOptions::default(),
        ..Setup::default()
    }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Returns submissions of short jobs to one daemon at a fixed interval.
fn steady_submissions(daemon: usize) -> Vec<Submission> {
    (0..SUBMISSIONS)
        .map(|n| Submission {
            at: secs(3) + SUBMIT_INTERVAL * n,
            daemon,
            team: 0,
            count: 1,
            run_time: Duration::from_millis(300),
            repeated: false,
            cancel: None,
            gang: false,
        })
        .collect()
}

fn timed_fault(fault: Fault, duration: Duration) -> TimedFault {
    TimedFault {
        at: FAULT_AT,
        duration,
        fault,
    }
}

fn run_until(
    setup: Setup,
    faults: Vec<TimedFault>,
    submissions: Vec<Submission>,
    until: Duration,
) -> Harness {
    let plan = Plan {
        seed: 1,
        faults,
        submissions,
    };
    let mut harness = Harness::new(setup, plan);
    if let Err(violation) = harness.run_until(until) {
        panic!(
            "{violation} at {:?}\n{}",
            harness.now,
            super::format_timeline(&harness)
        );
    }
    harness
}

/// Returns the time from `since` until the first start of a job accepted after `since`.
fn first_start(harness: &Harness, since: Duration) -> Duration {
    let mut accepted = Vec::new();
    for entry in harness.timeline.iter().filter(|entry| entry.at >= since) {
        match &entry.event {
            TimelineEvent::JobAccepted { job, .. } => accepted.push(job),
            TimelineEvent::TaskStarted { task, .. } if accepted.contains(&&task.job) => {
                return entry.at.saturating_sub(since);
            }
            _ => {}
        }
    }
    panic!("nothing was started after {since:?}");
}

/// Returns the bound on a takeover: the lease, a renewal interval and the drift margin.
fn takeover_bound() -> Duration {
    let options = LeaseOptions::default();
    options.lease + options.renew_every + options.drift_margin(options.lease)
}

/// New jobs are placed within the bound after the placer was killed, or paused for longer than its
/// lease.
fn takeover_after(fault: Fault) {
    let faults = vec![timed_fault(fault, secs(40))];
    let harness = run_until(setup(1), faults, steady_submissions(1), secs(50));
    let took = first_start(&harness, FAULT_AT);
    println!("{fault:?}: new jobs were placed after {took:?}");
    assert!(took <= takeover_bound() + SLACK, "took {took:?}");
}

cases! { takeover_after;
    after_the_placer_died(Fault::KillDaemon(0)),
    after_the_placer_was_paused(Fault::PauseDaemon(0)),
}

/// A placer that shuts down gracefully hands its leases over at once.
#[test]
fn after_a_graceful_shutdown() {
    let faults = vec![timed_fault(Fault::DrainDaemon(0), secs(40))];
    let harness = run_until(setup(1), faults, steady_submissions(1), secs(30));
    let took = first_start(&harness, FAULT_AT);
    println!("drain: new jobs were placed after {took:?}");
    assert!(
        took <= LeaseOptions::default().renew_every + SLACK,
        "took {took:?}"
    );
}

/// New jobs are placed soon after an outage or partition ends, and no placer lost its leases
/// meanwhile.
fn recovery_after(fault: Fault, duration: Duration) {
    let faults = vec![timed_fault(fault, duration)];
    let harness = run_until(setup(2), faults, steady_submissions(0), secs(70));
    let end = FAULT_AT + duration;
    let took = first_start(&harness, end);
    println!("{fault:?}: new jobs were placed {took:?} after the end");
    assert!(took <= secs(4), "took {took:?}");
    let lost = harness.timeline.iter().any(|entry| {
        matches!(entry.event, TimelineEvent::PlacerLost { .. }) && entry.at > FAULT_AT
    });
    assert!(!lost, "a placer was lost");
}

cases! { recovery_after;
    after_an_outage_of_the_table(Fault::PlatformDown, secs(30)),
    after_a_partition_of_the_zone_from_the_platform(
        Fault::Partition(LinkEnd::Zone(0), LinkEnd::Platform),
        secs(30),
    ),
    after_a_partition_between_zones(Fault::Partition(LinkEnd::Zone(0), LinkEnd::Zone(1)), secs(30)),
}
