//! Load of the thread that runs the reducer: how much it does, and how late it is.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use metrics::counter;
use metrics::histogram;

use crate::core::workload::Event;
use crate::core::workload::event::Answer;

/// Work done and delays seen since the last report.
#[derive(Debug, Default)]
pub(super) struct LoadMeter {
    events: Cell<u64>,
    /// Time spent in the reducer, by activity.
    step_times: RefCell<BTreeMap<&'static str, Duration>>,
    /// Requests sent, by kind.
    requests: RefCell<BTreeMap<&'static str, u64>>,
    /// Requests without an answer so far; not reset by a report.
    pending_requests: Cell<u64>,
    max_delay: Cell<Duration>,
}

/// Load of one report interval.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Load {
    /// Events that the reducer handled.
    pub events: u64,
    /// Time spent in the reducer, by activity.
    pub step_times: BTreeMap<&'static str, Duration>,
    /// Requests sent, by kind.
    pub requests: BTreeMap<&'static str, u64>,
    /// Requests without an answer at the end of the interval.
    pub pending_requests: u64,
    /// Longest delay of a timer behind its due time.
    pub max_delay: Duration,
}

impl Load {
    /// Returns the total time spent in the reducer.
    pub fn step_time(&self) -> Duration {
        self.step_times.values().sum()
    }
}

impl LoadMeter {
    /// Records an event with this activity that took the reducer this long.
    pub fn record_step(&self, activity: &'static str, took: Duration) {
        self.events.set(self.events.get() + 1);
        *self.step_times.borrow_mut().entry(activity).or_default() += took;
        histogram!("ragwortstall_step_seconds").record(took.as_secs_f64());
    }

    /// Records a request of a kind that is sent.
    pub fn record_request(&self, kind: &'static str) {
        *self.requests.borrow_mut().entry(kind).or_default() += 1;
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
        let step_times = self.step_times.take();
        for (activity, time) in &step_times {
            counter!("ragwortstall_step_microseconds_total", "activity" => *activity)
                .increment(micros(*time));
        }
        Load {
            events: self.events.take(),
            step_times,
            requests: self.requests.take(),
            pending_requests: self.pending_requests.get(),
            max_delay: self.max_delay.take(),
        }
    }
}

/// Returns what the reducer does for an event, as named in logs and metrics.
pub(super) fn activity(event: &Event) -> &'static str {
    match event {
        Event::Tick { .. } => "tick",
        Event::Call { .. } => "call",
        Event::Drain => "drain",
        Event::Answer(answer) => match answer {
            Answer::Committed(..) => "commit",
            Answer::Read(..) => "read",
            Answer::Feed(..) => "watch",
            Answer::Renewed(..) => "hold",
            Answer::Started(..) => "start",
            Answer::Checked(..) => "check",
            Answer::Stopped(..) => "stop",
            Answer::SpeedSet(..) => "pace",
            Answer::Probed(..) => "reach",
            Answer::Advised(..) => "advise",
            Answer::Relayed(..) => "relay",
        },
    }
}

/// Returns a duration in whole microseconds.
pub(super) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
