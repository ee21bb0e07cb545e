//! What a daemon does for clients.

use std::rc;

use gl_jobs::{api, job, queue, record, task};
use gl_model::time;
use gl_platform::cell as platform;

use super::{accept, claim, event, link, node, rows};
use crate::clock;

/// How long the owner may take to answer before the rows are read instead.
const OWNER_LIMIT: std::time::Duration = std::time::Duration::from_millis(300);
/// How long the owner may take to store a job for this daemon: its own limit and the way.
const STORE_BY_OWNER: std::time::Duration = std::time::Duration::from_millis(900);
/// When a client that was turned away should come back while the store is away: its outages
/// last for seconds.
const STORE_RETRY: time::Span = time::Span::seconds(1);
/// When a client that asks for a count should come back while the cell has no owner: about the
/// time of a takeover.
const OWNER_RETRY: time::Span = time::Span::seconds(2);
/// Taken off a client's waiting time for the answer's way back.
const WAY_BACK: time::Span = time::Span::millis(100);
/// The pause between tries.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(60);

/// The desk of one daemon.
pub struct Desk {
    node: rc::Rc<node::Node>,
}

/// Counts a request as open until it is dropped.
struct Open<'a>(&'a node::Node);

impl<'a> Open<'a> {
    fn new(node: &'a node::Node) -> Self {
        node.open_requests.set(node.open_requests.get() + 1);
        Self(node)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get().saturating_sub(1));
    }
}

impl Desk {
    /// The desk of `node`.
    pub const fn new(node: rc::Rc<node::Node>) -> Self {
        Self { node }
    }

    /// Stores a job, by way of the owner while the store doesn't answer this daemon.
    async fn store(
        &self,
        id: task::JobId,
        job: &job::Job,
        limit: time::Timestamp,
    ) -> accept::Outcome {
        if claim::is_store_up(&self.node, clock::steady()) {
            return self.node.accepting.store(id, job, limit).await;
        }
        let node::Role::Follower(following) = self.node.role() else {
            return accept::Outcome::Refused(accept::Cause::StoreSilent);
        };
        if !claim::has_live_owner(&self.node, clock::steady()) {
            return accept::Outcome::Refused(accept::Cause::StoreSilent);
        }
        let question = link::Question::Store { id, job: Box::new(job.clone()) };
        match following.link.request(question, STORE_BY_OWNER).await {
            Some(link::Answer::Store(outcome)) => outcome,
            _ => accept::Outcome::Unsettled(accept::Cause::PeerSilent),
        }
    }

    /// Tells the owner of something stored. If the message is lost, the owner finds the row by
    /// itself.
    fn announce(&self, id: task::JobId, job: Option<&job::Job>) {
        match self.node.role() {
            node::Role::Owner(reign) => match job {
                Some(job) => reign.add_job(id, job.clone()),
                None => reign.cancel_job(id),
            },
            node::Role::Follower(following) => {
                let question = match job {
                    Some(job) => link::Question::Accepted { id, job: Box::new(job.clone()) },
                    None => link::Question::Cancelled { id },
                };
                following.link.notify(question);
            }
            node::Role::Alone => {}
        }
    }

    /// What the owner knows of a job.
    async fn ask_state(&self, id: task::JobId) -> Option<job::State> {
        match self.node.role() {
            node::Role::Owner(reign) => reign.state(id),
            node::Role::Follower(following) => {
                let question = link::Question::State { id };
                match following.link.request(question, OWNER_LIMIT).await {
                    Some(link::Answer::State(state)) => state,
                    _ => None,
                }
            }
            node::Role::Alone => None,
        }
    }

    /// What is stored of a job.
    async fn read_state(
        &self,
        id: task::JobId,
    ) -> Result<Option<job::State>, platform::StoreError> {
        let store = &self.node.platform.store;
        let work = store.range(&rows::work_of(id)).await;
        self.node.note_store(&work, clock::steady());
        let work: Vec<_> = work?.rows.iter().filter_map(rows::read_work).collect();
        let has_job = work.iter().any(|row| matches!(row.work, record::Work::Job(_)));
        if !has_job {
            return Ok(None);
        }
        let progress = store.range(&rows::only(rows::progress(id))).await;
        self.node.note_store(&progress, clock::steady());
        let stored = progress?.rows.first().and_then(|row| row.value.clone());
        let progress: Option<record::Progress> =
            stored.and_then(|value| record::decode("progress", &value).ok());
        let is_cancelled = work.iter().any(|row| row.work == record::Work::Cancel);
        let end = progress.as_ref().and_then(|p| p.final_state);
        let begun = progress.is_some_and(|p| !p.phases.is_empty());
        let open = if begun { job::State::Running } else { job::State::Queued };
        let state = if is_cancelled { job::State::Cancelled } else { open };
        Ok(Some(end.unwrap_or(state)))
    }

