//! What the platform gives: a transactional table, an object store, the list of VMs, and the
//! agents of the workers, as traits with HTTP clients behind them.
//!
//! A call may end with its answer lost after it took effect. [`Error::had_no_effect()`] tells such
//! an end from one that certainly had no effect.
//!
//! ```
//! let error = gl_platform::Error::Lost { operation: "transact", detail: "timeout".into() };
//! assert!(!error.had_no_effect());
//! ```

pub mod cell;
mod error;
mod http;
mod unsent;

pub use error::Error;
pub use http::{Http, Settings};
pub use unsent::is_unsent;

use std::net;

use gl_model::{txn, vm, worker};

/// The transactional table service.
#[async_trait::async_trait(?Send)]
pub trait Table {
    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// If no answer came; it may have taken effect unless the error is settled.
    async fn transact(&self, txn: &txn::Txn) -> Result<txn::Outcome, Error>;

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// If no answer came.
    async fn read(&self, key: &str) -> Result<Option<txn::Row>, Error>;

    /// Reads all rows whose keys begin with `prefix`, in the order of their keys.
    ///
    /// # Errors
    ///
    /// If no answer came.
    async fn scan(&self, prefix: &str) -> Result<Vec<txn::Row>, Error>;

    /// Reads the first `limit` rows after the key `after` whose keys begin with `prefix`.
    ///
    /// # Errors
    ///
    /// If no answer came.
    async fn page(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<txn::Row>, Error>;
}

/// The object store.
#[async_trait::async_trait(?Send)]
pub trait Objects {
    /// Stores `body` at `key`.
    ///
    /// # Errors
    ///
    /// If no answer came; it may be stored unless the error is settled.
    async fn put(&self, key: &str, body: String) -> Result<(), Error>;

    /// Reads the object at `key`.
    ///
    /// # Errors
    ///
    /// If no answer came.
    async fn get(&self, key: &str) -> Result<Option<String>, Error>;
}

/// The list of VMs, which lags.
#[async_trait::async_trait(?Send)]
pub trait Vms {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// If no answer came.
    async fn list(&self) -> Result<vm::List, Error>;
}

/// The agents of the workers.
///
/// An agent with a new boot number has none of the tasks of earlier boots running.
#[async_trait::async_trait(?Send)]
pub trait Agents {
    /// Sends a message to the agent at `agent`.
    ///
    /// # Errors
    ///
    /// If no answer came; the agent may have taken the message unless the error is settled.
    async fn sync(
        &self,
        agent: net::SocketAddr,
        message: &worker::Sync,
    ) -> Result<worker::Report, Error>;
}
