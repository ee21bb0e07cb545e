//! The table of one service's backend servers, its queue and its limits.

use std::collections;

use gl_model::{id, route, time};
use rand::{Rng as _, SeedableRng as _, rngs};

use crate::{backend, budget, call, choice, ending, share};

/// The weight of a new latency in the service's average.
const LATENCY_WEIGHT: f64 = 0.02;
/// The latency that is expected before one was measured.
const LATENCY_PRIOR: time::Span = time::Span::millis(20);
/// The share of a call's remaining time that it may spend in the queue.
const QUEUE_SHARE: f64 = 0.5;
/// How many times the service's latency must fit in the time after the queue.
const LATENCY_ROOM: f64 = 2.0;
/// The shortest time after which a refused caller is told to come back.
const RETRY_LEAST: time::Span = time::Span::millis(250);
/// How much the time to come back is spread.
const RETRY_JITTER: f64 = 0.5;
/// The wait for a service without backend servers.
const RETRY_EMPTY: time::Span = time::Span::seconds(2);

/// Limits on one service's calls.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Calls that wait at most.
    pub queue: usize,
    /// Retries as a share of calls.
    pub retries: f64,
    /// The share of backend servers that may be ejected at once.
    pub ejected: f64,
    /// Calls that may be under way as a multiple of this daemon's share of the slots.
    pub headroom: f64,
    /// Whether calls wait for slots; without, every call is sent at once, as a baseline.
    pub admission: bool,
}

impl Default for Limits {
    fn default() -> Self {
        let shared = gl_model::config::Limits::default();
        Self {
            queue: shared.queue_calls,
            retries: shared.retry_share,
            ejected: shared.eject_share,
            headroom: shared.headroom,
            admission: true,
        }
    }
}

#[derive(Clone, Debug)]
struct Waiting {
    call: call::Call,
    tried: Vec<id::TaskId>,
}

/// A call that waited and what became of it.
#[derive(Clone, Debug)]
pub struct Woken {
    /// The call.
    pub call: id::CallId,
    /// It is sent or refused, never put back.
    pub verdict: call::Verdict,
}

/// What a retry costs the backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cost {
    /// The last attempt never reached a backend server, so another one adds no load.
    Free,
    /// The last attempt reached a backend server.
    Load,
}

/// One service as a daemon sees it.
pub struct Service {
    name: id::JobId,
    limits: Limits,
    backends: Vec<backend::Backend>,
    places: collections::BTreeMap<id::TaskId, usize>,
    open: Vec<usize>,
    near: Vec<usize>,
    slots: u32,
    flight: u32,
    queue: collections::VecDeque<Waiting>,
    budget: budget::Budget,
    latency: f64,
    /// The demand for it.
    pub share: share::Share,
    chooser: Box<dyn choice::Chooser>,
    random: rngs::SmallRng,
}

impl Service {
    /// A service without backend servers.
    pub fn new(
        name: &id::JobId,
        limits: Limits,
        chooser: Box<dyn choice::Chooser>,
        seed: u64,
    ) -> Self {
        Self {
            name: name.clone(),
            limits,
            backends: Vec::new(),
            places: collections::BTreeMap::new(),
            open: Vec::new(),
            near: Vec::new(),
            slots: 0,
            flight: 0,
            queue: collections::VecDeque::new(),
            budget: budget::Budget::new(limits.retries),
            latency: LATENCY_PRIOR.0 as f64,
            share: share::Share::default(),
            chooser,
            random: rngs::SmallRng::seed_from_u64(seed),
        }
    }

    /// The backend servers.
    pub fn backends(&self) -> &[backend::Backend] {
        &self.backends
    }

    /// The backend server that runs a task.
    pub fn backend(&self, task: &id::TaskId) -> Option<&backend::Backend> {
        self.places.get(task).map(|at| &self.backends[*at])
    }

