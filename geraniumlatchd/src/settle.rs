//! Carries a transaction out until its fate is known, through lost answers and outages.

use gl_model::{time, txn};
use gl_platform::Table;

use crate::clock;

/// The wait between tries.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    /// It took effect at this version.
    Committed(gl_model::id::Version),
    /// It had no effect and never will.
    Conflict,
    /// It certainly had no effect so far, and time is up.
    Refused(gl_platform::Error),
    /// It may have taken effect, and time is up.
    Open(gl_platform::Error),
}

/// Which row tells whether a transaction took effect.
pub trait Marker {
    /// The row's key, which the transaction writes.
    fn key(&self) -> &str;
    /// Whether the row was written by this transaction.
    fn is_mine(&self, row: &txn::Row) -> bool;
}

/// Carries `txn` out, again and again while the answer is lost, until `limit`.
///
/// Sending it again is harmless, as the version checks let at most one of the copies through.
/// After a lost answer a conflict is settled by reading the marker's row.
pub async fn transact(
    table: &dyn Table,
    txn: &txn::Txn,
    marker: &dyn Marker,
    limit: Option<time::Timestamp>,
) -> Fate {
    let mut is_open = false;
    loop {
        let error = match table.transact(txn).await {
            Ok(txn::Outcome::Committed(version)) => return Fate::Committed(version),
            Ok(txn::Outcome::Conflict(_)) if !is_open => return Fate::Conflict,
            Ok(txn::Outcome::Conflict(_)) => match table.read(marker.key()).await {
                Ok(Some(row)) if marker.is_mine(&row) => return Fate::Committed(row.version),
                Ok(_) => return Fate::Conflict,
                Err(error) => error,
            },
            Err(error) => {
                is_open |= !error.had_no_effect();
                error
            }
        };
        if limit.is_some_and(|limit| clock::now() >= limit) {
            return if is_open { Fate::Open(error) } else { Fate::Refused(error) };
        }
        ntex::time::sleep(PAUSE).await;
    }
}

/// Reads a row's value as JSON.
pub fn value<T: serde::de::DeserializeOwned>(row: &txn::Row) -> Option<T> {
    serde_json::from_str(&row.value).ok()
}
