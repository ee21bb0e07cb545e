//! Services of the platform as traits with an HTTP client: a transactional table, an object
//! store, the list of VMs, and the agents of the workers. The module [`cell`] has the traits of the
//! services that the owner of a cell of jobs uses; another package, `gl_fleet`, implements them.
//!
//! The reply to a call may be lost after the call took effect. [`Error::had_no_effect()`]
//! distinguishes such an error from one after which the call certainly had no effect.
//!
//! ```
//! let error = gl_platform::Error::Lost { operation: "transact", detail: "timeout".into() };
//! assert!(!error.had_no_effect());
//! ```

pub mod cell;
mod error;
mod http;
mod pooled;
mod unsent;

pub use error::Error;
pub use http::{Http, Settings};
pub use pooled::{PooledClient, SetupError, build_client};
pub use unsent::is_unsent;

use std::net;

use gl_model::{txn, vm, worker};

/// The transactional table store.
#[async_trait::async_trait(?Send)]
pub trait Table {
    /// Carries out a transaction atomically.
    ///
    /// # Errors
    ///
    /// If the call failed. The transaction may have taken effect unless
    /// [`Error::had_no_effect()`] holds.
    async fn transact(&self, txn: &txn::Txn) -> Result<txn::Outcome, Error>;

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// If the call failed.
    async fn read(&self, key: &str) -> Result<Option<txn::Row>, Error>;

    /// Reads all rows whose keys begin with `prefix`, in the order of their keys.
    ///
    /// # Errors
    ///
    /// If the call failed.
    async fn scan(&self, prefix: &str) -> Result<Vec<txn::Row>, Error>;

    /// Reads the first `limit` rows after the key `after` whose keys begin with `prefix`.
    ///
    /// # Errors
    ///
    /// If the call failed.
    async fn page(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<txn::Row>, Error>;
}

/// The object store.
#[async_trait::async_trait(?Send)]
pub trait Objects {
    /// Stores `body` at `key`.
    ///
    /// # Errors
    ///
    /// If the call failed. The object may have been stored unless [`Error::had_no_effect()`] holds.
    async fn put(&self, key: &str, body: String) -> Result<(), Error>;

    /// Reads the object at `key`.
    ///
    /// # Errors
    ///
    /// If the call failed.
    async fn get(&self, key: &str) -> Result<Option<String>, Error>;
}

/// The list of VMs, which lags behind the actual state.
#[async_trait::async_trait(?Send)]
pub trait Vms {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// If the call failed.
    async fn list(&self) -> Result<vm::List, Error>;
}

/// The agents of the workers.
///
/// An agent with a new boot number runs none of the tasks of earlier boots.
#[async_trait::async_trait(?Send)]
pub trait Agents {
    /// Sends a message to the agent at `agent`.
    ///
    /// # Errors
    ///
    /// If the call failed. The agent may have received the message unless
    /// [`Error::had_no_effect()`] holds.
    async fn sync(
        &self,
        agent: net::SocketAddr,
        message: &worker::Sync,
    ) -> Result<worker::Report, Error>;
}
