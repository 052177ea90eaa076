//! Tables that a daemon follows: a full read first, then watches for changes since the last
//! version.

use std::time::Duration;

use super::cx::Cx;
use super::cx::earliest;
use super::cx::millis;
use super::decision::Decision;
use super::effect::Request;
use super::event::Feed;
use super::event::FeedAnswer;
use super::event::FeedCall;
use super::event::FeedRow;
use super::event::ReadPurpose;
use super::rows::OWNER_KEY;
use super::table::JOBS;
use super::table::Range;
use crate::core::model::Now;
use crate::core::model::Rev;

/// Interval of the probes of a table service that does not answer. They overlap, because a lost one
/// is detected only at its timeout.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Number of waits of a watch within the maximum age of the view of the evacuation requests. Two
/// pass between the sends of two answered watches; the others are left for slow and lost answers.
const VIEW_WATCHES: u32 = 4;

/// All followed tables.
#[derive(Debug, Default)]
pub(super) struct Feeds {
    tables: Vec<FollowedTable>,
    last_answer_at: Option<Now>,
    /// Earliest time of the next probe.
    next_probe_at: Now,
}

/// State of a followed table.
#[derive(Debug)]
struct FollowedTable {
    feed: Feed,
    /// Version up to which the rows are known; `None` before the first full read.
    version: Option<Rev>,
    /// Time at which the last call was sent, if it is not answered yet.
    sent_at: Option<Now>,
    /// Earliest time of the next call.
    next_at: Now,
    /// Whether the last call failed.
    is_down: bool,
    /// Time of the last failure, if no probe that was sent later has been answered yet.
    unprobed_since: Option<Now>,
    /// Number of calls that have failed since the last answer.
    failures: u32,
    /// Time of the last answer.
    answered_at: Option<Now>,
    /// Time of the first answer after the last failure.
    recovered_at: Option<Now>,
}

/// Rows to apply.
pub(super) struct Update {
    /// Whether these are all rows of the table, rather than changes.
    pub is_snapshot: bool,
    /// Whether the previous call to the table failed.
    pub recovered: bool,
    /// Time up to which the rows include all changes.
    pub as_of: Now,
    /// Time at which the call was sent. The answer may have been in transfer since then, also if it
    /// has no rows.
    pub requested_at: Now,
    /// Rows.
    pub rows: Vec<FeedRow>,
}

impl Feeds {
    /// Follows a table from a version, if its rows up to there are known, or else from a full read.
    pub fn follow(&mut self, feed: Feed, version: Option<Rev>) {
        self.tables.retain(|table| table.feed != feed);
        self.tables.push(FollowedTable {
            feed,
            version,
            sent_at: None,
            next_at: Now::ZERO,
            is_down: false,
            unprobed_since: None,
            failures: 0,
            answered_at: None,
            recovered_at: None,
        });
    }

    /// Stops following a table; outstanding answers will be ignored.
    pub fn unfollow(&mut self, feed: Feed) {
        self.tables.retain(|table| table.feed != feed);
    }

    /// Returns the time of the last successful answer of the table service.
    pub fn last_answer_at(&self) -> Option<Now> {
        self.last_answer_at
    }

    /// Returns the time since the last answer on each followed table; `None` before the first.
    pub fn ages(&self, now: Now) -> Vec<(Feed, Option<Duration>)> {
        let tables = self.tables.iter();
        tables.map(|table| (table.feed, table.age(now))).collect()
    }

    /// Returns whether a table was read and the last call to it did not fail.
    pub fn is_up(&self, feed: Feed) -> bool {
        let mut tables = self.tables.iter();
        tables.any(|table| table.feed == feed && table.version.is_some() && !table.is_down)
    }

    /// Returns the time at which a table last answered again after a failure.
    pub fn recovered_at(&self, feed: Feed) -> Option<Now> {
        let mut tables = self.tables.iter();
        tables.find(|table| table.feed == feed)?.recovered_at
    }

    /// Sends the calls that are due.
    ///
    /// After a failure, a table is called again only once a probe, a read of one row, is answered:
    /// the answer to a watch carries all changes since the last one, and to transfer them several
    /// times at once would fill a slow link.
    pub fn poll(&mut self, cx: &mut Cx) {
        self.probe(cx);
        let options = &cx.options.table;
        let margin = options.watch_margin;
        let read_timeout = options.read_timeout;
        for table in &mut self.tables {
            if table.due_at().is_none_or(|at| cx.now < at) {
                continue;
            }
            table.sent_at = Some(cx.now);
            let call = FeedCall {
                feed: table.feed,
                sent: cx.now,
            };
            let wait = if table.is_down {
                Duration::ZERO
            } else {
                watch_wait(cx, table.feed)
            };
            cx.send(match table.version {
                None => Request::ReadAll {
                    call,
                    timeout: read_timeout,
                },
                Some(after) => Request::Watch {
                    call,
                    after,
                    wait,
                    timeout: wait + margin,
                },
            });
        }
    }

