//! The stored row of a shard: who owns it and how far its leases may reach.

use crate::{id, time};

/// The row `shard/{id}`.
#[gl_derive::domain]
pub struct Row {
    /// The owner, or none if the last one released the shard.
    pub owner: Option<id::DaemonId>,
    /// Grows with each change of owner; workers refuse commands of lower epochs.
    pub epoch: id::Epoch,
    /// When the ownership ends unless it is renewed.
    pub expiry: time::Timestamp,
    /// No worker of the shard holds a lease that reaches beyond this point.
    pub horizon: time::Timestamp,
    /// The transaction that wrote this row, by which a lost answer is settled.
    pub txn: id::TxnId,
}
