//! Load-balancing policies, which choose a backend server for a call. `docs/design/routing.md`
//! compares them.

use gl_model::time;
use rand::{Rng as _, rngs};

use crate::backend;

/// The backend servers to choose from.
#[derive(Clone, Copy, Debug)]
pub struct Candidates<'a> {
    /// All backend servers.
    pub backends: &'a [backend::Backend],
    /// The indices of those that are available; never empty.
    pub available: &'a [usize],
    /// The indices of those that are available and that the balancer prefers; may be empty.
    pub preferred: &'a [usize],
    /// The mean latency of the service in microseconds.
    pub service_latency: f64,
}

impl Candidates<'_> {
    /// Returns the mean latency of a backend server in microseconds. One without a response so
    /// far is given the mean of the service, so that it is not flooded with calls.
    fn latency_us(&self, index: usize) -> f64 {
        let known = self.backends[index].latency_us;
        if known > 0.0 { known } else { self.service_latency }
    }

    /// Returns the expected time until a response from a backend server, in microseconds: about
    /// its mean latency while it has free slots, and more as soon as calls queue there.
    fn expected_wait(&self, index: usize, now: time::Timestamp) -> f64 {
        let load = self.backends[index].load(now);
        let slots = f64::from(self.backends[index].slots);
        let queued = (load + 1.0 - slots).max(0.0) / slots;
        self.latency_us(index) * (1.0 + queued * queued + queued + load / (slots * 4.0))
    }

    /// Returns the number of this daemon's calls in flight to a backend server, the new one
    /// included, weighted by its latency if that is well above the service's mean.
    fn weighted_in_flight(&self, index: usize) -> f64 {
        let slowness = self.latency_us(index) / (self.service_latency.max(1.0) * SLOW_FACTOR);
        (f64::from(self.backends[index].in_flight) + 1.0) * slowness.max(1.0)
    }
}

/// The multiple of the service's mean latency above which a backend server counts as slow.
const SLOW_FACTOR: f64 = 2.0;

/// A load-balancing policy, which picks one of the available backend servers.
pub trait Balancer: Send {
    /// Sets this daemon's rank among the live daemons, from zero, and their number.
    fn set_rank(&mut self, rank: usize, daemons: usize) {
        let _ = (rank, daemons);
    }

    /// Returns whether the backend server at `index` is preferred.
    fn is_preferred(&self, index: usize) -> bool {
        let _ = index;
        true
    }

    /// Returns the index of the chosen backend server. All of its slots may be in use; the
    /// service decides about admission.
    fn pick(
        &self,
        candidates: Candidates<'_>,
        now: time::Timestamp,
        random: &mut rngs::SmallRng,
    ) -> usize;
}

/// Picks any backend server with equal probability. A baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl Balancer for Random {
    fn pick(
        &self,
        candidates: Candidates<'_>,
        _: time::Timestamp,
        random: &mut rngs::SmallRng,
    ) -> usize {
        candidates.available[random.random_range(0..candidates.available.len())]
    }
}

/// Picks the one with fewer of this daemon's calls out of two random ones (power of two choices,
/// Mitzenmacher).
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl Balancer for TwoChoices {
    fn pick(
        &self,
        candidates: Candidates<'_>,
        _: time::Timestamp,
        random: &mut rngs::SmallRng,
    ) -> usize {
        let Candidates { backends, available, .. } = candidates;
        let first = available[random.random_range(0..available.len())];
        let second = available[random.random_range(0..available.len())];
        if backends[second].in_flight < backends[first].in_flight { second } else { first }
    }
}

/// Picks the one with the least expected wait out of a few random ones. The wait follows from
/// the last reported load, corrected by the calls since, and the mean latency (after C3 and
/// Prequal).
#[derive(Clone, Copy, Debug)]
pub struct LeastWait {
    /// The number of backend servers that are compared.
    pub samples: usize,
}

impl Default for LeastWait {
    fn default() -> Self {
        Self { samples: 3 }
    }
}

