//! Configuration of the simulated cell: a queue, a batch queue for some tests, and two teams.

use std::rc::Rc;
use std::time::Duration;

use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::catalog::AdviceTiming;
use ragwortstall::core::workload::catalog::Catalog;
use ragwortstall::core::workload::catalog::Queue;
use ragwortstall::core::workload::catalog::Team;

/// API key of the team that submits by default.
pub(crate) const KEY: &str = "key-of-dairy";

/// API key of another team with the same weight.
pub(crate) const OTHER_KEY: &str = "key-of-bakery";

/// Path prefix of the batch queue.
pub(crate) const BATCH_PATH: &str = "/batch/";

/// Returns a queue on the same VMs, for work that nobody waits for within seconds.
pub(crate) fn batch_queue(priority: u32) -> Queue {
    Queue {
        name: "batch".into(),
        host: "labels.example".into(),
        path_prefix: BATCH_PATH.into(),
        service: "pool".into(),
        priority,
        max_attempts: 2,
        stretch: 3.0,
        target: Duration::from_secs(1),
        advice: None,
        public: false,
    }
}

/// Returns the configuration; `cap` applies to each team, `advice` to the queue.
pub(crate) fn catalog(cap: Resources, advice: Option<AdviceTiming>) -> Catalog {
    let queue = Queue {
        name: "labels".into(),
        host: "labels.example".into(),
        path_prefix: "/jobs/".into(),
        service: "pool".into(),
        priority: 0,
        max_attempts: 2,
        stretch: 2.0,
        target: Duration::from_millis(250),
        advice,
        public: false,
    };
    let mut catalog = Catalog {
        version: 1,
        queues: vec![Rc::new(queue)],
        ..Catalog::default()
    };
    catalog.keys.insert(KEY.into(), "dairy".into());
    let team = Team { weight: 1.0, cap };
    catalog.keys.insert(OTHER_KEY.into(), "bakery".into());
    catalog.teams.insert("bakery".into(), team.clone());
    catalog.teams.insert("dairy".into(), team);
    catalog
}
