//! The backend servers of one service, its queue and its limits.

use std::collections;

use gl_model::{id, route, time};
use rand::{Rng as _, SeedableRng as _, rngs};

use crate::{backend, balancer, call, demand, outcome, retry_budget};

/// The weight of a new latency in the service's moving average.
const LATENCY_WEIGHT: f64 = 0.02;
/// The mean latency that is assumed before the first response.
const INITIAL_LATENCY: time::Span = time::Span::millis(20);
/// The share of a call's remaining time that it may spend in the queue.
const MAX_QUEUE_SHARE: f64 = 0.5;
/// The time that must remain after the wait in the queue, as a multiple of the mean latency.
const LATENCY_RESERVE: f64 = 2.0;
/// The shortest time after which a refused caller may retry.
const RETRY_AFTER_MIN: time::Span = time::Span::millis(250);
/// The greatest jitter of that time, as a share of it.
const RETRY_AFTER_JITTER: f64 = 0.5;
/// The time after which a caller may retry when the service has no available backend server.
const RETRY_AFTER_NO_BACKEND: time::Span = time::Span::seconds(2);

/// Limits on the calls of one service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The greatest number of calls in the queue.
    pub queue_calls: usize,
    /// Retries as a share of calls.
    pub retry_share: f64,
    /// The greatest share of backend servers that are ejected at once.
    pub eject_share: f64,
    /// The greatest number of calls in flight, as a multiple of this daemon's share of the slots.
    pub headroom: f64,
    /// Whether calls wait for slots; if not, every call is sent at once, as a baseline.
    pub has_admission: bool,
}

impl Default for Limits {
    fn default() -> Self {
        let shared = gl_model::config::Limits::default();
        Self {
            queue_calls: shared.queue_calls,
            retry_share: shared.retry_share,
            eject_share: shared.eject_share,
            headroom: shared.headroom,
            has_admission: true,
        }
    }
}

#[derive(Clone, Debug)]
struct QueuedCall {
    call: call::Call,
    tried: Vec<id::TaskId>,
}

/// A call that was taken from the queue, and the decision about it.
#[derive(Clone, Debug)]
pub struct DequeuedCall {
    /// The call.
    pub call: id::CallId,
    /// The decision: the call is sent or refused, never queued again.
    pub decision: call::Decision,
}

/// The cost of a retry for the backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCost {
    /// The last attempt did not reach a backend server, so a retry adds no load.
    Free,
    /// The last attempt reached a backend server, so a retry is charged to the retry budget.
    Budgeted,
}

/// The state of one service in a daemon.
pub struct Service {
    name: id::JobId,
    limits: Limits,
    backends: Vec<backend::Backend>,
    indices: collections::BTreeMap<id::TaskId, usize>,
    available: Vec<usize>,
    preferred: Vec<usize>,
    slots: u32,
    in_flight: u32,
    queue: collections::VecDeque<QueuedCall>,
    budget: retry_budget::RetryBudget,
    latency_us: f64,
    /// The demand for it at this daemon and its peers.
    pub demand: demand::DemandTracker,
    balancer: Box<dyn balancer::Balancer>,
    random: rngs::SmallRng,
}

