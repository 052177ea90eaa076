//! Counts the outstanding calls for the rows of followed tables.

use std::collections::BTreeMap;

use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::Feed;

/// Numbers of reads and watches of followed tables, by daemon and table.
#[derive(Default)]
pub(crate) struct FeedCalls {
    outstanding: BTreeMap<(usize, Feed), u32>,
    /// Greatest number of calls outstanding at a time.
    pub greatest: BTreeMap<(usize, Feed), u32>,
}

impl FeedCalls {
    /// Counts a request that a daemon sends.
    pub(super) fn add(&mut self, daemon: usize, req: &Request) {
        if let Request::ReadAll { call, .. } | Request::Watch { call, .. } = req {
            let key = (daemon, call.feed);
            let count = self.outstanding.entry(key).or_default();
            *count += 1;
            let greatest = self.greatest.entry(key).or_default();
            *greatest = (*greatest).max(*count);
        }
    }

    /// Removes the call that an answer to a daemon ends.
    pub(super) fn remove(&mut self, daemon: usize, answer: &Answer) {
        if let Answer::Feed(call, _) = answer
            && let Some(count) = self.outstanding.get_mut(&(daemon, call.feed))
        {
            *count -= 1;
        }
    }

    /// Forgets the calls of a daemon whose process has ended.
    pub(super) fn forget(&mut self, daemon: usize) {
        self.outstanding.retain(|(other, _), _| *other != daemon);
    }
}
