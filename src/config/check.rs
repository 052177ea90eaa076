//! Validation of the settings' values, each by itself and in relation to others.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use super::Config;
use super::section::DaemonSection;
use super::section::LeaseSection;
use super::section::LimitsSection;
use super::section::LogSection;
use super::section::MEMORY_PER_BODY;
use super::section::PeerSection;
use super::section::PlatformSection;
use super::section::PolicySection;
use super::section::RoutingSection;
use super::section::TimesSection;

/// Result of a check.
type Result<T, E = InvalidValue> = std::result::Result<T, E>;

/// Upper bound on `times.key_freshness`. A withdrawn key stops working within this time.
const KEY_FRESHNESS_MAX: Duration = Duration::from_secs(5);

/// Upper bound on durations in the settings, so that sums of them cannot overflow.
const DURATION_MAX: Duration = Duration::from_secs(30 * 24 * 60 * 60);

/// Number of renewals that must fit into a lease, so that it does not expire when one of them is
/// lost.
const RENEWALS_PER_LEASE: u32 = 2;

/// Exclusive upper bound on the clock drift, in parts per million. At this drift a lease would lose
/// half of its length.
const DRIFT_MAX_PPM: u32 = 500_000;

/// Upper bound on the weight of a policy measure, in thousandths.
const WEIGHT_MAX: u32 = 1_000_000;

/// Valid values of `limits.head_bytes`.
const HEAD_BYTES: RangeInclusive<usize> = 1_024..=1_048_576;

/// Length of a SHA-256 hash in hexadecimal digits.
const SHA256_HEX_DIGITS: usize = 64;

/// Accepted log levels.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// An invalid value, with the key and the reason.
#[derive(Debug)]
pub(super) struct InvalidValue {
    pub(super) key: Box<str>,
    pub(super) reason: Box<str>,
}

/// Checks all sections.
pub(super) fn check_all(cfg: &Config) -> Result<()> {
    daemon(&cfg.daemon)?;
    platform(&cfg.platform)?;
    peers(&cfg.daemon, &cfg.peers)?;
    lease(&cfg.lease)?;
    routing(&cfg.routing)?;
    policy(&cfg.policy)?;
    times(&cfg.times)?;
    log(&cfg.log)?;
    limits(&cfg.limits)
}

fn daemon(section: &DaemonSection) -> Result<()> {
    check_name("daemon.name", &section.name)?;
    check_name("daemon.zone", &section.zone)?;
    check_port("daemon.http", section.http.port())?;
    check_port("daemon.peer", section.peer.port())?;
    require(
        section.http != section.peer,
        "daemon.peer",
        "must differ from daemon.http",
    )?;
    let hash = section.operator_key_sha256.as_deref();
    require(
        hash.is_none_or(is_sha256),
        "daemon.operator_key_sha256",
        "must be 64 lower-case hexadecimal digits",
    )
}

fn platform(section: &PlatformSection) -> Result<()> {
    check_port("platform.address", section.address.port())?;
    check_duration("platform.timeout", section.timeout)
}

fn peers(daemon: &DaemonSection, peers: &[PeerSection]) -> Result<()> {
    let mut names = BTreeSet::from([&daemon.name]);
    for peer in peers {
        check_name("peers.name", &peer.name)?;
        check_name("peers.zone", &peer.zone)?;
        check_port("peers.http", peer.http.port())?;
        check_port("peers.peer", peer.peer.port())?;
        require(
            names.insert(&peer.name),
            "peers.name",
            &format!("duplicate name {}", peer.name),
        )?;
    }
    Ok(())
}

fn lease(section: &LeaseSection) -> Result<()> {
    check_duration("lease.renew_every", section.renew_every)?;
    check_duration("lease.lease", section.lease)?;
    check_duration("lease.task_lease", section.task_lease)?;
    require(
        section.drift_ppm < DRIFT_MAX_PPM,
        "lease.drift_ppm",
        &format!("must be less than {DRIFT_MAX_PPM}"),
    )?;
    require(
        section.renew_every * RENEWALS_PER_LEASE < min_lease(section),
        "lease.renew_every",
        &format!("must be less than 1/{RENEWALS_PER_LEASE} of lease.lease minus its clock drift"),
    )?;
    require(
        section.lease < section.task_lease,
        "lease.task_lease",
        "must be more than lease.lease",
    )
}

