//! Options of the simulated daemons.

use std::time::Duration;

use ragwortstall::core::workload::Options;
use ragwortstall::core::workload::capacity::HostCapacity;

/// Number of concurrent orders to a VM: the schedules of the tests assume that all starts of a round
/// arrive at the same time. Tests of orders that wait use the default.
const MAX_ORDERS: usize = 10_000;

/// Returns the options of a process of a daemon.
pub(super) fn options(
    name: &str,
    capacity: HostCapacity,
    lifetime: u64,
    stop_time: Duration,
) -> Options {
    // Differs between daemons and between processes of a daemon.
    let nonce = name.bytes().map(u64::from).sum::<u64>() * 37 + lifetime;
    let mut options = Options::new(name, "zone-a", nonce);
    options.capacity = capacity;
    options.vms.stop_timeout = stop_time;
    options.vms.max_orders = MAX_ORDERS;
    options.peer_address = name.into();
    options
}
