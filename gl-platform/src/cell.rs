//! Services of the platform that the owner of a cell uses, as traits: a table store with
//! transactions within a partition, the directory of workers and routing, orders to workers, and
//! placement advice. `gl_fleet` implements them for the users' platform.

use gl_jobs::{domain, owner, queue, task, worker};
use gl_model::time;

/// The key of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The table.
    pub table: &'static str,
    /// The partition. One transaction can change several rows of the same partition.
    pub partition: String,
    /// The name of the row within its table and partition.
    pub name: String,
}

/// A stored row.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The name of the row within its table and partition.
    pub name: String,
    /// The content, or `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// The version of the transaction that wrote the row.
    pub version: u64,
}

/// A precondition of a transaction: the row is still at this version (optimistic concurrency).
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    /// The row.
    pub key: Key,
    /// The expected version, or zero if the row must not exist.
    pub version: u64,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The row.
    pub key: Key,
    /// The new content.
    pub value: Vec<u8>,
}

/// Changes that are applied atomically.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transaction {
    /// The preconditions.
    pub checks: Vec<Check>,
    /// The rows to write.
    pub writes: Vec<Write>,
    /// The rows to remove.
    pub removals: Vec<Key>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The transaction was committed at this version.
    Committed(u64),
    /// A precondition failed. Holds the current rows of the preconditions, as far as they exist.
    Conflict(Vec<TableRow>),
}

/// A row together with the table that holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct TableRow {
    /// The table.
    pub table: String,
    /// The row.
    pub row: Row,
}

/// The rows of a range, or the changes of a table, up to a version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// The version of the store that the rows reflect.
    pub version: u64,
    /// The store's steady clock at some time during the read, if the store tells it.
    pub clock: Option<time::Timestamp>,
}

/// A range of rows.
#[derive(Clone, Debug, PartialEq)]
pub struct Range {
    /// The table.
    pub table: &'static str,
    /// The partition.
    pub partition: String,
    /// The first name, inclusive.
    pub from: String,
    /// The end of the range, exclusive, or `None` for no upper bound.
    pub to: Option<String>,
}

/// The error returned by the store.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The operation was not carried out.
    #[error(
        "{operation}: the store refused the operation ({detail}); wait until it serves this VM again"
    )]
    Refused {
        /// The name of the operation.
        operation: &'static str,
        /// The cause.
        detail: String,
    },
    /// The operation was not carried out, and will be refused whenever it is repeated.
    #[error("{operation}: the store rejects the operation ({detail}); do not repeat it unchanged")]
    Rejected {
        /// The name of the operation.
        operation: &'static str,
        /// The cause.
        detail: String,
    },
    /// No reply was received. The operation may have been carried out, or may still be.
    #[error(
        "{operation}: the reply was lost ({detail}); read the rows back before deciding on them"
    )]
    Lost {
        /// The name of the operation.
        operation: &'static str,
        /// The cause.
        detail: String,
    },
    /// The changes after the given version have been removed by compaction.
    #[error("{operation}: the change history has been compacted; read all rows again")]
    Compacted {
        /// The name of the operation.
        operation: &'static str,
    },
}

/// The table store.
#[async_trait::async_trait(?Send)]
pub trait Store {
    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// If the transaction was refused or its reply was lost.
    async fn transact(&self, txn: &Transaction) -> Result<Outcome, StoreError>;

    /// Reads all rows of a range, page by page. Rows of later pages may be newer than the version
    /// returned.
    ///
    /// # Errors
    ///
    /// If the read was refused or its reply was lost.
    async fn range(&self, range: &Range) -> Result<Rows, StoreError>;

    /// Returns the changes of a table after a version, by long polling: waits at most `wait` for
    /// the first change.
    ///
    /// # Errors
    ///
    /// If the read was refused, its reply was lost, or the changes have been removed by compaction.
    async fn changes(
        &self,
        table: &'static str,
        after: u64,
        wait: time::Span,
    ) -> Result<Rows, StoreError>;
}

/// The directory in which operators publish the routing and their requests, and workers register.
#[async_trait::async_trait(?Send)]
pub trait Directory {
    /// Returns the current registrations of the workers.
    ///
    /// # Errors
    ///
    /// If the read was refused or its reply was lost.
    async fn workers(&self) -> Result<WorkerList, StoreError>;

    /// Returns the changes of the registrations after version `after`.
    ///
    /// # Errors
    ///
    /// If the read was refused, its reply was lost, or the changes have been removed by compaction.
    async fn workers_changed(&self, after: u64) -> Result<WorkerUpdate, StoreError>;

    /// Returns what the operators have published.
    ///
    /// # Errors
    ///
    /// If the read was refused or its reply was lost.
    async fn published(&self) -> Result<Published, StoreError>;

