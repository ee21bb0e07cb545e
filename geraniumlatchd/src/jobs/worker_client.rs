//! The owner's client of one worker: it long-polls the worker, one poll after the other, and sends
//! orders at the same time.

use std::{cell, rc};

use gl_jobs::{owner, task, worker};
use gl_model::time;
use gl_platform::cell as platform;
use tokio::sync;

use super::{ownership, poll_gate};
use crate::clock;

/// Pause after a poll without a usable reply.
const POLL_RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(300);

/// The same if the worker may carry out an order once it has started again: the first call that it gets from
/// the owner rules that out.
const FENCING_PAUSE: std::time::Duration = std::time::Duration::from_millis(60);

/// Maximum delay of the next poll while the ended runs that the previous reply listed are not
/// stored yet.
const COMMIT_WAIT: std::time::Duration = std::time::Duration::from_millis(150);

/// Maximum delay of the next poll while ends cannot be acknowledged, as a start order is in flight.
const HELD_WAIT: std::time::Duration = std::time::Duration::from_millis(250);

/// Interval at which it is checked whether they can.
const HELD_CHECK: std::time::Duration = std::time::Duration::from_millis(5);

/// Client of one worker.
pub struct WorkerClient {
    id: worker::WorkerId,
    start_permits: sync::Semaphore,
    /// Whether a poll for an immediate reply is in flight, in addition to the long poll.
    is_polling_now: cell::Cell<bool>,
    /// Whether the worker still belongs to the cell.
    pub is_needed: cell::Cell<bool>,
}

impl WorkerClient {
    /// Creates the client of the worker `id`, with at most `starts` start orders in flight.
    pub const fn new(id: worker::WorkerId, starts: usize) -> Self {
        Self {
            id,
            start_permits: sync::Semaphore::const_new(starts),
            is_polling_now: cell::Cell::new(false),
            is_needed: cell::Cell::new(true),
        }
    }

    fn target(&self, ownership: &ownership::Ownership) -> Option<platform::Target> {
        let owner = ownership.owner();
        let worker = owner.worker(&self.id)?;
        Some(platform::Target { id: self.id.clone(), address: worker.registration.address })
    }
}

/// Polls the worker until the ownership ends or the worker is removed from the cell.
pub async fn poll_while_needed(
    ownership: rc::Rc<ownership::Ownership>,
    client: rc::Rc<WorkerClient>,
) {
    while !ownership.is_ended() && client.is_needed.get() {
        let sent = clock::steady();
        if !poll(&ownership, &client, false).await {
            let is_urgent = ownership.owner().may_get_orders(&client.id, clock::steady());
            let pause = if is_urgent { FENCING_PAUSE } else { POLL_RETRY_PAUSE };
            ntex::time::sleep(pause).await;
        }
        wait_for_commit(&ownership, &client).await;
        wait_for_answers(&ownership, &client).await;
        let left = (sent + ownership.poll_interval(&client.id)).since(clock::steady());
        if left > time::Span::ZERO {
            ntex::time::sleep(std::time::Duration::from(left)).await;
        }
    }
}

/// Waits until the ended runs that the worker listed are stored. A worker replies to a poll at once
/// while it has ended runs that are not acknowledged, so polling earlier would only repeat them.
async fn wait_for_commit(ownership: &ownership::Ownership, client: &WorkerClient) {
    let has_unstored_ends = || {
        let owner = ownership.owner();
        owner.worker(&client.id).is_some_and(|worker| worker.processed_end > worker.stored_end)
    };
    if has_unstored_ends() {
        // No commit within this time points to a problem with the store. Polling goes on
        // nevertheless, as it also extends the worker's lease.
        let _ = ntex::time::timeout(COMMIT_WAIT, ownership.committed.notified()).await;
    }
}

