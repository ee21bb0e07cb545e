//! Plans: what intents would change, shown before anything changes.
//!
//! [`make()`] places the intents' tasks in a copy of the stored state with the same systems that
//! the owners run. [`confirm()`] is the one transaction that puts a plan in force.

mod check;
mod confirm;
mod dry_run;
mod make;
mod requested;

pub use check::check;
pub use confirm::{cancel, confirm};
pub use make::{Shard, Snapshot, make};

use gl_model::id;

/// The error returned by [`check()`] and [`make()`].
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The file holds no intent.
    #[error("the file holds no intents; add a `service`, `batch` or `season` under `intents`")]
    Empty,
    /// Two intents have one name.
    #[error("`{name}` is the name of two intents; give each intent a name of its own")]
    DuplicateName {
        /// The name.
        name: id::JobId,
    },
    /// A name holds characters that keys don't take.
    #[error("`{name}` is no name; use 1 to 63 lower-case letters, digits and dashes")]
    InvalidName {
        /// The name.
        name: String,
    },
    /// A number lies outside its range.
    #[error("`{field}` of `{name}` is {value}; give a value {range}")]
    OutOfRange {
        /// The intent.
        name: id::JobId,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// The values that are allowed.
        range: &'static str,
    },
    /// A season names a service that isn't there.
    #[error(
        "season `{name}` names the service `{service}`, which isn't there; submit its intent first or in the same file"
    )]
    UnknownService {
        /// The season.
        name: id::JobId,
        /// The service.
        service: id::JobId,
    },
    /// The name belongs to a job of another sort.
    #[error("`{name}` is a job of another sort already; cancel it first or choose another name")]
    NameTaken {
        /// The name.
        name: id::JobId,
    },
}
