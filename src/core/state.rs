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

/// Mechanisms that a test can turn off, to prove that its checks find what they prevent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Limits are reduced by the capacity of VMs whose tasks are not known.
    pub unknown_capacity: bool,
    /// A zone keeps to its allotment of a limit.
    pub escrow: bool,
    /// A new placer holds older jobs back until it knows what runs.
    pub holding_back: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            unknown_capacity: true,
            escrow: true,
            holding_back: true,
        }
    }
}

/// Settings of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of this daemon.
    pub me: DaemonId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Wall time since the Unix epoch at which the reducer's clock read zero.
    pub origin: Duration,
    /// Entry VMs known from the settings, until the membership list is read.
    pub seeds: Vec<Member>,
    /// Mechanisms of the placer.
    pub mechanisms: Mechanisms,
    /// Times of the lease protocol.
    pub lease: LeaseOptions,
    /// Settings of the router.
    pub routing: RoutingOptions,
    /// How the measures are weighed.
    pub weights: Weights,
    /// Age up to which a view of the keys is relied on.
    pub key_freshness: Duration,
    /// Time between reads of the table.
    pub poll_every: Duration,
    /// Time between reads of the membership list.
    pub members_every: Duration,
    /// Time between heartbeats to each peer.
    pub heartbeat_every: Duration,
    /// Silence after which a peer counts as unreachable.
    pub peer_timeout: Duration,
    /// Silence of a zone's placer after which other zones take over its service instances.
    pub zone_timeout: Duration,
    /// Requests and submissions are finished, then the process exits, after at most this. It
    /// passes the longest time that a caller may ask for.
    pub drain_timeout: Duration,
}

impl Options {
    /// Returns the defaults for a daemon.
    #[must_use]
    pub fn new(me: DaemonId, zone: ZoneId) -> Self {
        Self {
            me,
            zone,
            origin: Duration::ZERO,
            seeds: Vec::new(),
            mechanisms: Mechanisms::default(),
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

/// Everything that a daemon remembers.
#[derive(Clone, Debug)]
pub struct State {
    /// Settings.
    pub options: Options,
    /// View of the operators' records.
    pub records: Records,
    /// Record writes under way here.
    pub writes: RecordWriter,
    /// Freshness of the view of keys.
    pub keys: KeyVerifier,
    /// Durable jobs.
    pub jobs: Jobs,
    /// Request router.
    pub router: Router,
    /// Placer of the zone, or candidate for it.
    pub placer: Placer,
    /// Other daemons.
    pub peers: Peers,
    /// Reads of the platform.
    pub polls: Polls,
    /// Membership list as last read, by name.
    pub members: FxHashMap<Box<str>, Member>,
    /// When the graceful shutdown began.
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
            jobs: Jobs::new(zone.clone(), options.origin),
            router: Router::new(me.clone(), zone.clone(), options.routing),
            placer: Placer::new(
                incarnation(&options),
                zone.clone(),
                options.lease,
                options.weights,
                options.mechanisms,
            ),
            peers: Peers::new(me, &options.seeds),
            polls: Polls::default(),
            members: FxHashMap::default(),
            draining: None,
            options,
        }
    }

    /// Whether the membership list names this daemon, and every entry VM in it has since sent a
    /// message to this daemon.
    #[must_use]
    pub fn is_known_to_peers(&self) -> bool {
        let listed = self.members.contains_key(&self.options.me);
        listed && self.peers.iter().all(|(_, peer)| peer.knows_us)
    }
}

/// Name of this process, so that a VM tells it from an earlier one on the same entry VM.
fn incarnation(options: &Options) -> DaemonId {
    format!("{}@{}", options.me, options.origin.as_millis()).into()
}
