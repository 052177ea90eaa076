//! Options of the workload reducer and their defaults.

use std::time::Duration;

use super::capacity::HostCapacity;
use super::policy::authority;
use super::policy::evacuation;
use crate::core::model::DaemonId;
use crate::core::model::ZoneId;

/// Options of a daemon's reducer.
#[derive(Clone, Debug)]
pub struct Options {
    /// Identifier of this daemon.
    pub daemon: DaemonId,
    /// Availability zone of this daemon.
    pub zone: ZoneId,
    /// Address of this daemon for calls from other daemons.
    pub peer_address: Box<str>,
    /// Capacity of this daemon's host.
    pub capacity: HostCapacity,
    /// Random number that distinguishes this process from earlier processes of the same daemon.
    pub nonce: u64,
    /// Name of the part of the cell whose VMs are managed by one placer, which is this daemon or
    /// another daemon of the part. The placer's rows are in the table parts of the same name.
    pub part: Box<str>,
    /// Longest time from when this daemon reports that it is not ready until the load balancer
    /// sends new callers elsewhere.
    pub removal_delay: Duration,
    /// Maximum time from the start of the drain to the exit of the process.
    pub drain_timeout: Duration,
    /// Options of table calls.
    pub table: TableOptions,
    /// Options of the placer role.
    pub placer: PlacerOptions,
    /// Options of requests to VMs and to the advice service.
    pub vms: VmOptions,
}

/// Timeouts, delays and batch limits of table calls.
#[derive(Clone, Debug)]
pub struct TableOptions {
    /// Timeout of a transaction, after which its outcome is unknown.
    pub commit_timeout: Duration,
    /// Timeout of a read.
    pub read_timeout: Duration,
    /// Maximum time that a watch waits for a change.
    pub watch_wait: Duration,
    /// Time beyond `watch_wait` after which a watch times out.
    pub watch_margin: Duration,
    /// Delay before a failed call is retried.
    pub retry_delay: Duration,
    /// Time that a submission waits for others to share its transaction.
    pub batch_delay: Duration,
    /// Maximum number of jobs in a transaction.
    pub batch_jobs: usize,
    /// Maximum size of a row's value, in bytes.
    pub max_value_bytes: usize,
    /// Time without an answer from the table after which the daemon reports that it is not ready.
    pub stale_after: Duration,
}

/// Timing of the placer role.
#[derive(Clone, Debug)]
pub struct PlacerOptions {
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which the placer is replaced.
    pub takeover_after: Duration,
    /// Time without a page of its rows after which a placer that is loading gives up the role.
    pub load_timeout: Duration,
    /// Shortest time for which a placer without access to the table keeps renewing leases although
    /// many VMs do not answer either.
    pub partition_grace: Duration,
    /// Minimum interval between writes of progress.
    pub progress_interval: Duration,
    /// Minimum interval between placement rounds.
    pub dispatch_interval: Duration,
    /// Time after the end of a job for which its state can be queried.
    pub retention: Duration,
    /// Time by which an occurrence may start before its scheduled time.
    pub early_start: Duration,
    /// Maximum time after a request to evacuate a zone at which a task may start there; `None` if
    /// there is no such bound.
    pub evacuation_bound: Option<Duration>,
}

/// Timing and limits of requests to VMs and to the advice service.
#[derive(Clone, Debug)]
pub struct VmOptions {
    /// Lease duration requested by a renewal.
    pub lease: Duration,
    /// Maximum lease duration that a VM grants.
    pub max_lease: Duration,
    /// Time that a renewal waits for a run to end, in a small fleet.
    pub renewal_wait: Duration,
    /// Upper limit of that time in a large fleet.
    pub max_renewal_wait: Duration,
    /// Target for the maximum rate of renewals, per second.
    pub renewals_per_second: u32,
    /// Shortest interval of the calls to a VM by which a placer without the table finds out whether it
    /// has been replaced.
    pub confirmation_interval: Duration,
    /// Time beyond the wait of a renewal after which a VM that does not answer gets no new tasks.
    pub unresponsive_after: Duration,
    /// Time beyond its wait after which a renewal times out.
    pub renewal_margin: Duration,
    /// Timeout of an order.
    pub order_timeout: Duration,
    /// Maximum number of concurrent orders to a VM, in addition to its renewal.
    pub max_orders: usize,
    /// Minimum interval between renewals of a VM, so that several ended runs are reported in one
    /// answer.
    pub renewal_gap: Duration,
    /// Delay before a failed request to a VM is retried.
    pub retry_delay: Duration,
    /// Maximum time that a VM takes to stop a task.
    pub stop_timeout: Duration,
    /// Time without an answer after which an unlisted VM is removed from the fleet.
    pub forget_after: Duration,
    /// Maximum number of VMs named in an advice query, other than those that a gang has asked about
    /// before.
    pub max_advice_vms: usize,
    /// Maximum number of VMs named in an advice query for a gang.
    pub max_gang_advice_vms: usize,
    /// Maximum number of concurrent advice queries through the same daemon.
    pub advice_per_daemon: u32,
    /// Time beyond the expected duration after which an advice query times out.
    pub advice_margin: Duration,
}