/// Waits until the ends that the worker lists can be acknowledged, for the same reason.
async fn wait_for_answers(ownership: &ownership::Ownership, client: &WorkerClient) {
    let until = clock::steady() + time::Span::from(HELD_WAIT);
    while ownership.owner().are_ends_held(&client.id) && clock::steady() < until {
        ntex::time::sleep(HELD_CHECK).await;
    }
}

/// Polls the worker for an immediate reply, unless such a poll is in flight already.
pub async fn poll_now(ownership: rc::Rc<ownership::Ownership>, client: rc::Rc<WorkerClient>) {
    if client.is_polling_now.replace(true) {
        return;
    }
    poll(&ownership, &client, true).await;
    client.is_polling_now.set(false);
}

/// Waits until the poll may be sent, if it may be one of many: of a worker that has not replied.
///
/// # Errors
///
/// If no poll may be sent any more.
async fn enter_gate(
    ownership: &ownership::Ownership,
    client: &WorkerClient,
) -> Result<Option<poll_gate::Permit>, poll_gate::Closed> {
    let due = {
        let owner = ownership.owner();
        let is_gated = owner.is_poll_deferrable(&client.id);
        is_gated.then(|| owner.poll_due(&client.id, clock::steady()))
    };
    match due {
        Some(due) => ownership.poll_gate.enter(due).await.map(Some),
        None => Ok(None),
    }
}

/// Polls once; returns `false` if there is no usable reply. An extra poll is in addition to the long
/// poll.
async fn poll(
    ownership: &rc::Rc<ownership::Ownership>,
    client: &rc::Rc<WorkerClient>,
    is_extra: bool,
) -> bool {
    // Extra polls follow from stop orders and refusals, and do not wait for those of silent workers.
    let entry = if is_extra { Ok(None) } else { enter_gate(ownership, client).await };
    let Ok(permit) = entry else {
        return false;
    };
    let sent = clock::steady();
    let Some(target) = client.target(ownership).filter(|_| !ownership.is_ended()) else {
        return false;
    };
    let Some(mut request) = ownership.owner().poll_request(&client.id, sent) else {
        return false;
    };
    if is_extra || permit.is_some() || ownership.are_polls_short() {
        request.wait = time::Span::ZERO;
    }
    let polled = ownership.node().platform.workers.poll(&target, &request).await;
    if ownership.is_ended() {
        return false;
    }
    let now = clock::steady();
    // A worker that has failed before shows by its silence nothing about this process.
    let was_silent = ownership.owner().worker(&client.id).is_some_and(|w| w.is_unresponsive);
    if let Some(permit) = permit.filter(|_| polled.is_ok() || !was_silent) {
        permit.record(now.since(sent), polled.is_ok(), now);
    }
    ownership.node().metrics.poll(polled.is_ok());
    match polled {
        Ok(reply) => {
            let call = worker::Call { token: request.token, sent };
            ownership.owner().poll_replied(&client.id, call, &reply, now);
            ownership.process_decisions();
            true
        }
        Err(platform::PollError::Fenced) => {
            step_down_if_superseded(ownership, &client.id, request.token);
            true
        }
        Err(platform::PollError::WrongIncarnation | platform::PollError::NoReply { .. }) => {
            if ownership.owner().is_for_incarnation(&client.id, request.token) {
                ownership.owner().poll_failed(&client.id, now);
                ownership.process_decisions();
            }
            false
        }
    }
}

