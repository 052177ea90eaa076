//! What a schedule consists of: the cell, its work, and the faults with their times.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use ragwortstall::core::Safeguards;
use ragwortstall::core::lease::LeaseOptions;

/// Shape of the cell, and what is turned off in it.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub zones: usize,
    pub daemons_per_zone: usize,
    pub vms_per_zone: usize,
    pub lease: LeaseOptions,
    pub safeguards: Safeguards,
    /// VMs look at no epoch and no sequence number.
    pub unfenced: bool,
    /// Largest drift of a process's clock, in parts in a million.
    pub drift_ppm: u32,
    /// Daemons' clocks are as fast and VMs' clocks as slow as they may be.
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
pub enum Side {
    Daemon(usize),
    Vm(usize),
    Zone(usize),
    Platform,
}

/// What goes wrong. Positions are taken modulo the number there is.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process ends and is started again after the fault's time.
    KillDaemon(usize),
    /// The process stands still.
    PauseDaemon(usize),
    /// The process stops gracefully, and is started again after the fault's time.
    Drain(usize),
    /// The VM stops dead and comes back with nothing.
    KillVm(usize),
    /// The VM stands still.
    PauseVm(usize),
    /// Nothing passes from the first side to the second.
    Cut(Side, Side),
    /// Nothing passes either way.
    CutBoth(Side, Side),
    /// The platform refuses every call.
    StoreDown,
    /// The platform takes longer than its callers wait.
    StoreSlow,
    /// Transactions take effect and are not answered.
    StoreLosesAnswers,
    /// Messages are lost, doubled and held up.
    Noise,
}

/// A fault, when it begins, and how long it lasts.
#[derive(Clone, Copy, Debug)]
pub struct Timed {
    pub at: Duration,
    pub lasts: Duration,
    pub fault: Fault,
}

/// A submission.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub at: Duration,
    pub daemon: usize,
    pub team: usize,
    pub count: u32,
    pub run_time: Duration,
    /// The same job is submitted again to another daemon.
    pub again: bool,
    /// The job is cancelled after this time.
    pub cancel: Option<Duration>,
    pub gang: bool,
}

/// A whole schedule.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub faults: Vec<Timed>,
    pub work: Vec<Work>,
}

/// Time after which no fault begins, and after which all is mended.
pub const FAULTS_END: Duration = Duration::from_secs(30);

/// Schedules with at most `faults` faults.
pub fn plans(faults: usize) -> impl Strategy<Value = Plan> {
    (any::<u64>(), vec(timed(), 0..=faults), vec(work(), 1..8))
        .prop_map(|(seed, faults, work)| Plan { seed, faults, work })
}

fn millis(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

fn timed() -> impl Strategy<Value = Timed> {
    (millis(4_000..24_000), millis(300..12_000), fault()).prop_map(|(at, lasts, fault)| Timed {
        at,
        lasts,
        fault,
    })
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (0..8_usize).prop_map(Fault::KillDaemon),
        3 => (0..8_usize).prop_map(Fault::PauseDaemon),
        1 => (0..8_usize).prop_map(Fault::Drain),
        2 => (0..8_usize).prop_map(Fault::KillVm),
        1 => (0..8_usize).prop_map(Fault::PauseVm),
        2 => (side(), side()).prop_map(|(a, b)| Fault::Cut(a, b)),
        2 => (side(), side()).prop_map(|(a, b)| Fault::CutBoth(a, b)),
        1 => Just(Fault::StoreDown),
        1 => Just(Fault::StoreSlow),
        1 => Just(Fault::StoreLosesAnswers),
        2 => Just(Fault::Noise),
    ]
}

fn side() -> impl Strategy<Value = Side> {
    prop_oneof![
        3 => (0..8_usize).prop_map(Side::Daemon),
        2 => (0..8_usize).prop_map(Side::Vm),
        2 => (0..4_usize).prop_map(Side::Zone),
        1 => Just(Side::Platform),
    ]
}

fn work() -> impl Strategy<Value = Work> {
    (
        (millis(4_000..24_000), 0..8_usize, 0..2_usize, 1..7_u32),
        (millis(500..9_000), any::<bool>()),
        proptest::option::weighted(0.2, millis(100..6_000)),
        proptest::bool::weighted(0.2),
    )
        .prop_map(
            |((at, daemon, team, count), (run_time, again), cancel, gang)| Work {
                at,
                daemon,
                team,
                count,
                run_time,
                again,
                cancel,
                gang,
            },
        )
}
