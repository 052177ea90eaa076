//! Estimates of the wait of a new job, by queue and team.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::drain::DrainMeter;
use crate::core::model::Now;
use crate::core::model::TeamId;
use crate::core::workload::catalog::QueueId;

/// Wait from which on a queue and team are listed. They stay listed until the wait is below half.
pub const REPORTED_WAIT: Duration = Duration::from_secs(1);

/// Time for which a queue must have been busy before its drain counts as measured. At first, the
/// VMs are not full yet: tasks wait for placement rounds and for advice, which takes up to 600 ms.
pub const MIN_MEASURED: Duration = Duration::from_secs(2);

/// Time constant of the smoothing of the waits.
const SMOOTHING: Duration = Duration::from_secs(1);

/// Queue and team; no team on a public queue.
pub type Pair = (QueueId, Option<TeamId>);

/// Work of a queue and team that has not started, in core-milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Work that could start at once.
    pub ready: f64,
    /// Work that depends on other steps.
    pub blocked: f64,
    /// Fair-share weight of the team.
    pub weight: f64,
}

/// Smoothed waits of all queues and teams.
#[derive(Debug, Default)]
pub struct WaitEstimator {
    pairs: FxHashMap<Pair, PairState>,
    /// Time since which each busy queue has been busy.
    busy_since: FxHashMap<QueueId, Now>,
    updated_at: Now,
}

#[derive(Debug, Default)]
struct PairState {
    drain: DrainMeter,
    /// Time since which the pair has been busy; `None` if it is not.
    busy_since: Option<Now>,
    /// Smoothed wait behind the ready tasks, in milliseconds.
    ready_ms: f64,
    /// Smoothed wait behind all tasks, in milliseconds.
    wait_ms: f64,
    listed: bool,
}

/// Work that could start, in core-milliseconds, and the rate at which work is started.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    ready: f64,
    drain: f64,
}

/// Drain and weights of a queue's teams with a backlog.
#[derive(Debug, Default)]
struct QueueState {
    /// Rate of started work; `None` if it is not measured yet.
    drain: Option<f64>,
    weights: f64,
}

impl WaitEstimator {
    /// Records work that was started.
    pub fn record_start(&mut self, now: Now, pair: Pair, core_millis: f64) {
        let state = self.pairs.entry(pair).or_default();
        state.drain.record(now, core_millis);
    }

    /// Updates the waits from the current backlogs.
    pub fn update(&mut self, now: Now, backlogs: &FxHashMap<Pair, Backlog>) {
        let step = smoothing_step(now.saturating_sub(self.updated_at));
        self.updated_at = now;
        self.update_busy_times(now, backlogs);
        let queues = self.queue_states(now, backlogs);
        for (pair, state) in &mut self.pairs {
            let wait = backlogs.get(pair).and_then(|backlog| {
                let queue = queues.get(&pair.0)?;
                let rate = state.expected_rate(now, queue, backlog.weight)?;
                Some((
                    backlog.ready / rate,
                    (backlog.ready + backlog.blocked) / rate,
                ))
            });
            match wait {
                Some((ready_ms, wait_ms)) => state.smooth(step, ready_ms, wait_ms),
                None => state.clear(),
            }
        }
        self.pairs
            .retain(|pair, state| backlogs.contains_key(pair) || !state.drain.is_idle(now));
    }

    /// Forgets all waits, as the backlogs are not known. The measured drain is kept.
    pub fn clear(&mut self) {
        self.busy_since.clear();
        for state in self.pairs.values_mut() {
            state.busy_since = None;
            state.clear();
        }
    }

    /// Returns the waits that are worth reporting.
    pub fn listed(&self) -> impl Iterator<Item = (&Pair, Duration)> {
        let listed = self.pairs.iter().filter(|(_, state)| state.listed);
        listed.map(|(pair, state)| (pair, to_duration(state.wait_ms)))
    }