/// Sends a start order.
pub async fn start(
    ownership: rc::Rc<ownership::Ownership>,
    client: rc::Rc<WorkerClient>,
    order: worker::StartOrder,
) {
    let permit = client.start_permits.acquire().await;
    if ownership.is_ended() {
        return;
    }
    // The order may have waited, and the process may have been suspended meanwhile.
    let sent = clock::steady();
    let may_send = permit.is_ok() && ownership.owner().may_send(&client.id, &order, sent);
    let Some(target) = client.target(&ownership).filter(|_| may_send) else {
        ownership.owner().start_unsent(&client.id, order.task, order.attempt, sent);
        return ownership.process_decisions();
    };
    if let Some(delay) = ownership.owner().order_age(order.task, order.attempt, sent) {
        ownership.pass_meter.borrow_mut().order(delay);
    }
    let answer = ownership.node().platform.workers.start(&target, &order).await;
    let (reply, now) = (answer.reply, clock::steady());
    if !is_still_owner(&ownership, &client.id, order.token, reply) {
        return;
    }
    let call = worker::Call { token: order.token, sent };
    ownership.owner().order_answered(&client.id, call, &answer, now);
    ownership.node().metrics.start(reply, now.since(sent));
    ownership.owner().start_replied(&client.id, order.task, order.attempt, reply, now);
    ownership.process_decisions();
}

/// Sends a stop order.
pub async fn stop(
    ownership: rc::Rc<ownership::Ownership>,
    client: rc::Rc<WorkerClient>,
    task: task::TaskId,
    attempt: u64,
) {
    let _permit = ownership.connections.acquire_urgent().await;
    let Some(target) = client.target(&ownership).filter(|_| !ownership.is_ended()) else {
        return;
    };
    let Some(token) = ownership.owner().call_token(&client.id) else {
        return;
    };
    let call = worker::Call { token, sent: clock::steady() };
    let answer = ownership.node().platform.workers.stop(&target, token, task, attempt).await;
    let (reply, now) = (answer.reply, clock::steady());
    if !is_still_owner(&ownership, &client.id, token, reply) {
        return;
    }
    ownership.owner().order_answered(&client.id, call, &answer, now);
    ownership.owner().stop_replied(&client.id, task, attempt, reply, now);
    ownership.process_decisions();
}

/// Sends an order that sets a run's CPU limit.
pub async fn throttle(
    ownership: rc::Rc<ownership::Ownership>,
    client: rc::Rc<WorkerClient>,
    limit: platform::CpuLimit,
) {
    let _permit = ownership.connections.acquire_urgent().await;
    let Some(target) = client.target(&ownership).filter(|_| !ownership.is_ended()) else {
        return;
    };
    let Some(token) = ownership.owner().call_token(&client.id) else {
        return;
    };
    let call = worker::Call { token, sent: clock::steady() };
    let answer = ownership.node().platform.workers.set_cpu_limit(&target, token, &limit).await;
    let reply = answer.reply;
    if !is_still_owner(&ownership, &client.id, token, reply) {
        return;
    }
    ownership.owner().order_answered(&client.id, call, &answer, clock::steady());
    if reply == worker::OrderReply::Done {
        ownership.owner().throttle_confirmed(limit.task, limit.attempt, limit.percent);
    }
    ownership.process_decisions();
}

/// Requests the platform's advice on which workers may run a phase.
pub async fn request_advice(
    ownership: rc::Rc<ownership::Ownership>,
    phase: task::PhaseId,
    workers: Vec<worker::WorkerId>,
) {
    let grants: Option<Vec<owner::Grant>> =
        ownership.node().platform.adviser.advise(phase, &workers).await;
    if !ownership.is_ended() {
        ownership.owner().advice_received(phase, &workers, grants, clock::steady());
        ownership.process_decisions();
    }
}

/// Returns whether this daemon still owns the cell after a reply to a call with this fencing token.
fn is_still_owner(
    ownership: &ownership::Ownership,
    id: &worker::WorkerId,
    token: u64,
    reply: worker::OrderReply,
) -> bool {
    if reply == worker::OrderReply::Refused(worker::Refusal::Fenced) {
        step_down_if_superseded(ownership, id, token);
    }
    !ownership.is_ended()
}

/// Ends the ownership if a worker that has refused this fencing token has received that of a later owner.
fn step_down_if_superseded(ownership: &ownership::Ownership, id: &worker::WorkerId, token: u64) {
    if ownership.owner().is_call_current(id, token) {
        ownership.step_down("a worker has seen a higher fencing token");
    }
}
