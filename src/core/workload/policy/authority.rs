//! How long a placer may renew leases after its last heartbeat, and when it has to assume that it is
//! on the smaller side of a network partition.

use std::time::Duration;

/// While the table does not answer, the placer assumes a network partition if at least one in this
/// many VMs is silent.
const PARTITION_DIVISOR: usize = 4;

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

/// Returns whether so many VMs are silent that the placer may be cut off from a successor that can
/// reach them.
#[must_use]
pub fn is_minority(silent_vms: usize, vms: usize) -> bool {
    silent_vms * PARTITION_DIVISOR >= vms
}
