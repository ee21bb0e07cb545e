//! Claims, renewals and releases of shard leases. The holder of a shard's lease owns the shard.

use gl_model::{config, id, shard, time};

/// Settings of shard leases.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The duration of ownership without renewal.
    pub duration: time::Span,
    /// The time after a renewal up to which worker leases may reach.
    pub horizon: time::Span,
    /// The greatest difference between the clocks of two VMs.
    pub clock_margin: time::Span,
}

impl Default for Options {
    fn default() -> Self {
        Self::from(&config::Leases::default())
    }
}

impl From<&config::Leases> for Options {
    fn from(leases: &config::Leases) -> Self {
        Self {
            duration: time::Span::millis(leases.shard_ms),
            horizon: time::Span::millis(leases.horizon_ms),
            clock_margin: time::Span::millis(leases.margin_ms),
        }
    }
}

/// The error returned by [`claim()`] and [`renew()`].
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// Another daemon owns the shard.
    #[error("the shard is owned by {owner} for another {left}; wait until its lease expires")]
    Owned {
        /// The owner.
        owner: id::DaemonId,
        /// The time for which the owner is still protected, the clock margin included.
        left: time::Span,
    },
    /// The shard has since got another owner or epoch.
    #[error("epoch {epoch} of the shard has ended; discard its state and claim the shard again")]
    Superseded {
        /// The epoch that ended.
        epoch: id::Epoch,
    },
}

/// Returns the time for which the owner in `row` is still protected from replacement, the clock
/// margin included, or none if the shard may be claimed now.
pub fn remaining(row: &shard::Row, now: time::Timestamp, options: &Options) -> Option<time::Span> {
    row.owner.as_ref()?;
    let end = row.expiry + options.clock_margin;
    (now < end).then(|| end.since(now))
}

/// Returns the row with which `daemon` takes over the shard. It must be written under a check
/// of the version at which `row` was read.
///
/// The horizon never moves back, as workers may hold leases up to it.
///
/// # Errors
///
/// Returns an error if another daemon owns the shard and its lease, the clock margin included, has
/// not expired.
pub fn claim(
    row: Option<&shard::Row>,
    daemon: &id::DaemonId,
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
        owner: Some(daemon.clone()),
        epoch,
        expiry: now + options.duration,
        horizon: horizon.max(now + options.horizon),
        txn: txn.clone(),
    })
}

/// Returns the row with which `daemon` renews its lease on the shard.
///
/// # Errors
///
/// Returns an error if `row` names another owner or none.
pub fn renew(
    row: &shard::Row,
    daemon: &id::DaemonId,
    txn: &id::TxnId,
    now: time::Timestamp,
    options: &Options,
) -> Result<shard::Row, Error> {
    if row.owner.as_ref() != Some(daemon) {
        return Err(Error::Superseded { epoch: row.epoch });
    }
    Ok(shard::Row {
        expiry: now + options.duration,
        horizon: row.horizon.max(now + options.horizon),
        txn: txn.clone(),
        ..row.clone()
    })
}

/// Returns the row with which the owner releases the shard. The owner has a record of all worker
/// leases, so the horizon is cut to `last_expiry`, the latest expiry among them.
pub fn release(row: &shard::Row, txn: &id::TxnId, last_expiry: time::Timestamp) -> shard::Row {
    let horizon = row.horizon.min(last_expiry);
    shard::Row { owner: None, horizon, txn: txn.clone(), ..row.clone() }
}

/// The state of a transaction whose reply was lost, as the shard's row shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TxnState {
    /// It took effect.
    Committed,
    /// It has not taken effect so far. It may be sent again, as at most one of the two copies
    /// passes the version check.
    Pending,
    /// It can no longer take effect, as another transaction did.
    Conflict,
}

/// Returns the state of transaction `txn`, which checked the row at version `before`.
pub fn txn_state(
    read: Option<(&shard::Row, id::Version)>,
    before: id::Version,
    txn: &id::TxnId,
) -> TxnState {
    let version = read.map(|(_, version)| version).unwrap_or_default();
    match read {
        Some((row, _)) if row.txn == *txn => TxnState::Committed,
        _ if version == before => TxnState::Pending,
        _ => TxnState::Conflict,
    }
}
