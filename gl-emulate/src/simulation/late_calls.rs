//! Calls that are under way when an incarnation of a worker ends, and reach the next one.

use std::collections;

use gl_jobs::worker as model;
use gl_model::time;
use rand::{Rng as _, SeedableRng as _, rngs};

use super::messages::{Call, Delivery, Message, lost_reply};
use super::settings::Calls;
use super::{ORDER_TIMEOUT, Simulation};

/// The longest time after the start of an incarnation at which it gets calls that were meant for the last one.
const MAX_LATENESS: time::Span = time::Span::seconds(3);

/// A period in which calls are late.
#[derive(Clone, Copy)]
pub(super) struct Period {
    pub until: time::Timestamp,
    pub calls: Calls,
    /// The share of these calls that is late.
    pub share: f64,
}

/// A call that has not reached its worker.
struct Pending {
    owner: usize,
    worker: usize,
    /// The time at which its owner gives it up.
    expires: time::Timestamp,
    message: Message,
}

/// The latest lease that a worker has by a late call.
struct LateLease {
    incarnation: model::Incarnation,
    end: time::Timestamp,
    source: String,
}

/// The late calls of a run.
pub(super) struct LateCalls {
    pub period: Option<Period>,
    rng: rngs::SmallRng,
    pending: Vec<Pending>,
    leases: collections::BTreeMap<usize, LateLease>,
}

impl LateCalls {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            period: None,
            rng: rngs::SmallRng::seed_from_u64(seed.rotate_left(32)),
            pending: Vec::new(),
            leases: collections::BTreeMap::new(),
        }
    }

    fn is_late(&mut self, message: &Message, now: time::Timestamp) -> bool {
        let Some(period) = self.period.filter(|period| now < period.until) else {
            return false;
        };
        period.calls.include(message) && self.rng.random_bool(period.share)
    }
}

impl Calls {
    const fn include(self, message: &Message) -> bool {
        let is_poll = matches!(message, Message::Poll(..));
        match self {
            Self::All => true,
            Self::Polls => is_poll,
            Self::Orders => !is_poll,
        }
    }
}

impl Simulation {
    /// Keeps a call back if it is late. Its owner gets no reply.
    pub(super) fn keep_late(&mut self, owner: usize, worker: usize, message: &Message) -> bool {
        if !self.late_calls.is_late(message, self.now) {
            return false;
        }
        let wait = match message {
            Message::Poll(request, ..) => request.wait,
            _ => time::Span::ZERO,
        };
        let after = wait + ORDER_TIMEOUT;
        if let Some(lost) = lost_reply(message) {
            self.send(owner, worker, after, lost);
        }
        let (expires, message) = (self.now + after, message.clone());
        self.late_calls.pending.push(Pending { owner, worker, expires, message });
        true
    }

    /// Drops the calls to a worker that are not under way any more when its incarnation ends.
    pub(super) fn drop_expired(&mut self, worker: usize) {
        let now = self.now;
        self.late_calls.pending.retain(|call| call.worker != worker || call.expires >= now);
    }

    /// Sends the calls that were meant for the last incarnation of a worker to the one that has started.
    pub(super) fn send_late(&mut self, worker: usize) {
        let late = &mut self.late_calls;
        let calls: Vec<_> = late.pending.extract_if(.., |call| call.worker == worker).collect();
        for call in calls {
            let lateness = self.late_calls.rng.random_range(0..=MAX_LATENESS.as_millis());
            self.sequence += 1;
            self.deliveries.push(Delivery {
                at: self.now + time::Span::millis(lateness),
                number: self.sequence,
                owner: call.owner,
                worker,
                held_by: Some(self.workers[worker].incarnation),
                call: Call { is_given_up: true, is_late: true, ..Call::default() },
                message: call.message,
            });
        }
    }

    /// Records what a worker has done for a late call, given the end of its lease before.
    pub(super) fn late_call_done(&mut self, delivery: &Delivery, before: time::Timestamp) {
        let n = delivery.worker;
        let worker = &self.workers[n];
        let (end, incarnation) = (worker.lease_end(), worker.incarnation);
        let name = match &delivery.message {
            Message::Poll(request, ..) => format!("poll {}", request.acknowledged),
            Message::Start(order, _) => format!("start {} {}", order.task, order.attempt),
            Message::Stop(..) => "stop".to_owned(),
            _ => "limit".to_owned(),
        };
        let age = self.now.since(worker.started_at).as_millis();
        let source = format!("late {name}, {age} ms after the restart of w-{n}");
        if self.settings.trace.as_ref().is_some_and(|filter| source.contains(filter)) {
            let left = end.since(self.now).as_millis();
            let at = self.now.0 / 1_000;
            self.report.trace.push(format!("{at} {source}, lease {left} ms"));
        }
        if end > before {
            self.late_calls.leases.insert(n, LateLease { incarnation, end, source });
        }
    }

    /// Returns by which late call a worker has its lease, if it has it by one.
    pub(super) fn late_lease(&self, worker: usize) -> Option<&str> {
        let (lease, worker) = (self.late_calls.leases.get(&worker)?, &self.workers[worker]);
        let is_current = lease.incarnation == worker.incarnation && lease.end == worker.lease_end();
        is_current.then_some(lease.source.as_str())
    }
}
