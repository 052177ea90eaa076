//! Simulated network: delays, losses and partitions.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::plan::LinkEnd;
use super::plan::Setup;

/// A process on the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    Daemon(usize),
    Vm(usize),
    Platform,
}

/// A one-way partition.
#[derive(Clone, Copy, Debug)]
struct Partition {
    from: LinkEnd,
    to: LinkEnd,
    until: Duration,
}

/// The network between all processes.
#[derive(Debug)]
pub struct Network {
    setup: Setup,
    partitions: Vec<Partition>,
    unreliable_until: Duration,
}

impl Network {
    pub fn new(setup: Setup) -> Self {
        Self {
            setup,
            partitions: Vec::new(),
            unreliable_until: Duration::ZERO,
        }
    }

    /// Drops all messages from `from` to `to` until a given time.
    pub fn partition(&mut self, from: LinkEnd, to: LinkEnd, until: Duration) {
        self.partitions.push(Partition { from, to, until });
    }

    /// Loses, duplicates and delays messages at random until a given time.
    pub fn set_unreliable(&mut self, until: Duration) {
        self.unreliable_until = until;
    }

    /// Ends all partitions and the random faults.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.unreliable_until = Duration::ZERO;
    }

    /// Returns the delays after which copies of a message arrive; empty if the message is lost.
    pub fn delays(
        &self,
        now: Duration,
        from: Process,
        to: Process,
        rng: &mut SmallRng,
    ) -> Vec<Duration> {
        let partition = self.partitions.iter().any(|partition| {
            now < partition.until
                && self.covers(partition.from, from)
                && self.covers(partition.to, to)
        });
        if partition {
            return Vec::new();
        }
        let mut delays = vec![Duration::from_micros(rng.random_range(500..3_000))];
        if now < self.unreliable_until {
            if rng.random_bool(0.15) {
                return Vec::new();
            }
            if rng.random_bool(0.15) {
                delays[0] += Duration::from_millis(rng.random_range(10..6_000));
            }
            if rng.random_bool(0.1) {
                delays.push(Duration::from_millis(rng.random_range(1..4_000)));
            }
        }
        delays
    }

    fn covers(&self, link_end: LinkEnd, process: Process) -> bool {
        let daemons = self.setup.zones * self.setup.daemons_per_zone;
        let vms = self.setup.zones * self.setup.vms_per_zone;
        match (link_end, process) {
            (LinkEnd::Daemon(a), Process::Daemon(b)) => a % daemons == b,
            (LinkEnd::Vm(a), Process::Vm(b)) => a % vms == b,
            (LinkEnd::Zone(a), Process::Daemon(b)) => {
                a % self.setup.zones == b / self.setup.daemons_per_zone
            }
            (LinkEnd::Zone(a), Process::Vm(b)) => {
                a % self.setup.zones == b / self.setup.vms_per_zone
            }
            (LinkEnd::Platform, Process::Platform) => true,
            _ => false,
        }
    }
}
