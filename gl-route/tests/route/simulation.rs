//! A fake of daemons and workers in virtual time, which runs the real router.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a fake for tests and examples"
)]

use std::collections;

use gl_model::{call as model, id, route, time};
use gl_route::{balancer, call, outcome, router, service};
use rand::{Rng as _, SeedableRng as _, rngs};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    None,
    /// The first worker takes ten times as long.
    Slow,
    /// The first worker fails every request at once.
    FailsFast,
    /// The first eight workers are gone from a quarter of the run on.
    RackGone,
    /// The last daemon dies at a quarter of the run; its calls go to the others.
    DaemonDead,
    /// Half of all calls go to one daemon.
    Skew,
    /// Load is a third until the middle of the run, and full from then on.
    Step,
}

#[derive(Clone, Copy)]
pub struct Settings {
    pub balancer: fn(usize) -> Box<dyn balancer::Balancer>,
    pub headroom: f64,
    pub load: f64,
    pub trouble: Trouble,
    pub seconds: u64,
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            balancer: |_| Box::new(balancer::Subset::default()),
            headroom: 1.5,
            load: 0.8,
            trouble: Trouble::None,
            seconds: 8,
            seed: 7,
        }
    }
}

pub const WORKERS: usize = 65;
pub const SLOTS: usize = 8;
pub const DAEMONS: usize = 9;
const CONNECTIONS: usize = 64;
const RACK: usize = 8;
const ONE_WAY: time::Span = time::Span::micros(1_500);
const MEAN_MICROS: f64 = 20_000.0;
pub const DEADLINE: time::Span = time::Span::millis(300);
const GOSSIP: time::Span = time::Span::millis(500);
const WAKE: time::Span = time::Span::millis(25);
const START: time::Timestamp = time::Timestamp(1_000_000_000);

/// What came of all calls that began after the first second.
#[derive(Debug, Default)]
pub struct Figures {
    pub calls: u64,
    pub whole: u64,
    pub late: u64,
    pub shed: u64,
    pub unknown: u64,
    pub attempts: u64,
    latencies: Vec<u64>,
    /// The largest share of retries in any second.
    pub worst_retry_share: f64,
}

impl Figures {
    /// A percentile of the whole answers' latencies, in milliseconds.
    pub fn percentile(&self, share: f64) -> f64 {
        let at = ((self.latencies.len().max(1) - 1) as f64 * share).round() as usize;
        self.latencies.get(at).copied().unwrap_or(0) as f64 / 1_000.0
    }
}

#[derive(Clone)]
struct Running {
    daemon: usize,
    call: usize,
    ticket: call::Assignment,
}

enum Event {
    Arrive,
    AtWorker(usize, Running),
    Done(usize, Running),
    Back(usize, Running, outcome::AttemptOutcome),
    Gossip,
    Wake,
}

/// The place of an event in the order of time; events of one moment keep their order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct When {
    at: u64,
    order: u64,
}

#[derive(Default)]
struct Worker {
    running: usize,
    queue: collections::VecDeque<Running>,
    gone: bool,
}

struct Pending {
    call: call::Call,
    began: time::Timestamp,
    tried: Vec<id::TaskId>,
    record: outcome::History,
    ended: bool,
}

struct Fake {
    settings: Settings,
    now: time::Timestamp,
    order: u64,
    events: collections::BTreeMap<When, Event>,
    routers: Vec<router::Router>,
    alive: Vec<bool>,
    workers: Vec<Worker>,
    calls: Vec<Pending>,
    random: rngs::SmallRng,
    figures: Figures,
    by_second: Vec<(u64, u64)>,
}

pub fn entry(number: usize) -> route::Entry {
    route::Entry {
        service: id::JobId::from("booking"),
        task: id::TaskId(format!("booking.{number}")),
        incarnation: id::Incarnation(1),
        vm: id::VmId(format!("vm-{number}")),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        slots: SLOTS as u32,
    }
}

pub fn set(version: u64, workers: std::ops::Range<usize>) -> route::Set {
    route::Set {
        shard: id::DomainId::from("one"),
        epoch: id::Epoch(1),
        version,
        entries: workers.map(entry).collect(),
        promises: Vec::new(),
    }
}

/// Runs the whole fake and returns the figures.
pub fn run(settings: Settings) -> Figures {
    let mut fake = Fake::new(settings);
    let end = START + time::Span::seconds(settings.seconds);
    while let Some((when, event)) = fake.events.pop_first() {
        if when.at > (end + time::Span::seconds(2)).0 {
            break;
        }
        fake.now = time::Timestamp(when.at);
        fake.take(event, end);
    }
    fake.finish()
}