    /// Calls that hold a slot.
    pub const fn flight(&self) -> u32 {
        self.flight
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Replaces the routes. A backend server that stays keeps its figures.
    pub fn set_routes(&mut self, entries: &[&route::Entry], now: time::Timestamp) {
        let mut old: collections::BTreeMap<id::TaskId, backend::Backend> =
            std::mem::take(&mut self.backends).into_iter().map(|b| (b.task.clone(), b)).collect();
        for entry in entries {
            let kept = old
                .remove(&entry.task)
                .filter(|b| b.incarnation == entry.incarnation && b.address == entry.address);
            self.backends.push(kept.unwrap_or_else(|| backend::Backend::new(entry)));
        }
        let places = self.backends.iter().enumerate().map(|(at, b)| (b.task.clone(), at));
        self.places = places.collect();
        self.reopen(now);
    }

    /// Marks the backend servers whose VMs are leaving.
    pub fn set_leaving(&mut self, leaving: &crate::leaving::Leaving, now: time::Timestamp) {
        for backend in &mut self.backends {
            backend.leaving = leaving.contains(&backend.vm);
        }
        self.reopen(now);
    }

    /// Tells that this daemon is the one at `place` of `daemons`.
    pub fn set_place(&mut self, place: usize, daemons: usize, now: time::Timestamp) {
        self.chooser.set_place(place, daemons);
        self.reopen(now);
    }

    /// Takes ejected backend servers whose time is over back.
    pub fn reopen(&mut self, now: time::Timestamp) {
        let open = self.backends.iter().enumerate().filter(|(_, b)| b.is_open(now));
        self.open = open.map(|(at, _)| at).collect();
        self.near = self.open.iter().copied().filter(|at| self.chooser.prefers(*at)).collect();
        self.slots = self.open.iter().map(|at| self.backends[*at].slots).sum();
    }

    /// Decides about a new call.
    pub fn admit(&mut self, call: &call::Call, now: time::Timestamp) -> call::Verdict {
        self.share.note(now);
        self.budget.earn();
        self.decide(call, &[], now)
    }

    /// Decides about a call whose last attempt failed at the backend servers `tried`.
    pub fn retry(
        &mut self,
        call: &call::Call,
        tried: &[id::TaskId],
        cost: Cost,
        now: time::Timestamp,
    ) -> call::Verdict {
        if now >= call.deadline {
            return self.refuse(call::Reason::Late);
        }
        if cost == Cost::Load && !self.budget.spend() {
            return self.refuse(call::Reason::Budget);
        }
        self.decide(call, tried, now)
    }

    fn decide(
        &mut self,
        call: &call::Call,
        tried: &[id::TaskId],
        now: time::Timestamp,
    ) -> call::Verdict {
        if self.open.is_empty() {
            return self.refuse(call::Reason::NoBackend);
        }
        if self.queue.is_empty()
            && let Some(ticket) = self.take_slot(tried, now)
        {
            return call::Verdict::Send(ticket);
        }
        if self.queue.len() >= self.limits.queue {
            return self.refuse(call::Reason::QueueFull);
        }
        let left = call.deadline.since(now);
        let after = time::Span::micros(whole(self.latency * LATENCY_ROOM));
        let wait = self.expected_wait(now);
        if wait > left.scaled(QUEUE_SHARE) || wait + after > left {
            return self.refuse(call::Reason::Overload);
        }
        self.queue.push_back(Waiting { call: call.clone(), tried: tried.to_vec() });
        call::Verdict::Wait
    }

    /// How long the last call in the queue is expected to wait.
    fn expected_wait(&self, now: time::Timestamp) -> time::Span {
        let own = self.own_slots(now).max(1.0);
        time::Span::micros(whole(self.latency * (self.queue.len() as f64 + 1.0) / own))
    }

    /// The slots that this daemon may fill.
    fn own_slots(&self, now: time::Timestamp) -> f64 {
        f64::from(self.slots) * self.share.fraction(now)
    }

    fn take_slot(&mut self, tried: &[id::TaskId], now: time::Timestamp) -> Option<call::Ticket> {
        let field = choice::Field {
            backends: &self.backends,
            open: &self.open,
            near: &self.near,
            typical: self.latency,
        };
        let mut at = self.chooser.choose(field, now, &mut self.random);
        if tried.contains(&self.backends[at].task) {
            let other = |at: &&usize| !tried.contains(&self.backends[**at].task);
            let offset = self.random.random_range(0..self.open.len());
            let (tail, head) = self.open.split_at(offset);
            at = head.iter().chain(tail).find(other).copied()?;
        }
        if self.limits.admission && !self.has_slot(at, now) {
            return None;
        }
        let backend = &mut self.backends[at];
        backend.flight += 1;
        self.flight += 1;
        Some(call::Ticket {
            service: self.name.clone(),
            task: backend.task.clone(),
            incarnation: backend.incarnation,
            address: backend.address,
            since: now,
        })
    }

    /// Whether a call may go to a backend server now: this daemon keeps its calls within its
    /// share of all slots, with some headroom that keeps the slots busy between two calls.
    fn has_slot(&self, at: usize, now: time::Timestamp) -> bool {
        let backend = &self.backends[at];
        let most = self.own_slots(now) * self.limits.headroom;
        backend.is_open(now) && f64::from(self.flight) < most.max(1.0)
    }

    fn refuse(&mut self, reason: call::Reason) -> call::Verdict {
        let base = match reason {
            call::Reason::NoBackend | call::Reason::NoService => RETRY_EMPTY,
            _ => {
                let queued = self.queue.len() as f64 + 1.0;
                let drain = self.latency * queued / f64::from(self.slots.max(1));
                RETRY_LEAST + time::Span::micros(whole(drain))
            }
        };
        let jitter = 1.0 + RETRY_JITTER * self.random.random::<f64>();
        call::Verdict::Refuse(call::Refusal { reason, after: base.scaled(jitter) })
    }

    /// Gives a slot back and learns from how the attempt ended.
    pub fn finish(&mut self, ticket: &call::Ticket, end: ending::Ending, now: time::Timestamp) {
        self.flight = self.flight.saturating_sub(1);
        let Some(at) = self.places.get(&ticket.task).copied() else {
            return;
        };
        let backend = &mut self.backends[at];
        if backend.incarnation != ticket.incarnation {
            return;
        }
        backend.flight = backend.flight.saturating_sub(1);
        let failed = match end {
            ending::Ending::Whole { latency, load, failed: false } => {
                backend.succeed(latency, load, now);
                self.latency += LATENCY_WEIGHT * (latency.0 as f64 - self.latency);
                false
            }
            ending::Ending::Refused { load } => {
                backend.note_load(load, now);
                false
            }
            ending::Ending::Abandoned => false,
            ending::Ending::Whole { failed: true, .. }
            | ending::Ending::Unsent
            | ending::Ending::Broken
            | ending::Ending::TimedOut => backend.fail(),
        };
        if failed {
            self.eject(at, now);
        }
    }

    /// Ejects a backend server, unless too many are ejected already.
    fn eject(&mut self, at: usize, now: time::Timestamp) {
        let ejected = self.backends.iter().filter(|b| b.ejected > now).count();
        let most = self.backends.len() as f64 * self.limits.ejected;
        if (ejected + 1) as f64 > most.max(1.0) || self.backends.len() == 1 {
            return;
        }
        self.backends[at].eject(now);
        self.reopen(now);
    }

    /// Drops a call that waits, as its caller went away; returns whether it waited.
    pub fn abandon(&mut self, call: &id::CallId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|waiting| waiting.call.id != *call);
        before != self.queue.len()
    }

    /// Sends the calls that got a slot, and gives up those that can't be answered in time.
    pub fn wake(&mut self, now: time::Timestamp) -> Vec<Woken> {
        let mut woken = Vec::new();
        while let Some(first) = self.queue.front() {
            let call = first.call.id.clone();
            if self.open.is_empty() {
                self.queue.pop_front();
                let verdict = self.refuse(call::Reason::NoBackend);
                woken.push(Woken { call, verdict });
                continue;
            }
            let latest = first.call.deadline - time::Span::micros(whole(self.latency));
            if now > latest {
                self.queue.pop_front();
                let verdict = self.refuse(call::Reason::Late);
                woken.push(Woken { call, verdict });
                continue;
            }
            let tried = first.tried.clone();
            let Some(ticket) = self.take_slot(&tried, now) else {
                break;
            };
            self.queue.pop_front();
            woken.push(Woken { call, verdict: call::Verdict::Send(ticket) });
        }
        woken
    }
}

fn whole(micros: f64) -> u64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
    let whole = micros.max(0.0) as u64;
    whole
}
