//! Carries out the actions that the owner's decision logic returns.

use std::rc;

use gl_jobs::{owner, worker};
use gl_platform::cell as platform;

use super::{event, ownership::Ownership, worker_client};
use crate::clock;

/// Number of requests that are sent before other tasks run. The requests of one chunk take a
/// few milliseconds on a small VM, so that the renewal of the cell's lease is late by no more.
const CHUNK: usize = 32;

/// Carries out the pending actions in chunks, and lets other tasks run between them.
async fn serve_actions(ownership: rc::Rc<Ownership>) {
    while !ownership.is_ended() && ownership.execute_chunk() {
        tokio::task::yield_now().await;
    }
    ownership.pending_actions.borrow_mut().is_served = false;
}

impl Ownership {
    /// Carries out the actions that the decision logic has returned: the first chunk at once.
    pub(super) fn execute_actions(self: &rc::Rc<Self>) {
        if self.is_ended() {
            return;
        }
        let actions = self.owner.borrow_mut().take_actions();
        let is_served = {
            let mut pending = self.pending_actions.borrow_mut();
            actions.into_iter().for_each(|action| pending.push(action));
            pending.is_served
        };
        if !is_served && self.execute_chunk() {
            self.pending_actions.borrow_mut().is_served = true;
            ntex::rt::spawn(serve_actions(rc::Rc::clone(self)));
        }
        if self.owner.borrow().has_commit() {
            self.commit_wake.notify_one();
        }
    }

    /// Reports the use of the connections to workers in the metrics, and in the log once it has
    /// reached a limit.
    pub(super) fn report_connections(&self) {
        let owner = self.owner.borrow();
        let waiting = self.poll_gate.waiting();
        let polls = self.worker_clients.borrow().len().saturating_sub(waiting);
        let (starts, urgent) = (owner.starts_in_flight(), self.connections.urgent_in_flight());
        self.node.metrics.orders(starts, owner.start_limit(), urgent);
        let now = clock::steady();
        let replied = owner.workers().filter(|w| w.is_listed && w.clock.is_some());
        let oldest = replied.map(|w| now.since(w.polled_at)).max().unwrap_or_default();
        self.node.metrics.polls(polls, waiting, oldest);
        if self.connections.has_reached_limit(polls, starts + urgent) {
            let budget = self.connections.budget();
            event::emit(&event::Event::ConnectionsShort {
                polls,
                poll_limit: budget.polls,
                orders: starts + urgent,
                order_limit: budget.orders,
            });
        }
    }

    /// Reports in the log that start orders are late, and why.
    pub(super) fn report_late_starts(&self, now: gl_model::time::Timestamp) {
        let owner = self.owner.borrow();
        let Some(late) = self.pass_meter.borrow_mut().report(owner.held_passes(), now) else {
            return;
        };
        event::emit(&event::Event::StartsLate {
            passes: late.passes,
            held: late.held,
            total_ms: late.total.as_millis(),
            longest_ms: late.longest.as_millis(),
            orders: late.orders,
            order_delay_ms: late.order_delay.as_millis(),
            in_flight: owner.starts_in_flight(),
            limit: owner.start_limit(),
        });
    }

    /// Carries out one chunk of the pending actions, and returns whether there are more.
    fn execute_chunk(self: &rc::Rc<Self>) -> bool {
        let chunk = self.pending_actions.borrow_mut().next_chunk(CHUNK);
        for action in chunk {
            self.execute(action);
        }
        !self.pending_actions.borrow().is_empty()
    }

    /// Creates clients of new workers, and ends those of workers that no longer belong to the cell.
    pub(super) fn update_worker_clients(self: &rc::Rc<Self>) {
        let owner = self.owner.borrow();
        let mut worker_clients = self.worker_clients.borrow_mut();
        worker_clients.retain(|id, client| {
            let is_kept = owner.worker(id).is_some();
            client.is_needed.set(is_kept);
            is_kept
        });
        let workers = owner.workers().count();
        self.node.platform.workers.trim_connections(workers);
        let starts = self.connections.starts_per_worker(workers);
        for worker in owner.workers() {
            let id = &worker.registration.id;
            if !worker_clients.contains_key(id) {
                let client = rc::Rc::new(worker_client::WorkerClient::new(id.clone(), starts));
                worker_clients.insert(id.clone(), rc::Rc::clone(&client));
                ntex::rt::spawn(worker_client::poll_while_needed(rc::Rc::clone(self), client));
            }
        }
    }

    fn execute(self: &rc::Rc<Self>, action: owner::Action) {
        let client_of =
            |id: &worker::WorkerId| self.worker_clients.borrow().get(id).map(rc::Rc::clone);
        match action {
            owner::Action::Note(note) => {
                self.node.metrics.note(&note);
                event::emit(&event::Event::from(&note));
            }
            owner::Action::RequestAdvice { phase, workers } => {
                ntex::rt::spawn(worker_client::request_advice(rc::Rc::clone(self), phase, workers));
            }
            owner::Action::Start { worker, order } => {
                if let Some(client) = client_of(&worker) {
                    ntex::rt::spawn(worker_client::start(rc::Rc::clone(self), client, order));
                }
            }
            owner::Action::Stop { worker, task, attempt } => {
                if let Some(client) = client_of(&worker) {
                    ntex::rt::spawn(worker_client::stop(
                        rc::Rc::clone(self),
                        client,
                        task,
                        attempt,
                    ));
                }
            }
            owner::Action::Throttle { worker, task, attempt, percent } => {
                if let Some(client) = client_of(&worker) {
                    let limit = platform::CpuLimit { task, attempt, percent };
                    ntex::rt::spawn(worker_client::throttle(rc::Rc::clone(self), client, limit));
                }
            }
            owner::Action::Poll { worker } => {
                if let Some(client) = client_of(&worker) {
                    ntex::rt::spawn(worker_client::poll_now(rc::Rc::clone(self), client));
                }
            }
        }
    }
}
