//! A table of entities, looked up by key and iterated in key order.

use std::collections;

/// Rows of `R` in a stable key order.
#[derive(Clone, Debug)]
pub struct Table<K, R> {
    rows: collections::BTreeMap<K, R>,
}

impl<K, R> Default for Table<K, R> {
    fn default() -> Self {
        Self { rows: collections::BTreeMap::new() }
    }
}

impl<K: Ord + Clone, R> Table<K, R> {
    /// Returns the row of `key`.
    pub fn get(&self, key: &K) -> Option<&R> {
        self.rows.get(key)
    }

    /// Returns the row of `key` for modification.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut R> {
        self.rows.get_mut(key)
    }

    /// Stores `row` under `key` and returns the row that it replaces.
    pub fn put(&mut self, key: K, row: R) -> Option<R> {
        self.rows.insert(key, row)
    }

    /// Removes and returns the row of `key`.
    pub fn remove(&mut self, key: &K) -> Option<R> {
        self.rows.remove(key)
    }

    /// Returns the row of `key`, which `make` creates if it is absent.
    pub fn or_insert_with(&mut self, key: &K, make: impl FnOnce() -> R) -> &mut R {
        self.rows.entry(key.clone()).or_insert_with(make)
    }

    /// Returns whether `key` has a row.
    pub fn contains(&self, key: &K) -> bool {
        self.rows.contains_key(key)
    }

    /// Returns all rows in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &R)> {
        self.rows.iter()
    }

    /// Returns all rows in key order for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut R)> {
        self.rows.iter_mut()
    }

    /// Keeps only the rows for which `keep` returns true.
    pub fn retain(&mut self, keep: impl FnMut(&K, &mut R) -> bool) {
        self.rows.retain(keep);
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl<K: Ord, R> FromIterator<(K, R)> for Table<K, R> {
    fn from_iter<I: IntoIterator<Item = (K, R)>>(rows: I) -> Self {
        Self { rows: rows.into_iter().collect() }
    }
}
