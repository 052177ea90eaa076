//! Slabs, which store entries under small integer indexes and reuse the indexes of removed entries.

use std::ops::Index;
use std::ops::IndexMut;

use rustc_hash::FxHashMap;

/// Index of an entry in a slab.
pub type SlabIndex = u32;

/// Entries by index; the index of a removed entry is reused.
#[derive(Clone, Debug)]
pub struct Slab<T> {
    slots: Vec<Option<T>>,
    free_slots: Vec<SlabIndex>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            free_slots: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    /// Inserts an entry and returns its index.
    pub fn insert(&mut self, entry: T) -> SlabIndex {
        if let Some(index) = self.free_slots.pop() {
            self.slots[index as usize] = Some(entry);
            return index;
        }
        let index = SlabIndex::try_from(self.slots.len()).expect("fewer than 2^32 entries");
        self.slots.push(Some(entry));
        index
    }

    /// Removes and returns an entry, if there is one at this index.
    ///
    /// Panics if the index was never used.
    pub fn remove(&mut self, index: SlabIndex) -> Option<T> {
        let entry = self.slots[index as usize].take()?;
        self.free_slots.push(index);
        Some(entry)
    }

    /// Returns the entry at an index, if there is one.
    pub fn get(&self, index: SlabIndex) -> Option<&T> {
        self.slots.get(index as usize)?.as_ref()
    }

    /// Returns the entry at an index, if there is one.
    pub fn get_mut(&mut self, index: SlabIndex) -> Option<&mut T> {
        self.slots.get_mut(index as usize)?.as_mut()
    }

    /// Iterates over the entries in index order.
    pub fn iter(&self) -> impl Iterator<Item = (SlabIndex, &T)> {
        self.slots
            .iter()
            .zip(0..)
            .filter_map(|(slot, index)| slot.as_ref().map(|entry| (index, entry)))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free_slots.len()
    }

    /// Returns the number of allocated bytes.
    pub fn bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Option<T>>()
            + self.free_slots.capacity() * size_of::<SlabIndex>()
    }
}

impl<T> Index<SlabIndex> for Slab<T> {
    type Output = T;

    fn index(&self, index: SlabIndex) -> &T {
        self.get(index).expect("slab entry exists")
    }
}

impl<T> IndexMut<SlabIndex> for Slab<T> {
    fn index_mut(&mut self, index: SlabIndex) -> &mut T {
        self.get_mut(index).expect("slab entry exists")
    }
}

/// A slab whose entries have unique names.
#[derive(Clone, Debug)]
pub struct NamedSlab<T> {
    names: FxHashMap<Box<str>, SlabIndex>,
    slots: Slab<T>,
}

impl<T> Default for NamedSlab<T> {
    fn default() -> Self {
        Self {
            names: FxHashMap::default(),
            slots: Slab::default(),
        }
    }
}

impl<T> NamedSlab<T> {
    /// Returns the index of the entry with a name.
    pub fn find(&self, name: &str) -> Option<SlabIndex> {
        self.names.get(name).copied()
    }

    /// Returns the index of the entry with a name; `entry` creates it if there is none.
    pub fn find_or_insert(&mut self, name: &str, entry: impl FnOnce() -> T) -> SlabIndex {
        if let Some(index) = self.find(name) {
            return index;
        }
        let index = self.slots.insert(entry());
        self.names.insert(name.into(), index);
        index
    }

    /// Removes and returns the entry with a name, if there is one.
    pub fn remove(&mut self, name: &str) -> Option<T> {
        let index = self.names.remove(name)?;
        self.slots.remove(index)
    }

    /// Returns the entry at an index, if there is one.
    pub fn get(&self, index: SlabIndex) -> Option<&T> {
        self.slots.get(index)
    }

    /// Iterates over the entries in index order.
    pub fn iter(&self) -> impl Iterator<Item = (SlabIndex, &T)> {
        self.slots.iter()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.slots.len()
    }
}

impl<T> Index<SlabIndex> for NamedSlab<T> {
    type Output = T;

    fn index(&self, index: SlabIndex) -> &T {
        &self.slots[index]
    }
}

impl<T> IndexMut<SlabIndex> for NamedSlab<T> {
    fn index_mut(&mut self, index: SlabIndex) -> &mut T {
        &mut self.slots[index]
    }
}
