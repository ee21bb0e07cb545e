//! Ways to choose a backend server, which were weighed against each other in
//! `docs/design/routing.md`.

use gl_model::time;
use rand::{Rng as _, rngs};

use crate::backend;

/// The backend servers to choose from.
#[derive(Clone, Copy, Debug)]
pub struct Field<'a> {
    /// All backend servers.
    pub backends: &'a [backend::Backend],
    /// The positions of those that take calls; never empty.
    pub open: &'a [usize],
    /// The positions of those that take calls and that the chooser prefers; may be empty.
    pub near: &'a [usize],
    /// The service's average latency, in microseconds.
    pub typical: f64,
}

impl Field<'_> {
    /// The average latency of a backend server; one that has answered nothing yet counts as
    /// average, so that it isn't flooded.
    fn latency(&self, at: usize) -> f64 {
        let known = self.backends[at].latency;
        if known > 0.0 { known } else { self.typical }
    }

    /// The expected wait at a backend server, in microseconds: below its slots it answers at its
    /// own pace, above, calls queue there.
    fn wait(&self, at: usize, now: time::Timestamp) -> f64 {
        let load = self.backends[at].load(now);
        let slots = f64::from(self.backends[at].slots);
        let queued = (load + 1.0 - slots).max(0.0) / slots;
        self.latency(at) * (1.0 + queued * queued + queued + load / (slots * 4.0))
    }

    /// This daemon's own calls there, weighed by how much slower than usual they are answered.
    fn pressure(&self, at: usize) -> f64 {
        let slower = self.latency(at) / (self.typical.max(1.0) * SLOWER);
        (f64::from(self.backends[at].flight) + 1.0) * slower.max(1.0)
    }
}

/// How many times the usual latency counts as slow.
const SLOWER: f64 = 2.0;

/// A way to choose one of the backend servers that take calls.
pub trait Chooser: Send {
    /// Tells that this daemon is the one at `place` of `daemons`.
    fn set_place(&mut self, place: usize, daemons: usize) {
        let _ = (place, daemons);
    }

    /// Whether the backend server at `position` is preferred.
    fn prefers(&self, position: usize) -> bool {
        let _ = position;
        true
    }

    /// The position of the chosen one. It may hold as many calls as it has slots; admission
    /// decides about that.
    fn choose(&self, field: Field<'_>, now: time::Timestamp, random: &mut rngs::SmallRng) -> usize;
}

/// Any backend server, evenly. A baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl Chooser for Random {
    fn choose(&self, field: Field<'_>, _: time::Timestamp, random: &mut rngs::SmallRng) -> usize {
        field.open[random.random_range(0..field.open.len())]
    }
}

/// The one with fewer of this daemon's calls, of two random ones (Mitzenmacher).
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl Chooser for TwoChoices {
    fn choose(&self, field: Field<'_>, _: time::Timestamp, random: &mut rngs::SmallRng) -> usize {
        let Field { backends, open, .. } = field;
        let first = open[random.random_range(0..open.len())];
        let second = open[random.random_range(0..open.len())];
        if backends[second].flight < backends[first].flight { second } else { first }
    }
}

/// The one with the least expected wait, of a few random ones: its load, as its last answer
/// reported it and corrected since, by its average latency (after C3 and Prequal).
#[derive(Clone, Copy, Debug)]
pub struct LeastWait {
    /// How many are compared.
    pub samples: usize,
}

impl Default for LeastWait {
    fn default() -> Self {
        Self { samples: 3 }
    }
}

impl Chooser for LeastWait {
    fn choose(&self, field: Field<'_>, now: time::Timestamp, random: &mut rngs::SmallRng) -> usize {
        let open = field.open;
        let mut best = Best::default();
        for _ in 0..self.samples.max(1) {
            let at = open[random.random_range(0..open.len())];
            best.offer(at, field.wait(at, now));
        }
        best.at
    }
}

struct Best {
    at: usize,
    cost: f64,
}

impl Default for Best {
    fn default() -> Self {
        Self { at: 0, cost: f64::INFINITY }
    }
}

impl Best {
    fn offer(&mut self, at: usize, cost: f64) {
        if cost < self.cost {
            *self = Self { at, cost };
        }
    }
}

/// How backend servers are compared within a subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// By this daemon's own calls alone.
    OwnCalls,
    /// By this daemon's own calls, where slow answers count more.
    Pressure,
    /// By the expected wait.
    Wait,
}

/// The best one within this daemon's subset of the backend servers. Each backend server belongs
/// to the subsets of `overlap` daemons, and neighbours in the list to different ones, so that
/// the loss of a rack hits all daemons alike. When the best one of the subset is full, a few of
/// all others are looked at too, so that a daemon with more calls than its peers isn't confined.
#[derive(Clone, Copy, Debug)]
pub struct Subset {
    /// This daemon's place among all.
    pub place: usize,
    /// The number of daemons.
    pub daemons: usize,
    /// How many daemons share each backend server.
    pub overlap: usize,
    /// How they are compared.
    pub by: By,
}

impl Default for Subset {
    fn default() -> Self {
        Self { place: 0, daemons: 1, overlap: 2, by: By::Pressure }
    }
}

/// Backend servers of the subset that one choice compares at most, which bounds its cost.
const SCAN: usize = 16;
/// Backend servers beyond the subset that are looked at when it is full.
const SPILL: usize = 3;

impl Subset {
    fn cost(&self, field: &Field<'_>, at: usize, now: time::Timestamp) -> f64 {
        match self.by {
            By::OwnCalls => f64::from(field.backends[at].flight),
            By::Pressure => field.pressure(at),
            By::Wait => field.wait(at, now),
        }
    }
}

impl Subset {
    fn spill_cost(&self, field: &Field<'_>, best: &Best, now: time::Timestamp) -> f64 {
        if field.near.is_empty() { f64::INFINITY } else { field.wait(best.at, now) }
    }
}

impl Chooser for Subset {
    fn set_place(&mut self, place: usize, daemons: usize) {
        self.place = place;
        self.daemons = daemons;
    }

    fn prefers(&self, position: usize) -> bool {
        let daemons = self.daemons.max(1);
        let first = position * self.overlap % daemons;
        (self.place + daemons - first) % daemons < self.overlap
    }

    fn choose(&self, field: Field<'_>, now: time::Timestamp, random: &mut rngs::SmallRng) -> usize {
        let Field { backends, open, near, .. } = field;
        let mut best = Best::default();
        let start = random.random_range(0..near.len().max(1));
        for at in near.iter().cycle().skip(start).take(SCAN.min(near.len())) {
            best.offer(*at, self.cost(&field, *at, now));
        }
        let is_full =
            || near.is_empty() || backends[best.at].load(now) >= f64::from(backends[best.at].slots);
        if !is_full() {
            return best.at;
        }
        let mut best = Best { at: best.at, cost: self.spill_cost(&field, &best, now) };
        for _ in 0..SPILL {
            let at = open[random.random_range(0..open.len())];
            best.offer(at, field.wait(at, now));
        }
        best.at
    }
}
