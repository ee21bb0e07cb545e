//! What daemons ask the owner of the cell.

use std::rc;

use gl_jobs::{election, job, task};
use gl_model::time;
use gl_peer::rpc;

use super::{accept, claim, node, reign};
use crate::clock;

/// A question to the owner.
#[gl_derive::domain]
pub enum Question {
    /// A heartbeat, with what the sender sees of the store.
    Heartbeat {
        /// The sender's name.
        daemon: String,
        /// Whether the store has answered it of late.
        store_up: bool,
        /// The fencing token of the owner that it follows.
        token: u64,
    },
    /// A job has been stored.
    Accepted {
        /// The job's identity.
        id: task::JobId,
        /// The job.
        job: Box<job::Job>,
    },
    /// Store a job for a daemon that the store doesn't answer.
    Store {
        /// The job's identity.
        id: task::JobId,
        /// The job.
        job: Box<job::Job>,
    },
    /// A cancellation has been stored.
    Cancelled {
        /// The job's identity.
        id: task::JobId,
    },
    /// What is the job's state?
    State {
        /// The job's identity.
        id: task::JobId,
    },
    /// How many of the queue's jobs wait?
    Pending {
        /// The queue's name.
        queue: String,
    },
}

/// An answer of the owner.
#[gl_derive::domain]
pub enum Answer {
    /// It was taken note of.
    Noted,
    /// What became of a job on its way to the store.
    Store(accept::Outcome),
    /// The job's state, if the owner knows the job.
    State(Option<job::State>),
    /// How many jobs wait.
    Pending(usize),
    /// The daemon gives no orders under the token that was asked about, now or later.
    NotOwner,
    /// The daemon can't say.
    NotYet,
}

/// The talk between daemons.
pub struct Talk;

impl rpc::Protocol for Talk {
    type Request = Question;
    type Response = Answer;
}

/// How long a job that came from another daemon is tried for.
const STORE_LIMIT: time::Span = time::Span::millis(600);

/// Answers a question of another daemon.
pub fn answer(node: &rc::Rc<node::Node>, question: Question) -> rpc::ResponseFuture<Answer> {
    let node = rc::Rc::clone(node);
    Box::pin(async move {
        match question {
            Question::Store { id, job } => Answer::Store(store(&node, id, &job).await),
            question => answer_now(&node, question),
        }
    })
}

async fn store(node: &rc::Rc<node::Node>, id: task::JobId, job: &job::Job) -> accept::Outcome {
    let now = clock::steady();
    if !claim::is_store_up(node, now) {
        return accept::Outcome::Refused(accept::Cause::StoreSilent);
    }
    let limit = now + STORE_LIMIT;
    let outcome = node.accepting.store(id, job, limit).await;
    if let (accept::Outcome::Stored, Some(reign)) = (outcome, node.reign()) {
        reign.add_job(id, job.clone());
    }
    outcome
}

fn answer_now(node: &rc::Rc<node::Node>, question: Question) -> Answer {
    let reign = node.reign();
    if let Question::Heartbeat { token, .. } = question {
        let own = reign.as_ref().map(|reign| reign.token());
        match election::ownership_status(own, node.has_open_claim.get(), token) {
            election::OwnershipStatus::Owner => {}
            election::OwnershipStatus::NotOwner => return Answer::NotOwner,
            election::OwnershipStatus::Unsettled => return Answer::NotYet,
        }
    }
    reign.map_or(Answer::NotYet, |reign| answer_as_owner(&reign, question))
}

fn answer_as_owner(reign: &rc::Rc<reign::Reign>, question: Question) -> Answer {
    match question {
        Question::Heartbeat { daemon, store_up, .. } => {
            reign.heard(daemon, store_up);
            Answer::Noted
        }
        Question::Accepted { id, job } => {
            reign.add_job(id, *job);
            Answer::Noted
        }
        Question::Cancelled { id } => {
            reign.cancel_job(id);
            Answer::Noted
        }
        // Any daemon stores jobs, so this one was answered before.
        Question::Store { .. } => Answer::NotYet,
        Question::State { id } => Answer::State(reign.state(id)),
        Question::Pending { queue } => {
            reign.pending(&queue).map_or(Answer::NotYet, Answer::Pending)
        }
    }
}
