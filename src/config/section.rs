//! Sections of the settings file, with their defaults.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

use crate::core::Options;
use crate::core::lease::LeaseOptions;
use crate::core::model::Member;
use crate::core::model::MemberRole;
use crate::core::model::MemberState;
use crate::core::model::RequestLimits;
use crate::core::routing::RoutingOptions;
use crate::core::sched::Weights;

/// Default maximum size of the body of a request or its response, in bytes.
const DEFAULT_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Default timeout of a request that names none.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Default memory of the process, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;

/// Number of times that a body of the largest size must fit into the memory: an eighth of it holds bodies, and
/// one that has been received is held twice while it is put together.
pub(super) const MEMORY_PER_BODY: usize = 16;

/// Default timeout of calls to the platform.
const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Identity and addresses of the daemon.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSection {
    /// Name, unique in the cell.
    pub name: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Listening address for callers and operators.
    pub http: SocketAddr,
    /// Listening address for other daemons.
    pub peer: SocketAddr,
    /// Lower-case hexadecimal SHA-256 of the operators' key; without it, records cannot be read or
    /// written through this daemon.
    pub operator_key_sha256: Option<Box<str>>,
}

/// Address of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    /// Address of the platform's interface.
    pub address: SocketAddr,
    /// Timeout of a call.
    #[serde(default = "platform_timeout", deserialize_with = "duration")]
    pub timeout: Duration,
}

/// Another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSection {
    /// Name.
    pub name: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Listening address for callers and operators.
    pub http: SocketAddr,
    /// Listening address for other daemons.
    pub peer: SocketAddr,
}

/// Durations of the lease protocol.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSection {
    /// Time for which a VM accepts no other lease holder.
    #[serde(deserialize_with = "duration")]
    pub lease: Duration,
    /// Time for which tasks continue to run without a renewal.
    #[serde(deserialize_with = "duration")]
    pub task_lease: Duration,
    /// Interval between renewals of one VM's lease.
    #[serde(deserialize_with = "duration")]
    pub renew_every: Duration,
    /// Upper bound on clock drift, in parts per million.
    pub drift_ppm: u32,
}

/// Settings of the request router.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSection {
    /// Allowed retries, as a percentage of first attempts.
    pub retry_percent: u32,
    /// Maximum number of requests queued for each service.
    pub queue: usize,
    /// Time for which a borrower may use lent slots.
    #[serde(deserialize_with = "duration")]
    pub loan: Duration,
    /// Time for which a claimed request id is retained.
    #[serde(deserialize_with = "duration")]
    pub claim_retention: Duration,
}

/// Weights of the policy measures, in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySection {
    /// Weight of fairness: keeping each team close to its share.
    pub fairness: u32,
    /// Weight of packing: placing tasks tightly on VMs.
    pub packing: u32,
    /// Weight of waiting: keeping wait times short.
    pub waiting: u32,
}

/// Intervals and timeouts of reads from the platform, heartbeats and shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimesSection {
    /// Maximum age at which the daemon's copy of the keys is trusted.
    #[serde(deserialize_with = "duration")]
    pub key_freshness: Duration,
    /// Interval between reads of the table.
    #[serde(deserialize_with = "duration")]
    pub poll_every: Duration,
    /// Interval between reads of the membership list.
    #[serde(deserialize_with = "duration")]
    pub members_every: Duration,
    /// Interval between heartbeats to each peer.
    #[serde(deserialize_with = "duration")]
    pub heartbeat_every: Duration,
    /// Time without a heartbeat after which a peer is considered unreachable.
    #[serde(deserialize_with = "duration")]
    pub peer_timeout: Duration,
    /// Time without contact to a zone's placer after which other zones take over its service
    /// instances.
    #[serde(deserialize_with = "duration")]
    pub zone_timeout: Duration,
    /// Upper bound on the duration of a graceful shutdown.
    #[serde(deserialize_with = "duration")]
    pub drain_timeout: Duration,
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSection {
    /// Lowest level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Box<str>,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsSection {
    /// Maximum size of the body of a request or its response, in bytes.
    pub body_bytes: usize,
    /// Timeout of a request that names none.
    #[serde(deserialize_with = "duration")]
    pub timeout: Duration,
    /// Maximum size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// Maximum time in which a caller sends a head.
    #[serde(deserialize_with = "duration")]
    pub head_timeout: Duration,
    /// Maximum time for which a connection has no traffic.
    #[serde(deserialize_with = "duration")]
    pub idle_timeout: Duration,
    /// Memory of the process, of which shares bound the open connections, in bytes; `None` for
    /// [`DEFAULT_MEMORY_BYTES`], or more where the largest body calls for it.
    pub memory_bytes: Option<usize>,
    /// Descriptors that the process may open, of which shares bound the open connections; `None` for what
    /// the system allows it.
    pub descriptors: Option<usize>,
}

