//! Reads of the platform: at most one of each kind under way, repeated at a steady interval.

use std::time::Duration;

use super::effect::Effect;
use super::effect::Effects;
use super::event::Feed;
use super::model::Now;
use super::model::Rev;
use super::timeline::TimelineEvent;

/// One repeated read.
#[derive(Clone, Debug, Default)]
struct Poll {
    due: Now,
    under_way: bool,
    after: Rev,
    read: Option<Now>,
}

/// All repeated reads of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Polls {
    records: Poll,
    work: Poll,
    members: Poll,
    unreachable: bool,
}

impl Polls {
    /// Sends the reads that are due.
    pub fn tick(&mut self, now: Now, table: Duration, members: Duration, fx: &mut Effects) {
        for feed in [Feed::Records, Feed::Work] {
            let poll = self.feed(feed);
            if poll.starts(now, table) {
                let after = poll.after;
                fx.push(Effect::Poll { feed, after });
            }
        }
        if self.members.starts(now, members) {
            fx.push(Effect::Members);
        }
    }

    /// A read of the table ended well.
    pub fn read(&mut self, feed: Feed, sent: Now, rev: Rev, fx: &mut Effects) {
        let poll = self.feed(feed);
        poll.under_way = false;
        poll.after = poll.after.max(rev);
        poll.read = poll.read.max(Some(sent));
        self.note(true, fx);
    }

    /// A read of the membership list ended well.
    pub fn members_read(&mut self) {
        self.members.under_way = false;
    }

    /// A read failed.
    pub fn failed(&mut self, feed: Option<Feed>, fx: &mut Effects) {
        match feed {
            Some(feed) => {
                self.feed(feed).under_way = false;
                self.note(false, fx);
            }
            None => self.members.under_way = false,
        }
    }

    /// Reads a feed with the next tick.
    pub fn hurry(&mut self, feed: Feed) {
        self.feed(feed).due = Now::ZERO;
    }

    /// Time since the table's records were last read.
    #[must_use]
    pub fn age(&self, now: Now) -> Duration {
        self.records
            .read
            .map_or(Duration::MAX, |read| now.saturating_sub(read))
    }

    /// Whether jobs and allotments have been read at least once.
    #[must_use]
    pub fn work_known(&self) -> bool {
        self.work.read.is_some()
    }

    /// Whether the last read of the table failed.
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

    fn note(&mut self, reachable: bool, fx: &mut Effects) {
        if self.unreachable == reachable {
            self.unreachable = !reachable;
            fx.push(Effect::Note(TimelineEvent::Table { reachable }));
        }
    }
}

impl Poll {
    fn starts(&mut self, now: Now, every: Duration) -> bool {
        if self.under_way || now < self.due {
            return false;
        }
        self.under_way = true;
        self.due = now + every;
        true
    }
}
