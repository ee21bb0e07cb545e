//! The owner's side of one worker: looks, one after the other, and orders beside them.

use std::{cell, rc};

use gl_jobs::{owner, task, worker};
use gl_model::time;
use gl_platform::cell as platform;
use tokio::sync;

use super::reign;
use crate::clock;

/// Orders to a worker that are on their way at once; each needs a connection of its own.
const ORDERS: usize = 3;
/// The pause after a look that was not answered.
const RETRY: std::time::Duration = std::time::Duration::from_millis(300);

/// How long a look waits for the ends of the one before to be stored.
const ACKNOWLEDGE: std::time::Duration = std::time::Duration::from_millis(150);

/// The owner's side of a worker.
pub struct Agent {
    id: worker::WorkerId,
    orders: sync::Semaphore,
    is_looking: cell::Cell<bool>,
    /// Whether the worker is still of the cell.
    pub is_needed: cell::Cell<bool>,
}

impl Agent {
    /// The owner's side of the worker `id`.
    pub const fn new(id: worker::WorkerId) -> Self {
        Self {
            id,
            orders: sync::Semaphore::const_new(ORDERS),
            is_looking: cell::Cell::new(false),
            is_needed: cell::Cell::new(true),
        }
    }

    fn target(&self, reign: &reign::Reign) -> Option<platform::Target> {
        let owner = reign.owner();
        let worker = owner.worker(&self.id)?;
        Some(platform::Target { id: self.id.clone(), address: worker.registration.address })
    }
}

/// Looks at the worker until the reign is over or the worker is gone.
pub async fn watch(reign: rc::Rc<reign::Reign>, agent: rc::Rc<Agent>) {
    while !reign.is_over() && agent.is_needed.get() {
        if !look(&reign, &agent, None).await {
            ntex::time::sleep(RETRY).await;
        }
        acknowledge(&reign, &agent).await;
    }
}

/// Waits until the ends that the worker listed are stored, as it answers a look at once while it
/// has ends that were not acknowledged.
async fn acknowledge(reign: &reign::Reign, agent: &Agent) {
    let is_waiting = || {
        let owner = reign.owner();
        owner.worker(&agent.id).is_some_and(|worker| worker.processed_end > worker.stored_end)
    };
    if is_waiting() {
        // Without a commit in this time the store is in trouble, and looking goes on.
        let _ = ntex::time::timeout(ACKNOWLEDGE, reign.committed.notified()).await;
    }
}

/// Looks at the worker at once, unless such a look is on its way.
pub async fn look_now(reign: rc::Rc<reign::Reign>, agent: rc::Rc<Agent>) {
    if agent.is_looking.replace(true) {
        return;
    }
    look(&reign, &agent, Some(time::Span::ZERO)).await;
    agent.is_looking.set(false);
}

/// Looks once; false if no answer came.
async fn look(
    reign: &rc::Rc<reign::Reign>,
    agent: &rc::Rc<Agent>,
    wait: Option<time::Span>,
) -> bool {
    let sent = clock::steady();
    let Some(target) = agent.target(reign) else {
        return false;
    };
    let Some(mut order) = reign.owner().poll_request(&agent.id, sent) else {
        return false;
    };
    order.wait = wait.unwrap_or(order.wait);
    let looked = reign.node().platform.workers.look(&target, &order).await;
    if reign.is_over() {
        return false;
    }
    let now = clock::steady();
    reign.node().metrics.poll(looked.is_ok());
    match looked {
        Ok(look) => {
            reign.owner().poll_replied(&agent.id, sent, &look, now);
            reign.settle();
            true
        }
        Err(platform::LookError::Fenced) => {
            reign.step_down("a worker has seen a higher fencing token");
            false
        }
        Err(platform::LookError::Replaced | platform::LookError::Silent { .. }) => {
            reign.owner().poll_failed(&agent.id, now);
            reign.settle();
            false
        }
    }
}

/// Sends a start order.
pub async fn start(reign: rc::Rc<reign::Reign>, agent: rc::Rc<Agent>, order: worker::StartOrder) {
    let Ok(_permit) = agent.orders.acquire().await else {
        return;
    };
    let Some(target) = agent.target(&reign).filter(|_| !reign.is_over()) else {
        return;
    };
    let sent = clock::steady();
    let answer = reign.node().platform.workers.start(&target, reign.token(), &order).await;
    if !is_going_on(&reign, answer) {
        return;
    }
    let now = clock::steady();
    reign.node().metrics.start(answer, now.since(sent));
    reign.owner().start_replied(&agent.id, order.task, order.attempt, answer, now);
    reign.settle();
}

/// Sends a stop order.
pub async fn stop(
    reign: rc::Rc<reign::Reign>,
    agent: rc::Rc<Agent>,
    task: task::TaskId,
    attempt: u64,
) {
    let Some(target) = agent.target(&reign).filter(|_| !reign.is_over()) else {
        return;
    };
    let answer = reign.node().platform.workers.stop(&target, reign.token(), task, attempt).await;
    if !is_going_on(&reign, answer) {
        return;
    }
    reign.owner().stop_replied(&agent.id, task, attempt, answer, clock::steady());
    reign.settle();
}

/// Sends an order to change a run's pace.
pub async fn pace(reign: rc::Rc<reign::Reign>, agent: rc::Rc<Agent>, pace: platform::Pace) {
    let Some(target) = agent.target(&reign).filter(|_| !reign.is_over()) else {
        return;
    };
    let answer = reign.node().platform.workers.pace(&target, reign.token(), &pace).await;
    if is_going_on(&reign, answer) && answer == worker::OrderReply::Done {
        reign.owner().throttle_confirmed(pace.task, pace.attempt, pace.percent);
    }
}

/// Asks which workers may run a phase.
pub async fn advise(
    reign: rc::Rc<reign::Reign>,
    phase: task::PhaseId,
    workers: Vec<worker::WorkerId>,
) {
    let grants: Option<Vec<owner::Grant>> =
        reign.node().platform.adviser.advise(phase, &workers).await;
    if !reign.is_over() {
        reign.owner().advice_received(phase, grants, clock::steady());
        reign.settle();
    }
}

/// Whether the owner may go on after an answer.
fn is_going_on(reign: &reign::Reign, answer: worker::OrderReply) -> bool {
    if answer == worker::OrderReply::Refused(worker::Refusal::Fenced) {
        reign.step_down("a worker has seen a higher fencing token");
    }
    !reign.is_over()
}
