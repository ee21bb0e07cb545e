//! Serves clients' requests: submits and cancels jobs, and reports their states.

use std::rc;

use gl_jobs::{api, job, owner, queue, record, retry_after, task};
use gl_model::time;
use gl_platform::cell as platform;

use super::{admission, event, lease, mesh, node, rows, submission, tombstones};
use crate::clock;

/// Time to wait for the owner's reply before the rows are read instead.
const OWNER_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);
/// Time to wait for the owner to store a job for this daemon: the owner's limit and the round trip.
const OWNER_STORE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(900);
/// Part of a client's time-out that is reserved for the transmission of the reply.
const REPLY_RESERVE: time::Span = time::Span::millis(100);
/// Largest number of simultaneous store calls on behalf of clients, apart from those that store jobs. Each
/// takes a connection.
const MAX_STORE_CALLS: usize = 128;
/// Time to wait until one more of them may be sent.
const STORE_PERMIT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(900);
/// Pause between attempts.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(60);

/// Handles clients' requests to one daemon.
pub struct Handler {
    node: rc::Rc<node::Node>,
    /// Permits for store calls on behalf of clients, apart from those that store jobs.
    store_calls: tokio::sync::Semaphore,
}

impl Handler {
    /// Creates the handler of `node`.
    pub fn new(node: rc::Rc<node::Node>) -> Self {
        Self { node, store_calls: tokio::sync::Semaphore::new(MAX_STORE_CALLS) }
    }

    /// Stores a job, or has the owner store it: while this daemon cannot reach the store, and if only the
    /// owner can tell whether it has the memory for the job.
    async fn store(
        &self,
        id: task::JobId,
        job: &job::Job,
        limit: time::Timestamp,
    ) -> submission::Outcome {
        let is_store_up = lease::is_store_up(&self.node, clock::steady());
        let (role, bytes) = (self.node.role(), owner::footprint_of(job));
        if let node::Role::Owner(ownership) = &role
            && is_store_up
        {
            match ownership.admit(id, job) {
                Ok(admission::Admission::New) => {}
                Ok(admission::Admission::Known) => return submission::Outcome::Duplicate,
                Err(cause) => return submission::Outcome::Refused(cause),
            }
        }
        let Some(_charge) = self.node.storing.take(bytes) else {
            return submission::Outcome::Refused(submission::Cause::QueueFull);
        };
        let followed = match role {
            node::Role::Owner(_) if is_store_up => {
                return self.node.submissions.store(id, job, limit).await;
            }
            _ if is_store_up && self.node.job_share.take(bytes) => {
                return self.node.submissions.store(id, job, limit).await;
            }
            node::Role::Follower(followed) => followed,
            // Nobody tells whether it was stored by an earlier request.
            _ if is_store_up => {
                return submission::Outcome::Unsettled(submission::Cause::OwnerUnresponsive);
            }
            _ => return submission::Outcome::Refused(submission::Cause::StoreUnavailable),
        };
        if !lease::has_live_owner(&self.node, clock::steady()) {
            return if is_store_up {
                submission::Outcome::Unsettled(submission::Cause::OwnerUnresponsive)
            } else {
                submission::Outcome::Refused(submission::Cause::StoreUnavailable)
            };
        }
        let request = mesh::Request::Store { id, job: Box::new(job.clone()) };
        match followed.connection.request(request, OWNER_STORE_TIMEOUT).await {
            Some(mesh::Response::Store(submission::Outcome::Stored)) => {
                submission::Outcome::Duplicate
            }
            Some(mesh::Response::Store(outcome)) => outcome,
            _ => submission::Outcome::Unsettled(submission::Cause::OwnerUnresponsive),
        }
    }

    /// Notifies the owner of a stored job, or of a stored cancellation if `job` is `None`. If the
    /// message is lost, the owner finds the row when it next reads the changes of the work table.
    ///
    /// Each job is announced once, by the call that has stored it: an owner that gets the announcement
    /// relies on it that no other owner does.
    fn notify_owner(&self, id: task::JobId, job: Option<&job::Job>) {
        match self.node.role() {
            node::Role::Owner(ownership) => match job {
                Some(job) => ownership.add_job(id, job.clone()),
                None => ownership.cancel_job(id),
            },
            node::Role::Follower(followed) => {
                let request = match job {
                    Some(job) => mesh::Request::Accepted { id, job: Box::new(job.clone()) },
                    None => mesh::Request::Cancelled { id },
                };
                followed.connection.notify(request);
            }
            node::Role::OwnerUnknown => {}
        }
    }

