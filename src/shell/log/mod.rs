//! Structured logs on standard output: one JSON object a line, from a queue that never blocks.
//!
//! Lines beyond a budget for each second, and lines that the queue has no room for, are dropped and
//! counted; the count is logged.

use std::cell::Cell;
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

use crate::core::workload::decision::Decision;
use crate::shell::clock::Clock;

/// Lines that wait for standard output at most.
const QUEUE_LINES: usize = 4_096;

/// Lines a second on average.
const LINES_PER_SECOND: f64 = 1_000.0;

/// Lines that may come at once after a quiet time.
const BURST_LINES: f64 = 3_000.0;

/// Time between two lines that tell how many were dropped.
const DROP_NOTICE_EVERY: Duration = Duration::from_secs(1);

pub use spdlog::Error;

/// Result of starting the log.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Writer of structured log lines.
#[derive(Clone)]
pub struct Log {
    logger: Arc<Logger>,
    node: Box<str>,
    budget: Rc<Budget>,
    lost: Arc<AtomicU64>,
}

struct Budget {
    tokens: Cell<f64>,
    filled: Cell<Instant>,
    dropped: Cell<u64>,
    noticed: Cell<Instant>,
}

/// What every line holds.
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
        /// Version of the program.
        version: Box<str>,
        /// Availability zone.
        zone: Box<str>,
        /// Address for callers.
        address: Box<str>,
    },
    /// The process ends.
    Stopped,
    /// The settings were read again.
    Reloaded {
        /// What came of it.
        outcome: Box<str>,
    },
    /// Something failed that no request depends on.
    Trouble {
        /// What was being done.
        step: Box<str>,
        /// Why it failed.
        reason: Box<str>,
    },
    /// Lines were dropped.
    LinesDropped {
        /// Beyond the budget.
        over_budget: u64,
        /// For want of room in the queue.
        queue_full: u64,
    },
}

impl Log {
    /// Starts the log of a node.
    pub fn start(node: &str) -> Result<Self> {
        let capacity = NonZeroUsize::new(QUEUE_LINES).unwrap_or(NonZeroUsize::MIN);
        let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
        let stdout = StdStreamSink::builder()
            .stdout()
            .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
            .build_arc()?;
        let lost = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&lost);
        let queue: Arc<dyn Sink> = AsyncPoolSink::builder()
            .overflow_policy(OverflowPolicy::DropIncoming)
            .thread_pool(pool)
            .sink(stdout)
            .build_arc()?;
        let logger = Logger::builder()
            .sink(queue)
            .error_handler(ErrorHandler::new(move |_| {
                counted.fetch_add(1, Ordering::Relaxed);
            }))
            .build_arc()?;
        Ok(Self {
            logger,
            node: node.into(),
            budget: Rc::new(Budget::new()),
            lost,
        })
    }

    /// Writes a decision.
    pub fn decision(&self, decision: &Decision) {
        self.write(decision);
    }

    /// Writes an event of the process.
    pub fn process(&self, event: &ProcessEvent) {
        self.write(event);
    }

    fn write<T: Serialize>(&self, body: &T) {
        if !self.budget.take() {
            counter!("ragwortstall_log_lines_dropped_total").increment(1);
            return;
        }
        self.notice_drops();
        self.line(body);
    }

    fn notice_drops(&self) {
        if self.budget.noticed.get().elapsed() < DROP_NOTICE_EVERY {
            return;
        }
        let over_budget = self.budget.dropped.take();
        let queue_full = self.lost.swap(0, Ordering::Relaxed);
        if over_budget + queue_full > 0 {
            self.budget.noticed.set(Instant::now());
            self.line(&ProcessEvent::LinesDropped {
                over_budget,
                queue_full,
            });
        }
    }

    fn line<T: Serialize>(&self, body: &T) {
        let line = Line {
            time_ms: u64::try_from(Clock::unix_time().as_millis()).unwrap_or(u64::MAX),
            node: &self.node,
            body,
        };
        let text = serde_json::to_string(&line).expect("lines of this crate serialize to JSON");
        spdlog::info!(logger: self.logger, "{text}");
    }
}

impl Budget {
    fn new() -> Self {
        Self {
            tokens: Cell::new(BURST_LINES),
            filled: Cell::new(Instant::now()),
            dropped: Cell::new(0),
            noticed: Cell::new(Instant::now()),
        }
    }

    fn take(&self) -> bool {
        let passed: Duration = self.filled.replace(Instant::now()).elapsed();
        let tokens = self.tokens.get() + passed.as_secs_f64() * LINES_PER_SECOND;
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