impl Fake {
    fn new(settings: Settings) -> Self {
        let mut fake = Self {
            settings,
            now: START,
            order: 0,
            events: collections::BTreeMap::new(),
            routers: (0..DAEMONS).map(|d| router(settings, d)).collect(),
            alive: vec![true; DAEMONS],
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            calls: Vec::new(),
            random: rngs::SmallRng::seed_from_u64(settings.seed),
            figures: Figures::default(),
            by_second: vec![(0, 0); settings.seconds as usize + 3],
        };
        fake.push(time::Span::ZERO, Event::Gossip);
        fake.push(time::Span::ZERO, Event::Wake);
        fake.push(time::Span::micros(1), Event::Arrive);
        fake
    }

    fn push(&mut self, after: time::Span, event: Event) {
        self.order += 1;
        self.events.insert(When { at: (self.now + after).0, order: self.order }, event);
    }

    fn second(&self) -> usize {
        ((self.now.since(START).0) / 1_000_000) as usize
    }

    fn progress(&self) -> f64 {
        self.now.since(START).as_seconds() / self.settings.seconds as f64
    }

    fn take(&mut self, event: Event, end: time::Timestamp) {
        match event {
            Event::Arrive => {
                if self.now < end {
                    let gap = self.gap();
                    self.push(gap, Event::Arrive);
                    self.arrive();
                }
            }
            Event::AtWorker(worker, running) => self.at_worker(worker, running),
            Event::Done(worker, running) => self.done(worker, running),
            Event::Back(daemon, running, ending) => self.back(daemon, running, ending),
            Event::Gossip => {
                self.push(GOSSIP, Event::Gossip);
                self.gossip();
            }
            Event::Wake => {
                self.push(WAKE, Event::Wake);
                self.trouble();
                for daemon in 0..DAEMONS {
                    self.wake(daemon);
                }
            }
        }
    }

    fn gap(&mut self) -> time::Span {
        let capacity = (WORKERS * SLOTS) as f64 / MEAN_MICROS;
        let step = self.settings.trouble == Trouble::Step && self.progress() < 0.5;
        let rate = capacity * self.settings.load * if step { 1.0 / 3.0 } else { 1.0 };
        time::Span((-(1.0 - self.random.random::<f64>()).ln() / rate).max(1.0) as u64)
    }

    fn trouble(&mut self) {
        if self.progress() < 0.25 {
            return;
        }
        match self.settings.trouble {
            Trouble::RackGone if !self.workers[0].gone => {
                for worker in &mut self.workers[..RACK] {
                    worker.gone = true;
                }
            }
            Trouble::DaemonDead if self.alive[DAEMONS - 1] => self.lose_daemon(),
            _ => {}
        }
    }

    fn lose_daemon(&mut self) {
        self.alive[DAEMONS - 1] = false;
        for (place, router) in self.routers[..DAEMONS - 1].iter_mut().enumerate() {
            router.set_rank(place, DAEMONS - 1, self.now);
        }
    }

    fn arrive(&mut self) {
        let alive: Vec<usize> = (0..DAEMONS).filter(|d| self.alive[*d]).collect();
        let skewed = self.settings.trouble == Trouble::Skew && self.random.random_bool(0.5);
        let daemon = if skewed { 0 } else { alive[self.random.random_range(0..alive.len())] };
        let number = self.calls.len();
        let call = call::Call {
            id: id::CallId(number.to_string()),
            service: id::JobId::from("booking"),
            deadline: self.now + DEADLINE,
            repeat: model::Repeat::Safe,
        };
        let pending = Pending {
            call,
            began: self.now,
            tried: Vec::new(),
            record: outcome::History::default(),
            ended: false,
        };
        self.calls.push(pending);
        let second = self.second();
        self.by_second[second].0 += 1;
        let verdict = self.routers[daemon].admit(&self.calls[number].call, self.now);
        self.verdict(daemon, number, verdict);
    }

    fn is_counted(&self, number: usize) -> bool {
        self.calls[number].began >= START + time::Span::seconds(1)
    }

    fn verdict(&mut self, daemon: usize, number: usize, verdict: call::Decision) {
        match verdict {
            call::Decision::Wait => {}
            call::Decision::Refuse(_) => {
                let outcome = self.calls[number].record.outcome();
                self.end(number, outcome);
            }
            call::Decision::Send(ticket) => {
                if self.is_counted(number) {
                    self.figures.attempts += 1;
                }
                let worker = worker_of(&ticket);
                let running = Running { daemon, call: number, ticket };
                if self.workers[worker].gone {
                    self.push(
                        ONE_WAY,
                        Event::Back(worker, running, outcome::AttemptOutcome::Unsent),
                    );
                } else {
                    self.push(ONE_WAY, Event::AtWorker(worker, running));
                }
            }
        }
    }