    /// Queries the owner for a job's state; `None` if there is no reply or the owner has no such
    /// job.
    async fn query_state(&self, id: task::JobId) -> Option<job::State> {
        match self.node.role() {
            node::Role::Owner(ownership) => ownership.state(id),
            node::Role::Follower(followed) => {
                let request = mesh::Request::State { id };
                match followed.connection.request(request, OWNER_TIMEOUT).await {
                    Some(mesh::Response::State(state)) => state,
                    _ => None,
                }
            }
            node::Role::OwnerUnknown => None,
        }
    }

    /// Waits until a store call on behalf of a client may be sent.
    async fn store_permit(
        &self,
        operation: &'static str,
    ) -> Result<tokio::sync::SemaphorePermit<'_>, platform::StoreError> {
        let permit = tokio::time::timeout(STORE_PERMIT_TIMEOUT, self.store_calls.acquire()).await;
        permit.ok().and_then(Result::ok).ok_or_else(|| {
            let detail = "too many requests wait for the store".to_owned();
            platform::StoreError::Refused { operation, detail }
        })
    }

    /// Reads a job's state from the store; `None` if there is no such job.
    async fn read_state(
        &self,
        id: task::JobId,
    ) -> Result<Option<job::State>, platform::StoreError> {
        let _permit = self.store_permit("read a job").await?;
        let store = &self.node.platform.store;
        let work = store.range(&rows::work_of_job(id)).await;
        self.node.record_store_result(&work, clock::steady());
        let work: Vec<_> = work?.rows.iter().filter_map(rows::read_work).collect();
        let has_job = work.iter().any(|row| matches!(row.work, record::Work::Job(_)));
        if !has_job {
            return Ok(None);
        }
        let progress = store.range(&rows::progress_of_job(id)).await;
        self.node.record_store_result(&progress, clock::steady());
        let progress = progress?;
        let values = progress.rows.iter().filter_map(|row| row.value.as_deref());
        let pages: Vec<record::Progress> =
            values.filter_map(|value| record::decode("progress", value).ok()).collect();
        let is_cancelled = work.iter().any(|row| row.work == record::Work::Cancel);
        let final_state = pages.iter().find_map(|page| page.final_state);
        let has_started = pages.iter().any(|page| !page.phases.is_empty());
        let open = if has_started { job::State::Running } else { job::State::Queued };
        let state = if is_cancelled { job::State::Cancelled } else { open };
        Ok(Some(final_state.unwrap_or(state)))
    }

    /// Stores a cancellation.
    async fn store_cancel(&self, id: task::JobId) -> Result<(), platform::StoreError> {
        let value = record::encode("cancellation", &record::Work::Cancel).map_err(|e| {
            platform::StoreError::Refused { operation: "cancel a job", detail: e.to_string() }
        })?;
        let txn = platform::Transaction {
            writes: vec![platform::Write { key: rows::cancel(id), value }],
            ..platform::Transaction::default()
        };
        let _permit = self.store_permit("cancel a job").await?;
        let result = self.node.platform.store.transact(&txn).await;
        self.node.record_store_result(&result, clock::steady());
        result.map(|_| ())
    }

    /// Has the owner refuse a job that is not stored, as a write of it may still be on its way.
    async fn store_tombstone(&self, id: task::JobId) -> tombstones::Verdict {
        match self.node.role() {
            node::Role::Owner(ownership) => ownership.store_tombstone(id).await,
            node::Role::Follower(followed) => {
                let request = mesh::Request::Tombstone { id };
                match followed.connection.request(request, OWNER_STORE_TIMEOUT).await {
                    Some(mesh::Response::Tombstone(verdict)) => verdict,
                    _ => tombstones::Verdict::Unsettled,
                }
            }
            node::Role::OwnerUnknown => tombstones::Verdict::Unsettled,
        }
    }

    /// Attempts once to cancel a job.
    async fn try_cancel(&self, id: task::JobId) -> Result<CancelOutcome, platform::StoreError> {
        let state = match self.query_state(id).await {
            Some(state) => Some(state),
            // The owner finds out with the write, so that unknown identities cost no reads.
            None => match self.store_tombstone(id).await {
                tombstones::Verdict::Absent => return Ok(CancelOutcome::NoJob),
                tombstones::Verdict::Refused => return Ok(CancelOutcome::Refused),
                tombstones::Verdict::Unsettled => self.read_state(id).await?,
            },
        };
        match state {
            None => Ok(CancelOutcome::Unsettled),
            Some(state) if state.is_final() => Ok(CancelOutcome::Cancelled),
            Some(_) => {
                self.store_cancel(id).await?;
                self.notify_owner(id, None);
                Ok(CancelOutcome::Cancelled)
            }
        }
    }
}