impl Balancer for LeastWait {
    fn pick(
        &self,
        candidates: Candidates<'_>,
        now: time::Timestamp,
        random: &mut rngs::SmallRng,
    ) -> usize {
        let available = candidates.available;
        let mut best = Best::default();
        for _ in 0..self.samples.max(1) {
            let index = available[random.random_range(0..available.len())];
            best.consider(index, candidates.expected_wait(index, now));
        }
        best.index
    }
}

struct Best {
    index: usize,
    cost: f64,
}

impl Default for Best {
    fn default() -> Self {
        Self { index: 0, cost: f64::INFINITY }
    }
}

impl Best {
    fn consider(&mut self, index: usize, cost: f64) {
        if cost < self.cost {
            *self = Self { index, cost };
        }
    }
}

/// The load metric by which the backend servers of a subset are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// The number of this daemon's calls in flight.
    InFlight,
    /// The number of this daemon's calls in flight, weighted by the latency of a slow backend
    /// server.
    WeightedInFlight,
    /// The expected wait.
    ExpectedWait,
}

/// Picks the least loaded backend server within this daemon's subset (deterministic
/// subsetting). Each backend server belongs to the subsets of `overlap` daemons, and neighbours
/// in the list belong to different ones, so that the loss of a rack affects all daemons alike.
/// When the best one of the subset is full, a few of all backend servers are compared too, so
/// that a daemon with more calls than its peers is not confined to its subset.
#[derive(Clone, Copy, Debug)]
pub struct Subset {
    /// This daemon's rank among the live daemons.
    pub rank: usize,
    /// The number of live daemons.
    pub daemons: usize,
    /// The number of daemons whose subsets contain the same backend server.
    pub overlap: usize,
    /// The metric by which they are compared.
    pub metric: LoadMetric,
}

impl Default for Subset {
    fn default() -> Self {
        Self { rank: 0, daemons: 1, overlap: 2, metric: LoadMetric::WeightedInFlight }
    }
}

/// The greatest number of backend servers of the subset that are compared for one call, which
/// bounds the time of a choice.
const MAX_COMPARED: usize = 16;
/// The number of random backend servers that are compared when the subset is full.
const SPILL_SAMPLES: usize = 3;

impl Subset {
    fn cost(&self, candidates: &Candidates<'_>, index: usize, now: time::Timestamp) -> f64 {
        match self.metric {
            LoadMetric::InFlight => f64::from(candidates.backends[index].in_flight),
            LoadMetric::WeightedInFlight => candidates.weighted_in_flight(index),
            LoadMetric::ExpectedWait => candidates.expected_wait(index, now),
        }
    }
}

impl Subset {
    fn spill_cost(&self, candidates: &Candidates<'_>, best: &Best, now: time::Timestamp) -> f64 {
        if candidates.preferred.is_empty() {
            f64::INFINITY
        } else {
            candidates.expected_wait(best.index, now)
        }
    }
}

impl Balancer for Subset {
    fn set_rank(&mut self, rank: usize, daemons: usize) {
        self.rank = rank;
        self.daemons = daemons;
    }

    fn is_preferred(&self, index: usize) -> bool {
        let daemons = self.daemons.max(1);
        let first = index * self.overlap % daemons;
        (self.rank + daemons - first) % daemons < self.overlap
    }

    fn pick(
        &self,
        candidates: Candidates<'_>,
        now: time::Timestamp,
        random: &mut rngs::SmallRng,
    ) -> usize {
        let Candidates { backends, available, preferred, .. } = candidates;
        let mut best = Best::default();
        let start = random.random_range(0..preferred.len().max(1));
        for index in preferred.iter().cycle().skip(start).take(MAX_COMPARED.min(preferred.len())) {
            best.consider(*index, self.cost(&candidates, *index, now));
        }
        let is_full = || {
            preferred.is_empty()
                || backends[best.index].load(now) >= f64::from(backends[best.index].slots)
        };
        if !is_full() {
            return best.index;
        }
        let mut best = Best { index: best.index, cost: self.spill_cost(&candidates, &best, now) };
        for _ in 0..SPILL_SAMPLES {
            let index = available[random.random_range(0..available.len())];
            best.consider(index, candidates.expected_wait(index, now));
        }
        best.index
    }
}