impl Service {
    /// Creates a service without backend servers.
    pub fn new(
        name: &id::JobId,
        limits: Limits,
        balancer: Box<dyn balancer::Balancer>,
        seed: u64,
    ) -> Self {
        Self {
            name: name.clone(),
            limits,
            backends: Vec::new(),
            indices: collections::BTreeMap::new(),
            available: Vec::new(),
            preferred: Vec::new(),
            slots: 0,
            in_flight: 0,
            queue: collections::VecDeque::new(),
            budget: retry_budget::RetryBudget::new(limits.retry_share),
            latency_us: INITIAL_LATENCY.0 as f64,
            demand: demand::DemandTracker::default(),
            balancer,
            random: rngs::SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the limits. Queued calls keep their place even if the queue is now too long.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.budget.set_share(limits.retry_share);
    }

    /// Returns all backend servers.
    pub fn backends(&self) -> &[backend::Backend] {
        &self.backends
    }

    /// Returns the backend server that runs a task.
    pub fn backend(&self, task: &id::TaskId) -> Option<&backend::Backend> {
        self.indices.get(task).map(|index| &self.backends[*index])
    }

    /// Returns the number of calls that hold a slot.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of calls in the queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Replaces the routes. A backend server with the same incarnation and address keeps its
    /// statistics.
    pub fn set_routes(&mut self, entries: &[&route::Entry], now: time::Timestamp) {
        let mut old: collections::BTreeMap<id::TaskId, backend::Backend> =
            std::mem::take(&mut self.backends).into_iter().map(|b| (b.task.clone(), b)).collect();
        for entry in entries {
            let kept = old
                .remove(&entry.task)
                .filter(|b| b.incarnation == entry.incarnation && b.address == entry.address);
            self.backends.push(kept.unwrap_or_else(|| backend::Backend::new(entry)));
        }
        let indices = self.backends.iter().enumerate().map(|(index, b)| (b.task.clone(), index));
        self.indices = indices.collect();
        self.refresh_available(now);
    }

    /// Marks the backend servers on draining VMs.
    pub fn set_draining(&mut self, draining: &crate::draining::DrainingVms, now: time::Timestamp) {
        for backend in &mut self.backends {
            backend.is_draining = draining.contains(&backend.vm);
        }
        self.refresh_available(now);
    }

    /// Sets this daemon's rank among the live daemons, from zero, and their number.
    pub fn set_rank(&mut self, rank: usize, daemons: usize, now: time::Timestamp) {
        self.balancer.set_rank(rank, daemons);
        self.refresh_available(now);
    }

    /// Updates the list of available backend servers. Those whose ejection has ended get calls
    /// again.
    pub fn refresh_available(&mut self, now: time::Timestamp) {
        let available = self.backends.iter().enumerate().filter(|(_, b)| b.is_available(now));
        self.available = available.map(|(index, _)| index).collect();
        self.preferred = self
            .available
            .iter()
            .copied()
            .filter(|index| self.balancer.is_preferred(*index))
            .collect();
        self.slots = self.available.iter().map(|index| self.backends[*index].slots).sum();
    }

    /// Decides about a new call.
    pub fn admit(&mut self, call: &call::Call, now: time::Timestamp) -> call::Decision {
        self.demand.record_call(now);
        self.budget.deposit();
        self.decide(call, &[], now)
    }

    /// Decides about a call whose last attempt failed, after attempts at the backend servers of
    /// `tried`.
    pub fn retry(
        &mut self,
        call: &call::Call,
        tried: &[id::TaskId],
        cost: RetryCost,
        now: time::Timestamp,
    ) -> call::Decision {
        if now >= call.deadline {
            return self.refuse(call::RefusalReason::DeadlinePassed);
        }
        if cost == RetryCost::Budgeted && !self.budget.withdraw() {
            return self.refuse(call::RefusalReason::RetryBudget);
        }
        self.decide(call, tried, now)
    }

    fn decide(
        &mut self,
        call: &call::Call,
        tried: &[id::TaskId],
        now: time::Timestamp,
    ) -> call::Decision {
        if self.available.is_empty() {
            return self.refuse(call::RefusalReason::NoBackend);
        }
        if self.queue.is_empty()
            && let Some(assignment) = self.assign(tried, now)
        {
            return call::Decision::Send(assignment);
        }
        if self.queue.len() >= self.limits.queue_calls {
            return self.refuse(call::RefusalReason::QueueFull);
        }
        let left = call.deadline.since(now);
        let reserve = time::Span::micros(whole_micros(self.latency_us * LATENCY_RESERVE));
        let wait = self.expected_wait(now);
        if wait > left.scaled(MAX_QUEUE_SHARE) || wait + reserve > left {
            return self.refuse(call::RefusalReason::Overload);
        }
        self.queue.push_back(QueuedCall { call: call.clone(), tried: tried.to_vec() });
        call::Decision::Wait
    }

    /// Returns the expected wait of a call that joins the queue now.
    fn expected_wait(&self, now: time::Timestamp) -> time::Span {
        let own = self.own_slots(now).max(1.0);
        time::Span::micros(whole_micros(self.latency_us * (self.queue.len() as f64 + 1.0) / own))
    }

    /// Returns the number of slots that this daemon may fill.
    fn own_slots(&self, now: time::Timestamp) -> f64 {
        f64::from(self.slots) * self.demand.slot_share(now)
    }

    /// Assigns a call to a backend server that is not in `tried`, if one may get it now.
    fn assign(&mut self, tried: &[id::TaskId], now: time::Timestamp) -> Option<call::Assignment> {
        let candidates = balancer::Candidates {
            backends: &self.backends,
            available: &self.available,
            preferred: &self.preferred,
            service_latency: self.latency_us,
        };
        let mut index = self.balancer.pick(candidates, now, &mut self.random);
        if tried.contains(&self.backends[index].task) {
            let is_untried = |index: &&usize| !tried.contains(&self.backends[**index].task);
            let offset = self.random.random_range(0..self.available.len());
            let (tail, head) = self.available.split_at(offset);
            index = head.iter().chain(tail).find(is_untried).copied()?;
        }
        if self.limits.has_admission && !self.may_send(index, now) {
            return None;
        }
        let backend = &mut self.backends[index];
        backend.in_flight += 1;
        self.in_flight += 1;
        Some(call::Assignment {
            service: self.name.clone(),
            task: backend.task.clone(),
            incarnation: backend.incarnation,
            address: backend.address,
            assigned_at: now,
        })
    }

    /// Returns whether a call may be sent to a backend server now. This daemon keeps its calls
    /// within its share of all slots, with some headroom that keeps the slots busy between two
    /// calls.
    fn may_send(&self, index: usize, now: time::Timestamp) -> bool {
        let backend = &self.backends[index];
        let limit = self.own_slots(now) * self.limits.headroom;
        backend.is_available(now) && f64::from(self.in_flight) < limit.max(1.0)
    }

    /// Returns a refusal. The caller may retry when the queue is expected to have drained, or after
    /// a fixed time if the service has no available backend server. Jitter is added to both.
    fn refuse(&mut self, reason: call::RefusalReason) -> call::Decision {
        let base = match reason {
            call::RefusalReason::NoBackend | call::RefusalReason::NoService => {
                RETRY_AFTER_NO_BACKEND
            }
            _ => {
                let queued = self.queue.len() as f64 + 1.0;
                let drain_us = self.latency_us * queued / f64::from(self.slots.max(1));
                RETRY_AFTER_MIN + time::Span::micros(whole_micros(drain_us))
            }
        };
        let jitter = 1.0 + RETRY_AFTER_JITTER * self.random.random::<f64>();
        call::Decision::Refuse(call::Refusal { reason, retry_after: base.scaled(jitter) })
    }

    /// Frees the slot of an attempt that ended and updates the statistics with its outcome.
    pub fn finish(
        &mut self,
        assignment: &call::Assignment,
        outcome: outcome::AttemptOutcome,
        now: time::Timestamp,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(index) = self.indices.get(&assignment.task).copied() else {
            return;
        };
        let backend = &mut self.backends[index];
        if backend.incarnation != assignment.incarnation {
            return;
        }
        backend.in_flight = backend.in_flight.saturating_sub(1);
        let should_eject = match outcome {
            outcome::AttemptOutcome::Completed { latency, load, is_server_error: false } => {
                backend.record_success(latency, load, now);
                self.latency_us += LATENCY_WEIGHT * (latency.0 as f64 - self.latency_us);
                false
            }
            outcome::AttemptOutcome::Refused { load } => {
                backend.record_load(load, now);
                false
            }
            outcome::AttemptOutcome::Cancelled => false,
            outcome::AttemptOutcome::Completed { is_server_error: true, .. }
            | outcome::AttemptOutcome::Unsent
            | outcome::AttemptOutcome::Interrupted
            | outcome::AttemptOutcome::TimedOut => backend.record_failure(),
        };
        if should_eject {
            self.eject(index, now);
        }
    }

    /// Ejects a backend server, unless it is the only one or too many are ejected already.
    fn eject(&mut self, index: usize, now: time::Timestamp) {
        let ejected = self.backends.iter().filter(|b| b.ejected_until > now).count();
        let limit = self.backends.len() as f64 * self.limits.eject_share;
        if (ejected + 1) as f64 > limit.max(1.0) || self.backends.len() == 1 {
            return;
        }
        self.backends[index].eject(now);
        self.refresh_available(now);
    }

    /// Removes a call from the queue, as its caller disconnected; returns whether it was there.
    pub fn cancel(&mut self, call: &id::CallId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|queued| queued.call.id != *call);
        before != self.queue.len()
    }

    /// Takes the calls from the queue that get a slot now and those that can no longer be
    /// answered in time, and returns the decisions about them.
    pub fn dispatch_queue(&mut self, now: time::Timestamp) -> Vec<DequeuedCall> {
        let mut dequeued = Vec::new();
        while let Some(first) = self.queue.front() {
            let call = first.call.id.clone();
            if self.available.is_empty() {
                self.queue.pop_front();
                let decision = self.refuse(call::RefusalReason::NoBackend);
                dequeued.push(DequeuedCall { call, decision });
                continue;
            }
            let latest = first.call.deadline - time::Span::micros(whole_micros(self.latency_us));
            if now > latest {
                self.queue.pop_front();
                let decision = self.refuse(call::RefusalReason::DeadlinePassed);
                dequeued.push(DequeuedCall { call, decision });
                continue;
            }
            let tried = first.tried.clone();
            let Some(assignment) = self.assign(&tried, now) else {
                break;
            };
            self.queue.pop_front();
            dequeued.push(DequeuedCall { call, decision: call::Decision::Send(assignment) });
        }
        dequeued
    }
}

fn whole_micros(micros: f64) -> u64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
    let whole = micros.max(0.0) as u64;
    whole
}
