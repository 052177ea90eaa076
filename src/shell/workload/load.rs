//! Load of the thread that runs the reducer: how much it does, and how late it is.

use std::cell::Cell;
use std::time::Duration;

use metrics::counter;
use metrics::histogram;

/// Work done and delays seen since the last report.
#[derive(Debug, Default)]
pub(super) struct LoadMeter {
    events: Cell<u64>,
    /// Time spent in the reducer.
    step_time: Cell<Duration>,
    requests: Cell<u64>,
    /// Requests without an answer so far; not reset by a report.
    pending_requests: Cell<u64>,
    max_delay: Cell<Duration>,
}

/// Load of one report interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Load {
    /// Events that the reducer handled.
    pub events: u64,
    /// Time spent in the reducer.
    pub step_time: Duration,
    /// Requests sent.
    pub requests: u64,
    /// Requests without an answer at the end of the interval.
    pub pending_requests: u64,
    /// Longest delay of a timer behind its due time.
    pub max_delay: Duration,
}

impl LoadMeter {
    /// Records an event that took the reducer this long.
    pub fn record_step(&self, took: Duration) {
        self.events.set(self.events.get() + 1);
        self.step_time.set(self.step_time.get() + took);
        histogram!("ragwortstall_step_seconds").record(took.as_secs_f64());
    }

    /// Records a request that is sent.
    pub fn record_request(&self) {
        self.requests.set(self.requests.get() + 1);
        self.pending_requests.set(self.pending_requests.get() + 1);
    }

    /// Records the answer or the failure of a request.
    pub fn record_answer(&self) {
        let pending = self.pending_requests.get();
        self.pending_requests.set(pending.saturating_sub(1));
    }

    /// Records a timer that fired this long after its due time.
    pub fn record_delay(&self, delay: Duration) {
        self.max_delay.set(self.max_delay.get().max(delay));
        histogram!("ragwortstall_timer_delay_seconds").record(delay.as_secs_f64());
    }

    /// Returns the load since the last call.
    pub fn take(&self) -> Load {
        let step_time = self.step_time.take();
        let micros = u64::try_from(step_time.as_micros()).unwrap_or(u64::MAX);
        counter!("ragwortstall_step_microseconds_total").increment(micros);
        Load {
            events: self.events.take(),
            step_time,
            requests: self.requests.take(),
            pending_requests: self.pending_requests.get(),
            max_delay: self.max_delay.take(),
        }
    }
}
