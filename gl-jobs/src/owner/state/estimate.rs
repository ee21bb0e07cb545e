//! Estimates of a worker from what its runs and replies show: speed, failure rate, flapping. All of
//! them lose weight with age, so that a worker that was slow or failing is tried again.

use std::collections;

use gl_model::time;

/// The time in which the weight of observed durations falls by half. A slow worker that gets no tasks
/// is tried again after four to six of these.
const SPEED_HALF_LIFE: time::Span = time::Span::seconds(5);
/// The same for failures and successes.
const FAILURE_HALF_LIFE: time::Span = time::Span::seconds(10);
/// The same for incarnation changes and silent periods, which are rarer.
const FLAP_HALF_LIFE: time::Span = time::Span::seconds(20);
/// The standard deviation of the logarithm of a duration relative to the queue's median: durations
/// are declared with errors of up to a half.
const SPREAD: f64 = 0.35;
/// The weight of the assumption that a worker without runs fails none.
const FAILURE_PRIOR: f64 = 2.0;
/// The failures that are assumed within that weight.
const PRIOR_FAILURES: f64 = 0.05;
/// The weight below which a count is forgotten.
const MIN_WEIGHT: f64 = 0.01;
/// The largest factor by which one duration counts as longer or shorter than expected.
const MAX_RATIO: f64 = 20.0;

/// A value and its standard deviation, which grows with the age of the observations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// The standard deviation.
    pub deviation: f64,
}

impl Estimate {
    /// Returns the value that is likely to be exceeded, and at least zero. Decisions against a worker
    /// use it, so that they need certainty.
    pub fn lower(&self) -> f64 {
        (self.mean - self.deviation).max(0.0)
    }
}

/// A sum of observations and their weight, with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Decayed {
    sum: f64,
    weight: f64,
    at: time::Timestamp,
}

impl Decayed {
    fn at(self, half_life: time::Span, now: time::Timestamp) -> Self {
        if self.weight == 0.0 {
            return Self { at: now, ..self };
        }
        let factor = 0.5_f64.powf(now.since(self.at).as_seconds() / half_life.as_seconds());
        let weight = self.weight * factor;
        if weight < MIN_WEIGHT {
            return Self { at: now, ..Self::default() };
        }
        Self { sum: self.sum * factor, weight, at: now }
    }

    fn add(&mut self, value: f64, half_life: time::Span, now: time::Timestamp) {
        let decayed = self.at(half_life, now);
        *self = Self { sum: decayed.sum + value, weight: decayed.weight + 1.0, at: now };
    }
}

/// What is known of a worker from its recent past.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Record {
    durations: Decayed,
    outcomes: Decayed,
    flaps: Decayed,
}

impl Record {
    /// Adds the duration of a run that was done, relative to the duration that was expected.
    pub fn add_duration(&mut self, ratio: f64, now: time::Timestamp) {
        let ratio = ratio.clamp(MAX_RATIO.recip(), MAX_RATIO);
        self.durations.add(ratio.ln(), SPEED_HALF_LIFE, now);
    }

    /// Adds a run that was done or has failed.
    pub fn add_outcome(&mut self, has_failed: bool, now: time::Timestamp) {
        self.outcomes.add(f64::from(u8::from(has_failed)), FAILURE_HALF_LIFE, now);
    }

    /// Adds a change of incarnation or the begin of a silent period.
    pub fn add_flap(&mut self, now: time::Timestamp) {
        self.flaps.add(1.0, FLAP_HALF_LIFE, now);
    }

    /// Returns the logarithm of the factor by which runs take longer than on the median worker.
    pub fn slowness(&self, now: time::Timestamp) -> Estimate {
        let Decayed { sum, weight, .. } = self.durations.at(SPEED_HALF_LIFE, now);
        if weight == 0.0 {
            return Estimate { mean: 0.0, deviation: f64::INFINITY };
        }
        Estimate { mean: sum / weight, deviation: SPREAD / weight.sqrt() }
    }

    /// Returns the share of runs that fail.
    pub fn failure_rate(&self, now: time::Timestamp) -> Estimate {
        let Decayed { sum, weight, .. } = self.outcomes.at(FAILURE_HALF_LIFE, now);
        let count = weight + FAILURE_PRIOR;
        let mean = (sum + PRIOR_FAILURES) / count;
        Estimate { mean, deviation: (mean * (1.0 - mean) / (count + 1.0)).sqrt() }
    }

    /// Returns how often the worker restarts or becomes silent, per second.
    pub fn flap_rate(&self, now: time::Timestamp) -> Estimate {
        let count = self.flaps.at(FLAP_HALF_LIFE, now).weight;
        let per_second = std::f64::consts::LN_2 / FLAP_HALF_LIFE.as_seconds();
        Estimate { mean: count * per_second, deviation: count.sqrt() * per_second }
    }
}

/// The observed durations of each queue's tasks, relative to the declared ones. Declared durations
/// are rough, so only a queue's median tells what a worker's runs should take.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Medians(collections::BTreeMap<String, Median>);

/// A running median: each value moves it one step towards itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Median {
    log: f64,
    count: u32,
}

/// The smallest step of a running median, as a difference of logarithms.
const MIN_STEP: f64 = 0.02;
/// The number of runs after which a queue's median is used.
const MIN_RUNS: u32 = 16;

impl Medians {
    /// Adds the observed duration of a run relative to the declared one, and returns it relative to
    /// the queue's median, or `None` while too few runs of the queue have ended.
    pub fn add(&mut self, queue: &str, ratio: f64) -> Option<f64> {
        if !self.0.contains_key(queue) {
            self.0.insert(queue.to_owned(), Median::default());
        }
        let median = self.0.get_mut(queue)?;
        let log = ratio.clamp(MAX_RATIO.recip(), MAX_RATIO).ln();
        median.count = median.count.saturating_add(1);
        let step = f64::from(median.count).recip().max(MIN_STEP);
        median.log += step.min((log - median.log).abs()).copysign(log - median.log);
        (median.count >= MIN_RUNS).then(|| ratio / median.log.exp())
    }

    /// Returns the factor by which the queue's tasks usually take longer than declared.
    pub fn factor(&self, queue: &str) -> f64 {
        let known = self.0.get(queue).filter(|median| median.count >= MIN_RUNS);
        known.map_or(1.0, |median| median.log.exp())
    }
}
