//! Claiming, renewing and releasing the ownership of a shard.

use gl_model::{config, id, shard, time};

/// The times of ownership.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// How long ownership lasts without renewal.
    pub lease: time::Span,
    /// How far ahead of the last renewal worker leases may reach.
    pub horizon: time::Span,
    /// The greatest difference between two VMs' clocks.
    pub margin: time::Span,
}

impl Default for Options {
    fn default() -> Self {
        Self::from(&config::Leases::default())
    }
}

impl From<&config::Leases> for Options {
    fn from(leases: &config::Leases) -> Self {
        Self {
            lease: time::Span::millis(leases.shard_ms),
            horizon: time::Span::millis(leases.horizon_ms),
            margin: time::Span::millis(leases.margin_ms),
        }
    }
}

/// The error returned by [`claim()`] and [`renew()`].
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// Another daemon owns the shard.
    #[error("the shard is owned by {owner} for another {left}; wait for its lease to lapse")]
    Owned {
        /// The owner.
        owner: id::DaemonId,
        /// How long its ownership lasts, with the clock margin.
        left: time::Span,
    },
    /// The shard has another owner or epoch by now.
    #[error("epoch {epoch} of the shard has ended; drop its state and claim the shard anew")]
    Superseded {
        /// The epoch that ended.
        epoch: id::Epoch,
    },
}

/// How long `row`'s owner is still safe from being replaced; none if it may be replaced now.
pub fn remaining(row: &shard::Row, now: time::Timestamp, options: &Options) -> Option<time::Span> {
    row.owner.as_ref()?;
    let end = row.expiry + options.margin;
    (now < end).then(|| end.since(now))
}

/// The row with which `me` takes the shard over. It is to be written under a check of the
/// version at which `row` was read.
///
/// The horizon never moves back, as workers may hold leases up to it.
///
/// # Errors
///
/// If another daemon owns the shard and its lease has not lapsed with the clock margin.
pub fn claim(
    row: Option<&shard::Row>,
    me: &id::DaemonId,
    txn: &id::TxnId,
    now: time::Timestamp,
    options: &Options,
) -> Result<shard::Row, Error> {
    if let Some(row) = row
        && let (Some(owner), Some(left)) = (&row.owner, remaining(row, now, options))
    {
        return Err(Error::Owned { owner: owner.clone(), left });
    }
    let epoch = row.map(|row| row.epoch).unwrap_or_default().next();
    let horizon = row.map(|row| row.horizon).unwrap_or_default();
    Ok(shard::Row {
        owner: Some(me.clone()),
        epoch,
        expiry: now + options.lease,
        horizon: horizon.max(now + options.horizon),
        txn: txn.clone(),
    })
}

/// The row with which `me` keeps the shard.
///
/// # Errors
///
/// If `row` shows another owner.
pub fn renew(
    row: &shard::Row,
    me: &id::DaemonId,
    txn: &id::TxnId,
    now: time::Timestamp,
    options: &Options,
) -> Result<shard::Row, Error> {
    if row.owner.as_ref() != Some(me) {
        return Err(Error::Superseded { epoch: row.epoch });
    }
    Ok(shard::Row {
        expiry: now + options.lease,
        horizon: row.horizon.max(now + options.horizon),
        txn: txn.clone(),
        ..row.clone()
    })
}

/// The row with which the owner gives the shard back. As the owner knows all leases, the
/// horizon is cut to `reach`, the end of the last one.
pub fn release(row: &shard::Row, txn: &id::TxnId, reach: time::Timestamp) -> shard::Row {
    let horizon = row.horizon.min(reach);
    shard::Row { owner: None, horizon, txn: txn.clone(), ..row.clone() }
}

/// What became of a transaction whose answer was lost, judged by reading the shard's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It took effect.
    Committed,
    /// It has not taken effect so far; sending it again is harmless, as at most one of both
    /// passes the version check.
    Open,
    /// It can't take effect any more, as another one did.
    Lost,
}

/// Settles transaction `txn`, which checked the row at version `before`.
pub fn settle(
    read: Option<(&shard::Row, id::Version)>,
    before: id::Version,
    txn: &id::TxnId,
) -> Settled {
    let version = read.map(|(_, version)| version).unwrap_or_default();
    match read {
        Some((row, _)) if row.txn == *txn => Settled::Committed,
        _ if version == before => Settled::Open,
        _ => Settled::Lost,
    }
}
