//! Calls to workers that are under way for longer than their callers wait: they may arrive at the next
//! incarnation, also while the daemons do not reach it.

use std::time;

use rand::{Rng as _, SeedableRng as _, rngs};
use serde_json::Value;

use super::{server::Fleet, workers::Recipient};

/// The path of polls.
pub const POLL_PATH: &str = "/hold";
/// The status that stands for a worker that is down.
const DOWN: u16 = 500;

/// A call whose caller gets no reply.
#[gl_derive::domain]
pub struct LateCall {
    /// The worker.
    pub recipient: Recipient,
    /// The path of the request.
    pub path: String,
    /// The body of the request.
    pub body: Value,
    /// When it arrived and what came of it; `None` while it is under way.
    pub arrival: Option<Arrival>,
}

/// The arrival of a call.
#[gl_derive::domain]
pub struct Arrival {
    /// The Unix time, in milliseconds.
    pub at: u64,
    /// The status of the reply that nobody gets.
    pub status: u16,
}

/// The calls of a path to a worker that arrive now.
#[gl_derive::domain]
pub struct Delivery {
    /// The index of the worker.
    pub worker: usize,
    /// The path.
    pub path: String,
}

impl LateCall {
    /// Creates a call that is under way.
    pub const fn new(recipient: Recipient, path: String, body: Value) -> Self {
        Self { recipient, path, body, arrival: None }
    }

    fn is_under_way_to(&self, worker: usize) -> bool {
        self.arrival.is_none() && self.recipient.index == worker
    }
}

/// Returns the places of the calls that are under way to a worker, in the order in which they were sent.
fn under_way(fleet: &Fleet, worker: usize) -> Vec<usize> {
    let calls = fleet.late_calls.lock();
    let places = calls.iter().enumerate().filter(|(_, call)| call.is_under_way_to(worker));
    places.map(|(n, _)| n).collect()
}

/// Has a call arrive, unless it has or the worker is down.
fn arrive(fleet: &Fleet, n: usize) {
    let Some(call) = fleet.late_calls.lock().get(n).cloned() else { return };
    let mut workers = fleet.workers.lock();
    let is_up = workers.incarnation(call.recipient.index).is_some();
    if call.arrival.is_some() || !is_up {
        return;
    }
    let reply = if call.path == POLL_PATH {
        workers.poll(&call.recipient, &call.body, true)
    } else {
        Some(workers.order(&call.recipient, &call.path, &call.body))
    };
    drop(workers);
    let status = reply.map_or(DOWN, |(status, _)| status);
    let at = crate::http::now().since(gl_model::time::Timestamp(0)).as_millis();
    if let Some(call) = fleet.late_calls.lock().get_mut(n) {
        call.arrival = Some(Arrival { at, status });
    }
}

/// Has calls arrive that are under way, in the order in which they were sent.
pub fn deliver(fleet: &Fleet, delivery: &Delivery) {
    for n in under_way(fleet, delivery.worker) {
        let is_of_path =
            fleet.late_calls.lock().get(n).is_some_and(|call| call.path == delivery.path);
        if is_of_path {
            arrive(fleet, n);
        }
    }
}

/// Has the calls that are under way to a worker which starts arrive within the time that is set for that.
pub fn deliver_after_start(fleet: &Fleet, worker: usize) {
    let (longest, seed) = {
        let calls = fleet.calls.lock();
        (calls.late_ms, calls.seed)
    };
    if longest == 0 {
        return;
    }
    for n in under_way(fleet, worker) {
        let mut random = rngs::SmallRng::seed_from_u64(seed.wrapping_add(n as u64));
        let after = time::Duration::from_millis(random.random_range(0..=longest));
        let fleet = fleet.clone();
        ntex::rt::spawn(async move {
            ntex::time::sleep(after).await;
            arrive(&fleet, n);
        });
    }
}
