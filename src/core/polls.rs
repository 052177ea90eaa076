//! Periodic reads of the platform, with at most one of each kind in flight.

use std::time::Duration;

use super::effect::Effect;
use super::effect::Effects;
use super::event::Feed;
use super::model::Now;
use super::model::Rev;
use super::timeline::TimelineEvent;

/// State of one periodic read.
#[derive(Clone, Debug, Default)]
struct Poll {
    due: Now,
    in_flight: bool,
    /// Revision up to which changes have been read.
    after: Rev,
    /// Clock reading before the last successful read was sent.
    last_read: Option<Now>,
}

/// All periodic reads of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Polls {
    records: Poll,
    work: Poll,
    members: Poll,
    /// Whether the last read of a feed failed.
    unreachable: bool,
}

impl Polls {
    /// Sends the reads that are due. `table` and `members` are the intervals between reads of the
    /// feeds and of the membership list.
    pub fn tick(&mut self, now: Now, table: Duration, members: Duration, fx: &mut Effects) {
        for feed in [Feed::Records, Feed::Work] {
            let poll = self.feed(feed);
            if poll.try_start(now, table) {
                let after = poll.after;
                fx.push(Effect::Poll { feed, after });
            }
        }
        if self.members.try_start(now, members) {
            fx.push(Effect::PollMembers);
        }
    }

    /// Records a successful read of a feed that was sent at `sent` and reflects revision `rev`.
    pub fn record_success(&mut self, feed: Feed, sent: Now, rev: Rev, fx: &mut Effects) {
        let poll = self.feed(feed);
        poll.in_flight = false;
        poll.after = poll.after.max(rev);
        poll.last_read = poll.last_read.max(Some(sent));
        self.set_reachable(true, fx);
    }

    /// Records a successful read of the membership list.
    pub fn record_members_success(&mut self) {
        self.members.in_flight = false;
    }

    /// Records a failed read of a feed, or of the membership list if `feed` is `None`.
    pub fn record_failure(&mut self, feed: Option<Feed>, fx: &mut Effects) {
        match feed {
            Some(feed) => {
                self.feed(feed).in_flight = false;
                self.set_reachable(false, fx);
            }
            None => self.members.in_flight = false,
        }
    }

    /// Makes a feed due at the next tick.
    pub fn poll_now(&mut self, feed: Feed) {
        self.feed(feed).due = Now::ZERO;
    }

    /// Returns the time since the last successful read of the records was sent, or
    /// [`Duration::MAX`] if there was none.
    #[must_use]
    pub fn records_age(&self, now: Now) -> Duration {
        self.records
            .last_read
            .map_or(Duration::MAX, |read| now.saturating_sub(read))
    }

    /// Returns whether jobs and allotments have been read at least once.
    #[must_use]
    pub fn has_read_work(&self) -> bool {
        self.work.last_read.is_some()
    }

    /// Returns whether the last read of the table, of either feed, failed.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    fn feed(&mut self, feed: Feed) -> &mut Poll {
        match feed {
            Feed::Records => &mut self.records,
            Feed::Work => &mut self.work,
        }
    }

    fn set_reachable(&mut self, reachable: bool, fx: &mut Effects) {
        if self.unreachable == reachable {
            self.unreachable = !reachable;
            fx.push(Effect::Timeline(TimelineEvent::Table { reachable }));
        }
    }
}

impl Poll {
    /// Starts a read if it is due and none is in flight; the next one is due after `interval`.
    fn try_start(&mut self, now: Now, interval: Duration) -> bool {
        if self.in_flight || now < self.due {
            return false;
        }
        self.in_flight = true;
        self.due = now + interval;
        true
    }
}
