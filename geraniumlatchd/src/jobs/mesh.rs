//! Requests between daemons over the mesh; most of them are for the owner of the cell.

use std::rc;

use gl_cost::summary;
use gl_jobs::{election, followers, job, owner, task};
use gl_model::time;
use gl_peer::rpc;

use super::{admission, lease, node, ownership, submission, tombstones};
use crate::clock;

/// A request of one daemon to another.
#[gl_derive::domain]
pub enum Request {
    /// A follower's heartbeat to the owner.
    Heartbeat {
        /// The sender's name.
        daemon: String,
        /// Whether the sender can reach the store.
        store_up: bool,
        /// The fencing token of the owner that the sender follows.
        token: u64,
        /// The name of that owner; empty if the sender does not tell it, as in earlier versions.
        #[serde(default)]
        owner: String,
        /// The sender's time of day; zero if it does not tell it, as in earlier versions.
        #[serde(default)]
        wall: time::Timestamp,
        /// The owner's steady clock in the newest reply that the sender has received; `None` before the
        /// first one, and in earlier versions.
        #[serde(default)]
        after: Option<time::Timestamp>,
        /// The memory that the sender would have for jobs as the owner, in bytes; `None` in earlier
        /// versions.
        #[serde(default)]
        job_limit: Option<u64>,
    },
    /// Reports that a job has been stored.
    Accepted {
        /// The job's identity.
        id: task::JobId,
        /// The job.
        job: Box<job::Job>,
    },
    /// Requests that a job be stored for the sender, which cannot reach the store.
    Store {
        /// The job's identity.
        id: task::JobId,
        /// The job.
        job: Box<job::Job>,
    },
    /// Reports that a cancellation has been stored.
    Cancelled {
        /// The job's identity.
        id: task::JobId,
    },
    /// Requests that a job that is not stored be refused from now on, as it was cancelled.
    Tombstone {
        /// The job's identity.
        id: task::JobId,
    },
    /// Queries the state of a job.
    State {
        /// The job's identity.
        id: task::JobId,
    },
    /// Queries the number of jobs of a queue that have not started.
    Pending {
        /// The queue's name.
        queue: String,
    },
}

/// The response to a request.
#[gl_derive::domain]
pub enum Response {
    /// The report or heartbeat was received.
    Noted,
    /// The heartbeat was received. Only senders that tell their time of day get this response, as
    /// earlier versions do not know it.
    Confirmed {
        /// The time of day on which the daemons agree.
        wall: time::Timestamp,
        /// The number of daemons whose clocks it follows from.
        readings: usize,
        /// The load of the services.
        load: summary::Summary,
        /// The owner's steady clock; `None` in earlier versions.
        #[serde(default)]
        clock: Option<time::Timestamp>,
        /// The memory of jobs, in bytes, that the sender of the heartbeat may accept until the next one;
        /// `None` in earlier versions.
        #[serde(default)]
        room: Option<u64>,
    },
    /// The result of storing a job.
    Store(submission::Outcome),
    /// The answer to the cancellation of a job that is not stored.
    Tombstone(tombstones::Verdict),
    /// The job's state; `None` if the owner has no such job.
    State(Option<job::State>),
    /// The number of jobs that have not started.
    Pending(usize),
    /// The daemon sends no orders under the token of the heartbeat, now or later.
    NotOwner,
    /// The heartbeat is for another daemon. Only senders that tell its name get this response.
    OtherDaemon,
    /// The daemon cannot answer: it is not the owner, the outcome of its claim is unknown, or it
    /// has not loaded the stored state yet.
    NotYet,
}

/// Types of the messages between daemons.
pub struct Protocol;

impl rpc::Protocol for Protocol {
    type Request = Request;
    type Response = Response;
}

/// Time limit of the attempts to store another daemon's job.
const STORE_TIMEOUT: time::Span = time::Span::millis(600);

