//! The stored row of a shard: its owner and the horizon of its worker leases.

use crate::{id, time};

/// The row `shard/{id}`.
#[gl_derive::domain]
pub struct Row {
    /// The owner; none if the last owner released the shard.
    pub owner: Option<id::DaemonId>,
    /// The fencing token: increases with each change of owner; workers refuse messages of lower
    /// epochs.
    pub epoch: id::Epoch,
    /// The time at which the ownership ends unless it is renewed.
    pub expiry: time::Timestamp,
    /// An upper bound of the expiry of all leases that the shard's workers hold.
    pub horizon: time::Timestamp,
    /// The transaction that wrote this row. A daemon whose commit reply was lost compares it to
    /// learn whether its transaction took effect.
    pub txn: id::TxnId,
}
