//! The state of one backend server in a daemon: load, latency, and ejection of a server that
//! keeps failing.

use std::net;

use gl_model::{id, route, time};

/// The weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Consecutive failures after which a backend server is ejected.
const EJECT_FAILURES: u32 = 3;
/// The duration of the first ejection; each consecutive one lasts twice as long.
const EJECT_MIN: time::Span = time::Span::seconds(1);
/// The longest duration of an ejection.
const EJECT_MAX: time::Span = time::Span::seconds(30);
/// The age beyond which a reported load is ignored.
const LOAD_MAX_AGE: time::Span = time::Span::millis(500);

/// A backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The task that it runs.
    pub task: id::TaskId,
    /// The incarnation of the task.
    pub incarnation: id::Incarnation,
    /// The VM on which it runs.
    pub vm: id::VmId,
    /// The address at which it accepts calls.
    pub address: net::SocketAddr,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The number of this daemon's calls that are in flight to it.
    pub in_flight: u32,
    /// The moving average of its latency in microseconds; zero before its first response.
    pub latency_us: f64,
    /// The time before which no call is sent to it.
    pub ejected_until: time::Timestamp,
    /// Whether it is probed with a single call after an ejection.
    pub is_probing: bool,
    /// Whether it is on a draining VM and so gets no new calls.
    pub is_draining: bool,
    failures: u32,
    ejections: u32,
    reported_load: f64,
    reported_at: time::Timestamp,
    reported_in_flight: u32,
}

impl Backend {
    /// Creates a backend server that has had no calls.
    pub fn new(entry: &route::Entry) -> Self {
        Self {
            task: entry.task.clone(),
            incarnation: entry.incarnation,
            vm: entry.vm.clone(),
            address: entry.address,
            slots: entry.slots.max(1),
            in_flight: 0,
            latency_us: 0.0,
            ejected_until: time::Timestamp::default(),
            is_probing: false,
            is_draining: false,
            failures: 0,
            ejections: 0,
            reported_load: 0.0,
            reported_at: time::Timestamp::default(),
            reported_in_flight: 0,
        }
    }

    /// Returns whether a call may be sent to it now.
    pub fn is_available(&self, now: time::Timestamp) -> bool {
        !self.is_draining && self.ejected_until <= now && !(self.is_probing && self.in_flight > 0)
    }

    /// Returns the estimated number of requests that it holds, those of other daemons included:
    /// the last reported load, corrected by the calls that this daemon has sent and completed
    /// since.
    pub fn load(&self, now: time::Timestamp) -> f64 {
        let own = f64::from(self.in_flight);
        if self.reported_at == time::Timestamp::default()
            || now.since(self.reported_at) > LOAD_MAX_AGE
        {
            return own;
        }
        (self.reported_load + own - f64::from(self.reported_in_flight)).max(own)
    }

    /// Records a complete response that does not report a server error.
    pub fn record_success(&mut self, latency: time::Span, load: Option<u32>, now: time::Timestamp) {
        self.failures = 0;
        self.ejections = 0;
        self.is_probing = false;
        let micros = latency.0 as f64;
        self.latency_us = if self.latency_us == 0.0 {
            micros
        } else {
            self.latency_us + LATENCY_WEIGHT * (micros - self.latency_us)
        };
        self.record_load(load, now);
    }

    /// Records the load that a response reports, if any.
    pub fn record_load(&mut self, load: Option<u32>, now: time::Timestamp) {
        if let Some(load) = load {
            self.reported_load = f64::from(load);
            self.reported_at = now;
            self.reported_in_flight = self.in_flight;
        }
    }

    /// Records a failure; returns whether the backend server should be ejected.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.is_probing || self.failures >= EJECT_FAILURES
    }

    /// Ejects the backend server for a time that grows with each consecutive ejection (exponential
    /// back-off). Afterwards, a single call probes it.
    pub fn eject(&mut self, now: time::Timestamp) {
        let doubled = EJECT_MIN.0 << self.ejections.min(5);
        self.ejected_until = now + time::Span(doubled.min(EJECT_MAX.0));
        self.ejections += 1;
        self.failures = 0;
        self.is_probing = true;
    }
}
