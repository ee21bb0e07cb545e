//! Transactions of the table service: version checks and writes that take effect together.

use crate::id;

/// Requires that the row `key` is at `version`; version zero requires that it is absent.
#[gl_derive::domain]
pub struct Check {
    /// The key of the row.
    pub key: String,
    /// The required version.
    pub version: id::Version,
}

/// Replaces the row `key`, or deletes it.
#[gl_derive::domain]
pub struct Write {
    /// The key of the row.
    pub key: String,
    /// The new value as JSON text; none deletes the row.
    pub value: Option<String>,
}

/// Checks and writes that take effect together or not at all.
#[gl_derive::domain]
pub struct Txn {
    /// The idempotency key by which the service recognises a repeated transaction.
    pub id: id::TxnId,
    /// The required versions of rows.
    pub checks: Vec<Check>,
    /// The writes that are made if all checks hold.
    pub writes: Vec<Write>,
}

/// A stored row.
#[gl_derive::domain]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its version: the number of the transaction that wrote it, which increases with each
    /// transaction.
    pub version: id::Version,
    /// Its value as JSON text.
    pub value: String,
}

/// The service's reply to a transaction.
#[gl_derive::domain]
pub enum Outcome {
    /// All writes took effect, and every written row is at this version.
    Committed(id::Version),
    /// Nothing was written, because these rows are at other versions.
    Conflict(Vec<Check>),
}