/// Handles a request of another daemon.
pub fn handle(node: &rc::Rc<node::Node>, request: Request) -> rpc::ResponseFuture<Response> {
    let node = rc::Rc::clone(node);
    Box::pin(async move {
        match request {
            Request::Store { id, job } => Response::Store(store(&node, id, &job).await),
            Request::Tombstone { id } => match node.ownership() {
                Some(ownership) => Response::Tombstone(ownership.store_tombstone(id).await),
                None => Response::NotYet,
            },
            request => handle_now(&node, request),
        }
    })
}

async fn store(node: &rc::Rc<node::Node>, id: task::JobId, job: &job::Job) -> submission::Outcome {
    let now = clock::steady();
    if !lease::is_store_up(node, now) {
        return submission::Outcome::Refused(submission::Cause::StoreUnavailable);
    }
    if let Some(ownership) = node.ownership() {
        match ownership.admit(id, job) {
            Ok(admission::Admission::New) => {}
            Ok(admission::Admission::Known) => return submission::Outcome::Stored,
            // Earlier versions do not know the other causes.
            Err(submission::Cause::TooLarge) => {
                return submission::Outcome::Refused(submission::Cause::TooLong);
            }
            Err(_) => return submission::Outcome::Refused(submission::Cause::QueueFull),
        }
    }
    let Some(_charge) = node.storing.take(owner::footprint_of(job)) else {
        return submission::Outcome::Refused(submission::Cause::QueueFull);
    };
    let limit = now + STORE_TIMEOUT;
    let outcome = node.submissions.store(id, job, limit).await;
    if let (submission::Outcome::Stored, Some(ownership)) = (outcome, node.ownership()) {
        ownership.add_job(id, job.clone());
    }
    match outcome {
        // Earlier versions do not know the other one.
        submission::Outcome::Duplicate => submission::Outcome::Stored,
        outcome => outcome,
    }
}

fn handle_now(node: &rc::Rc<node::Node>, request: Request) -> Response {
    let ownership = node.ownership();
    if let Request::Heartbeat { token, owner, .. } = &request {
        let own = ownership.as_ref().map(|ownership| ownership.token());
        let is_addressee = owner.is_empty() || *owner == node.settings.daemon;
        let has_open_claim = node.has_open_claim.get();
        match election::ownership_status(own, has_open_claim, *token, is_addressee) {
            election::OwnershipStatus::Owner => {}
            election::OwnershipStatus::OtherDaemon => return Response::OtherDaemon,
            election::OwnershipStatus::NotOwner => return Response::NotOwner,
            election::OwnershipStatus::Unsettled => return Response::NotYet,
        }
    }
    ownership.map_or(Response::NotYet, |ownership| handle_as_owner(&ownership, request))
}

fn handle_as_owner(ownership: &rc::Rc<ownership::Ownership>, request: Request) -> Response {
    match request {
        Request::Heartbeat { daemon, store_up, wall, after, job_limit, .. } => {
            ownership.job_limit_reported(&daemon, job_limit);
            let has_wall = wall > time::Timestamp::default();
            let report = followers::Report { is_store_up: store_up, after };
            ownership.heartbeat_received(daemon, report, has_wall.then_some(wall));
            let agreed = ownership.node().agreed.get().filter(|_| has_wall);
            agreed.map_or(Response::Noted, |agreed| {
                let now = clock::steady();
                let room = u64::try_from(ownership.job_share()).ok();
                Response::Confirmed {
                    wall: agreed.wall(now),
                    readings: agreed.readings,
                    load: ownership.owner().load_summary(now),
                    clock: Some(now),
                    room,
                }
            })
        }
        Request::Accepted { id, job } => {
            ownership.add_job(id, *job);
            Response::Noted
        }
        Request::Cancelled { id } => {
            ownership.cancel_job(id);
            Response::Noted
        }
        // `handle()` has handled these requests already, as they wait for the store.
        Request::Store { .. } | Request::Tombstone { .. } => Response::NotYet,
        Request::State { id } => Response::State(ownership.state(id)),
        Request::Pending { queue } => {
            ownership.pending(&queue).map_or(Response::NotYet, Response::Pending)
        }
    }
}
