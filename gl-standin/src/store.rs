//! The platform's tables and objects in memory.

use std::collections;

use gl_model::{id, txn};

/// Tables, objects and the transactions that were carried out.
#[derive(Default)]
pub struct Store {
    rows: collections::BTreeMap<String, txn::Row>,
    objects: collections::BTreeMap<String, String>,
    done: collections::BTreeMap<id::TxnId, txn::Outcome>,
    version: u64,
    /// Transactions that were carried out.
    pub writes: u64,
    /// Reads and scans.
    pub reads: u64,
}

impl Store {
    /// Carries a transaction out; a repeated one gets its first answer.
    pub fn transact(&mut self, txn: &txn::Txn) -> txn::Outcome {
        self.writes += 1;
        if let Some(outcome) = self.done.get(&txn.id) {
            return outcome.clone();
        }
        let stands = |check: &txn::Check| {
            let version = self.rows.get(&check.key).map(|row| row.version).unwrap_or_default();
            txn::Check { key: check.key.clone(), version }
        };
        let broken: Vec<txn::Check> = txn
            .checks
            .iter()
            .map(stands)
            .zip(&txn.checks)
            .filter(|(s, c)| s != *c)
            .map(|(s, _)| s)
            .collect();
        if !broken.is_empty() {
            return txn::Outcome::Conflict(broken);
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
        self.done.insert(txn.id.clone(), outcome.clone());
        outcome
    }

    /// Reads a row.
    pub fn read(&mut self, key: &str) -> Option<txn::Row> {
        self.reads += 1;
        self.rows.get(key).cloned()
    }

    /// Reads the rows after `after` whose keys begin with `prefix`.
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

    /// Reads an object.
    pub fn get(&mut self, key: &str) -> Option<String> {
        self.reads += 1;
        self.objects.get(key).cloned()
    }
}
