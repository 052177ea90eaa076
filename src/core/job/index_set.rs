//! Set of task indexes as sorted, disjoint ranges.

use serde::Deserialize;
use serde::Serialize;

use crate::core::model::TaskIndex;

/// Set of task indexes; each range is stored as its first and last index, both inclusive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskIndexSet(Vec<(TaskIndex, TaskIndex)>);

impl TaskIndexSet {
    /// Returns whether the set contains `index`.
    #[must_use]
    pub fn contains(&self, index: TaskIndex) -> bool {
        let at = self.0.partition_point(|(_, last)| *last < index);
        self.0.get(at).is_some_and(|(first, _)| *first <= index)
    }

    /// Adds `index` and returns whether it was absent.
    pub fn insert(&mut self, index: TaskIndex) -> bool {
        let at = self.0.partition_point(|(_, last)| *last < index);
        if self.0.get(at).is_some_and(|(first, _)| *first <= index) {
            return false;
        }
        let joins_before = at > 0 && self.0[at - 1].1 + 1 == index;
        let joins_after = self.0.get(at).is_some_and(|(first, _)| *first == index + 1);
        match (joins_before, joins_after) {
            (true, true) => {
                self.0[at - 1].1 = self.0[at].1;
                self.0.remove(at);
            }
            (true, false) => self.0[at - 1].1 = index,
            (false, true) => self.0[at].0 = index,
            (false, false) => self.0.insert(at, (index, index)),
        }
        true
    }

    /// Returns the number of indexes.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(first, last)| last - first + 1).sum()
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
