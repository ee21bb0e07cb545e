//! The interface that a daemon offers to clients, independent of the protocol.

use gl_model::time;

use crate::{job, queue, task};

/// The reason why a request was not carried out.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The request was not carried out and never will be.
    #[error("not carried out: {reason}; retry in {} ms", retry_after.as_millis())]
    NotRun {
        /// The reason, as a sentence for the client.
        reason: &'static str,
        /// The time after which the client may retry.
        retry_after: time::Span,
    },
    /// The job was cancelled before it was accepted.
    #[error("the job was cancelled before it was accepted; submit it under another identity")]
    Cancelled,
    /// The request was not carried out, and will be refused whenever it is repeated.
    #[error("not carried out: {reason}")]
    TooLong {
        /// The reason and the remedy, as a sentence for the client.
        reason: &'static str,
    },
    /// The request may have been carried out.
    #[error("it is unknown whether the request was carried out ({reason}); repeat it unchanged")]
    Unknown {
        /// The reason, as a sentence for the client.
        reason: &'static str,
    },
}

/// Handles the requests of clients. Every answer about a job reports a stored fact.
#[async_trait::async_trait(?Send)]
pub trait JobApi {
    /// Returns the newest routing, or `None` before the first one was read.
    fn routing(&self) -> Option<std::rc::Rc<queue::Routing>>;

    /// Confirms that no queue has the address of a request, after none was found in the routing.
    ///
    /// # Errors
    ///
    /// Returns an error if the routing is so old that the queue may have been added meanwhile.
    fn confirm_no_queue(&self, host: &str, path: &str) -> Result<(), Error>;

    /// Returns whether the daemon can serve clients.
    fn is_ready(&self) -> bool;

    /// Returns whether the daemon is shutting down, so that clients should use another daemon.
    fn is_draining(&self) -> bool;

    /// Returns the time after which a request to `path` should be repeated while this daemon has not
    /// read the routing yet.
    fn start_retry_after(&self, path: &str) -> time::Span;

    /// Records that the body of a request to `path` was not read to its end, by cause, and returns the
    /// time after which the client may retry.
    fn body_unread(&self, path: &str, cause: &'static str) -> time::Span;

    /// Records that the head of a request was read. A daemon that shuts down waits for it to close.
    fn request_opened(&self);

    /// Records that a request has its response, or that its client is gone.
    fn request_closed(&self);

    /// Returns the metrics in their text format, with the number of connections that were closed as
    /// there were too many.
    fn metrics(&self, connections_closed: u64) -> String;

    /// Returns the time of day.
    fn time_of_day(&self) -> time::Timestamp;

    /// Stores a job. Requests with the same identity are treated as the same job.
    ///
    /// # Errors
    ///
    /// Returns an error if the job was not stored, or may not have been stored.
    async fn submit(&self, id: task::JobId, job: job::Job, limit: time::Span) -> Result<(), Error>;

    /// Returns the state of a job, or `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns an error if neither the owner nor the store replies.
    async fn state(&self, id: task::JobId, limit: time::Span) -> Result<Option<job::State>, Error>;

    /// Stores the cancellation of a job, and returns `false` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns an error if the cancellation was not stored, or may not have been stored.
    async fn cancel(&self, id: task::JobId, limit: time::Span) -> Result<bool, Error>;

    /// Returns the number of jobs of a queue that wait for their first task to start.
    ///
    /// # Errors
    ///
    /// Returns an error if the owner does not reply.
    async fn pending(&self, queue: &str, limit: time::Span) -> Result<usize, Error>;
}