    /// Updates since when queues and pairs have been busy.
    fn update_busy_times(&mut self, now: Now, backlogs: &FxHashMap<Pair, Backlog>) {
        let mut loads: FxHashMap<QueueId, Load> = FxHashMap::default();
        for pair in backlogs.keys() {
            if !self.pairs.contains_key(pair) {
                self.pairs.insert(pair.clone(), PairState::default());
            }
        }
        for (pair, state) in &mut self.pairs {
            let load = Load {
                ready: backlogs.get(pair).map_or(0.0, |backlog| backlog.ready),
                drain: state.drain.rate(Now::ZERO, now),
            };
            state.busy_since = load.busy_since(state.busy_since, now);
            let queue = loads.entry(pair.0.clone()).or_default();
            queue.ready += load.ready;
            queue.drain += load.drain;
        }
        let queues = loads.into_iter().filter_map(|(queue, load)| {
            let since = self.busy_since.get(&queue).copied();
            Some((queue, load.busy_since(since, now)?))
        });
        self.busy_since = queues.collect();
    }

    /// Returns the drain of each busy queue, and the sum of the weights of its teams with a backlog.
    fn queue_states(
        &self,
        now: Now,
        backlogs: &FxHashMap<Pair, Backlog>,
    ) -> FxHashMap<QueueId, QueueState> {
        let mut queues: FxHashMap<QueueId, QueueState> = FxHashMap::default();
        for (pair, state) in &self.pairs {
            let Some(&since) = self.busy_since.get(&pair.0) else {
                continue;
            };
            let queue = queues.entry(pair.0.clone()).or_default();
            if let Some(backlog) = backlogs.get(pair) {
                queue.weights += backlog.weight;
            }
            if now >= since + MIN_MEASURED {
                *queue.drain.get_or_insert(0.0) += state.drain.rate(since, now);
            }
        }
        queues
    }
}

impl Load {
    /// Returns the time since which the load has been busy, given the last such time. It is busy if
    /// the ready tasks wait long enough to be reported. While it is not, the drain is what callers
    /// submit rather than what the VMs can take.
    fn busy_since(&self, since: Option<Now>, now: Now) -> Option<Now> {
        let wait_ms = self.ready / self.drain;
        let is_busy = self.ready > 0.0 && wait_ms >= threshold_ms(since.is_some());
        is_busy.then(|| since.unwrap_or(now))
    }
}

impl PairState {
    /// Returns the rate at which the pair's work can be expected to start: its part of the queue's
    /// drain by weight, or its own drain if that is higher because other teams leave some of theirs.
    /// `None` if nothing starts or the drain is not measured yet.
    fn expected_rate(&self, now: Now, queue: &QueueState, weight: f64) -> Option<f64> {
        let share = queue.drain? * weight / queue.weights;
        let measured_since = self.busy_since.filter(|&since| now >= since + MIN_MEASURED);
        let own = measured_since.map_or(0.0, |since| self.drain.rate(since, now));
        let rate = share.max(own);
        (rate.is_finite() && rate > 0.0).then_some(rate)
    }

    fn smooth(&mut self, step: f64, ready_ms: f64, wait_ms: f64) {
        self.ready_ms += (ready_ms - self.ready_ms) * step;
        self.wait_ms += (wait_ms - self.wait_ms) * step;
        // Blocked tasks alone are no sign of a wait: on idle VMs they start once they are ready.
        self.listed = self.ready_ms >= threshold_ms(self.listed);
    }

    fn clear(&mut self) {
        self.ready_ms = 0.0;
        self.wait_ms = 0.0;
        self.listed = false;
    }
}

/// Returns the wait from which on a pair or queue counts as waiting, in milliseconds; it is lower for
/// one that does already.
fn threshold_ms(is_waiting: bool) -> f64 {
    let reported_ms = REPORTED_WAIT.as_secs_f64() * 1_000.0;
    if is_waiting {
        reported_ms / 2.0
    } else {
        reported_ms
    }
}

/// Returns the part of the way to a new value that a smoothed wait goes after this time.
fn smoothing_step(elapsed: Duration) -> f64 {
    (elapsed.as_secs_f64() / SMOOTHING.as_secs_f64()).min(1.0)
}

fn to_duration(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or(Duration::MAX)
}