impl PeerSection {
    /// Returns the daemon as an entry of the membership list.
    #[must_use]
    pub fn to_member(&self) -> Member {
        Member {
            id: self.name.clone(),
            address: self.http.to_string().into(),
            zone: self.zone.clone(),
            role: MemberRole::Entry {
                peer: self.peer.to_string().into(),
            },
            state: MemberState::Live,
        }
    }
}

impl LimitsSection {
    /// Returns the memory of the process, in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        let for_body = self.body_bytes.saturating_mul(MEMORY_PER_BODY);
        let default = DEFAULT_MEMORY_BYTES.max(for_body);
        self.memory_bytes.unwrap_or(default)
    }

    /// Returns the limits of callers' requests.
    #[must_use]
    pub fn requests(&self) -> RequestLimits {
        RequestLimits {
            head_bytes: self.head_bytes,
            body_bytes: self.body_bytes,
            head_timeout: self.head_timeout,
            idle_timeout: self.idle_timeout,
        }
    }
}

impl TimesSection {
    /// Copies the values to the reducer's options.
    pub(super) fn apply_to(&self, options: &mut Options) {
        options.key_freshness = self.key_freshness;
        options.poll_every = self.poll_every;
        options.members_every = self.members_every;
        options.heartbeat_every = self.heartbeat_every;
        options.peer_timeout = self.peer_timeout;
        options.zone_timeout = self.zone_timeout;
        options.drain_timeout = self.drain_timeout;
    }
}

impl Default for LeaseSection {
    fn default() -> Self {
        let options = LeaseOptions::default();
        Self {
            lease: options.lease,
            task_lease: options.task_lease,
            renew_every: options.renew_every,
            drift_ppm: options.drift_ppm,
        }
    }
}

impl Default for RoutingSection {
    fn default() -> Self {
        let options = RoutingOptions::default();
        Self {
            retry_percent: options.retry_percent,
            queue: options.queue_capacity,
            loan: options.loan_duration,
            claim_retention: options.claim_retention,
        }
    }
}

impl Default for PolicySection {
    fn default() -> Self {
        let weights = Weights::default();
        Self {
            fairness: weights.fairness,
            packing: weights.packing,
            waiting: weights.waiting,
        }
    }
}

impl Default for TimesSection {
    fn default() -> Self {
        let options = Options::new("".into(), "".into());
        Self {
            key_freshness: options.key_freshness,
            poll_every: options.poll_every,
            members_every: options.members_every,
            heartbeat_every: options.heartbeat_every,
            peer_timeout: options.peer_timeout,
            zone_timeout: options.zone_timeout,
            drain_timeout: options.drain_timeout,
        }
    }
}

impl Default for LogSection {
    fn default() -> Self {
        Self {
            level: "info".into(),
        }
    }
}

impl Default for LimitsSection {
    fn default() -> Self {
        let requests = RequestLimits::default();
        Self {
            body_bytes: DEFAULT_BODY_BYTES,
            timeout: DEFAULT_REQUEST_TIMEOUT,
            head_bytes: requests.head_bytes,
            head_timeout: requests.head_timeout,
            idle_timeout: requests.idle_timeout,
            memory_bytes: None,
            descriptors: None,
        }
    }
}

fn platform_timeout() -> Duration {
    DEFAULT_PLATFORM_TIMEOUT
}

/// Deserializes a duration such as "1m 30s"; the error quotes the text and states the reason.
fn duration<'de, D: Deserializer<'de>>(de: D) -> Result<Duration, D::Error> {
    let text = Box::<str>::deserialize(de)?;
    humantime::parse_duration(&text).map_err(|err| D::Error::custom(format!("\"{text}\": {err}")))
}
