//! What a daemon does for clients, whatever they speak.

use gl_model::time;

use crate::{job, queue, task};

/// Why a request was not carried out.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// It was not carried out and never will be.
    #[error("not carried out: {reason}; come back in {} ms", retry_after.as_millis())]
    NotRun {
        /// Why.
        reason: &'static str,
        /// When to come back.
        retry_after: time::Span,
    },
    /// It may have been carried out.
    #[error("it isn't known whether this was carried out ({reason}); send it again as it was")]
    Unknown {
        /// Why.
        reason: &'static str,
    },
}

/// Takes clients' requests. All answers about jobs are stored facts.
#[async_trait::async_trait(?Send)]
pub trait JobApi {
    /// The newest routing, once there is one.
    fn routing(&self) -> Option<std::rc::Rc<queue::Routing>>;

    /// Whether the daemon wants to be sent clients.
    fn is_ready(&self) -> bool;

    /// Whether the daemon is about to stop, so that clients should go elsewhere.
    fn is_draining(&self) -> bool;

    /// The metrics as text.
    fn metrics(&self) -> String;

    /// The time of day.
    fn time_of_day(&self) -> time::Timestamp;

    /// Stores a job. A job with the same identity is the same job.
    ///
    /// # Errors
    ///
    /// If it was not stored, or may not have been.
    async fn submit(&self, id: task::JobId, job: job::Job, limit: time::Span) -> Result<(), Error>;

    /// A job's state; none if there is no such job.
    ///
    /// # Errors
    ///
    /// If neither the owner nor the store answers.
    async fn state(&self, id: task::JobId, limit: time::Span) -> Result<Option<job::State>, Error>;

    /// Stores that a job shall end; false if there is no such job.
    ///
    /// # Errors
    ///
    /// If that was not stored, or may not have been.
    async fn cancel(&self, id: task::JobId, limit: time::Span) -> Result<bool, Error>;

    /// How many jobs of a queue wait for their first task to start.
    ///
    /// # Errors
    ///
    /// If the owner doesn't answer.
    async fn pending(&self, queue: &str, limit: time::Span) -> Result<usize, Error>;
}
