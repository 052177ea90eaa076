//! Bounded ring of typed events stamped with a hybrid logical clock.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::model::DaemonId;
use super::model::EndpointId;
use super::model::JobId;
use super::model::TaskRef;
use super::model::TeamId;
use super::model::VmId;
use super::model::ZoneId;

/// A change of state worth a line in the timeline and the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum TimelineEvent {
    /// The daemon became placer of a zone.
    PlacerGained {
        /// Which zone.
        zone: ZoneId,
    },
    /// The daemon stopped being placer of a zone.
    PlacerLost {
        /// Which zone.
        zone: ZoneId,
    },
    /// A VM granted its lease.
    LeaseGained {
        /// Which VM.
        vm: VmId,
    },
    /// A lease on a VM ended.
    LeaseLost {
        /// Which VM.
        vm: VmId,
    },
    /// A job was accepted.
    JobAccepted {
        /// Which job.
        job: JobId,
        /// Zone that owns it.
        zone: ZoneId,
    },
    /// A job ended.
    JobEnded {
        /// Which job.
        job: JobId,
        /// How.
        state: Box<str>,
    },
    /// A task was sent to a VM.
    TaskStarted {
        /// Which task.
        task: TaskRef,
        /// Where.
        vm: VmId,
    },
    /// A task ended.
    TaskEnded {
        /// Which task.
        task: TaskRef,
        /// How.
        outcome: super::model::TaskOutcome,
    },
    /// A VM gets no new work for a while.
    VmQuarantined {
        /// Which VM.
        vm: VmId,
    },
    /// The table became reachable or unreachable.
    Table {
        /// Whether it can be reached.
        reachable: bool,
    },
    /// Another daemon became reachable or unreachable.
    Peer {
        /// Which daemon.
        peer: DaemonId,
        /// Whether it can be reached.
        reachable: bool,
    },
    /// An endpoint was ejected after failures, or answered again.
    Endpoint {
        /// Which endpoint.
        endpoint: EndpointId,
        /// Whether it is ejected.
        ejected: bool,
    },
    /// A record changed.
    RecordChanged {
        /// Table key.
        key: Box<str>,
        /// New version.
        version: u64,
    },
    /// A team's allotment in a zone changed.
    AllotmentChanged {
        /// Which team.
        team: TeamId,
        /// Which zone.
        zone: ZoneId,
    },
    /// The daemon began a graceful shutdown.
    Draining,
}

impl TimelineEvent {
    /// Name of the kind of event, as in its JSON form.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::PlacerGained { .. } => "placer_gained",
            Self::PlacerLost { .. } => "placer_lost",
            Self::LeaseGained { .. } => "lease_gained",
            Self::LeaseLost { .. } => "lease_lost",
            Self::JobAccepted { .. } => "job_accepted",
            Self::JobEnded { .. } => "job_ended",
            Self::TaskStarted { .. } => "task_started",
            Self::TaskEnded { .. } => "task_ended",
            Self::VmQuarantined { .. } => "vm_quarantined",
            Self::Table { .. } => "table",
            Self::Peer { .. } => "peer",
            Self::Endpoint { .. } => "endpoint",
            Self::RecordChanged { .. } => "record_changed",
            Self::AllotmentChanged { .. } => "allotment_changed",
            Self::Draining => "draining",
        }
    }

    /// Whether the daemon or what it depends on changed its state, as opposed to work going on.
    #[must_use]
    pub fn is_state_change(&self) -> bool {
        matches!(
            self,
            Self::PlacerGained { .. }
                | Self::PlacerLost { .. }
                | Self::VmQuarantined { .. }
                | Self::Table { .. }
                | Self::Peer { .. }
                | Self::Endpoint { .. }
                | Self::RecordChanged { .. }
                | Self::Draining
        )
    }
}

/// Stamps a timeline's events: milliseconds since the Unix epoch in the upper 48 bits, a counter in
/// the lower 16. A stamp is above every stamp that its process has made or seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: u64,
}

impl HybridClock {
    /// Bits of the counter.
    pub const COUNTER_BITS: u32 = 16;

    /// Returns a new stamp; `unix` is the wall time.
    pub fn stamp(&mut self, unix: Duration) -> u64 {
        let wall = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX) << Self::COUNTER_BITS;
        self.last = wall.max(self.last + 1);
        self.last
    }

    /// Takes a stamp that came from another process.
    pub fn observe(&mut self, stamp: u64) {
        self.last = self.last.max(stamp);
    }
}

/// An event of the timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Hybrid logical time.
    pub stamp: u64,
    /// Daemon at which it happened.
    pub daemon: DaemonId,
    /// What happened.
    #[serde(flatten)]
    pub event: TimelineEvent,
}

/// The last events of one daemon, oldest first.
#[derive(Clone, Debug)]
pub struct Ring {
    capacity: usize,
    entries: VecDeque<Entry>,
}

impl Ring {
    /// Returns a ring of at most `capacity` events.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: VecDeque::new(),
        }
    }

    /// Adds an event, and drops the oldest if the ring is full.
    pub fn push(&mut self, entry: Entry) {
        if self.entries.len() == self.capacity {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Events stamped above `after`.
    pub fn after(&self, after: u64) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |entry| entry.stamp > after)
    }
}
