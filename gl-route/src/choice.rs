//! Ways to choose a backend server, which were weighed against each other in
//! `docs/design/routing.md`.

use gl_model::time;
use rand::{Rng as _, rngs};

use crate::backend;

/// A way to choose one of the backend servers that take calls.
pub trait Chooser: Send {
    /// The position of the chosen one in `open`, whose items are positions in `backends`.
    ///
    /// `open` isn't empty. A chooser may return a backend server that holds as many calls as it
    /// has slots; admission decides about that.
    fn choose(
        &self,
        backends: &[backend::Backend],
        open: &[usize],
        now: time::Timestamp,
        random: &mut rngs::SmallRng,
    ) -> usize;
}

/// Any backend server, evenly. A baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl Chooser for Random {
    fn choose(
        &self,
        _: &[backend::Backend],
        open: &[usize],
        _: time::Timestamp,
        random: &mut rngs::SmallRng,
    ) -> usize {
        open[random.random_range(0..open.len())]
    }
}

/// The one with fewer of this daemon's calls, of two random ones (Mitzenmacher).
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl Chooser for TwoChoices {
    fn choose(
        &self,
        backends: &[backend::Backend],
        open: &[usize],
        _: time::Timestamp,
        random: &mut rngs::SmallRng,
    ) -> usize {
        let first = open[random.random_range(0..open.len())];
        let second = open[random.random_range(0..open.len())];
        if backends[second].flight < backends[first].flight {
            second
        } else {
            first
        }
    }
}

/// The one with the fewest calls within this daemon's fixed share of the backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Subset {
    /// This daemon's place among all.
    pub place: usize,
    /// The number of daemons.
    pub daemons: usize,
    /// How many daemons share each backend server.
    pub overlap: usize,
}

impl Chooser for Subset {
    fn choose(
        &self,
        backends: &[backend::Backend],
        open: &[usize],
        _: time::Timestamp,
        random: &mut rngs::SmallRng,
    ) -> usize {
        let daemons = self.daemons.max(1);
        let width = (open.len() * self.overlap)
            .div_ceil(daemons)
            .clamp(1, open.len());
        let start = self.place * open.len() / daemons;
        let at = |offset: usize| open[(start + offset) % open.len()];
        let mut best = at(random.random_range(0..width));
        for offset in 0..width {
            if backends[at(offset)].flight < backends[best].flight {
                best = at(offset);
            }
        }
        best
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

/// How many extra samples are drawn at most to skip full backend servers.
const REDRAWS: usize = 3;

impl LeastWait {
    fn wait(backend: &backend::Backend, now: time::Timestamp) -> f64 {
        let load = backend.load(now);
        let slots = f64::from(backend.slots);
        let latency = backend.latency.max(1.0);
        // Below its slots a backend server answers at its own pace; above, calls queue there.
        let queued = (load + 1.0 - slots).max(0.0) / slots;
        latency * (1.0 + queued * queued + queued + load / (slots * 4.0))
    }
}

impl Chooser for LeastWait {
    fn choose(
        &self,
        backends: &[backend::Backend],
        open: &[usize],
        now: time::Timestamp,
        random: &mut rngs::SmallRng,
    ) -> usize {
        let mut best = open[random.random_range(0..open.len())];
        let mut least = Self::wait(&backends[best], now);
        for drawn in 1..self.samples + REDRAWS {
            let is_full = backends[best].load(now) >= f64::from(backends[best].slots);
            if drawn >= self.samples && !is_full {
                break;
            }
            let next = open[random.random_range(0..open.len())];
            let wait = Self::wait(&backends[next], now);
            if wait < least {
                best = next;
                least = wait;
            }
        }
        best
    }
}