    /// Handles an answer; returns the rows to apply, if any.
    pub fn handle_answer(
        &mut self,
        cx: &mut Cx,
        call: FeedCall,
        answer: FeedAnswer,
    ) -> Option<Update> {
        let table = self
            .tables
            .iter_mut()
            .find(|table| table.feed == call.feed)?;
        if table.sent_at != Some(call.sent) {
            return None;
        }
        table.sent_at = None;
        table.next_at = cx.now;
        let update = match answer {
            FeedAnswer::Snapshot(rows, version) => {
                table.version = Some(version);
                Update {
                    is_snapshot: true,
                    recovered: table.is_down,
                    as_of: call.sent,
                    requested_at: call.sent,
                    rows,
                }
            }
            FeedAnswer::Changes(rows, version) => {
                table.version = table.version.max(Some(version));
                Update {
                    is_snapshot: false,
                    recovered: table.is_down,
                    // Rows may have been in transfer for some time.
                    as_of: if rows.is_empty() { cx.now } else { call.sent },
                    requested_at: call.sent,
                    rows,
                }
            }
            FeedAnswer::HistoryGone => {
                table.version = None;
                let reason = "change history expired; reading the full table";
                cx.log(table.state_decision(cx.now, true, reason));
                return None;
            }
            FeedAnswer::Failed(reason) => {
                table.unprobed_since = Some(cx.now);
                self.next_probe_at = cx.now + cx.options.table.retry_delay;
                table.failures += 1;
                if !table.is_down {
                    table.is_down = true;
                    cx.log(table.state_decision(cx.now, false, &reason));
                }
                return None;
            }
        };
        self.last_answer_at = Some(cx.now);
        if table.is_down {
            table.is_down = false;
            table.recovered_at = Some(cx.now);
            cx.log(table.state_decision(cx.now, true, ""));
        }
        table.failures = 0;
        table.answered_at = Some(cx.now);
        Some(update)
    }

    /// Handles the answer to a probe. If it was answered, the tables whose calls failed before it was
    /// sent are called again.
    pub fn handle_probe(&mut self, now: Now, sent: Now, is_answered: bool) {
        if !is_answered {
            return;
        }
        for table in &mut self.tables {
            if table.unprobed_since.is_some_and(|since| since <= sent) {
                table.unprobed_since = None;
                table.next_at = now;
            }
        }
    }

    /// Returns the time at which the next call or probe is due, if any.
    pub fn wake_at(&self) -> Option<Now> {
        let calls = self.tables.iter().filter_map(FollowedTable::due_at).min();
        let probe = self.needs_probe().then_some(self.next_probe_at);
        earliest(calls, probe)
    }

    fn needs_probe(&self) -> bool {
        let mut tables = self.tables.iter();
        tables.any(|table| table.unprobed_since.is_some())
    }

    /// Sends a probe if one is due.
    fn probe(&mut self, cx: &mut Cx) {
        if !self.needs_probe() || cx.now < self.next_probe_at {
            return;
        }
        self.next_probe_at = cx.now + PROBE_INTERVAL;
        let timeout = cx.options.table.read_timeout;
        let range = Range::row(JOBS, &cx.options.part, OWNER_KEY, timeout);
        cx.read(ReadPurpose::Probe(cx.now), range);
    }
}

/// Returns the time that a watch waits for a change.
///
/// A view of the evacuation requests is known as of the send of the last answered watch, so its age
/// reaches twice the wait.
fn watch_wait(cx: &Cx, feed: Feed) -> Duration {
    let wait = cx.options.table.watch_wait;
    match cx.options.max_evacuation_view_age() {
        Some(_) if feed == Feed::Config && cx.is_evacuation_view_stale() => Duration::ZERO,
        Some(max_age) if feed == Feed::Config => wait.min(max_age / VIEW_WATCHES),
        _ => wait,
    }
}

impl FollowedTable {
    /// Returns the time at which the next call is due; `None` while a call is outstanding or a probe
    /// is awaited.
    fn due_at(&self) -> Option<Now> {
        let is_free = self.sent_at.is_none() && self.unprobed_since.is_none();
        is_free.then_some(self.next_at)
    }

    /// Returns the time since the last answer; `None` before the first.
    fn age(&self, now: Now) -> Option<Duration> {
        self.answered_at.map(|at| now.saturating_sub(at))
    }

    /// Returns a log line with the state of the table.
    fn state_decision(&self, now: Now, up: bool, reason: &str) -> Decision {
        Decision::FeedState {
            feed: self.feed,
            up,
            version: self.version.unwrap_or(0),
            age_ms: self.age(now).map(millis),
            failures: self.failures,
            reason: reason.into(),
        }
    }
}
