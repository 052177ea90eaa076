//! Evacuation of zones: how old a view of the requests may be, and which runs leave a zone.

use std::hash::Hash;
use std::time::Duration;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;

use crate::core::workload::submission::Step;

/// Time that an order may take beyond its timeout: between the decision and the send, and by the
/// drift of the VM's clock since its last reading.
pub const ORDER_MARGIN: Duration = Duration::from_millis(250);

/// Maximum number of runs that are being moved out of the evacuated zones at a time. Tasks that are
/// being moved make no progress, and advice may have to be asked for each of them.
pub const MAX_CONCURRENT_MOVES: usize = 16;

/// Run of a task that may be moved out of an evacuated zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MovableRun<K, S> {
    /// Key of the task.
    pub task: K,
    /// Key of its step.
    pub step: S,
    /// Whether the task runs until its job is cancelled.
    pub long_running: bool,
    /// Number of tasks of the step that may be stopped now within its disruption budget; `None`
    /// without a budget.
    pub spare: Option<u32>,
}

/// Returns the age up to which a view of the requests may be relied on, so that no start takes
/// effect later than `bound` after a request.
#[must_use]
pub fn max_view_age(bound: Duration, order_timeout: Duration) -> Duration {
    bound.saturating_sub(order_timeout + ORDER_MARGIN)
}

/// Returns whether tasks of a step may be stopped and started elsewhere: those that run until they
/// are cancelled, and those that save checkpoints, unless they end within the time that a stop takes.
/// A gang would lose the progress of all its tasks.
#[must_use]
pub fn is_movable(step: &Step, stop_timeout: Duration) -> bool {
    let traits = step.traits;
    let is_short = Duration::from_millis(step.estimate_ms) <= stop_timeout;
    !traits.gang && (traits.long_running || (traits.checkpointing && !is_short))
}

/// Chooses at most `limit` runs to move: first those that do not end by themselves, then by key.
///
/// `reserve` reserves capacity for a task in another zone and returns whether there was any. It is
/// not called again for a step for which there was none.
pub fn choose_moves<K: Copy + Ord, S: Copy + Eq + Hash>(
    mut runs: Vec<MovableRun<K, S>>,
    limit: usize,
    mut reserve: impl FnMut(K) -> bool,
) -> Vec<K> {
    runs.sort_unstable_by_key(|run| (!run.long_running, run.task));
    let mut without_room: FxHashSet<S> = FxHashSet::default();
    let mut stopped: FxHashMap<S, u32> = FxHashMap::default();
    let mut chosen = Vec::new();
    for run in runs {
        if chosen.len() >= limit {
            break;
        }
        let count = stopped.entry(run.step).or_insert(0);
        let exceeds_budget = run.spare.is_some_and(|spare| *count >= spare);
        if exceeds_budget || without_room.contains(&run.step) {
            continue;
        }
        if reserve(run.task) {
            *count += 1;
            chosen.push(run.task);
        } else {
            without_room.insert(run.step);
        }
    }
    chosen
}
