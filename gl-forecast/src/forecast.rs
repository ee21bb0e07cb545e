//! The forecast that follows from the samples of a tracker.

use std::f64::consts;

use gl_model::time;

use crate::{Estimate, harmonic, recent};

/// The time over which a trend without a periodic component is continued, in seconds.
const TREND_REACH_S: f64 = 2.0;
/// The time constant with which the newest deviation from the wave is forgotten, in seconds. Such
/// deviations last as long as the tasks that cause them.
const DEVIATION_MEMORY_S: f64 = 2.0;

/// A forecast, valid for the samples up to its creation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    pub(crate) origin: time::Timestamp,
    /// The time of the newest sample.
    pub(crate) at: time::Timestamp,
    pub(crate) line: recent::Line,
    pub(crate) wave: Option<harmonic::Wave>,
    /// The recent maximum, beyond which a trend is not continued.
    pub(crate) maximum: f64,
}

impl Forecast {
    /// Returns the amplitude of the periodic component relative to the mean value; zero without one.
    pub fn swing(&self) -> f64 {
        self.wave.map_or(0.0, |wave| wave.amplitude / wave.level.max(f64::EPSILON))
    }

    /// Returns the expected value at a time.
    pub fn expected(&self, at: time::Timestamp) -> Estimate {
        let ahead_s = at.since(self.at).as_seconds();
        let (value, uncertainty) = match &self.wave {
            Some(wave) => {
                let fitted = |at| self.fitted(wave, at);
                let deviation = self.line.level - fitted(self.at);
                let left = (-ahead_s / DEVIATION_MEMORY_S).exp();
                (fitted(at) + deviation * left, wave.residual.hypot(wave.amplitude_error))
            }
            None => {
                let reach_s = ahead_s.min(TREND_REACH_S);
                let value = self.line.level + self.line.slope * reach_s;
                let highest = self.maximum.max(self.line.level);
                let error = self.line.residual.hypot(self.line.slope_error * ahead_s);
                (value.clamp(0.0, highest.max(0.0)), error)
            }
        };
        Estimate { value, uncertainty, age: at.since(self.at) }
    }

    /// Returns the highest value that is expected from one time to another. The age is the one at
    /// the first.
    pub fn highest(&self, from: time::Timestamp, until: time::Timestamp) -> Estimate {
        let first = self.expected(from);
        // The first peak in the range may be lower than the last one, by the newest deviation.
        let peaks = [self.first_peak(from), self.last_peak(until)];
        let inner = peaks.into_iter().flatten().filter(|at| (from..=until).contains(at));
        let highest = inner
            .chain([until])
            .map(|at| self.expected(at))
            .fold(first, |highest, e| if e.value > highest.value { e } else { highest });
        Estimate { age: first.age, ..highest }
    }

    /// Returns the time of the first peak of the periodic component from a time on.
    pub fn first_peak(&self, from: time::Timestamp) -> Option<time::Timestamp> {
        let wave = self.wave?;
        let left = 1.0 - self.position(&wave, from);
        Some(from + time::Span::seconds(1).scaled(left.fract() * wave.period_s))
    }

    fn last_peak(&self, until: time::Timestamp) -> Option<time::Timestamp> {
        let wave = self.wave?;
        let passed = time::Span::seconds(1).scaled(self.position(&wave, until) * wave.period_s);
        Some(until - passed)
    }

    /// Returns the part of the cycle that has passed since its peak, from 0 to 1.
    pub(crate) fn position(&self, wave: &harmonic::Wave, at: time::Timestamp) -> f64 {
        let after_s = at.since(self.origin).as_seconds() - wave.peak_s;
        (after_s / wave.period_s).rem_euclid(1.0)
    }

    fn fitted(&self, wave: &harmonic::Wave, at: time::Timestamp) -> f64 {
        wave.level + wave.amplitude * (self.position(wave, at) * consts::TAU).cos()
    }
}
