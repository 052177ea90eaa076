//! Membership list with a configurable lag, as a model without I/O.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use ragwortstall::core::model::Member;
use ragwortstall::core::model::VmId;

/// Membership list whose reads return an earlier state.
#[derive(Clone, Debug, Default)]
pub struct Members {
    visible: BTreeMap<VmId, Member>,
    pending: VecDeque<(Duration, Change)>,
    lag: Duration,
}

#[derive(Clone, Debug)]
enum Change {
    Put(Member),
    Remove(VmId),
}

impl Members {
    /// Sets the age of the state that reads return.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Adds or replaces a member.
    pub fn put(&mut self, now: Duration, member: Member) {
        self.pending.push_back((now, Change::Put(member)));
    }

    /// Removes a member.
    pub fn remove(&mut self, now: Duration, id: &str) {
        self.pending.push_back((now, Change::Remove(id.into())));
    }

    /// Returns the list as it was one lag ago, sorted by name.
    pub fn list(&mut self, now: Duration) -> Vec<Member> {
        while let Some((changed_at, change)) = self.pending.pop_front() {
            if changed_at + self.lag > now {
                self.pending.push_front((changed_at, change));
                break;
            }
            match change {
                Change::Put(member) => drop(self.visible.insert(member.id.clone(), member)),
                Change::Remove(id) => drop(self.visible.remove(&id)),
            }
        }
        self.visible.values().cloned().collect()
    }
}
