//! The tracker of one value: samples in, estimates out.

use gl_model::time;

use crate::{Estimate, Forecast, harmonic, recent};

/// The error of the position in the cycle if nothing is known of it: the standard deviation of a
/// uniform distribution over one cycle.
const MAX_POSITION_ERROR: f64 = 0.29;
/// The time without samples after which earlier ones are discarded. It is a few periods long.
const MAX_GAP: time::Span = time::Span::seconds(60);

/// Tracks one value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tracker {
    /// The times of the first and the newest sample.
    times: Option<(time::Timestamp, time::Timestamp)>,
    maximum: recent::Maximum,
    trend: recent::Trend,
    harmonics: harmonic::Harmonics,
}

/// The estimates of a value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimates {
    /// The highest recent sample; its age is that of the sample.
    pub maximum: Estimate,
    /// The present change per second.
    pub trend: Estimate,
    /// The periodic component, if the samples show one.
    pub cycle: Option<Cycle>,
}

/// The periodic component.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cycle {
    /// The period, in seconds.
    pub period: Estimate,
    /// The amplitude: half of the difference between the peak and the trough.
    pub amplitude: Estimate,
    /// The part of the cycle that has passed since its peak, from 0 to 1.
    pub position: Estimate,
}

impl Tracker {
    /// Adds a sample. One that is not later than those before it, or not finite, is ignored.
    pub fn observe(&mut self, at: time::Timestamp, value: f64) {
        if !value.is_finite() || self.times.is_some_and(|(_, newest)| at <= newest) {
            return;
        }
        if self.times.is_some_and(|(_, newest)| at.since(newest) > MAX_GAP) {
            *self = Self::default();
        }
        let (first, newest) = self.times.unwrap_or((at, at));
        let elapsed_s = at.since(newest).as_seconds();
        self.times = Some((first, at));
        self.maximum.observe(at, value);
        self.trend.observe(elapsed_s, value);
        self.harmonics.observe(at.since(first).as_seconds(), elapsed_s, value);
    }

    /// Returns the forecast, or `None` if there are no samples.
    pub fn forecast(&self) -> Option<Forecast> {
        let (origin, at) = self.times?;
        Some(Forecast {
            origin,
            at,
            line: self.trend.line(),
            wave: self.harmonics.wave(at.since(origin).as_seconds()),
            maximum: self.maximum.highest(at).map_or(0.0, |(value, _)| value),
        })
    }

    /// Returns the estimates at `now`, or `None` if there are no samples, or only old ones.
    pub fn estimates(&self, now: time::Timestamp) -> Option<Estimates> {
        let forecast = self.forecast()?;
        let (highest, highest_at) = self.maximum.highest(now)?;
        let age = now.since(forecast.at);
        let uncertainty = forecast.line.residual;
        let maximum = Estimate { value: highest, uncertainty, age: now.since(highest_at) };
        let line = forecast.line;
        let trend = Estimate { value: line.slope, uncertainty: line.slope_error, age };
        let cycle = forecast.wave.map(|wave| cycle(&forecast, &wave, now));
        Some(Estimates { maximum, trend, cycle })
    }
}

fn cycle(forecast: &Forecast, wave: &harmonic::Wave, now: time::Timestamp) -> Cycle {
    let age = now.since(forecast.at);
    let turns = age.as_seconds() / wave.period_s;
    let drift = turns * wave.period_error / wave.period_s;
    let fit_error = wave.amplitude_error / wave.amplitude.max(f64::EPSILON) / std::f64::consts::TAU;
    // The newest samples are at the end of the fitted range, where a period that is not among those
    // tried has its largest error: that of about half a cycle.
    let edge = wave.period_error / wave.period_s / 2.0;
    let error = fit_error.hypot(drift).hypot(edge).min(MAX_POSITION_ERROR);
    Cycle {
        period: Estimate { value: wave.period_s, uncertainty: wave.period_error, age },
        amplitude: Estimate { value: wave.amplitude, uncertainty: wave.amplitude_error, age },
        position: Estimate { value: forecast.position(wave, now), uncertainty: error, age },
    }
}
