//! Carries a transaction out until its fate is known, through lost answers and outages.

use gl_model::{time, txn};
use gl_platform::Table;

use crate::clock;

/// The wait between tries.
const RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// It took effect at this version.
    Committed(gl_model::id::Version),
    /// It had no effect and never will.
    Conflict,
    /// It certainly had no effect so far, and time is up.
    Failed(gl_platform::Error),
    /// It may have taken effect, and time is up.
    Unknown(gl_platform::Error),
}

/// Which row tells whether a transaction took effect.
pub trait Marker {
    /// The row's key, which the transaction writes.
    fn key(&self) -> &str;
    /// Whether the row was written by this transaction.
    fn confirms(&self, row: &txn::Row) -> bool;
}

/// Carries `txn` out, again and again while the answer is lost, until `deadline`.
///
/// Sending it again is harmless, as the version checks let at most one of the copies through.
/// After a lost answer a conflict is settled by reading the marker's row.
pub async fn execute(
    table: &dyn Table,
    txn: &txn::Txn,
    marker: &dyn Marker,
    deadline: Option<time::Timestamp>,
) -> Status {
    let mut is_uncertain = false;
    loop {
        let error = match table.transact(txn).await {
            Ok(txn::Outcome::Committed(version)) => return Status::Committed(version),
            Ok(txn::Outcome::Conflict(_)) if !is_uncertain => return Status::Conflict,
            Ok(txn::Outcome::Conflict(_)) => match table.read(marker.key()).await {
                Ok(Some(row)) if marker.confirms(&row) => return Status::Committed(row.version),
                Ok(_) => return Status::Conflict,
                Err(error) => error,
            },
            Err(error) => {
                is_uncertain |= !error.is_settled();
                error
            }
        };
        if deadline.is_some_and(|deadline| clock::now() >= deadline) {
            return if is_uncertain { Status::Unknown(error) } else { Status::Failed(error) };
        }
        ntex::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Reads a row's value as JSON.
pub fn parse_value<T: serde::de::DeserializeOwned>(row: &txn::Row) -> Option<T> {
    serde_json::from_str(&row.value).ok()
}
