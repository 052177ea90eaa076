//! The configuration in force: queues, pools of VMs, teams and their keys.

use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::core::model::Resources;
use crate::core::model::ServiceId;
use crate::core::model::TeamId;

/// Name of a queue.
pub type QueueId = Box<str>;

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Queues, by any order.
    pub queues: Vec<Rc<Queue>>,
    /// Teams by name.
    pub teams: FxHashMap<TeamId, Team>,
    /// Team of each key.
    pub keys: FxHashMap<Box<str>, TeamId>,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name.
    pub name: QueueId,
    /// Host name that callers address.
    pub host: Box<str>,
    /// Beginning of the paths that callers address.
    pub path_prefix: Box<str>,
    /// Pool of VMs that runs the queue's tasks.
    pub service: ServiceId,
    /// Zero comes first and may preempt the others.
    pub priority: u32,
    /// A task that failed this often makes its job fail.
    pub max_attempts: u32,
    /// The latency objective is this many times the job's longest chain, and `target` more.
    pub stretch: f64,
    /// Constant part of the latency objective.
    pub target: Duration,
    /// Whether placement asks the advice service first.
    pub advice: Option<AdviceTiming>,
    /// Whether callers need no key.
    pub public: bool,
}

/// How the advice service behaves for a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdviceTiming {
    /// Time of a call without VMs.
    pub base_latency: Duration,
    /// Additional time for each VM named.
    pub latency_per_vm: Duration,
    /// Time for which a ticket is good.
    pub ticket_validity: Duration,
}

/// A team's entitlements.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Share when the cell is full.
    pub weight: f64,
    /// Upper limit of what runs across the cell; zero of a resource means no limit.
    pub cap: Resources,
}

impl Catalog {
    /// The queue that a host and path address: the longest prefix wins.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Queue>> {
        self.queues
            .iter()
            .filter(|queue| &*queue.host == host && path.starts_with(&*queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// The queue of a name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Rc<Queue>> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }
}

impl Team {
    /// Whether `used` is within the cap.
    #[must_use]
    pub fn allows(&self, used: &Resources) -> bool {
        let within = |used: u32, cap: u32| cap == 0 || used <= cap;
        within(used.cpu_milli, self.cap.cpu_milli)
            && within(used.mem_mib, self.cap.mem_mib)
            && within(used.accel, self.cap.accel)
    }
}
