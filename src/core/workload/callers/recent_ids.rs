//! Bounded memory of ids.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

/// Maximum number of ids that are kept.
const MAX_IDS: usize = 4_096;

/// The last ids that were added, each with a value. The oldest is dropped when the memory is full.
#[derive(Debug)]
pub(super) struct RecentIds<T> {
    values: FxHashMap<Box<str>, T>,
    /// Ids in the order in which they were added.
    order: VecDeque<Box<str>>,
}

impl<T: Copy> RecentIds<T> {
    /// Adds an id. Does nothing if it is known.
    pub fn add(&mut self, id: &str, value: T) {
        if self.values.contains_key(id) {
            return;
        }
        if self.order.len() >= MAX_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.values.remove(&oldest);
        }
        self.order.push_back(id.into());
        self.values.insert(id.into(), value);
    }

    /// Returns the value that was added with an id.
    pub fn get(&self, id: &str) -> Option<T> {
        self.values.get(id).copied()
    }
}

impl<T> Default for RecentIds<T> {
    fn default() -> Self {
        Self {
            values: FxHashMap::default(),
            order: VecDeque::new(),
        }
    }
}
