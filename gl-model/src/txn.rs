//! Transactions of the table service: version checks and writes that take effect together.

use crate::id;

/// Requires that the row `key` stands at `version`; version zero requires that it is absent.
#[gl_derive::domain]
pub struct Check {
    /// The row.
    pub key: String,
    /// The version that it must have.
    pub version: id::Version,
}

/// Replaces the row `key`, or deletes it.
#[gl_derive::domain]
pub struct Write {
    /// The row.
    pub key: String,
    /// The new value as JSON text; none deletes the row.
    pub value: Option<String>,
}

/// Checks and writes that take effect together or not at all.
#[gl_derive::domain]
pub struct Txn {
    /// The identity by which the service recognises a repeated transaction.
    pub id: id::TxnId,
    /// What must hold.
    pub checks: Vec<Check>,
    /// What is written if all checks hold.
    pub writes: Vec<Write>,
}

/// A stored row.
#[gl_derive::domain]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its version: the number of the transaction that wrote it, which grows with each one.
    pub version: id::Version,
    /// Its value as JSON text.
    pub value: String,
}

/// How the service answered a transaction.
#[gl_derive::domain]
pub enum Outcome {
    /// All writes took effect, and every written row stands at this version.
    Committed(id::Version),
    /// Nothing was written, as these rows stand at other versions.
    Conflict(Vec<Check>),
}
