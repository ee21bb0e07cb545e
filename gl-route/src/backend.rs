//! One backend server as a daemon sees it.

use std::net;

use gl_model::{id, route, time};

/// The weight of a new latency in the average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Failures in a row after which a backend server is ejected.
const EJECT_FAILURES: u32 = 3;
/// The first ejection lasts this long; each further one in a row twice as long.
const EJECT_FIRST: time::Span = time::Span::seconds(1);
/// The longest ejection.
const EJECT_MOST: time::Span = time::Span::seconds(30);
/// How long a reported load is believed.
const LOAD_AGE: time::Span = time::Span::millis(500);

/// A backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The task.
    pub task: id::TaskId,
    /// The task's start.
    pub incarnation: id::Incarnation,
    /// Its VM.
    pub vm: id::VmId,
    /// Where it takes calls.
    pub address: net::SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Calls of this daemon that it holds.
    pub flight: u32,
    /// Its average latency in microseconds; zero until one call was answered.
    pub latency: f64,
    /// No call goes to it before this point.
    pub ejected: time::Timestamp,
    /// Whether a single call tries it after an ejection.
    pub probing: bool,
    /// Whether it takes no new calls for good.
    pub leaving: bool,
    failures: u32,
    ejections: u32,
    reported: f64,
    reported_at: time::Timestamp,
    reported_flight: u32,
}

impl Backend {
    /// A backend server that has had no calls.
    pub fn new(entry: &route::Entry) -> Self {
        Self {
            task: entry.task.clone(),
            incarnation: entry.incarnation,
            vm: entry.vm.clone(),
            address: entry.address,
            slots: entry.slots.max(1),
            flight: 0,
            latency: 0.0,
            ejected: time::Timestamp::default(),
            probing: false,
            leaving: false,
            failures: 0,
            ejections: 0,
            reported: 0.0,
            reported_at: time::Timestamp::default(),
            reported_flight: 0,
        }
    }

    /// Whether a call may go to it.
    pub fn is_open(&self, now: time::Timestamp) -> bool {
        !self.leaving && self.ejected <= now && !(self.probing && self.flight > 0)
    }

    /// The requests that it is expected to hold, those of other daemons included: the last
    /// reported load, changed by what this daemon sent and got back since.
    pub fn load(&self, now: time::Timestamp) -> f64 {
        let own = f64::from(self.flight);
        if self.reported_at == time::Timestamp::default() || now.since(self.reported_at) > LOAD_AGE
        {
            return own;
        }
        (self.reported + own - f64::from(self.reported_flight)).max(own)
    }

    /// Notes a whole answer.
    pub fn succeed(&mut self, latency: time::Span, load: Option<u32>, now: time::Timestamp) {
        self.failures = 0;
        self.ejections = 0;
        self.probing = false;
        let micros = latency.0 as f64;
        self.latency = if self.latency == 0.0 {
            micros
        } else {
            self.latency + LATENCY_WEIGHT * (micros - self.latency)
        };
        self.note_load(load, now);
    }

    /// Notes the load that an answer reports.
    pub fn note_load(&mut self, load: Option<u32>, now: time::Timestamp) {
        if let Some(load) = load {
            self.reported = f64::from(load);
            self.reported_at = now;
            self.reported_flight = self.flight;
        }
    }

    /// Notes a failure; returns whether the backend server should be ejected.
    pub fn fail(&mut self) -> bool {
        self.failures += 1;
        self.probing || self.failures >= EJECT_FAILURES
    }

    /// Ejects the backend server; afterwards one call probes it.
    pub fn eject(&mut self, now: time::Timestamp) {
        let doubled = EJECT_FIRST.0 << self.ejections.min(5);
        self.ejected = now + time::Span(doubled.min(EJECT_MOST.0));
        self.ejections += 1;
        self.failures = 0;
        self.probing = true;
    }
}
