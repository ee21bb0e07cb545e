//! Plans: the effects of intents, shown before anything changes.
//!
//! [`make()`] is a dry run: it places the intents' tasks in a copy of the stored state with the
//! same systems that the owners run. [`confirm()`] returns the transaction that puts a plan into
//! effect.

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
    /// The file contains no intents.
    #[error("the file contains no intents; add a `service`, `batch` or `season` under `intents`")]
    Empty,
    /// Two intents have the same name.
    #[error("two intents are named `{name}`; give each intent a unique name")]
    DuplicateName {
        /// The name.
        name: id::JobId,
    },
    /// A name is too long or contains characters that are not allowed in keys.
    #[error("`{name}` is not a valid name; use 1 to 63 lower-case letters, digits and dashes")]
    InvalidName {
        /// The name.
        name: String,
    },
    /// A number is out of its range.
    #[error("`{field}` of `{name}` is {value}; give a value {range}")]
    OutOfRange {
        /// The intent.
        name: id::JobId,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// The allowed values.
        range: &'static str,
    },
    /// A season refers to a service that does not exist.
    #[error(
        "season `{name}` refers to the service `{service}`, which does not exist; submit its intent first or in the same file"
    )]
    UnknownService {
        /// The season.
        name: id::JobId,
        /// The service.
        service: id::JobId,
    },
    /// The name belongs to an existing job of another type.
    #[error("`{name}` is an existing job of another type; cancel it first or choose another name")]
    NameTaken {
        /// The name.
        name: id::JobId,
    },
}
