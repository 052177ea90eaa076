//! When a placer may renew leases: for a time after its last heartbeat, and then only while most VMs
//! confirm that no successor has reached them.

use std::time::Duration;

/// While the table does not answer, the placer assumes that it has been replaced if at least one in
/// this many VMs does not confirm the contrary.
const PARTITION_DIVISOR: usize = 4;

/// A successor that has reached one in this many VMs has reached one of those that the former placer
/// needs. It is a larger part than that, as the two may know different fleets.
const FENCED_DIVISOR: usize = 3;

/// Returns the time after a stored heartbeat for which a placer may renew leases although it stores
/// no other. A cut that begins just before the next heartbeat is noticed when the renewals in flight
/// time out, which takes `detection`; the second interval covers the way of the heartbeats.
#[must_use]
pub fn renewal_grace(
    grace: Duration,
    heartbeat_interval: Duration,
    detection: Duration,
) -> Duration {
    grace.max(detection + heartbeat_interval * 2)
}

/// Shortest grace that a successor may count from, as heartbeats name it: a heartbeat whose answer is
/// not known may have been received, and one that was sent before the fleet grew names less than a
/// later one.
#[derive(Clone, Copy, Debug)]
pub struct NamedGrace {
    shortest: Duration,
    /// The same without the heartbeats before the one in flight.
    since_in_flight: Duration,
}

impl NamedGrace {
    /// Returns the state before any heartbeat has named a grace.
    #[must_use]
    pub fn new() -> Self {
        Self {
            shortest: Duration::MAX,
            since_in_flight: Duration::MAX,
        }
    }

    /// Records a heartbeat whose outcome will be known.
    pub fn send(&mut self, grace: Duration) {
        self.since_in_flight = Duration::MAX;
        self.send_late(grace);
    }

    /// Records a heartbeat beside the one in flight.
    pub fn send_late(&mut self, grace: Duration) {
        self.shortest = self.shortest.min(grace);
        self.since_in_flight = self.since_in_flight.min(grace);
    }

    /// Records that the heartbeat in flight is stored, so that no successor counts from earlier ones.
    pub fn confirm(&mut self) {
        self.shortest = self.since_in_flight;
    }

    /// Returns the shortest grace that a successor may count from.
    #[must_use]
    pub fn shortest(&self) -> Duration {
        self.shortest
    }
}

impl Default for NamedGrace {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns whether so many VMs have not confirmed lately that the placer is not replaced that a
/// successor may have reached them.
#[must_use]
pub fn is_minority(unconfirmed_vms: usize, vms: usize) -> bool {
    unconfirmed_vms * PARTITION_DIVISOR >= vms
}

/// Returns whether a successor has reached so many VMs that a former placer without the table learns
/// of it.
#[must_use]
pub fn stops_former(fenced_vms: usize, vms: usize) -> bool {
    fenced_vms * FENCED_DIVISOR >= vms
}
