//! Processor of a daemon's host: events wait while the daemon handles earlier ones.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::workload::Effect;
use ragwortstall::core::workload::status::PlacerWork;

use super::Harness;

/// Processor time that the work of a daemon takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Costs {
    pub event: Duration,
    pub request: Duration,
    /// Search of the fleet for VMs on which a step fits.
    pub search: Duration,
}

/// Processor time that the steps of a daemon's reducer took on this machine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StepTimes {
    pub total: Duration,
    pub longest: Duration,
}

/// Processor of a daemon's host; it takes no time before its costs are set.
#[derive(Debug, Default)]
pub(super) struct Processor {
    pub costs: Option<Costs>,
    /// End of the work so far.
    busy_until: Now,
    /// Searches since the start of the process that are accounted for.
    searches: u64,
    step_times: StepTimes,
}

impl Processor {
    /// Returns the time at which the next event can be handled, if that is later than `end`.
    pub(super) fn busy_after(&self, end: Now) -> Option<Now> {
        (self.busy_until >= end).then_some(self.busy_until)
    }

    /// Handles no event until a time.
    fn pause(&mut self, until: Now) {
        self.busy_until = self.busy_until.max(until);
    }

    /// Records the time that a step of the reducer took on this machine.
    pub(super) fn record_step(&mut self, time: Duration) {
        self.step_times.total += time;
        self.step_times.longest = self.step_times.longest.max(time);
    }

    /// Accounts for an event. `searches` is their number since the start of the process.
    /// Returns the time that the reducer took.
    pub(super) fn handle(&mut self, now: Now, requests: u32, searches: u64) -> Duration {
        let Some(costs) = self.costs else {
            return Duration::ZERO;
        };
        let new = u32::try_from(searches.saturating_sub(self.searches)).expect("few searches");
        self.searches = searches;
        let step = costs.event + costs.search * new;
        let work = step + costs.request * requests;
        self.busy_until = self.busy_until.max(now) + work;
        step
    }
}

/// Returns the number of requests among the effects of an event.
pub(super) fn count_requests(effects: &[Effect]) -> u32 {
    let sent = effects.iter();
    let sent = sent.filter(|effect| matches!(effect, Effect::Send(_)));
    u32::try_from(sent.count()).expect("few requests")
}

impl Harness {
    /// Pauses a daemon's process for `millis` milliseconds.
    pub(crate) fn pause(&mut self, daemon: usize, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        self.daemons[daemon].processor.pause(until);
    }

    /// Returns the times of a daemon's steps since the last call.
    #[allow(dead_code, reason = "used by the benchmark of the placer")]
    pub(crate) fn take_step_times(&mut self, daemon: usize) -> StepTimes {
        std::mem::take(&mut self.daemons[daemon].processor.step_times)
    }

    /// Returns the work of the placer of a daemon.
    pub(crate) fn work(&mut self, daemon: usize) -> PlacerWork {
        self.daemons[daemon].state.work()
    }
}
