//! Structured logging to standard output: one JSON object per line, through a non-blocking queue.
//!
//! Lines that exceed the rate limit and lines that do not fit into the queue are dropped. Their
//! number is logged.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use serde::Serialize;
use spdlog::ErrorHandler;
use spdlog::Logger;
use spdlog::ThreadPool;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::Sink;
use spdlog::sink::StdStreamSink;

use crate::core::model::Epoch;
use crate::core::workload::catalog::QueueId;
use crate::core::workload::decision::Decision;
use crate::core::workload::policy::advice_use::QueueAdvice;
use crate::shell::clock::Clock;

/// Maximum number of lines queued for standard output.
const QUEUE_LINES: usize = 4_096;

/// Average rate limit, in lines per second.
const LINES_PER_SECOND: f64 = 1_000.0;

/// Maximum burst after an idle period, in lines.
const BURST_LINES: f64 = 3_000.0;

/// Minimum interval between reports of dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

pub use spdlog::Error;

/// Result of starting the log.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Writer of structured log lines.
#[derive(Clone)]
pub struct Log {
    logger: Arc<Logger>,
    node: Box<str>,
    limiter: Rc<RateLimiter>,
    /// Lines dropped since the last report because the queue was full.
    overflowed: Arc<AtomicU64>,
}

/// Token bucket with one token per line.
struct RateLimiter {
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
    /// Lines dropped since the last report because of the rate limit.
    dropped: Cell<u64>,
    /// When dropped lines were last reported.
    reported_at: Cell<Instant>,
}

/// Log line: common fields and the event itself.
#[derive(Serialize)]
struct Line<'a, T> {
    /// Time since the Unix epoch, in milliseconds.
    time_ms: u64,
    node: &'a str,
    #[serde(flatten)]
    body: &'a T,
}

/// Events of the process itself.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ProcessEvent {
    /// The process has started.
    Started {
        /// Program version.
        version: Box<str>,
        /// Availability zone.
        zone: Box<str>,
        /// Address that serves callers.
        address: Box<str>,
    },
    /// Starts in evacuated zones are bounded by the settings.
    EvacuationBound {
        /// Longest time from a request to the last start in its zone, in milliseconds.
        bound_ms: u64,
        /// Age of the view of the requests beyond which no task is started, in milliseconds.
        max_view_age_ms: u64,
    },
    /// The process is about to exit.
    Stopped,
    /// The settings file was read again.
    Reloaded {
        /// Outcome.
        outcome: Box<str>,
    },
    /// Connections were closed because of a limit.
    ConnectionsClosed {
        /// Interface on which they were open.
        listener: &'static str,
        /// Number of connections by reason, since the last such line.
        by_reason: BTreeMap<&'static str, u64>,
        /// Connections that are still open.
        open: usize,
        /// Bytes held for them beyond what counts with each connection.
        held_bytes: usize,
    },
    /// An operation failed that does not affect any request.
    #[serde(rename = "trouble")]
    BackgroundFailure {
        /// Operation.
        step: Box<str>,
        /// Cause of the failure.
        reason: Box<str>,
    },
    /// Load of a daemon that is the placer, over the last report interval.
    PlacerLoad {
        /// Epoch of the role.
        epoch: Epoch,
        /// Events that the reducer handled.
        events: u64,
        /// Time spent in the reducer, in microseconds.
        step_us: u64,
        /// The same by activity: a placement round, or else the kind of event.
        activity_us: BTreeMap<&'static str, u64>,
        /// Requests sent.
        requests: u64,
        /// The same by kind.
        requests_by_kind: BTreeMap<&'static str, u64>,
        /// Requests without an answer.
        pending_requests: u64,
        /// Longest delay of a timer behind its due time, in microseconds.
        max_delay_us: u64,
        /// Placement rounds since the role was granted.
        rounds: u64,
        /// Steps that rounds have examined for VMs or advice, since the role was granted.
        steps_examined: u64,
        /// Searches of the fleet for VMs on which a step fits, since the role was granted.
        vm_scans: u64,
        /// VMs that accept new tasks.
        vms_usable: u64,
        /// Runs that are active or being started or stopped.
        runs: u64,
        /// Tasks that are ready to start.
        waiting: u64,
        /// Time for which tasks have waited since the role was granted, in milliseconds summed over
        /// tasks, by queue and reason.
        wait_ms: BTreeMap<Box<str>, u64>,
        /// Advice queries since the role was granted, by queue.
        advice: BTreeMap<QueueId, QueueAdvice>,
        /// Time between an answer to a query through a daemon and the next one through it, summed
        /// over daemons, in milliseconds.
        advice_idle_ms: u64,
    },
    /// Log lines were dropped.
    LinesDropped {
        /// Number of lines that exceeded the rate limit.
        over_budget: u64,
        /// Number of lines that did not fit into the queue.
        queue_full: u64,
    },
}