    /// Waits at most `wait` for a change of what the operators have published after version
    /// `after`.
    ///
    /// # Errors
    ///
    /// If the read was refused, its reply was lost, or the changes have been removed by compaction.
    async fn published_changes(
        &self,
        after: u64,
        wait: time::Span,
    ) -> Result<PublishedChanges, StoreError>;
}

/// The registrations of the workers and the version of the store at which they were read.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerList {
    /// The registrations.
    pub workers: Vec<worker::Registration>,
    /// An entry that cannot be decoded, if there is any. It names no worker, and the others are used.
    pub unreadable: Option<Unreadable>,
    /// The version.
    pub version: u64,
}

/// The changes of the registrations since a version of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerUpdate {
    /// The changes. A worker whose entry can no longer be decoded is among the removed ones.
    pub changes: worker::ListChanges,
    /// A changed entry that cannot be decoded, if there is any.
    pub unreadable: Option<Unreadable>,
    /// The version up to which changes have been read.
    pub version: u64,
}

/// What the operators have published, and the version of the store at which it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Published {
    /// The routing, or `None` if the operators have not written one yet.
    pub routing: Option<queue::Routing>,
    /// Set if the routing that the operators have written cannot be decoded.
    pub unreadable: Option<Unreadable>,
    /// The emptied failure domains.
    pub emptied: domain::Emptied,
    /// The version.
    pub version: u64,
    /// The store's steady clock at some time during the read, if the store tells it.
    pub clock: Option<time::Timestamp>,
}

/// A row that cannot be decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct Unreadable {
    /// The version of the transaction that wrote the row.
    pub version: u64,
    /// The cause.
    pub detail: String,
}

/// The result of waiting for a change of what the operators have published.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedChanges {
    /// The newest routing, if it has changed.
    pub routing: Option<queue::Routing>,
    /// Set if the routing has changed and cannot be decoded.
    pub unreadable: Option<Unreadable>,
    /// The changes of the emptied failure domains, in order.
    pub emptied: Vec<domain::Change>,
    /// Whether nothing at all had changed, so that the store waited before it replied.
    pub is_unchanged: bool,
    /// The version up to which changes have been read.
    pub version: u64,
    /// The store's steady clock in its reply, if the store tells it.
    pub clock: Option<time::Timestamp>,
}

/// The error returned by [`Workers::poll()`].
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PollError {
    /// The worker has seen a higher fencing token.
    #[error("the worker has seen a higher fencing token; give up ownership of the cell")]
    Fenced,
    /// Another incarnation of the worker replied.
    #[error("another incarnation of the worker replied; read the list of workers again")]
    WrongIncarnation,
    /// No valid reply was received within the time-out.
    #[error("no reply to the poll ({detail}); try again")]
    NoReply {
        /// The cause.
        detail: String,
    },
}

/// The worker that an order is addressed to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The identifier of the worker. A worker with another identifier refuses the order.
    pub id: worker::WorkerId,
    /// The address of the worker.
    pub address: std::net::SocketAddr,
}

/// The client for orders to workers.
#[async_trait::async_trait(?Send)]
pub trait Workers {
    /// Polls a worker, which also extends its lease and acknowledges ended runs.
    ///
    /// # Errors
    ///
    /// If the worker has seen a higher fencing token, another incarnation replied, or no valid
    /// reply was received.
    async fn poll(
        &self,
        target: &Target,
        request: &worker::PollRequest,
    ) -> Result<worker::PollReply, PollError>;

    /// Starts a run.
    async fn start(&self, target: &Target, order: &worker::StartOrder) -> worker::Answer;

    /// Stops a run.
    async fn stop(
        &self,
        target: &Target,
        token: u64,
        task: task::TaskId,
        attempt: u64,
    ) -> worker::Answer;

    /// Closes connections that have been idle for long, as this many workers share the connections
    /// that the process may have. Called at an interval of some tens of milliseconds.
    fn trim_connections(&self, workers: usize);

    /// Sets the CPU limit of a run.
    async fn set_cpu_limit(&self, target: &Target, token: u64, limit: &CpuLimit) -> worker::Answer;
}

/// The share of its requested CPU that a run may use.
#[derive(Clone, Debug, PartialEq)]
pub struct CpuLimit {
    /// The task.
    pub task: task::TaskId,
    /// The attempt.
    pub attempt: u64,
    /// The CPU limit, in percent.
    pub percent: u32,
}

/// The placement advice service, which decides which workers may run a phase.
#[async_trait::async_trait(?Send)]
pub trait Adviser {
    /// Requests grants for the given workers. Returns `None` if no valid reply was received.
    async fn advise(
        &self,
        phase: task::PhaseId,
        workers: &[worker::WorkerId],
    ) -> Option<Vec<owner::Grant>>;
}
