//! The rows that say who owns the cell, and the transaction that changes them.

use gl_jobs::{election, owner, record};
use gl_platform::cell as platform;

use super::{event, rows};

/// Decoded rows of the cell.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct CellRows {
    pub owner: Option<Versioned<record::Owner>>,
    pub lease: Option<Versioned<record::Lease>>,
}

impl CellRows {
    /// Returns the number of workers, as the last owner stored it.
    pub fn workers(&self) -> Option<usize> {
        self.lease.as_ref()?.value.workers
    }
}

/// A decoded row and its version.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Versioned<T> {
    pub value: T,
    pub version: u64,
}

/// Decodes the rows of the cell. A row that cannot be decoded is logged and left out.
pub(super) fn decode(read: &[platform::Row]) -> CellRows {
    fn find<T: serde::de::DeserializeOwned>(
        read: &[platform::Row],
        name: &'static str,
    ) -> Option<Versioned<T>> {
        let row = read.iter().find(|row| row.name == name)?;
        match record::decode(name, row.value.as_deref()?) {
            Ok(value) => Some(Versioned { value, version: row.version }),
            Err(error) => {
                let detail = error.to_string();
                event::emit(&event::Event::Unreadable { row: name, detail });
                None
            }
        }
    }
    CellRows { owner: find(read, rows::OWNER), lease: find(read, rows::LEASE) }
}

/// Returns the transaction that makes `owner` the cell's owner if the cell's rows are unchanged.
pub(super) fn claim(
    cell: &CellRows,
    owner: &record::Owner,
    settings: &owner::Settings,
    predecessors: election::Predecessors,
) -> Result<platform::Transaction, record::Error> {
    let version_of = |version: Option<u64>| version.unwrap_or_default();
    let check = |name, version| platform::Check { key: rows::cell_row(name), version };
    let write = |name, value| platform::Write { key: rows::cell_row(name), value };
    let horizon = settings.horizon;
    let lease = record::Lease {
        renewals: 0,
        released: false,
        horizon,
        outstanding: Some(predecessors.outstanding.unwrap_or(horizon).max(settings.lease)),
        earlier_starts: Some(predecessors.starts),
        workers: cell.workers(),
    };
    Ok(platform::Transaction {
        checks: vec![
            check(rows::OWNER, version_of(cell.owner.as_ref().map(|row| row.version))),
            check(rows::LEASE, version_of(cell.lease.as_ref().map(|row| row.version))),
        ],
        writes: vec![
            write(rows::OWNER, record::encode("owner", owner)?),
            write(rows::LEASE, record::encode("lease", &lease)?),
        ],
        removals: Vec::new(),
    })
}
