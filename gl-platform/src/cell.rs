//! What a cell's owner needs of the platform: rows in parts, a list of workers, orders to
//! workers, and advice. The clients behind these traits live with the platform's adapter.

use gl_jobs::{owner, queue, task, worker};
use gl_model::time;

/// Names a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The table.
    pub table: &'static str,
    /// Rows of one part can be changed in one transaction.
    pub part: String,
    /// The row's name within table and part.
    pub name: String,
}

/// A stored row.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Its name within table and part.
    pub name: String,
    /// Its content; none if it was removed.
    pub value: Option<Vec<u8>>,
    /// The version of the transaction that wrote it.
    pub version: u64,
}

/// A row that must still be as it was.
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    /// The row.
    pub key: Key,
    /// Its version; zero if it must not exist.
    pub version: u64,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The row.
    pub key: Key,
    /// Its new content.
    pub value: Vec<u8>,
}

/// Changes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transaction {
    /// What must hold.
    pub checks: Vec<Check>,
    /// What is written.
    pub writes: Vec<Write>,
    /// What is removed.
    pub removals: Vec<Key>,
}

/// How a transaction ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It took effect with this version.
    Committed(u64),
    /// A check failed; the present rows of the checks that exist.
    Conflict(Vec<Found>),
}

/// A row that a failed check found.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// The table.
    pub table: String,
    /// The row.
    pub row: Row,
}

/// Rows as of one moment, or changes up to one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// The version that they are as of.
    pub version: u64,
}

/// Which rows to read.
#[derive(Clone, Debug, PartialEq)]
pub struct Range {
    /// The table.
    pub table: &'static str,
    /// The part.
    pub part: String,
    /// The first name.
    pub from: String,
    /// The name behind the last one; none for all.
    pub to: Option<String>,
}

/// The error returned by the store.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// Nothing was done.
    #[error("{what}: the store didn't do it ({detail}); wait until it serves this VM again")]
    Refused {
        /// The call.
        what: &'static str,
        /// What was seen.
        detail: String,
    },
    /// No answer came; it may have been done, or will be.
    #[error("{what}: the answer was lost ({detail}); read the rows back before deciding on them")]
    Lost {
        /// The call.
        what: &'static str,
        /// What was seen.
        detail: String,
    },
    /// The changes after the given version are no longer kept.
    #[error("{what}: the history is no longer kept; read all rows again")]
    Forgotten {
        /// The call.
        what: &'static str,
    },
}

/// The table service.
#[async_trait::async_trait(?Send)]
pub trait Store {
    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// If it was refused or its answer was lost.
    async fn transact(&self, txn: &Transaction) -> Result<Outcome, StoreError>;

    /// Reads all rows of a range, page by page. Rows of later pages may be newer.
    ///
    /// # Errors
    ///
    /// If no answer came.
    async fn range(&self, range: &Range) -> Result<Rows, StoreError>;

    /// The changes of a table after a version; waits for one at most `wait`.
    ///
    /// # Errors
    ///
    /// If no answer came, or the history is no longer kept.
    async fn changes(
        &self,
        table: &'static str,
        after: u64,
        wait: time::Span,
    ) -> Result<Rows, StoreError>;
}

/// What the platform's operators and workers publish.
#[async_trait::async_trait(?Send)]
pub trait Directory {
    /// The workers' newest entries.
    ///
    /// # Errors
    ///
    /// If no answer came.
    async fn workers(&self) -> Result<Vec<worker::Registration>, StoreError>;

    /// The newest routing.
    ///
    /// # Errors
    ///
    /// If no answer came, or there is none yet.
    async fn routing(&self) -> Result<Published, StoreError>;

    /// Waits until the routing may have changed since `after`, at most `wait`.
    ///
    /// # Errors
    ///
    /// If no answer came.
    async fn routing_changed(&self, after: u64, wait: time::Span) -> Result<Changed, StoreError>;
}

/// A routing, and the version of the store that it was read at.
#[derive(Clone, Debug, PartialEq)]
pub struct Published {
    /// The routing; none if the operators haven't written one yet.
    pub routing: Option<queue::Routing>,
    /// The version.
    pub version: u64,
}

/// Whether the routing may have changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Changed {
    /// The newest routing, if it was among the changes.
    pub routing: Option<queue::Routing>,
    /// The version up to which changes were seen.
    pub version: u64,
}

/// The error returned by [`Workers::look()`].
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LookError {
    /// The worker has seen a higher fencing token.
    #[error("the worker has seen a higher fencing token; give the cell up")]
    Fenced,
    /// Another incarnation answered.
    #[error("another incarnation of the worker answered; read the list of workers again")]
    Replaced,
    /// No answer came.
    #[error("no answer to the look ({detail}); try again")]
    Silent {
        /// What was seen.
        detail: String,
    },
}

/// Where a worker is reached, and which incarnation is meant.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Its name.
    pub id: worker::WorkerId,
    /// Its address.
    pub address: std::net::SocketAddr,
}

/// Orders to workers.
#[async_trait::async_trait(?Send)]
pub trait Workers {
    /// Looks at a worker, extends its lease and acknowledges ends.
    ///
    /// # Errors
    ///
    /// If the owner is fenced off there, or no answer came.
    async fn look(
        &self,
        target: &Target,
        order: &worker::PollRequest,
    ) -> Result<worker::PollReply, LookError>;

    /// Starts a run.
    async fn start(
        &self,
        target: &Target,
        token: u64,
        order: &worker::StartOrder,
    ) -> worker::OrderReply;

    /// Stops a run.
    async fn stop(
        &self,
        target: &Target,
        token: u64,
        task: task::TaskId,
        attempt: u64,
    ) -> worker::OrderReply;

    /// Sets the pace of a run.
    async fn pace(&self, target: &Target, token: u64, pace: &Pace) -> worker::OrderReply;
}

/// How much of its processors a run may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// The task.
    pub task: task::TaskId,
    /// The attempt.
    pub attempt: u64,
    /// The share, in percent.
    pub percent: u32,
}

/// The service that decides which workers may run a phase.
#[async_trait::async_trait(?Send)]
pub trait Adviser {
    /// Asks about workers; none if no answer came.
    async fn advise(
        &self,
        phase: task::PhaseId,
        workers: &[worker::WorkerId],
    ) -> Option<Vec<owner::Grant>>;
}