    fn end(&mut self, number: usize, outcome: model::Outcome) {
        if std::mem::replace(&mut self.calls[number].ended, true) || !self.is_counted(number) {
            return;
        }
        let took = self.now.since(self.calls[number].began);
        self.figures.calls += 1;
        match outcome {
            model::Outcome::NotRun => self.figures.shed += 1,
            model::Outcome::Unknown => self.figures.unknown += 1,
            model::Outcome::Complete => {
                self.figures.latencies.push(took.0);
                if took > DEADLINE { self.figures.late += 1 } else { self.figures.whole += 1 }
            }
        }
    }

    fn at_worker(&mut self, at: usize, running: Running) {
        let fails = self.settings.trouble == Trouble::FailsFast && at == 0;
        let worker = &mut self.workers[at];
        if worker.gone || fails {
            self.push(ONE_WAY, Event::Back(at, running, outcome::AttemptOutcome::Interrupted));
        } else if worker.running < SLOTS {
            worker.running += 1;
            self.serve(at, running);
        } else if worker.queue.len() + worker.running < CONNECTIONS {
            worker.queue.push_back(running);
        } else {
            let load = Some(CONNECTIONS as u32);
            self.push(ONE_WAY, Event::Back(at, running, outcome::AttemptOutcome::Refused { load }));
        }
    }

    /// Half of the service time is fixed and half is exponential.
    fn serve(&mut self, at: usize, running: Running) {
        let slow = self.settings.trouble == Trouble::Slow && at == 0;
        let tail = -(1.0 - self.random.random::<f64>()).ln();
        let micros = MEAN_MICROS * (0.5 + 0.5 * tail) * if slow { 10.0 } else { 1.0 };
        self.push(time::Span(micros as u64), Event::Done(at, running));
    }

    fn done(&mut self, at: usize, running: Running) {
        let worker = &mut self.workers[at];
        worker.running = worker.running.saturating_sub(1);
        if worker.gone {
            self.push(ONE_WAY, Event::Back(at, running, outcome::AttemptOutcome::Interrupted));
            return;
        }
        if let Some(next) = worker.queue.pop_front() {
            worker.running += 1;
            self.serve(at, next);
        }
        let worker = &self.workers[at];
        let load = Some((worker.running + worker.queue.len()) as u32);
        let latency = self.now.since(running.ticket.assigned_at) + ONE_WAY;
        let ending = outcome::AttemptOutcome::Completed { latency, load, is_server_error: false };
        self.push(ONE_WAY, Event::Back(at, running, ending));
    }

    fn back(&mut self, _: usize, running: Running, ending: outcome::AttemptOutcome) {
        let Running { daemon, call, ticket } = running;
        self.routers[daemon].finish(&ticket, ending, self.now);
        match self.calls[call].record.next_step(ending, model::Repeat::Safe) {
            outcome::NextStep::Forward => self.end(call, model::Outcome::Complete),
            outcome::NextStep::Stop(outcome) => self.end(call, outcome),
            outcome::NextStep::Retry(_) => {
                let second = self.second();
                let added = u64::from(ending.retry_cost() == service::RetryCost::Budgeted);
                self.by_second[second].1 += added;
                self.calls[call].tried.push(ticket.task);
                let pending = &self.calls[call];
                let verdict = self.routers[daemon].retry(
                    &pending.call,
                    &pending.tried,
                    ending.retry_cost(),
                    self.now,
                );
                if matches!(verdict, call::Decision::Refuse(_)) {
                    self.by_second[second].1 -= added;
                }
                self.verdict(daemon, call, verdict);
            }
        }
        self.wake(daemon);
    }

    fn wake(&mut self, daemon: usize) {
        for woken in self.routers[daemon].dispatch_queue(self.now) {
            let number: usize = woken.call.as_str().parse().unwrap();
            self.verdict(daemon, number, woken.decision);
        }
    }

    fn gossip(&mut self) {
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

    fn finish(mut self) -> Figures {
        self.figures.latencies.sort_unstable();
        let shares = self.by_second.iter().filter(|(calls, _)| *calls > 0);
        let share = |(calls, retries): &(u64, u64)| *retries as f64 / *calls as f64;
        self.figures.worst_retry_share = shares.map(share).fold(0.0, f64::max);
        self.figures
    }
}

fn worker_of(ticket: &call::Assignment) -> usize {
    usize::from(ticket.address.port()) - 1_000
}

fn router(settings: Settings, daemon: usize) -> router::Router {
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
    router.update_routes(&set(1, 0..WORKERS), START);
    router
}