/// The outcome of an attempt to cancel a job.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CancelOutcome {
    /// The job is cancelled, or has ended.
    Cancelled,
    /// There is no such job, and none will be accepted for some time.
    NoJob,
    /// It is unknown whether there is such a job.
    Unsettled,
    /// There is no such job, and it cannot be ensured that none will be accepted.
    Refused,
}

impl CancelOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::NoJob => "no such job",
            Self::Unsettled => "the store did not confirm the cancellation",
            Self::Refused => "too many jobs were cancelled that were not accepted",
        }
    }
}

/// Returns the time by which the outcome of a request with a time-out of `limit` must be known.
fn deadline(limit: time::Span) -> time::Timestamp {
    let now = clock::steady();
    now + time::Span(limit.0.saturating_sub(REPLY_RESERVE.0))
}

#[async_trait::async_trait(?Send)]
impl api::JobApi for Handler {
    fn routing(&self) -> Option<rc::Rc<queue::Routing>> {
        self.node.routing.borrow().clone()
    }

    fn confirm_no_queue(&self, host: &str, path: &str) -> Result<(), api::Error> {
        let now = clock::steady();
        let version = self.node.routing.borrow().as_ref().map(|routing| routing.version);
        let age_ms = self.node.routing_age(now).map(time::Span::as_millis);
        let apply_time = self.node.settings.config_apply;
        let certain = queue::can_deny(self.node.routing_at.get(), apply_time, now);
        event::emit(&event::Event::NoQueue { host, path, version, age_ms, certain });
        if certain {
            return Ok(());
        }
        let reason = "the queue may have been added since this daemon last read the routing";
        let retry_after = self.node.outages.store_retry_after(retry_after::key_of(path), now);
        Err(api::Error::NotRun { reason, retry_after })
    }

    fn is_ready(&self) -> bool {
        !self.node.is_draining.get() && self.node.routing.borrow().is_some()
    }

    fn is_draining(&self) -> bool {
        self.node.is_draining.get()
    }

    fn start_retry_after(&self, path: &str) -> time::Span {
        self.node.outages.store_retry_after(retry_after::key_of(path), clock::steady())
    }

    fn body_unread(&self, path: &str, cause: &'static str) -> time::Span {
        self.node.metrics.body_unread(cause);
        self.node.outages.crowd_retry_after(retry_after::key_of(path), clock::steady())
    }

    fn request_opened(&self) {
        self.node.open_requests.set(self.node.open_requests.get() + 1);
    }

    fn request_closed(&self) {
        self.node.open_requests.set(self.node.open_requests.get().saturating_sub(1));
    }

    fn metrics(&self, connections_closed: u64) -> String {
        self.node.metrics.connections_closed(connections_closed);
        if let Some(log) = &self.node.log {
            self.node.metrics.lines_dropped(log.dropped());
        }
        let now = clock::steady();
        if let Some(age) = self.node.routing_age(now) {
            self.node.metrics.routing_age(age);
        }
        if let Some(load) = self.node.load(now) {
            self.node.metrics.load(&load.summary, load.age(now));
        }
        if let Some(ownership) = self.node.ownership() {
            let room = ownership.room();
            self.node.metrics.job_memory(room.used, room.limit);
            let owner = ownership.owner();
            self.node.metrics.emptied(owner.emptied().len(), owner.emptied_runs());
        }
        self.node.metrics.render()
    }

    fn time_of_day(&self) -> time::Timestamp {
        self.node.moment().wall
    }

