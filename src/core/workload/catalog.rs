//! Active configuration: queues, VM pools, teams and their API keys.

use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

use crate::core::model::RequestLimits;
use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::model::TeamId;

/// Priority of the urgent queues, which go before all others and may preempt them.
pub const URGENT_PRIORITY: u32 = 0;

/// Name of a queue.
pub type QueueId = Box<str>;

/// Complete configuration of one version.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version; a higher version replaces a lower one.
    pub version: u64,
    /// Queues in no particular order.
    pub queues: Vec<Rc<Queue>>,
    /// Teams by name.
    pub teams: FxHashMap<TeamId, Team>,
    /// Team of each API key.
    pub keys: FxHashMap<Box<str>, TeamId>,
    /// Limits of clients' requests.
    pub limits: RequestLimits,
}

/// Queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name.
    pub name: QueueId,
    /// Host name of the queue's endpoint.
    pub host: Box<str>,
    /// Path prefix of the queue's endpoint.
    pub path_prefix: Box<str>,
    /// VM pool that runs the queue's tasks.
    pub service: ServiceId,
    /// Priority; zero is the highest. It orders the placement of waiting tasks. Tasks of a queue of
    /// priority zero may also preempt running tasks of other queues that resume from a checkpoint.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// Factor of the latency objective, which is `stretch` times the job's critical path plus
    /// `target`.
    pub stretch: f64,
    /// Constant part of the latency objective.
    pub target: Duration,
    /// Timing of the advice service, which is consulted before placement; `None` if the queue does
    /// not use it.
    pub advice: Option<AdviceTiming>,
    /// Whether callers may use the queue without a key.
    pub public: bool,
}

/// Timing of the advice service for a queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceTiming {
    /// Processing time of a request, not counting its VMs.
    pub base_latency: Duration,
    /// Additional processing time for each VM named in a request.
    pub latency_per_vm: Duration,
    /// Validity period of a ticket.
    pub ticket_validity: Duration,
}

/// Entitlements of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Fair-share weight, applied when the cell is full.
    pub weight: f64,
    /// Limit of the resources in use across the cell; zero means no limit for a resource.
    pub cap: Resources,
}

impl Catalog {
    /// Returns the queue with the longest path prefix that matches the host and path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Queue>> {
        self.queues
            .iter()
            .filter(|queue| &*queue.host == host && path.starts_with(&*queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns the queue with a name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Rc<Queue>> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }
}

impl Queue {
    /// Returns the objective for the time from acceptance to completion of a job with this critical
    /// path.
    #[must_use]
    pub fn objective(&self, critical_path: Duration) -> Duration {
        let stretched = critical_path.as_secs_f64() * self.stretch.max(0.0);
        let stretched = Duration::try_from_secs_f64(stretched).unwrap_or(Duration::MAX);
        stretched.saturating_add(self.target)
    }
}

impl Team {
    /// Returns whether `used` is within the cap.
    #[must_use]
    pub fn allows(&self, used: &Resources) -> bool {
        let within = |used: u32, cap: u32| cap == 0 || used <= cap;
        within(used.cpu_milli, self.cap.cpu_milli)
            && within(used.mem_mib, self.cap.mem_mib)
            && within(used.accel, self.cap.accel)
    }
}