    /// Stores a cancellation.
    async fn store_cancel(&self, id: task::JobId) -> Result<(), platform::StoreError> {
        let value = record::encode("cancellation", &record::Work::Cancel).map_err(|e| {
            platform::StoreError::Refused { what: "cancel a job", detail: e.to_string() }
        })?;
        let txn = platform::Transaction {
            writes: vec![platform::Write { key: rows::cancel(id), value }],
            ..platform::Transaction::default()
        };
        let result = self.node.platform.store.transact(&txn).await;
        self.node.note_store(&result, clock::steady());
        result.map(|_| ())
    }

    /// Cancels a job, once.
    async fn try_cancel(&self, id: task::JobId) -> Result<bool, platform::StoreError> {
        let known = self.ask_state(id).await;
        let state = match known {
            Some(state) => Some(state),
            None => self.read_state(id).await?,
        };
        match state {
            None => Ok(false),
            Some(state) if state.is_final() => Ok(true),
            Some(_) => {
                self.store_cancel(id).await?;
                self.announce(id, None);
                Ok(true)
            }
        }
    }
}

fn deadline(limit: time::Span) -> time::Timestamp {
    let now = clock::steady();
    now + time::Span(limit.0.saturating_sub(WAY_BACK.0))
}

#[async_trait::async_trait(?Send)]
impl api::JobApi for Desk {
    fn routing(&self) -> Option<rc::Rc<queue::Routing>> {
        self.node.routing.borrow().clone()
    }

    fn is_ready(&self) -> bool {
        !self.node.draining.get() && self.node.routing.borrow().is_some()
    }

    fn is_draining(&self) -> bool {
        self.node.draining.get()
    }

    fn metrics(&self) -> String {
        if let Some(log) = &self.node.log {
            self.node.metrics.lines_dropped(log.dropped());
        }
        self.node.metrics.render()
    }

    fn time_of_day(&self) -> time::Timestamp {
        clock::now()
    }

    async fn submit(
        &self,
        id: task::JobId,
        job: job::Job,
        limit: time::Span,
    ) -> Result<(), api::Error> {
        let _open = Open::new(&self.node);
        let begun = clock::steady();
        let outcome = self.store(id, &job, deadline(limit)).await;
        let took = clock::steady().since(begun);
        let took_ms = took.as_millis();
        let queue = job.queue.as_str();
        self.node.metrics.submit(outcome.as_str(), took);
        match outcome {
            accept::Outcome::Stored => {
                self.announce(id, Some(&job));
                let tasks = job.phases.iter().map(|phase| phase.count).sum();
                let id = event::Text(id);
                event::emit(&event::Event::Accepted { job: id, queue, tasks, took_ms });
                Ok(())
            }
            accept::Outcome::Refused(cause) => {
                let cause = cause.as_str();
                event::emit(&event::Event::Refused { job: event::Text(id), queue, cause, took_ms });
                Err(api::Error::NotRun { reason: cause, retry_after: STORE_RETRY })
            }
            accept::Outcome::Unsettled(cause) => {
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
        let _open = Open::new(&self.node);
        let begun = clock::steady();
        let until = deadline(limit);
        loop {
            if let Some(state) = self.ask_state(id).await {
                return Ok(Some(state));
            }
            if let Ok(state) = self.read_state(id).await {
                return Ok(state);
            }
            let now = clock::steady();
            if now >= until || !claim::is_store_up(&self.node, now) {
                let took_ms = now.since(begun).as_millis();
                let cause = "neither the owner nor the store answers";
                event::emit(&event::Event::StateUnknown { job: event::Text(id), cause, took_ms });
                return Err(api::Error::NotRun { reason: cause, retry_after: STORE_RETRY });
            }
            ntex::time::sleep(PAUSE).await;
        }
    }

    async fn cancel(&self, id: task::JobId, limit: time::Span) -> Result<bool, api::Error> {
        let _open = Open::new(&self.node);
        let begun = clock::steady();
        let until = deadline(limit);
        loop {
            let tried = self.try_cancel(id).await;
            let now = clock::steady();
            let took_ms = now.since(begun).as_millis();
            let job = event::Text(id);
            match tried {
                Ok(is_known) => {
                    let outcome = if is_known { "cancelled" } else { "no such job" };
                    event::emit(&event::Event::Cancel { job, outcome, took_ms });
                    return Ok(is_known);
                }
                Err(_) if now < until => ntex::time::sleep(PAUSE).await,
                Err(_) => {
                    let outcome = "the store doesn't take it";
                    event::emit(&event::Event::Cancel { job, outcome, took_ms });
                    return Err(api::Error::Unknown { reason: outcome });
                }
            }
        }
    }

    async fn pending(&self, queue: &str, _: time::Span) -> Result<usize, api::Error> {
        let _open = Open::new(&self.node);
        let answer = match self.node.role() {
            node::Role::Owner(reign) => reign.pending(queue),
            node::Role::Follower(following) => {
                let question = link::Question::Pending { queue: queue.to_owned() };
                match following.link.request(question, OWNER_LIMIT).await {
                    Some(link::Answer::Pending(count)) => Some(count),
                    _ => None,
                }
            }
            node::Role::Alone => None,
        };
        let reason = "the cell has no owner that answers";
        answer.ok_or(api::Error::NotRun { reason, retry_after: OWNER_RETRY })
    }
}