impl Options {
    /// Returns the default options of a daemon.
    #[must_use]
    pub fn new(daemon: &str, zone: &str, nonce: u64) -> Self {
        Self {
            daemon: daemon.into(),
            zone: zone.into(),
            peer_address: "".into(),
            capacity: HostCapacity::default(),
            nonce,
            part: "p0".into(),
            removal_delay: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(4),
            table: TableOptions::default(),
            placer: PlacerOptions::default(),
            vms: VmOptions::default(),
        }
    }

    /// Returns the longest time for which a placer may renew leases after its last heartbeat, in a
    /// fleet of any size.
    #[must_use]
    pub fn max_renewal_grace(&self) -> Duration {
        self.renewal_grace(self.vms.max_renewal_wait)
    }

    /// Returns the time for which a placer may renew leases after its last heartbeat if a renewal
    /// waits for `renewal_wait`.
    #[must_use]
    pub fn renewal_grace(&self, renewal_wait: Duration) -> Duration {
        let detection = renewal_wait + self.vms.renewal_margin;
        let options = &self.placer;
        authority::renewal_grace(
            options.partition_grace,
            options.heartbeat_interval,
            detection,
        )
    }

    /// Returns the interval of the calls to a VM by which a placer without the table finds out whether
    /// it has been replaced, in a fleet of this size.
    #[must_use]
    pub fn confirmation_interval(&self, vms: usize) -> Duration {
        let options = &self.vms;
        let vms = u32::try_from(vms).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1) * vms / options.renewals_per_second.max(1);
        interval.clamp(options.confirmation_interval, options.max_renewal_wait)
    }

    /// Returns the age up to which the answer of a VM confirms that a placer without the table has not
    /// been replaced, in a fleet of this size. It is counted from the call.
    #[must_use]
    pub fn max_confirmation_age(&self, vms: usize) -> Duration {
        self.confirmation_interval(vms) + self.vms.renewal_margin
    }

    /// Returns the same for a fleet of any size. A placer of an earlier version, which does without such
    /// answers, is refused by a VM that its successor has reached within that time.
    #[must_use]
    pub fn longest_confirmation_age(&self) -> Duration {
        self.max_confirmation_age(usize::MAX)
    }

    /// Returns the age up to which the view of the evacuation requests may be relied on; `None` for
    /// any age.
    #[must_use]
    pub fn max_evacuation_view_age(&self) -> Option<Duration> {
        let bound = self.placer.evacuation_bound?;
        Some(evacuation::max_view_age(bound, self.vms.order_timeout))
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
            max_value_bytes: 49_152,
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
            partition_grace: Duration::from_secs(2),
            progress_interval: Duration::from_millis(20),
            dispatch_interval: Duration::from_millis(20),
            retention: Duration::from_secs(150),
            early_start: Duration::from_millis(50),
            evacuation_bound: None,
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
            confirmation_interval: Duration::from_millis(400),
            unresponsive_after: Duration::from_millis(250),
            renewal_margin: Duration::from_millis(500),
            order_timeout: Duration::from_millis(600),
            max_orders: 3,
            renewal_gap: Duration::from_millis(30),
            retry_delay: Duration::from_millis(250),
            stop_timeout: Duration::from_secs(1),
            forget_after: Duration::from_secs(8),
            max_advice_vms: 30,
            max_gang_advice_vms: 100,
            advice_per_daemon: 1,
            advice_margin: Duration::from_secs(1),
        }
    }
}
