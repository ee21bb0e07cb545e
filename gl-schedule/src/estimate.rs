//! Sizes that tasks really use, learned per kind from lagging measurements.
//!
//! The declared size is the prior; measurements pull the estimate towards a high percentile of
//! the usage (moving-window percentiles as in Google's Autopilot).

use std::collections;

use gl_model::{id, size, table};

/// Measurements kept per kind.
const WINDOW_LENGTH: usize = 64;
/// The weight of the declared size, in measurements.
const DECLARED_WEIGHT: f64 = 8.0;
/// The percentile of the window that the estimate follows.
const PERCENTILE: f64 = 0.95;
/// The factor of spare capacity on top of the percentile.
const HEADROOM_FACTOR: f64 = 1.1;
/// The largest factor between an estimate and the declared size, in both directions.
const MAX_FACTOR: f64 = 4.0;

#[derive(Clone, Debug, Default)]
struct Window {
    cores: collections::VecDeque<f64>,
    memory: collections::VecDeque<f64>,
    factors: Factors,
}

#[derive(Clone, Copy, Debug)]
struct Factors {
    cores: f64,
    memory: f64,
}

impl Default for Factors {
    fn default() -> Self {
        Self { cores: 1.0, memory: 1.0 }
    }
}

/// The estimates of all kinds.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    kinds: table::Table<id::KindId, Window>,
}

fn push(window: &mut collections::VecDeque<f64>, used: u64, declared: u64) {
    if declared == 0 {
        return;
    }
    if window.len() == WINDOW_LENGTH {
        window.pop_front();
    }
    window.push_back(used as f64 / declared as f64);
}

fn factor(window: &collections::VecDeque<f64>) -> f64 {
    if window.is_empty() {
        return 1.0;
    }
    let mut sorted: Vec<f64> = window.iter().copied().collect();
    sorted.sort_unstable_by(f64::total_cmp);
    let last = sorted.len() - 1;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "within the window"
    )]
    let at = (last as f64 * PERCENTILE).round() as usize;
    let observed = sorted[at.min(last)] * HEADROOM_FACTOR;
    let weight = sorted.len() as f64 / (sorted.len() as f64 + DECLARED_WEIGHT);
    (observed * weight + 1.0 - weight).clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
}

fn scaled(declared: u64, factor: f64) -> u64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "never negative")]
    let estimate = (declared as f64 * factor).ceil() as u64;
    estimate
}

impl Estimates {
    /// Adds a measurement of a task of `kind`.
    pub fn observe(&mut self, kind: &id::KindId, declared: &size::Size, used: &size::Size) {
        let window = self.kinds.or_insert_with(kind, Window::default);
        push(&mut window.cores, used.cores, declared.cores);
        push(&mut window.memory, used.memory, declared.memory);
        window.factors = Factors { cores: factor(&window.cores), memory: factor(&window.memory) };
    }

    /// Returns the expected usage of a task of `kind` whose declared size is `declared`.
    /// Accelerators are not shared, so they stay as declared.
    pub fn size(&self, kind: &id::KindId, declared: &size::Size) -> size::Size {
        let factors = self.kinds.get(kind).map(|w| w.factors).unwrap_or_default();
        size::Size {
            cores: scaled(declared.cores, factors.cores),
            memory: scaled(declared.memory, factors.memory),
            accelerators: declared.accelerators,
        }
    }
}
