//! Transactions that write rows as JSON text.

use gl_model::{id, txn};

/// Returns a write of `row` at `key`.
pub fn write<R: serde::Serialize>(key: String, row: &R) -> txn::Write {
    txn::Write { key, value: serde_json::to_string(row).ok() }
}

/// A transaction under construction.
pub struct Draft {
    checks: Vec<txn::Check>,
    writes: Vec<txn::Write>,
}

impl Draft {
    /// Returns an empty transaction.
    pub const fn new() -> Self {
        Self { checks: Vec::new(), writes: Vec::new() }
    }

    /// Replaces the row at `key` if its stored version is `version` (optimistic concurrency).
    pub fn replace<R: serde::Serialize>(&mut self, key: String, version: id::Version, row: &R) {
        self.checks.push(txn::Check { key: key.clone(), version });
        self.writes.push(write(key, row));
    }

    /// Adds a write without a version check.
    pub fn write(&mut self, write: txn::Write) {
        self.writes.push(write);
    }

    /// Returns the transaction with its identity.
    pub fn finish(self, id: id::TxnId) -> txn::Txn {
        txn::Txn { id, checks: self.checks, writes: self.writes }
    }
}
