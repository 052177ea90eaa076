//! Bounded ring buffer of typed events with hybrid logical timestamps.

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

/// An event of the timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum TimelineEvent {
    /// The daemon became placer of a zone.
    PlacerGained {
        /// Zone.
        zone: ZoneId,
    },
    /// The daemon stopped being placer of a zone.
    PlacerLost {
        /// Zone.
        zone: ZoneId,
    },
    /// The daemon acquired the lease on a VM.
    LeaseGained {
        /// VM.
        vm: VmId,
    },
    /// The daemon's lease on a VM ended.
    LeaseLost {
        /// VM.
        vm: VmId,
    },
    /// A job was accepted.
    JobAccepted {
        /// Job.
        job: JobId,
        /// Zone that owns the job.
        zone: ZoneId,
    },
    /// A job ended.
    JobEnded {
        /// Job.
        job: JobId,
        /// Final state.
        state: Box<str>,
    },
    /// The start of a task was sent to a VM.
    TaskStarted {
        /// Task and attempt.
        task: TaskRef,
        /// VM of the task.
        vm: VmId,
    },
    /// A task ended.
    TaskEnded {
        /// Task and attempt.
        task: TaskRef,
        /// Outcome of the task.
        outcome: super::model::TaskOutcome,
    },
    /// A VM was quarantined and receives no new tasks for some time.
    VmQuarantined {
        /// VM.
        vm: VmId,
    },
    /// The table became reachable or unreachable.
    Table {
        /// Whether it is reachable.
        reachable: bool,
    },
    /// Another daemon became reachable or unreachable.
    Peer {
        /// Daemon.
        peer: DaemonId,
        /// Whether it is reachable.
        reachable: bool,
    },
    /// An endpoint was ejected after failures, or readmitted.
    Endpoint {
        /// Endpoint.
        endpoint: EndpointId,
        /// Whether it is ejected.
        ejected: bool,
    },
    /// An operator's record changed.
    RecordChanged {
        /// Table key of the record.
        key: Box<str>,
        /// New row version.
        version: u64,
    },
    /// A team's allotment in a zone changed.
    AllotmentChanged {
        /// Team.
        team: TeamId,
        /// Zone.
        zone: ZoneId,
    },
    /// The daemon began a graceful shutdown.
    Draining,
}

impl TimelineEvent {
    /// Returns the name of the kind of event, as in its JSON representation.
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

    /// Returns whether the event is a change of state of the daemon or of a dependency, as opposed
    /// to the progress of jobs, tasks, leases and allotments.
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

/// Hybrid logical clock that stamps the events of a timeline.
///
/// The upper 48 bits of a stamp are milliseconds since the Unix epoch, the lower 16 a counter. A
/// new stamp is above every stamp that the process has created or observed.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: u64,
}

impl HybridClock {
    /// Width of the counter in bits.
    pub const COUNTER_BITS: u32 = 16;

    /// Returns a new stamp; `unix_time` is the wall time since the Unix epoch.
    pub fn stamp(&mut self, unix_time: Duration) -> u64 {
        let wall = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX) << Self::COUNTER_BITS;
        self.last = wall.max(self.last + 1);
        self.last
    }

    /// Observes a stamp received from another process.
    pub fn observe(&mut self, stamp: u64) {
        self.last = self.last.max(stamp);
    }
}

/// An event of the timeline with its stamp and daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Hybrid logical timestamp.
    pub stamp: u64,
    /// Daemon that recorded the event.
    pub daemon: DaemonId,
    /// Event.
    #[serde(flatten)]
    pub event: TimelineEvent,
}

/// Ring buffer of the last events of one daemon, oldest first.
#[derive(Clone, Debug)]
pub struct Ring {
    capacity: usize,
    entries: VecDeque<Entry>,
}

impl Ring {
    /// Returns an empty ring buffer for at most `capacity` events.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: VecDeque::new(),
        }
    }

    /// Adds an event, dropping the oldest if the buffer is full.
    pub fn push(&mut self, entry: Entry) {
        if self.entries.len() == self.capacity {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Returns the events whose stamp is above `after`.
    pub fn after(&self, after: u64) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |entry| entry.stamp > after)
    }
}
