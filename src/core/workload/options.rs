//! Settings of the workload reducer, with their defaults.

use std::time::Duration;

use crate::core::model::DaemonId;
use crate::core::model::ZoneId;

/// Settings of one daemon's reducer.
#[derive(Clone, Debug)]
pub struct Options {
    /// This daemon.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address at which other daemons reach it.
    pub peer_address: Box<str>,
    /// Distinguishes this process from earlier ones of the same daemon.
    pub nonce: u64,
    /// Part of the VMs that the placer of this daemon's group holds.
    pub part: Box<str>,
    /// Longest time from the order to stop to the end of the process.
    pub drain_timeout: Duration,
    /// Table calls.
    pub table: TableOptions,
    /// The placer's role.
    pub placer: PlacerOptions,
    /// Orders to VMs.
    pub vms: VmOptions,
}

/// Time limits of table calls.
#[derive(Clone, Debug)]
pub struct TableOptions {
    /// A transaction without an answer is then unknown.
    pub commit_timeout: Duration,
    /// A read without an answer is then given up.
    pub read_timeout: Duration,
    /// Longest time for which a watch waits for a change.
    pub watch_wait: Duration,
    /// Time beyond `watch_wait` after which a watch counts as silent.
    pub watch_margin: Duration,
    /// Delay before a failed call is repeated.
    pub retry_delay: Duration,
    /// Time that submissions wait for others to share a transaction.
    pub batch_delay: Duration,
    /// Largest number of jobs in one transaction.
    pub batch_jobs: usize,
    /// A daemon without an answer from the table for longer reports itself not ready.
    pub stale_after: Duration,
}

/// Times of the placer's role.
#[derive(Clone, Debug)]
pub struct PlacerOptions {
    /// Interval of heartbeats.
    pub heartbeat_interval: Duration,
    /// A placer without a heartbeat for longer is replaced.
    pub takeover_after: Duration,
    /// Time that a new placer has to read what it needs.
    pub load_timeout: Duration,
    /// A placer without the table goes on renewing leases for this long if many VMs are silent too.
    pub isolation_grace: Duration,
    /// Least time between two writes of progress.
    pub progress_interval: Duration,
    /// Least time between two rounds of placement.
    pub dispatch_interval: Duration,
    /// Time after a job ended for which its state can be asked.
    pub retention: Duration,
    /// An occurrence may start this much before its time.
    pub early_start: Duration,
}

/// Times of orders to VMs.
#[derive(Clone, Debug)]
pub struct VmOptions {
    /// Lease that a renewal asks for.
    pub lease: Duration,
    /// Longest lease that a VM grants.
    pub max_lease: Duration,
    /// Time for which a renewal waits for the end of a task, in a small fleet.
    pub renewal_wait: Duration,
    /// The same in a large fleet.
    pub max_renewal_wait: Duration,
    /// Renewals a second that the placer aims not to exceed.
    pub renewals_per_second: u32,
    /// A VM silent for longer gets no new work.
    pub unresponsive_after: Duration,
    /// Time beyond the wait after which a renewal counts as lost.
    pub renewal_margin: Duration,
    /// Time after which an order counts as lost.
    pub order_timeout: Duration,
    /// Least time between two renewals of a VM, so that ends share an answer.
    pub renewal_gap: Duration,
    /// Delay before a VM that did not answer is asked again.
    pub retry_delay: Duration,
    /// Longest time that a stop takes on a VM.
    pub stop_timeout: Duration,
    /// Time after which an unlisted VM that does not answer is forgotten.
    pub forget_after: Duration,
    /// Largest number of VMs named in one request for advice.
    pub max_advice_vms: usize,
    /// Requests for advice under way at a time by way of one daemon.
    pub advice_per_daemon: u32,
    /// Time beyond the expected one after which a request for advice counts as lost.
    pub advice_margin: Duration,
}

impl Options {
    /// Defaults for a daemon.
    #[must_use]
    pub fn new(daemon: &str, zone: &str, nonce: u64) -> Self {
        Self {
            daemon: daemon.into(),
            zone: zone.into(),
            peer_address: "".into(),
            nonce,
            part: "p0".into(),
            drain_timeout: Duration::from_secs(4),
            table: TableOptions::default(),
            placer: PlacerOptions::default(),
            vms: VmOptions::default(),
        }
    }
}

impl Default for TableOptions {
    fn default() -> Self {
        Self {
            commit_timeout: Duration::from_secs(2),
            read_timeout: Duration::from_millis(800),
            watch_wait: Duration::from_secs(1),
            watch_margin: Duration::from_millis(600),
            retry_delay: Duration::from_millis(150),
            batch_delay: Duration::from_millis(4),
            batch_jobs: 40,
            stale_after: Duration::from_millis(2_500),
        }
    }
}

impl Default for PlacerOptions {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(250),
            takeover_after: Duration::from_millis(1_100),
            load_timeout: Duration::from_secs(4),
            isolation_grace: Duration::from_secs(2),
            progress_interval: Duration::from_millis(20),
            dispatch_interval: Duration::from_millis(20),
            retention: Duration::from_secs(150),
            early_start: Duration::from_millis(50),
        }
    }
}

impl Default for VmOptions {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(3_600),
            max_lease: Duration::from_secs(6),
            renewal_wait: Duration::from_millis(900),
            max_renewal_wait: Duration::from_secs(2),
            renewals_per_second: 100,
            unresponsive_after: Duration::from_millis(250),
            renewal_margin: Duration::from_millis(500),
            order_timeout: Duration::from_millis(600),
            renewal_gap: Duration::from_millis(30),
            retry_delay: Duration::from_millis(250),
            stop_timeout: Duration::from_secs(1),
            forget_after: Duration::from_secs(8),
            max_advice_vms: 30,
            advice_per_daemon: 1,
            advice_margin: Duration::from_secs(1),
        }
    }
}
