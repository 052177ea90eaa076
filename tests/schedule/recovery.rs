//! How long a cell takes to place normally again, in virtual time, after one fault at a known time.

use std::time::Duration;

use ragwortstall::core::lease::LeaseOptions;
use ragwortstall::core::timeline::TimelineEvent;

use super::plan::Fault;
use super::plan::Plan;
use super::plan::Setup;
use super::plan::Side;
use super::plan::Timed;
use super::plan::Work;
use super::support::cases;
use super::world::World;

/// When the fault begins.
const FAULT_AT: Duration = Duration::from_secs(20);

/// Time between submissions.
const SUBMIT_EVERY: Duration = Duration::from_millis(250);

/// Submissions in a schedule.
const SUBMISSIONS: u32 = 300;

/// Delays that are not the protocol's: a timer event, a few messages, and the work that is there.
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

/// Short jobs at a steady pace, submitted to one daemon.
fn steady(daemon: usize) -> Vec<Work> {
    (0..SUBMISSIONS)
        .map(|n| Work {
            at: secs(3) + SUBMIT_EVERY * n,
            daemon,
            team: 0,
            count: 1,
            run_time: Duration::from_millis(300),
            again: false,
            cancel: None,
            gang: false,
        })
        .collect()
}

fn timed(fault: Fault, lasts: Duration) -> Timed {
    Timed {
        at: FAULT_AT,
        lasts,
        fault,
    }
}

fn play(setup: Setup, faults: Vec<Timed>, work: Vec<Work>, until: Duration) -> World {
    let plan = Plan {
        seed: 1,
        faults,
        work,
    };
    let mut world = World::new(setup, plan);
    if let Err(broken) = world.run_until(until) {
        panic!("{broken} at {:?}\n{}", world.now, super::timeline(&world));
    }
    world
}

/// Time from `since` until a job that was accepted after it is started.
fn first_start(world: &World, since: Duration) -> Duration {
    let mut accepted = Vec::new();
    for line in world.lines.iter().filter(|line| line.at >= since) {
        match &line.happening {
            TimelineEvent::JobAccepted { job, .. } => accepted.push(job),
            TimelineEvent::TaskStarted { task, .. } if accepted.contains(&&task.job) => {
                return line.at.saturating_sub(since);
            }
            _ => {}
        }
    }
    panic!("nothing was started after {since:?}");
}

/// The bound on a takeover: the lease, a renewal interval and the drift margin.
fn takeover_bound() -> Duration {
    let options = LeaseOptions::default();
    options.lease + options.renew_every + options.drift_margin(options.lease)
}

/// Proves that new work is placed within the bound after the placer died, or stood still for
/// longer than its lease.
fn placer_gone(fault: Fault) {
    let faults = vec![timed(fault, secs(40))];
    let world = play(setup(1), faults, steady(1), secs(50));
    let took = first_start(&world, FAULT_AT);
    println!("{fault:?}: new work was placed after {took:?}");
    assert!(took <= takeover_bound() + SLACK, "took {took:?}");
}

cases! { placer_gone;
    after_the_placer_died(Fault::KillDaemon(0)),
    after_the_placer_stood_still(Fault::PauseDaemon(0)),
}

/// Proves that a graceful shutdown hands the leases over at once.
#[test]
fn after_a_graceful_shutdown() {
    let faults = vec![timed(Fault::Drain(0), secs(40))];
    let world = play(setup(1), faults, steady(1), secs(30));
    let took = first_start(&world, FAULT_AT);
    println!("drain: new work was placed after {took:?}");
    assert!(
        took <= LeaseOptions::default().renew_every + SLACK,
        "took {took:?}"
    );
}

/// Proves that placing goes on soon after the table is back, and that no lease was lost meanwhile.
fn platform_gone(fault: Fault, lasts: Duration) {
    let faults = vec![timed(fault, lasts)];
    let world = play(setup(2), faults, steady(0), secs(70));
    let end = FAULT_AT + lasts;
    let took = first_start(&world, end);
    println!("{fault:?}: new work was placed {took:?} after the end");
    assert!(took <= secs(4), "took {took:?}");
    let lost = world.lines.iter().any(|line| {
        matches!(line.happening, TimelineEvent::PlacerLost { .. }) && line.at > FAULT_AT
    });
    assert!(!lost, "a placer was lost");
}

cases! { platform_gone;
    after_an_outage_of_the_table(Fault::StoreDown, secs(30)),
    after_a_cut_of_the_zone_from_the_platform(
        Fault::CutBoth(Side::Zone(0), Side::Platform),
        secs(30),
    ),
    after_a_cut_between_zones(Fault::CutBoth(Side::Zone(0), Side::Zone(1)), secs(30)),
}
