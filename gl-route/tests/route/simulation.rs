//! A simulation of daemons and workers in virtual time that runs the real router.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a simulation for tests and examples"
)]

use std::collections;

use gl_model::{call as model, id, route, time};
use gl_route::{balancer, call, outcome, router, service};
use rand::{Rng as _, SeedableRng as _, rngs};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// The first worker needs ten times as long for each request.
    Slow,
    /// The first worker fails each request at once.
    FailsFast,
    /// The first eight workers are lost after a quarter of the run.
    RackGone,
    /// The last daemon dies after a quarter of the run; its calls go to the others.
    DaemonDead,
    /// Half of all calls go to one daemon.
    Skew,
    /// The load is a third of the setting in the first half of the run.
    Step,
}

#[derive(Clone, Copy)]
pub struct Settings {
    pub balancer: fn(usize) -> Box<dyn balancer::Balancer>,
    pub headroom: f64,
    pub load: f64,
    pub fault: Fault,
    pub seconds: u64,
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            balancer: |_| Box::new(balancer::Subset::default()),
            headroom: 1.5,
            load: 0.8,
            fault: Fault::None,
            seconds: 8,
            seed: 7,
        }
    }
}

pub const WORKERS: usize = 65;
pub const SLOTS: usize = 8;
pub const DAEMONS: usize = 9;
const CONNECTIONS: usize = 64;
const RACK_WORKERS: usize = 8;
/// The one-way network delay.
const DELAY: time::Span = time::Span::micros(1_500);
const MEAN_SERVICE_US: f64 = 20_000.0;
pub const DEADLINE: time::Span = time::Span::millis(300);
const GOSSIP_INTERVAL: time::Span = time::Span::millis(500);
const DISPATCH_INTERVAL: time::Span = time::Span::millis(25);
const START: time::Timestamp = time::Timestamp(1_000_000_000);

/// Counts and latencies of all calls that began after the first second.
#[derive(Debug, Default)]
pub struct Results {
    pub calls: u64,
    pub on_time: u64,
    pub late: u64,
    pub shed: u64,
    pub unknown: u64,
    pub attempts: u64,
    latencies: Vec<u64>,
    /// The largest share of retries in any second.
    pub worst_retry_share: f64,
}

impl Results {
    /// Returns a percentile of the latencies of complete responses, in milliseconds.
    pub fn percentile(&self, share: f64) -> f64 {
        let index = ((self.latencies.len().max(1) - 1) as f64 * share).round() as usize;
        self.latencies.get(index).copied().unwrap_or(0) as f64 / 1_000.0
    }
}

#[derive(Clone)]
struct Request {
    daemon: usize,
    call: usize,
    assignment: call::Assignment,
}

enum Event {
    Arrival,
    Receipt(usize, Request),    // The worker receives the request.
    Completion(usize, Request), // The worker has run the request.
    End(usize, Request, outcome::AttemptOutcome), // The daemon gets the outcome of the attempt.
    Gossip,
    Tick,
}

/// The time of an event; events at the same time are handled in the order of their creation.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: u64,
    sequence: u64,
}

#[derive(Default)]
struct Worker {
    running: usize,
    queue: collections::VecDeque<Request>,
    is_lost: bool,
}

struct CallState {
    call: call::Call,
    began: time::Timestamp,
    tried: Vec<id::TaskId>,
    history: outcome::History,
    is_ended: bool,
}

struct Simulation {
    settings: Settings,
    now: time::Timestamp,
    sequence: u64,
    events: collections::BTreeMap<EventKey, Event>,
    routers: Vec<router::Router>,
    alive: Vec<bool>,
    workers: Vec<Worker>,
    calls: Vec<CallState>,
    random: rngs::SmallRng,
    results: Results,
    by_second: Vec<(u64, u64)>,
}

pub fn route_entry(number: usize) -> route::Entry {
    route::Entry {
        service: id::JobId::from("booking"),
        task: id::TaskId(format!("booking.{number}")),
        incarnation: id::Incarnation(1),
        vm: id::VmId(format!("vm-{number}")),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        slots: SLOTS as u32,
    }
}

pub fn route_set(version: u64, workers: std::ops::Range<usize>) -> route::Set {
    route::Set {
        shard: id::DomainId::from("one"),
        epoch: id::Epoch(1),
        version,
        entries: workers.map(route_entry).collect(),
        objectives: Vec::new(),
    }
}

/// Runs a simulation and returns its results.
pub fn run(settings: Settings) -> Results {
    let mut simulation = Simulation::new(settings);
    let end = START + time::Span::seconds(settings.seconds);
    while let Some((key, event)) = simulation.events.pop_first() {
        if key.at > (end + time::Span::seconds(2)).0 {
            break;
        }
        simulation.now = time::Timestamp(key.at);
        simulation.handle(event, end);
    }
    simulation.into_results()
}

