//! The periodic component: sine waves of a fixed set of periods, fitted by least squares with
//! exponentially decaying weights. A sample costs one sine and some multiplications a period, and
//! the sums take one and a half kilobytes a tracker.

use std::f64::consts;
use std::sync;

/// The number of periods that are tried. With 20 of them the amplitude of a swing between two periods
/// was estimated a fifth too low.
const PERIODS: usize = 32;
/// The shortest period, in seconds. A sample each half second gives it twelve samples.
const SHORTEST_S: f64 = 6.0;
/// The longest period, in seconds.
const LONGEST_S: f64 = 30.0;
/// The time constant of the weights, in seconds: some two to three periods of the known swings.
const MEMORY_S: f64 = 30.0;
/// The number of periods that have to be observed before a periodic component is assumed.
const MIN_PERIODS: f64 = 1.25;
/// The weight of samples below which no periodic component is assumed.
const MIN_WEIGHT: f64 = 12.0;
/// The determinant of the normal equations, relative to the square of the weight, below which the
/// samples do not determine a wave. It is 0.25 for samples that are evenly spread over periods.
const MIN_DETERMINANT: f64 = 0.02;
/// The share of the variance that the wave has to explain.
const MIN_EXPLAINED: f64 = 0.5;
/// The number of parameters that a fit takes from the samples: level, cosine and sine.
const PARAMETERS: f64 = 3.0;

/// The sums of one period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Sums {
    cos: f64,
    sin: f64,
    cos2: f64,
    cos_sin: f64,
    value_cos: f64,
    value_sin: f64,
}

/// The sums of all periods.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Harmonics {
    weight: f64,
    /// The sum of the ages of the samples, in seconds.
    age: f64,
    value: f64,
    value2: f64,
    sums: [Sums; PERIODS],
}

/// A fitted wave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wave {
    /// The period, in seconds. It lies between those that are tried.
    pub period_s: f64,
    pub period_error: f64,
    pub level: f64,
    pub amplitude: f64,
    pub amplitude_error: f64,
    /// The time of a peak, in seconds since the first sample.
    pub peak_s: f64,
    /// The standard deviation of the samples from the wave.
    pub residual: f64,
}

/// A fit of one period.
#[derive(Clone, Copy)]
struct Fit {
    cos: f64,
    sin: f64,
    level: f64,
    /// The sum of squares that the wave explains.
    explained: f64,
}

fn step() -> f64 {
    (LONGEST_S / SHORTEST_S).powf(1.0 / (PERIODS - 1) as f64)
}

/// The periods that are tried, in seconds. Computing them takes longer than a fit.
static TRIED_S: sync::LazyLock<[f64; PERIODS]> =
    sync::LazyLock::new(|| std::array::from_fn(|n| SHORTEST_S * step().powf(n as f64)));

/// Returns the angle of a period at `at_s` seconds.
fn angle(period_s: f64, at_s: f64) -> f64 {
    (at_s / period_s).fract() * consts::TAU
}

impl Harmonics {
    /// Adds a sample at `at_s`, which is `elapsed_s` later than the one before it.
    pub fn observe(&mut self, at_s: f64, elapsed_s: f64, value: f64) {
        let decay = (-elapsed_s / MEMORY_S).exp();
        self.age = (self.age + self.weight * elapsed_s) * decay;
        self.weight = self.weight * decay + 1.0;
        self.value = self.value * decay + value;
        self.value2 = self.value2 * decay + value * value;
        for (sums, period_s) in self.sums.iter_mut().zip(TRIED_S.iter()) {
            let (sin, cos) = angle(*period_s, at_s).sin_cos();
            sums.cos = sums.cos * decay + cos;
            sums.sin = sums.sin * decay + sin;
            sums.cos2 = sums.cos2 * decay + cos * cos;
            sums.cos_sin = sums.cos_sin * decay + cos * sin;
            sums.value_cos = sums.value_cos * decay + value * cos;
            sums.value_sin = sums.value_sin * decay + value * sin;
        }
    }

    /// Returns the wave that explains the samples best, if it explains most of their variance.
    /// `observed_s` is the time since the first sample.
    pub fn wave(&self, observed_s: f64) -> Option<Wave> {
        let variance = self.value2 - self.value * self.value / self.weight.max(1.0);
        if self.weight < MIN_WEIGHT || variance <= f64::EPSILON * self.value2 {
            return None;
        }
        let fits: [Option<Fit>; PERIODS] = std::array::from_fn(|n| self.fit(n, observed_s));
        let explained = |n: usize| fits[n].map_or(0.0, |fit| fit.explained);
        let best = (0..PERIODS).max_by(|a, b| explained(*a).total_cmp(&explained(*b)))?;
        let fit = fits[best]?;
        if fit.explained < variance * MIN_EXPLAINED {
            return None;
        }
        let residual = ((variance - fit.explained).max(0.0) / (self.weight - PARAMETERS)).sqrt();
        let amplitude = fit.cos.hypot(fit.sin);
        let amplitude_error = residual * (2.0 / self.weight).sqrt();
        let before = best.checked_sub(1).map_or(0.0, explained);
        let after = if best + 1 < PERIODS { explained(best + 1) } else { 0.0 };
        let tried_s = TRIED_S[best];
        let period_s = tried_s * step().powf(vertex(before, fit.explained, after));
        // Where the period differs from the tried one, the fitted wave is in phase with the samples at
        // the middle of their weights.
        let centre_s = observed_s - self.age / self.weight;
        let turns = (angle(tried_s, centre_s) - fit.sin.atan2(fit.cos)) / consts::TAU;
        let spread_s = period_s * period_s / observed_s.min(MEMORY_S);
        let relative_error = (amplitude_error / amplitude.max(f64::EPSILON)).min(1.0);
        Some(Wave {
            period_s,
            period_error: period_s * (step() - 1.0) / 2.0 + spread_s * relative_error,
            level: fit.level,
            amplitude,
            amplitude_error,
            peak_s: centre_s - turns * period_s,
            residual,
        })
    }

    fn fit(&self, n: usize, observed_s: f64) -> Option<Fit> {
        if observed_s < TRIED_S[n] * MIN_PERIODS {
            return None;
        }
        let (sums, weight) = (self.sums.get(n)?, self.weight);
        let cos2 = sums.cos2 - sums.cos * sums.cos / weight;
        let sin2 = weight - sums.cos2 - sums.sin * sums.sin / weight;
        let cos_sin = sums.cos_sin - sums.cos * sums.sin / weight;
        let value_cos = sums.value_cos - self.value * sums.cos / weight;
        let value_sin = sums.value_sin - self.value * sums.sin / weight;
        let determinant = cos2 * sin2 - cos_sin * cos_sin;
        if determinant < MIN_DETERMINANT * weight * weight {
            return None;
        }
        let cos = (value_cos * sin2 - value_sin * cos_sin) / determinant;
        let sin = (value_sin * cos2 - value_cos * cos_sin) / determinant;
        let level = (self.value - cos * sums.cos - sin * sums.sin) / weight;
        Some(Fit { cos, sin, level, explained: cos * value_cos + sin * value_sin })
    }
}

/// Returns the position of the vertex of the parabola through the values at -1, 0 and 1, of which
/// the middle one is the highest; zero if a neighbour is absent.
fn vertex(before: f64, middle: f64, after: f64) -> f64 {
    let curvature = before - 2.0 * middle + after;
    if before <= 0.0 || after <= 0.0 || curvature >= 0.0 {
        return 0.0;
    }
    ((before - after) / (2.0 * curvature)).clamp(-0.5, 0.5)
}