    async fn submit(
        &self,
        id: task::JobId,
        job: job::Job,
        limit: time::Span,
    ) -> Result<(), api::Error> {
        let started = clock::steady();
        let outcome = self.store(id, &job, deadline(limit)).await;
        let now = clock::steady();
        let took = now.since(started);
        let took_ms = took.as_millis();
        self.node.outages.submitted(outcome, now);
        let queue = job.queue.as_str();
        self.node.metrics.submit(outcome.as_str(), took);
        match outcome {
            submission::Outcome::Stored | submission::Outcome::Duplicate => {
                if outcome == submission::Outcome::Stored {
                    self.notify_owner(id, Some(&job));
                }
                let tasks = job.phases.iter().map(|phase| phase.count).sum();
                let id = event::Text(id);
                event::emit(&event::Event::Accepted {
                    job: id,
                    queue,
                    tasks,
                    work: event::rounded(job.work(), 10.0),
                    cores: event::as_cores(job.widest()),
                    took_ms,
                });
                Ok(())
            }
            submission::Outcome::Cancelled => {
                let outcome = "the job was cancelled before it was stored";
                event::emit(&event::Event::Cancel { job: event::Text(id), outcome, took_ms });
                Err(api::Error::Cancelled)
            }
            submission::Outcome::Refused(
                cause @ (submission::Cause::TooLong | submission::Cause::TooLarge),
            ) => {
                let cause = cause.as_str();
                event::emit(&event::Event::Refused { job: event::Text(id), queue, cause, took_ms });
                Err(api::Error::TooLong { reason: cause })
            }
            submission::Outcome::Refused(refused) => {
                let retry_after = self.node.outages.submit_retry_after(refused, id.0, now);
                let cause = refused.as_str();
                event::emit(&event::Event::Refused { job: event::Text(id), queue, cause, took_ms });
                Err(api::Error::NotRun { reason: cause, retry_after })
            }
            submission::Outcome::Unsettled(cause) => {
                let cause = cause.as_str();
                let id = event::Text(id);
                event::emit(&event::Event::Unsettled { job: id, queue, cause, took_ms });
                Err(api::Error::Unknown { reason: cause })
            }
        }
    }

    async fn state(
        &self,
        id: task::JobId,
        limit: time::Span,
    ) -> Result<Option<job::State>, api::Error> {
        let started = clock::steady();
        let until = deadline(limit);
        loop {
            if let Some(state) = self.query_state(id).await {
                return Ok(Some(state));
            }
            if let Ok(state) = self.read_state(id).await {
                return Ok(state);
            }
            let now = clock::steady();
            if now >= until || !lease::is_store_up(&self.node, now) {
                let took_ms = now.since(started).as_millis();
                let cause = "neither the owner nor the store replied";
                event::emit(&event::Event::StateUnknown { job: event::Text(id), cause, took_ms });
                let retry_after = self.node.outages.store_retry_after(id.0, now);
                return Err(api::Error::NotRun { reason: cause, retry_after });
            }
            ntex::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn cancel(&self, id: task::JobId, limit: time::Span) -> Result<bool, api::Error> {
        let started = clock::steady();
        let until = deadline(limit);
        loop {
            let result = self.try_cancel(id).await;
            let now = clock::steady();
            let took_ms = now.since(started).as_millis();
            let job = event::Text(id);
            let outcome = result.unwrap_or(CancelOutcome::Unsettled);
            if outcome == CancelOutcome::Unsettled && now < until {
                ntex::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            let reason = outcome.as_str();
            event::emit(&event::Event::Cancel { job, outcome: reason, took_ms });
            return match outcome {
                CancelOutcome::Cancelled => Ok(true),
                CancelOutcome::NoJob => Ok(false),
                CancelOutcome::Unsettled => Err(api::Error::Unknown { reason }),
                CancelOutcome::Refused => {
                    let retry_after = self.node.outages.store_retry_after(id.0, now);
                    Err(api::Error::NotRun { reason, retry_after })
                }
            };
        }
    }

    async fn pending(&self, queue: &str, _: time::Span) -> Result<usize, api::Error> {
        let reply = match self.node.role() {
            node::Role::Owner(ownership) => ownership.pending(queue),
            node::Role::Follower(followed) => {
                let request = mesh::Request::Pending { queue: queue.to_owned() };
                match followed.connection.request(request, OWNER_TIMEOUT).await {
                    Some(mesh::Response::Pending(count)) => Some(count),
                    _ => None,
                }
            }
            node::Role::OwnerUnknown => None,
        };
        let reason = "no owner of the cell replied";
        let key = retry_after::key_of(queue);
        let retry_after = self.node.outages.owner_retry_after(key, clock::steady());
        reply.ok_or(api::Error::NotRun { reason, retry_after })
    }
}
