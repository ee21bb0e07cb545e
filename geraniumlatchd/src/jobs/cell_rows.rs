//! The rows that say who owns the cell, and the transaction that changes them.

use gl_jobs::{claimants, election, owner, record};
use gl_platform::cell as platform;

use super::{event, rows};

/// Decoded rows of the cell.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct CellRows {
    pub owner: Option<Versioned<record::Owner>>,
    pub lease: Option<Versioned<record::Lease>>,
    pub claimants: Option<Versioned<record::Claimants>>,
}

impl CellRows {
    /// Returns the number of workers, as the last owner stored it.
    pub fn workers(&self) -> Option<usize> {
        self.lease.as_ref()?.value.workers
    }

    /// Returns the claimants that the present owner has stored. An earlier version of the program leaves
    /// the row of the owner before it unchanged.
    fn present_claimants(&self) -> Option<&claimants::Names> {
        let token = self.owner.as_ref()?.version;
        let row = self.claimants.as_ref().filter(|row| row.version >= token);
        row.map(|row| &row.value.daemons)
    }

    /// Returns what a daemon is to the present owner.
    pub fn standing(&self, daemon: &str) -> claimants::Standing {
        claimants::standing(self.present_claimants(), daemon)
    }

    /// Returns the claimants of a daemon that claims the cell: those of the present owner but for itself.
    pub fn claimants_after_claim(&self, daemon: &str) -> claimants::Names {
        let present = self.present_claimants().into_iter().flatten();
        present.filter(|name| *name != daemon).cloned().collect()
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
    CellRows {
        owner: find(read, rows::OWNER),
        lease: find(read, rows::LEASE),
        claimants: find(read, rows::CLAIMANTS),
    }
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
    let claimants = record::Claimants { daemons: cell.claimants_after_claim(&owner.daemon) };
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
            check(rows::CLAIMANTS, version_of(cell.claimants.as_ref().map(|row| row.version))),
        ],
        writes: vec![
            write(rows::OWNER, record::encode("owner", owner)?),
            write(rows::LEASE, record::encode("lease", &lease)?),
            write(rows::CLAIMANTS, record::encode("claimants", &claimants)?),
        ],
        removals: Vec::new(),
    })
}
