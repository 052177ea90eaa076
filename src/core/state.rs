//! State of one daemon.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::job::Jobs;
use super::key::KeyVerifier;
use super::lease::LeaseOptions;
use super::model::DaemonId;
use super::model::Member;
use super::model::Now;
use super::model::ZoneId;
use super::peers::Peers;
use super::placer::Placer;
use super::polls::Polls;
use super::record::RecordWriter;
use super::record::Records;
use super::routing::Router;
use super::routing::RoutingOptions;
use super::sched::Weights;

/// Safeguards of the placer. A test can disable each one to prove that its checks detect the fault
/// that the safeguard prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// Reduces each team's limit by the capacity of the VMs whose running tasks are unknown.
    pub reserve_unknown_capacity: bool,
    /// Restricts each zone to its allotment of a team's limit.
    pub escrow: bool,
    /// Makes a new placer defer jobs of earlier placers until it knows which tasks run.
    pub defer_existing_jobs: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            reserve_unknown_capacity: true,
            escrow: true,
            defer_existing_jobs: true,
        }
    }
}

/// Settings of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of this daemon.
    pub me: DaemonId,
    /// Availability zone of this daemon.
    pub zone: ZoneId,
    /// Wall time since the Unix epoch at which the reducer's clock read zero.
    pub clock_origin: Duration,
    /// Entry VMs from the settings, used until the membership list is read.
    pub seeds: Vec<Member>,
    /// Safeguards of the placer, all enabled outside tests.
    pub safeguards: Safeguards,
    /// Timing of the lease protocol.
    pub lease: LeaseOptions,
    /// Settings of the router.
    pub routing: RoutingOptions,
    /// Weights of fairness, packing and waiting time in scheduling.
    pub weights: Weights,
    /// Maximum age of a view of the keys that is used to verify a key.
    pub key_freshness: Duration,
    /// Interval between reads of the table.
    pub poll_every: Duration,
    /// Interval between reads of the membership list.
    pub members_every: Duration,
    /// Interval between heartbeats to each peer.
    pub heartbeat_every: Duration,
    /// Time without a heartbeat after which a peer counts as unreachable.
    pub peer_timeout: Duration,
    /// Time without a heartbeat of a zone's placer after which other zones take over the zone's
    /// service instances.
    pub zone_timeout: Duration,
    /// Maximum duration of a graceful shutdown, which finishes open requests and submissions
    /// first. It exceeds the longest timeout that a caller may set.
    pub drain_timeout: Duration,
}

impl Options {
    /// Returns the defaults for a daemon.
    #[must_use]
    pub fn new(me: DaemonId, zone: ZoneId) -> Self {
        Self {
            me,
            zone,
            clock_origin: Duration::ZERO,
            seeds: Vec::new(),
            safeguards: Safeguards::default(),
            lease: LeaseOptions::default(),
            routing: RoutingOptions::default(),
            weights: Weights::default(),
            key_freshness: Duration::from_secs(3),
            poll_every: Duration::from_millis(500),
            members_every: Duration::from_secs(1),
            heartbeat_every: Duration::from_millis(500),
            peer_timeout: Duration::from_secs(2),
            zone_timeout: Duration::from_secs(30),
            drain_timeout: Duration::from_secs(310),
        }
    }
}

/// State of the reducer.
#[derive(Clone, Debug)]
pub struct State {
    /// Settings.
    pub options: Options,
    /// View of the operators' records.
    pub records: Records,
    /// Record writes of this daemon that have not ended.
    pub writes: RecordWriter,
    /// Freshness of the view of keys.
    pub keys: KeyVerifier,
    /// Durable jobs.
    pub jobs: Jobs,
    /// Request router.
    pub router: Router,
    /// Placer of the zone, or candidate for the role.
    pub placer: Placer,
    /// Other daemons.
    pub peers: Peers,
    /// Periodic reads of the platform.
    pub polls: Polls,
    /// Membership list as last read, by member name.
    pub members: FxHashMap<Box<str>, Member>,
    /// Start of the graceful shutdown.
    pub draining: Option<Now>,
}

impl State {
    /// Returns the state of a daemon that has just started.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let me = &options.me;
        let zone = &options.zone;
        Self {
            records: Records::default(),
            writes: RecordWriter::new(me.clone()),
            keys: KeyVerifier::new(options.key_freshness),
            jobs: Jobs::new(zone.clone(), options.clock_origin),
            router: Router::new(me.clone(), zone.clone(), options.routing),
            placer: Placer::new(
                incarnation(&options),
                zone.clone(),
                options.lease,
                options.weights,
                options.safeguards,
            ),
            peers: Peers::new(me, &options.seeds),
            polls: Polls::default(),
            members: FxHashMap::default(),
            draining: None,
            options,
        }
    }

    /// Returns whether the membership list names this daemon, and every other entry VM in it is
    /// certain to list this daemon as well.
    #[must_use]
    pub fn is_known_to_peers(&self) -> bool {
        let listed = self.members.contains_key(&self.options.me);
        listed && self.peers.iter().all(|(_, peer)| peer.lists_this_daemon)
    }
}

/// Returns a name for this process that distinguishes it from earlier ones on the same entry VM.
fn incarnation(options: &Options) -> DaemonId {
    format!("{}@{}", options.me, options.clock_origin.as_millis()).into()
}
