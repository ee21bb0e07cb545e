//! Decisions of the router on calls, including the wait in its queue.

use std::sync;

use gl_model::{id, time};
use gl_route::{call as route, service};

use crate::{clock, node, proxy};
use proxy::{attempt, request};

/// The time after which a caller may retry when its place in the queue was lost.
const LOST_RETRY_AFTER: time::Span = time::Span::seconds(2);

/// Returns the router's decision on a call, after a wait in its queue if necessary.
pub async fn decide(
    node: &sync::Arc<node::Node>,
    request: &request::Request,
    tried: &[id::TaskId],
    cost: service::RetryCost,
) -> route::Decision {
    match request_decision(node, request, tried, cost) {
        Admission::Decided(decision) => decision,
        Admission::Queued(queued) => queued.decision().await,
    }
}

enum Admission {
    Decided(route::Decision),
    Queued(QueuedCall),
}

/// Requests a decision from the router. The router stays locked until the receiver of a queued call
/// is registered, so that the queue cannot be dispatched before.
fn request_decision(
    node: &sync::Arc<node::Node>,
    request: &request::Request,
    tried: &[id::TaskId],
    cost: service::RetryCost,
) -> Admission {
    let call = &request.call;
    let now = clock::now();
    let mut router = node.router.lock();
    let decision = if tried.is_empty() {
        router.admit(call, now)
    } else {
        router.retry(call, tried, cost, now)
    };
    if decision != route::Decision::Wait {
        return Admission::Decided(decision);
    }
    let receiver = node.register_waiter(&call.id);
    Admission::Queued(QueuedCall::new(node, request, receiver))
}

/// A queued call, which is cancelled if its caller disconnects.
struct QueuedCall {
    node: sync::Arc<node::Node>,
    service: id::JobId,
    call: id::CallId,
    receiver: Option<tokio::sync::oneshot::Receiver<route::Decision>>,
}

impl QueuedCall {
    fn new(
        node: &sync::Arc<node::Node>,
        request: &request::Request,
        receiver: tokio::sync::oneshot::Receiver<route::Decision>,
    ) -> Self {
        Self {
            node: sync::Arc::clone(node),
            service: request.call.service.clone(),
            call: request.call.id.clone(),
            receiver: Some(receiver),
        }
    }

    async fn decision(mut self) -> route::Decision {
        let lost = route::Refusal {
            reason: route::RefusalReason::Overload,
            retry_after: LOST_RETRY_AFTER,
        };
        let Some(receiver) = self.receiver.as_mut() else {
            return route::Decision::Refuse(lost);
        };
        let decision = receiver.await;
        self.receiver = None;
        decision.unwrap_or(route::Decision::Refuse(lost))
    }
}

impl Drop for QueuedCall {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        self.node.cancel_queued(&self.service, &self.call);
        if let Ok(route::Decision::Send(assignment)) = receiver.try_recv() {
            drop(attempt::Slot::new(sync::Arc::clone(&self.node), assignment));
        }
    }
}
