//! Contents of a schedule: the setup of the cell, the submissions, and the faults with their times.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use ragwortstall::core::Safeguards;
use ragwortstall::core::lease::LeaseOptions;

/// Size of the cell, and the mechanisms disabled in it.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub zones: usize,
    pub daemons_per_zone: usize,
    pub vms_per_zone: usize,
    pub lease: LeaseOptions,
    pub safeguards: Safeguards,
    /// Whether VMs ignore epochs and sequence numbers.
    pub unfenced: bool,
    /// Maximum drift of a process's clock, in parts per million.
    pub drift_ppm: u32,
    /// Whether daemons' clocks are as fast, and VMs' clocks as slow, as the bound allows.
    pub opposed_drift: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            zones: 2,
            daemons_per_zone: 2,
            vms_per_zone: 3,
            lease: LeaseOptions {
                lease: Duration::from_secs(2),
                task_lease: Duration::from_secs(6),
                renew_every: Duration::from_millis(500),
                drift_ppm: 10_000,
            },
            safeguards: Safeguards::default(),
            unfenced: false,
            drift_ppm: 10_000,
            opposed_drift: false,
        }
    }
}

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    Daemon(usize),
    Vm(usize),
    Zone(usize),
    Platform,
}

/// A fault. Indexes are taken modulo the number of daemons, VMs or zones.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process is killed, and restarts when the fault ends.
    KillDaemon(usize),
    /// The process is paused.
    PauseDaemon(usize),
    /// The process shuts down gracefully, and restarts when the fault ends.
    DrainDaemon(usize),
    /// The VM is killed, and restarts without tasks when the fault ends.
    KillVm(usize),
    /// The VM is paused.
    PauseVm(usize),
    /// Messages from the first end to the second are dropped.
    OneWayPartition(LinkEnd, LinkEnd),
    /// Messages are dropped in both directions.
    Partition(LinkEnd, LinkEnd),
    /// The platform refuses every call.
    PlatformDown,
    /// Requests to the platform are delayed, some beyond their callers' timeout.
    PlatformSlow,
    /// Transactions take effect but get no answer.
    PlatformLosesAnswers,
    /// Messages are lost, duplicated and delayed.
    UnreliableNetwork,
}

/// A fault with its time and duration.
#[derive(Clone, Copy, Debug)]
pub struct TimedFault {
    pub at: Duration,
    pub duration: Duration,
    pub fault: Fault,
}

/// A submission.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    pub at: Duration,
    pub daemon: usize,
    pub team: usize,
    pub count: u32,
    pub run_time: Duration,
    /// Whether the same job is submitted again to another daemon.
    pub repeated: bool,
    /// Delay after which the job is cancelled.
    pub cancel: Option<Duration>,
    pub gang: bool,
}

/// A schedule.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub faults: Vec<TimedFault>,
    pub submissions: Vec<Submission>,
}

/// Time at which all faults end. None begins after it.
pub const FAULTS_END: Duration = Duration::from_secs(30);

/// Returns a strategy for schedules with at most `faults` faults.
pub fn plans(faults: usize) -> impl Strategy<Value = Plan> {
    (
        any::<u64>(),
        vec(timed_fault(), 0..=faults),
        vec(submission(), 1..8),
    )
        .prop_map(|(seed, faults, submissions)| Plan {
            seed,
            faults,
            submissions,
        })
}

fn millis(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

fn timed_fault() -> impl Strategy<Value = TimedFault> {
    (millis(4_000..24_000), millis(300..12_000), fault()).prop_map(|(at, duration, fault)| {
        TimedFault {
            at,
            duration,
            fault,
        }
    })
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (0..8_usize).prop_map(Fault::KillDaemon),
        3 => (0..8_usize).prop_map(Fault::PauseDaemon),
        1 => (0..8_usize).prop_map(Fault::DrainDaemon),
        2 => (0..8_usize).prop_map(Fault::KillVm),
        1 => (0..8_usize).prop_map(Fault::PauseVm),
        2 => (link_end(), link_end()).prop_map(|(a, b)| Fault::OneWayPartition(a, b)),
        2 => (link_end(), link_end()).prop_map(|(a, b)| Fault::Partition(a, b)),
        1 => Just(Fault::PlatformDown),
        1 => Just(Fault::PlatformSlow),
        1 => Just(Fault::PlatformLosesAnswers),
        2 => Just(Fault::UnreliableNetwork),
    ]
}

fn link_end() -> impl Strategy<Value = LinkEnd> {
    prop_oneof![
        3 => (0..8_usize).prop_map(LinkEnd::Daemon),
        2 => (0..8_usize).prop_map(LinkEnd::Vm),
        2 => (0..4_usize).prop_map(LinkEnd::Zone),
        1 => Just(LinkEnd::Platform),
    ]
}

fn submission() -> impl Strategy<Value = Submission> {
    (
        (millis(4_000..24_000), 0..8_usize, 0..2_usize, 1..7_u32),
        (millis(500..9_000), any::<bool>()),
        proptest::option::weighted(0.2, millis(100..6_000)),
        proptest::bool::weighted(0.2),
    )
        .prop_map(
            |((at, daemon, team, count), (run_time, repeated), cancel, gang)| Submission {
                at,
                daemon,
                team,
                count,
                run_time,
                repeated,
                cancel,
                gang,
            },
        )
}