impl Simulation {
    fn new(settings: Settings) -> Self {
        let mut simulation = Self {
            settings,
            now: START,
            sequence: 0,
            events: collections::BTreeMap::new(),
            routers: (0..DAEMONS).map(|d| new_router(settings, d)).collect(),
            alive: vec![true; DAEMONS],
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            calls: Vec::new(),
            random: rngs::SmallRng::seed_from_u64(settings.seed),
            results: Results::default(),
            by_second: vec![(0, 0); settings.seconds as usize + 3],
        };
        simulation.push(time::Span::ZERO, Event::Gossip);
        simulation.push(time::Span::ZERO, Event::Tick);
        simulation.push(time::Span::micros(1), Event::Arrival);
        simulation
    }

    fn push(&mut self, after: time::Span, event: Event) {
        self.sequence += 1;
        self.events.insert(EventKey { at: (self.now + after).0, sequence: self.sequence }, event);
    }

    fn current_second(&self) -> usize {
        ((self.now.since(START).0) / 1_000_000) as usize
    }

    fn progress(&self) -> f64 {
        self.now.since(START).as_seconds() / self.settings.seconds as f64
    }

    fn handle(&mut self, event: Event, end: time::Timestamp) {
        match event {
            Event::Arrival => {
                if self.now < end {
                    let gap = self.interarrival();
                    self.push(gap, Event::Arrival);
                    self.arrive();
                }
            }
            Event::Receipt(worker, request) => self.receive_request(worker, request),
            Event::Completion(worker, request) => self.finish_request(worker, request),
            Event::End(worker, request, attempt) => self.end_attempt(worker, request, attempt),
            Event::Gossip => {
                self.push(GOSSIP_INTERVAL, Event::Gossip);
                self.exchange_demand();
            }
            Event::Tick => {
                self.push(DISPATCH_INTERVAL, Event::Tick);
                self.inject_fault();
                for daemon in 0..DAEMONS {
                    self.dispatch_queue(daemon);
                }
            }
        }
    }

    fn interarrival(&mut self) -> time::Span {
        let capacity = (WORKERS * SLOTS) as f64 / MEAN_SERVICE_US;
        let is_first_half = self.settings.fault == Fault::Step && self.progress() < 0.5;
        let rate = capacity * self.settings.load * if is_first_half { 1.0 / 3.0 } else { 1.0 };
        time::Span((-(1.0 - self.random.random::<f64>()).ln() / rate).max(1.0) as u64)
    }

    fn inject_fault(&mut self) {
        if self.progress() < 0.25 {
            return;
        }
        match self.settings.fault {
            Fault::RackGone if !self.workers[0].is_lost => {
                for worker in &mut self.workers[..RACK_WORKERS] {
                    worker.is_lost = true;
                }
            }
            Fault::DaemonDead if self.alive[DAEMONS - 1] => self.stop_daemon(),
            _ => {}
        }
    }

    fn stop_daemon(&mut self) {
        self.alive[DAEMONS - 1] = false;
        for (rank, router) in self.routers[..DAEMONS - 1].iter_mut().enumerate() {
            router.set_rank(rank, DAEMONS - 1, self.now);
        }
    }

    fn arrive(&mut self) {
        let alive: Vec<usize> = (0..DAEMONS).filter(|d| self.alive[*d]).collect();
        let skewed = self.settings.fault == Fault::Skew && self.random.random_bool(0.5);
        let daemon = if skewed { 0 } else { alive[self.random.random_range(0..alive.len())] };
        let number = self.calls.len();
        let call = call::Call {
            id: id::CallId(number.to_string()),
            service: id::JobId::from("booking"),
            deadline: self.now + DEADLINE,
            repeat: model::Repeat::Safe,
        };
        let state = CallState {
            call,
            began: self.now,
            tried: Vec::new(),
            history: outcome::History::default(),
            is_ended: false,
        };
        self.calls.push(state);
        let second = self.current_second();
        self.by_second[second].0 += 1;
        let decision = self.routers[daemon].admit(&self.calls[number].call, self.now);
        self.apply(daemon, number, decision);
    }

    fn is_counted(&self, number: usize) -> bool {
        self.calls[number].began >= START + time::Span::seconds(1)
    }

    fn apply(&mut self, daemon: usize, number: usize, decision: call::Decision) {
        match decision {
            call::Decision::Wait => {}
            call::Decision::Refuse(_) => {
                let outcome = self.calls[number].history.outcome();
                self.complete(number, outcome);
            }
            call::Decision::Send(assignment) => {
                if self.is_counted(number) {
                    self.results.attempts += 1;
                }
                let worker = worker_of(&assignment);
                let request = Request { daemon, call: number, assignment };
                if self.workers[worker].is_lost {
                    self.push(DELAY, Event::End(worker, request, outcome::AttemptOutcome::Unsent));
                } else {
                    self.push(DELAY, Event::Receipt(worker, request));
                }
            }
        }
    }

