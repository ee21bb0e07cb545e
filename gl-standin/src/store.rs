//! The tables and objects of the platform, in memory.

use std::collections;

use gl_model::{id, txn};

/// The rows, the objects, and the outcomes of committed transactions.
#[derive(Default)]
pub struct Store {
    rows: collections::BTreeMap<String, txn::Row>,
    objects: collections::BTreeMap<String, String>,
    outcomes: collections::BTreeMap<id::TxnId, txn::Outcome>,
    version: u64,
    /// The number of transactions and stored objects so far.
    pub writes: u64,
    /// The number of reads and scans so far.
    pub reads: u64,
}

impl Store {
    /// Executes a transaction. A repetition of a committed one returns the first outcome.
    pub fn transact(&mut self, txn: &txn::Txn) -> txn::Outcome {
        self.writes += 1;
        if let Some(outcome) = self.outcomes.get(&txn.id) {
            return outcome.clone();
        }
        let current_check = |check: &txn::Check| {
            let version = self.rows.get(&check.key).map(|row| row.version).unwrap_or_default();
            txn::Check { key: check.key.clone(), version }
        };
        let conflicts: Vec<txn::Check> = txn
            .checks
            .iter()
            .map(current_check)
            .zip(&txn.checks)
            .filter(|(current, check)| current != *check)
            .map(|(current, _)| current)
            .collect();
        if !conflicts.is_empty() {
            return txn::Outcome::Conflict(conflicts);
        }
        self.version += 1;
        let version = id::Version(self.version);
        for write in &txn.writes {
            let key = write.key.clone();
            match &write.value {
                Some(value) => {
                    let row = txn::Row { key: key.clone(), version, value: value.clone() };
                    self.rows.insert(key, row);
                }
                None => {
                    self.rows.remove(&key);
                }
            }
        }
        let outcome = txn::Outcome::Committed(version);
        self.outcomes.insert(txn.id.clone(), outcome.clone());
        outcome
    }

    /// Returns a row.
    pub fn read(&mut self, key: &str) -> Option<txn::Row> {
        self.reads += 1;
        self.rows.get(key).cloned()
    }

    /// Returns at most `limit` rows whose keys start with `prefix` and are greater than `after`.
    pub fn scan(&mut self, prefix: &str, after: &str, limit: usize) -> Vec<txn::Row> {
        self.reads += 1;
        let from = prefix.max(after).to_owned();
        let rows = self.rows.range(from..).map(|(_, row)| row);
        let rows = rows.filter(|row| row.key.as_str() > after);
        rows.take_while(|row| row.key.starts_with(prefix)).take(limit).cloned().collect()
    }

    /// Stores an object.
    pub fn put(&mut self, key: &str, body: String) {
        self.writes += 1;
        self.objects.insert(key.to_owned(), body);
    }

    /// Returns an object.
    pub fn get(&mut self, key: &str) -> Option<String> {
        self.reads += 1;
        self.objects.get(key).cloned()
    }
}
