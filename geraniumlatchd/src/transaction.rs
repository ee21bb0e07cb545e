//! Execution of transactions with retries after lost replies and during outages of the platform.

use gl_model::{time, txn};
use gl_platform::Table;

use crate::clock;

/// The wait between two attempts.
const RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

/// The status of a transaction after its execution.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// It took effect at this version.
    Committed(gl_model::id::Version),
    /// It has had no effect and never will.
    Conflict,
    /// It has had no effect so far, and the deadline has passed.
    Failed(gl_platform::Error),
    /// It may have taken effect, and the deadline has passed.
    Unknown(gl_platform::Error),
}

/// A row that shows whether a transaction took effect.
pub trait Marker {
    /// Returns the key of a row that the transaction writes.
    fn key(&self) -> &str;
    /// Returns whether the row was written by the transaction.
    fn confirms(&self, row: &txn::Row) -> bool;
}

/// Executes `txn`, and repeats it while replies are lost, until `deadline`.
///
/// Repeating it is safe: the version checks let at most one of the copies take effect. If a reply
/// was lost and a later attempt conflicts, the marker's row shows whether the transaction took
/// effect.
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
                is_uncertain |= !error.had_no_effect();
                error
            }
        };
        if deadline.is_some_and(|deadline| clock::now() >= deadline) {
            return if is_uncertain { Status::Unknown(error) } else { Status::Failed(error) };
        }
        ntex::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Parses the JSON value of a row; returns `None` if it is malformed.
pub fn parse_value<T: serde::de::DeserializeOwned>(row: &txn::Row) -> Option<T> {
    serde_json::from_str(&row.value).ok()
}