    fn complete(&mut self, number: usize, outcome: model::Outcome) {
        if std::mem::replace(&mut self.calls[number].is_ended, true) || !self.is_counted(number) {
            return;
        }
        let took = self.now.since(self.calls[number].began);
        self.results.calls += 1;
        match outcome {
            model::Outcome::NotRun => self.results.shed += 1,
            model::Outcome::Unknown => self.results.unknown += 1,
            model::Outcome::Complete => {
                self.results.latencies.push(took.0);
                if took > DEADLINE { self.results.late += 1 } else { self.results.on_time += 1 }
            }
        }
    }

    fn receive_request(&mut self, index: usize, request: Request) {
        let fails = self.settings.fault == Fault::FailsFast && index == 0;
        let worker = &mut self.workers[index];
        if worker.is_lost || fails {
            self.push(DELAY, Event::End(index, request, outcome::AttemptOutcome::Interrupted));
        } else if worker.running < SLOTS {
            worker.running += 1;
            self.serve(index, request);
        } else if worker.queue.len() + worker.running < CONNECTIONS {
            worker.queue.push_back(request);
        } else {
            let load = Some(CONNECTIONS as u32);
            self.push(DELAY, Event::End(index, request, outcome::AttemptOutcome::Refused { load }));
        }
    }

    /// Runs a request; half of the service time is fixed, the other half exponentially distributed.
    fn serve(&mut self, index: usize, request: Request) {
        let slow = self.settings.fault == Fault::Slow && index == 0;
        let tail = -(1.0 - self.random.random::<f64>()).ln();
        let micros = MEAN_SERVICE_US * (0.5 + 0.5 * tail) * if slow { 10.0 } else { 1.0 };
        self.push(time::Span(micros as u64), Event::Completion(index, request));
    }

    fn finish_request(&mut self, index: usize, request: Request) {
        let worker = &mut self.workers[index];
        worker.running = worker.running.saturating_sub(1);
        if worker.is_lost {
            self.push(DELAY, Event::End(index, request, outcome::AttemptOutcome::Interrupted));
            return;
        }
        if let Some(next) = worker.queue.pop_front() {
            worker.running += 1;
            self.serve(index, next);
        }
        let worker = &self.workers[index];
        let load = Some((worker.running + worker.queue.len()) as u32);
        let latency = self.now.since(request.assignment.assigned_at) + DELAY;
        let attempt = outcome::AttemptOutcome::Completed { latency, load, is_server_error: false };
        self.push(DELAY, Event::End(index, request, attempt));
    }

    fn end_attempt(&mut self, _: usize, request: Request, attempt: outcome::AttemptOutcome) {
        let Request { daemon, call, assignment } = request;
        self.routers[daemon].finish(&assignment, attempt, self.now);
        match self.calls[call].history.next_step(attempt, model::Repeat::Safe) {
            outcome::NextStep::Forward => self.complete(call, model::Outcome::Complete),
            outcome::NextStep::Stop(outcome) => self.complete(call, outcome),
            outcome::NextStep::Retry(_) => {
                let second = self.current_second();
                let added = u64::from(attempt.retry_cost() == service::RetryCost::Budgeted);
                self.by_second[second].1 += added;
                self.calls[call].tried.push(assignment.task);
                let state = &self.calls[call];
                let decision = self.routers[daemon].retry(
                    &state.call,
                    &state.tried,
                    attempt.retry_cost(),
                    self.now,
                );
                if matches!(decision, call::Decision::Refuse(_)) {
                    self.by_second[second].1 -= added;
                }
                self.apply(daemon, call, decision);
            }
        }
        self.dispatch_queue(daemon);
    }

    fn dispatch_queue(&mut self, daemon: usize) {
        for dequeued in self.routers[daemon].dispatch_queue(self.now) {
            let number: usize = dequeued.call.as_str().parse().unwrap();
            self.apply(daemon, number, dequeued.decision);
        }
    }

    fn exchange_demand(&mut self) {
        for from in 0..DAEMONS {
            if !self.alive[from] {
                continue;
            }
            let demand = self.routers[from].demand(self.now);
            let name = id::DaemonId(from.to_string());
            for to in (0..DAEMONS).filter(|to| *to != from) {
                self.routers[to].record_demand(&name, &demand, self.now);
            }
        }
    }

    fn into_results(mut self) -> Results {
        self.results.latencies.sort_unstable();
        let shares = self.by_second.iter().filter(|(calls, _)| *calls > 0);
        let share = |(calls, retries): &(u64, u64)| *retries as f64 / *calls as f64;
        self.results.worst_retry_share = shares.map(share).fold(0.0, f64::max);
        self.results
    }
}

fn worker_of(assignment: &call::Assignment) -> usize {
    usize::from(assignment.address.port()) - 1_000
}

fn new_router(settings: Settings, daemon: usize) -> router::Router {
    let limits = service::Limits {
        has_admission: settings.headroom > 0.0,
        headroom: settings.headroom,
        ..service::Limits::default()
    };
    let mut router = router::Router::new(router::Settings {
        limits,
        seed: settings.seed + daemon as u64,
        balancer: Box::new(move || (settings.balancer)(daemon)),
    });
    router.set_rank(daemon, DAEMONS, START);
    router.update_routes(&route_set(1, 0..WORKERS), START);
    router
}
