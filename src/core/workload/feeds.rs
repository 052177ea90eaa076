//! Tables that a daemon follows: read whole once, then changes from the last version on.

use std::time::Duration;

use super::cx::Cx;
use super::decision::Decision;
use super::effect::Request;
use super::event::Feed;
use super::event::FeedAnswer;
use super::event::FeedCall;
use super::event::FeedRow;
use crate::core::model::Now;
use crate::core::model::Rev;

/// Time between two looks at a table that does not answer. They overlap, as a lost one is noticed
/// only at its timeout.
const PROBE_GAP: Duration = Duration::from_millis(200);

/// All followed tables.
#[derive(Debug, Default)]
pub(super) struct Feeds {
    list: Vec<Follow>,
    last_answer_at: Option<Now>,
}

/// One followed table.
#[derive(Debug)]
struct Follow {
    feed: Feed,
    /// Version up to which it is known; `None` before it was read whole.
    version: Option<Rev>,
    /// When the last call that is still under way was sent.
    sent: Option<Now>,
    next_at: Now,
    down: bool,
    /// When it last began to answer after a failure.
    recovered_at: Option<Now>,
}

/// Rows to apply.
pub(super) struct Update {
    /// Whether the rows are all there are.
    pub is_snapshot: bool,
    /// Whether the table had not answered before.
    pub recovered: bool,
    /// Rows.
    pub rows: Vec<FeedRow>,
}

impl Feeds {
    /// Starts to follow a table, from a version if it was read otherwise.
    pub fn follow(&mut self, feed: Feed, version: Option<Rev>) {
        self.list.retain(|follow| follow.feed != feed);
        self.list.push(Follow {
            feed,
            version,
            sent: None,
            next_at: Now::ZERO,
            down: false,
            recovered_at: None,
        });
    }

    /// Stops following a table; answers still to come are ignored.
    pub fn unfollow(&mut self, feed: Feed) {
        self.list.retain(|follow| follow.feed != feed);
    }

    /// When the table service last answered.
    pub fn last_answer_at(&self) -> Option<Now> {
        self.last_answer_at
    }

    /// Whether a table was read and its last call ended well.
    pub fn is_up(&self, feed: Feed) -> bool {
        let mut list = self.list.iter();
        list.any(|follow| follow.feed == feed && follow.version.is_some() && !follow.down)
    }

    /// When a table last began to answer after a failure.
    pub fn recovered_at(&self, feed: Feed) -> Option<Now> {
        let mut list = self.list.iter();
        list.find(|follow| follow.feed == feed)?.recovered_at
    }

    /// Sends the calls that are due.
    pub fn poll(&mut self, cx: &mut Cx) {
        let options = &cx.options.table;
        let (wait, margin) = (options.watch_wait, options.watch_margin);
        let read_timeout = options.read_timeout;
        for follow in &mut self.list {
            if cx.now < follow.due_at() {
                continue;
            }
            follow.sent = Some(cx.now);
            let call = FeedCall {
                feed: follow.feed,
                sent: cx.now,
            };
            let wait = if follow.down { Duration::ZERO } else { wait };
            cx.send(match follow.version {
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

    /// Takes an answer; returns the rows to apply.
    pub fn answered(&mut self, cx: &mut Cx, call: FeedCall, answer: FeedAnswer) -> Option<Update> {
        let follow = self
            .list
            .iter_mut()
            .find(|follow| follow.feed == call.feed)?;
        let last = follow.sent == Some(call.sent);
        if !last && !follow.is_news(&answer) {
            return None;
        }
        follow.sent = None;
        follow.next_at = cx.now;
        let update = match answer {
            FeedAnswer::Snapshot(rows, version) => {
                follow.version = Some(version);
                Update {
                    is_snapshot: true,
                    recovered: follow.down,
                    rows,
                }
            }
            FeedAnswer::Changes(rows, version) => {
                follow.version = follow.version.max(Some(version));
                Update {
                    is_snapshot: false,
                    recovered: follow.down,
                    rows,
                }
            }
            FeedAnswer::HistoryGone => {
                follow.version = None;
                cx.log(follow.state(true, "history is gone; reading all"));
                return None;
            }
            FeedAnswer::Failed(reason) => {
                follow.next_at = cx.now + cx.options.table.retry_delay;
                if !follow.down {
                    follow.down = true;
                    cx.log(follow.state(false, &reason));
                }
                return None;
            }
        };
        self.last_answer_at = Some(cx.now);
        if follow.down {
            follow.down = false;
            follow.recovered_at = Some(cx.now);
            cx.log(follow.state(true, ""));
        }
        Some(update)
    }

    /// When the next call is due.
    pub fn wake_at(&self) -> Option<Now> {
        let due = self.list.iter().map(Follow::due_at);
        due.min().filter(|&at| at < Now::MAX)
    }
}

impl Follow {
    /// When its next call is due.
    fn due_at(&self) -> Now {
        match self.sent {
            None => self.next_at,
            Some(sent) if self.down && self.version.is_some() => sent + PROBE_GAP,
            Some(_) => Now::MAX,
        }
    }

    /// Whether the answer to an earlier call than the last one tells something new: that a table
    /// answers again, with changes from where this daemon stands.
    fn is_news(&self, answer: &FeedAnswer) -> bool {
        match answer {
            FeedAnswer::Changes(_, version) => self.down && Some(*version) >= self.version,
            _ => false,
        }
    }

    fn state(&self, up: bool, reason: &str) -> Decision {
        Decision::FeedState {
            feed: self.feed,
            up,
            version: self.version.unwrap_or(0),
            reason: reason.into(),
        }
    }
}