/// Returns the part of a lease that its holder can rely on despite clock drift.
fn min_lease(section: &LeaseSection) -> Duration {
    let drift = f64::from(section.drift_ppm) / 1e6;
    section.lease.mul_f64(1.0 - drift)
}

fn routing(section: &RoutingSection) -> Result<()> {
    require(
        section.retry_percent <= 100,
        "routing.retry_percent",
        "must be at most 100",
    )?;
    require(section.queue > 0, "routing.queue", "must be more than 0")?;
    check_duration("routing.loan", section.loan)?;
    check_duration("routing.claim_retention", section.claim_retention)
}

fn policy(section: &PolicySection) -> Result<()> {
    check_weight("policy.fairness", section.fairness)?;
    check_weight("policy.packing", section.packing)?;
    check_weight("policy.waiting", section.waiting)
}

fn times(section: &TimesSection) -> Result<()> {
    check_duration("times.poll_every", section.poll_every)?;
    check_duration("times.members_every", section.members_every)?;
    check_duration("times.heartbeat_every", section.heartbeat_every)?;
    check_duration("times.drain_timeout", section.drain_timeout)?;
    check_duration("times.zone_timeout", section.zone_timeout)?;
    require(
        section.key_freshness <= KEY_FRESHNESS_MAX,
        "times.key_freshness",
        &format!("must be at most {KEY_FRESHNESS_MAX:?}"),
    )?;
    require(
        section.poll_every < section.key_freshness,
        "times.poll_every",
        "must be less than times.key_freshness",
    )?;
    require(
        section.heartbeat_every < section.peer_timeout,
        "times.heartbeat_every",
        "must be less than times.peer_timeout",
    )?;
    require(
        section.peer_timeout <= section.zone_timeout,
        "times.peer_timeout",
        "must be at most times.zone_timeout",
    )
}

fn log(section: &LogSection) -> Result<()> {
    require(
        LOG_LEVELS.contains(&&*section.level),
        "log.level",
        &format!("must be one of {}", LOG_LEVELS.join(", ")),
    )
}

fn limits(section: &LimitsSection) -> Result<()> {
    require(
        section.body_bytes > 0,
        "limits.body_bytes",
        "must be more than 0",
    )?;
    check_duration("limits.timeout", section.timeout)?;
    require(
        HEAD_BYTES.contains(&section.head_bytes),
        "limits.head_bytes",
        &format!(
            "must be from {} to {}",
            HEAD_BYTES.start(),
            HEAD_BYTES.end()
        ),
    )?;
    check_duration("limits.head_timeout", section.head_timeout)?;
    check_duration("limits.idle_timeout", section.idle_timeout)?;
    require(
        section.memory() / MEMORY_PER_BODY >= section.body_bytes,
        "limits.memory_bytes",
        &format!("must be at least {MEMORY_PER_BODY} times limits.body_bytes"),
    )
}

/// Returns an error for `key` with `reason` unless `condition` is true.
fn require(condition: bool, key: &str, reason: &str) -> Result<()> {
    if condition {
        return Ok(());
    }
    Err(InvalidValue {
        key: key.into(),
        reason: reason.into(),
    })
}

/// Checks a name. Names are parts of table row keys, in which `/` is the separator.
fn check_name(key: &str, name: &str) -> Result<()> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    require(
        !name.is_empty() && name.chars().all(is_allowed),
        key,
        "must be one or more of letters, digits, '-', '_' and '.'",
    )
}

fn check_port(key: &str, port: u16) -> Result<()> {
    require(port != 0, key, "must have a port other than 0")
}

fn check_duration(key: &str, time: Duration) -> Result<()> {
    require(!time.is_zero(), key, "must be more than 0s")?;
    require(
        time <= DURATION_MAX,
        key,
        &format!(
            "must be at most {}",
            humantime::format_duration(DURATION_MAX)
        ),
    )
}

fn check_weight(key: &str, weight: u32) -> Result<()> {
    require(
        weight <= WEIGHT_MAX,
        key,
        &format!("must be at most {WEIGHT_MAX}"),
    )
}

fn is_sha256(text: &str) -> bool {
    let is_hex_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == SHA256_HEX_DIGITS && text.bytes().all(is_hex_digit)
}
