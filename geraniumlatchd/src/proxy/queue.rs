//! Asks the router about a call, and waits in its queue.

use std::sync;

use gl_model::{id, time};
use gl_route::{call as route, service};

use crate::{clock, node, proxy};
use proxy::{attempt, request};

/// The time after which a caller is told to come back when its place in the queue was lost.
const LOST_RETRY: time::Span = time::Span::seconds(2);

/// Asks the router, and waits in its queue if need be.
pub async fn decide(
    node: &sync::Arc<node::Node>,
    request: &request::Request,
    tried: &[id::TaskId],
    cost: service::RetryCost,
) -> route::Decision {
    match ask(node, request, tried, cost) {
        Asked::Decided(verdict) => verdict,
        Asked::Queued(waiting) => waiting.verdict().await,
    }
}

enum Asked {
    Decided(route::Decision),
    Queued(Waiting),
}

/// The router stays locked until the place in the queue has its receiver, so that it can't be
/// woken before.
fn ask(
    node: &sync::Arc<node::Node>,
    request: &request::Request,
    tried: &[id::TaskId],
    cost: service::RetryCost,
) -> Asked {
    let call = &request.call;
    let now = clock::now();
    let mut router = node.router.lock();
    let verdict = if tried.is_empty() {
        router.admit(call, now)
    } else {
        router.retry(call, tried, cost, now)
    };
    if verdict != route::Decision::Wait {
        return Asked::Decided(verdict);
    }
    let receiver = node.wait(&call.id);
    Asked::Queued(Waiting::new(node, request, receiver))
}

/// A place in the queue, which is given up when the caller goes away.
struct Waiting {
    node: sync::Arc<node::Node>,
    service: id::JobId,
    call: id::CallId,
    receiver: Option<tokio::sync::oneshot::Receiver<route::Decision>>,
}

impl Waiting {
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

    async fn verdict(mut self) -> route::Decision {
        let lost =
            route::Refusal { reason: route::RefusalReason::Overload, retry_after: LOST_RETRY };
        let Some(receiver) = self.receiver.as_mut() else {
            return route::Decision::Refuse(lost);
        };
        let verdict = receiver.await;
        self.receiver = None;
        verdict.unwrap_or(route::Decision::Refuse(lost))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        self.node.forget(&self.service, &self.call);
        if let Ok(route::Decision::Send(ticket)) = receiver.try_recv() {
            drop(attempt::Slot::new(sync::Arc::clone(&self.node), ticket));
        }
    }
}