impl Log {
    /// Starts logging for a node.
    pub fn start(node: &str) -> Result<Self> {
        let capacity = NonZeroUsize::new(QUEUE_LINES).unwrap_or(NonZeroUsize::MIN);
        let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
        let stdout = StdStreamSink::builder()
            .stdout()
            .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
            .build_arc()?;
        let overflowed = Arc::new(AtomicU64::new(0));
        let overflow_counter = Arc::clone(&overflowed);
        let queue: Arc<dyn Sink> = AsyncPoolSink::builder()
            .overflow_policy(OverflowPolicy::DropIncoming)
            .thread_pool(pool)
            .sink(stdout)
            .build_arc()?;
        let logger = Logger::builder()
            .sink(queue)
            .error_handler(ErrorHandler::new(move |_| {
                overflow_counter.fetch_add(1, Ordering::Relaxed);
            }))
            .build_arc()?;
        Ok(Self {
            logger,
            node: node.into(),
            limiter: Rc::new(RateLimiter::new()),
            overflowed,
        })
    }

    /// Logs a decision.
    pub fn decision(&self, decision: &Decision) {
        self.write(decision);
    }

    /// Logs an event of the process.
    pub fn process(&self, event: &ProcessEvent) {
        self.write(event);
    }

    fn write<T: Serialize>(&self, body: &T) {
        if !self.limiter.try_acquire() {
            counter!("ragwortstall_log_lines_dropped_total").increment(1);
            return;
        }
        self.report_drops();
        self.write_line(body);
    }

    fn report_drops(&self) {
        if self.limiter.reported_at.get().elapsed() < DROP_REPORT_INTERVAL {
            return;
        }
        let over_budget = self.limiter.dropped.take();
        let queue_full = self.overflowed.swap(0, Ordering::Relaxed);
        if over_budget + queue_full > 0 {
            self.limiter.reported_at.set(Instant::now());
            self.write_line(&ProcessEvent::LinesDropped {
                over_budget,
                queue_full,
            });
        }
    }

    fn write_line<T: Serialize>(&self, body: &T) {
        let line = Line {
            time_ms: u64::try_from(Clock::unix_time().as_millis()).unwrap_or(u64::MAX),
            node: &self.node,
            body,
        };
        let text = serde_json::to_string(&line).expect("lines of this crate serialize to JSON");
        spdlog::info!(logger: self.logger, "{text}");
    }
}

impl RateLimiter {
    fn new() -> Self {
        Self {
            tokens: Cell::new(BURST_LINES),
            refilled_at: Cell::new(Instant::now()),
            dropped: Cell::new(0),
            reported_at: Cell::new(Instant::now()),
        }
    }

    fn try_acquire(&self) -> bool {
        let elapsed: Duration = self.refilled_at.replace(Instant::now()).elapsed();
        let tokens = self.tokens.get() + elapsed.as_secs_f64() * LINES_PER_SECOND;
        let tokens = tokens.min(BURST_LINES);
        if tokens < 1.0 {
            self.tokens.set(tokens);
            self.dropped.set(self.dropped.get() + 1);
            return false;
        }
        self.tokens.set(tokens - 1.0);
        true
    }
}
