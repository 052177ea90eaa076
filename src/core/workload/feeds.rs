//! Tables that a daemon follows: read whole once, then changes from the last version on.

use super::cx::Cx;
use super::cx::sooner;
use super::decision::Decision;
use super::effect::Request;
use super::event::Feed;
use super::event::FeedAnswer;
use super::event::FeedRow;
use crate::core::model::Now;
use crate::core::model::Rev;

/// All followed tables.
#[derive(Debug, Default)]
pub(super) struct Feeds {
    list: Vec<Follow>,
    heard: Option<Now>,
}

/// One followed table.
#[derive(Debug)]
struct Follow {
    feed: Feed,
    /// Version up to which it is known; `None` before it was read whole.
    version: Option<Rev>,
    in_flight: bool,
    next_at: Now,
    down: bool,
}

/// Rows to apply.
pub(super) struct Update {
    /// Whether the rows are all there are.
    pub whole: bool,
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
            in_flight: false,
            next_at: Now::ZERO,
            down: false,
        });
    }

    /// Stops following a table; answers still to come are ignored.
    pub fn leave(&mut self, feed: Feed) {
        self.list.retain(|follow| follow.feed != feed);
    }

    /// When the table service last answered.
    pub fn heard(&self) -> Option<Now> {
        self.heard
    }

    /// Whether a table was read and its last call ended well.
    pub fn is_up(&self, feed: Feed) -> bool {
        let mut list = self.list.iter();
        list.any(|follow| follow.feed == feed && follow.version.is_some() && !follow.down)
    }

    /// Sends the calls that are due.
    pub fn poll(&mut self, cx: &mut Cx) {
        let options = &cx.options.table;
        let (wait, margin) = (options.watch_wait, options.watch_margin);
        let read_timeout = options.read_timeout;
        for follow in &mut self.list {
            if follow.in_flight || cx.now < follow.next_at {
                continue;
            }
            follow.in_flight = true;
            let feed = follow.feed;
            cx.ask(match follow.version {
                None => Request::ReadAll {
                    feed,
                    timeout: read_timeout,
                },
                Some(after) => Request::Watch {
                    feed,
                    after,
                    wait,
                    timeout: wait + margin,
                },
            });
        }
    }

    /// Takes an answer; returns the rows to apply.
    pub fn answered(&mut self, cx: &mut Cx, feed: Feed, answer: FeedAnswer) -> Option<Update> {
        let follow = self.list.iter_mut().find(|follow| follow.feed == feed)?;
        follow.in_flight = false;
        follow.next_at = cx.now;
        let update = match answer {
            FeedAnswer::Whole(rows, version) => {
                follow.version = Some(version);
                Update { whole: true, rows }
            }
            FeedAnswer::Changes(rows, version) => {
                follow.version = follow.version.max(Some(version));
                Update { whole: false, rows }
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
        self.heard = Some(cx.now);
        if follow.down {
            follow.down = false;
            cx.log(follow.state(true, ""));
        }
        Some(update)
    }

    /// When the next call is due.
    pub fn wake_at(&self) -> Option<Now> {
        let due = self.list.iter().filter(|follow| !follow.in_flight);
        due.fold(None, |at, follow| sooner(at, Some(follow.next_at)))
    }
}

impl Follow {
    fn state(&self, up: bool, reason: &str) -> Decision {
        Decision::FeedState {
            feed: self.feed,
            up,
            version: self.version.unwrap_or(0),
            reason: reason.into(),
        }
    }
}
