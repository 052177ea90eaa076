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
use crate::core::routing::RoutingOptions;
use crate::core::sched::Weights;

/// Default bound on the body of a request or of its answer, in bytes.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Default patience of a caller that names none.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Default patience with the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Who and where the daemon is.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSection {
    /// Name, unique in the cell.
    pub name: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Lower-case hexadecimal SHA-256 of the operators' key; without it, records cannot be written.
    pub operator_key_sha256: Option<Box<str>>,
}

/// Where the platform is.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    /// Address of the platform's interface.
    pub address: SocketAddr,
    /// Time after which a call counts as unanswered.
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
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
}

/// Times of the lease protocol.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSection {
    /// How long a VM accepts no other holder.
    #[serde(deserialize_with = "duration")]
    pub lease: Duration,
    /// How long tasks run on without a renewal.
    #[serde(deserialize_with = "duration")]
    pub task_lease: Duration,
    /// Time between renewals of one VM.
    #[serde(deserialize_with = "duration")]
    pub renew_every: Duration,
    /// Bound on the drift of clocks, in parts in a million.
    pub drift_ppm: u32,
}

/// Settings of the request router.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSection {
    /// Retries allowed, as a percentage of first attempts.
    pub retry_percent: u32,
    /// Requests that may wait for each service.
    pub queue: usize,
    /// How long lent slots may be used.
    #[serde(deserialize_with = "duration")]
    pub loan: Duration,
    /// How long a claimed request id is remembered.
    #[serde(deserialize_with = "duration")]
    pub claim_retention: Duration,
}

/// How the measures are weighed, in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySection {
    /// Closeness of each team to its share.
    pub fairness: u32,
    /// Tightness of packing.
    pub packing: u32,
    /// Shortness of waiting.
    pub waiting: u32,
}

/// Times of the views, heartbeats and shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimesSection {
    /// Age up to which a view of the keys is relied on.
    #[serde(deserialize_with = "duration")]
    pub key_freshness: Duration,
    /// Time between reads of the table.
    #[serde(deserialize_with = "duration")]
    pub poll_every: Duration,
    /// Time between reads of the membership list.
    #[serde(deserialize_with = "duration")]
    pub members_every: Duration,
    /// Time between heartbeats to each peer.
    #[serde(deserialize_with = "duration")]
    pub heartbeat_every: Duration,
    /// Silence after which a peer counts as unreachable.
    #[serde(deserialize_with = "duration")]
    pub peer_timeout: Duration,
    /// Silence of a zone's placer after which other zones take over its service instances.
    #[serde(deserialize_with = "duration")]
    pub zone_timeout: Duration,
    /// Bound on a graceful shutdown.
    #[serde(deserialize_with = "duration")]
    pub drain_timeout: Duration,
}

/// What is logged.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSection {
    /// Least level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Box<str>,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsSection {
    /// Bound on the body of a request or of its answer.
    pub body_bytes: usize,
    /// Patience of a caller that names none.
    #[serde(deserialize_with = "duration")]
    pub timeout: Duration,
}

impl PeerSection {
    /// The daemon as an entry of the membership list.
    #[must_use]
    pub fn member(&self) -> Member {
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

impl TimesSection {
    pub(super) fn apply(&self, options: &mut Options) {
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
        Self {
            body_bytes: BODY_BYTES,
            timeout: CALL_TIMEOUT,
        }
    }
}

fn platform_timeout() -> Duration {
    PLATFORM_TIMEOUT
}

/// Reads a time such as "1m 30s"; the error tells what is wrong with the text.
fn duration<'de, D: Deserializer<'de>>(de: D) -> Result<Duration, D::Error> {
    let text = Box::<str>::deserialize(de)?;
    humantime::parse_duration(&text).map_err(|err| D::Error::custom(format!("\"{text}\": {err}")))
}
