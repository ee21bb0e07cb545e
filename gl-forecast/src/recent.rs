//! The recent maximum and the recent trend.

use gl_model::time;

/// The length of one slot of the recent maximum.
const SLOT: time::Span = time::Span::seconds(2);
/// The number of slots. Together they cover the longest period that is sought.
const SLOTS: usize = 16;
/// The time constant of the trend: short compared with the swings, and some samples long.
const TREND_MEMORY_S: f64 = 1.5;
/// The weight of samples below which there is no trend; about three samples.
const MIN_WEIGHT: f64 = 2.0;
/// The variance of the times of the samples, in square seconds, below which there is no trend.
const MIN_TIME_VARIANCE: f64 = 0.02;

/// The highest samples of the last half minute.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Maximum {
    slots: [Slot; SLOTS],
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Slot {
    /// The number of the slot since the start of the clock, plus one.
    number: u64,
    highest: f64,
    at: time::Timestamp,
}

fn number(at: time::Timestamp) -> u64 {
    at.0 / SLOT.0 + 1
}

impl Maximum {
    pub fn observe(&mut self, at: time::Timestamp, value: f64) {
        let number = number(at);
        let Some(slot) = usize::try_from(number).ok().map(|n| &mut self.slots[n % SLOTS]) else {
            return;
        };
        if slot.number != number || value > slot.highest {
            *slot = Slot { number, highest: value, at };
        }
    }

    /// Returns the highest sample that is recent at `now`, with its time.
    pub fn highest(&self, now: time::Timestamp) -> Option<(f64, time::Timestamp)> {
        let oldest = number(now).saturating_sub(SLOTS as u64 - 1);
        let recent = self.slots.iter().filter(|slot| slot.number >= oldest.max(1));
        recent.max_by(|a, b| a.highest.total_cmp(&b.highest)).map(|slot| (slot.highest, slot.at))
    }
}

/// A line through the last samples, by least squares with exponentially decaying weights. Times are
/// relative to the newest sample, so that the sums stay small.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trend {
    weight: f64,
    time: f64,
    time2: f64,
    value: f64,
    value2: f64,
    product: f64,
}

/// The line at the newest sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    pub level: f64,
    /// The slope per second.
    pub slope: f64,
    /// The standard deviation of the slope.
    pub slope_error: f64,
    /// The standard deviation of the samples from the line.
    pub residual: f64,
}

impl Trend {
    /// Adds a sample that is `elapsed_s` later than the one before it.
    pub fn observe(&mut self, elapsed_s: f64, value: f64) {
        self.time2 += elapsed_s * (elapsed_s * self.weight - 2.0 * self.time);
        self.product -= elapsed_s * self.value;
        self.time -= elapsed_s * self.weight;
        let decay = (-elapsed_s / TREND_MEMORY_S).exp();
        let sums = [&mut self.weight, &mut self.time, &mut self.time2, &mut self.product];
        for sum in sums.into_iter().chain([&mut self.value, &mut self.value2]) {
            *sum *= decay;
        }
        self.weight += 1.0;
        self.value += value;
        self.value2 += value * value;
    }

    /// Returns the line, which is level while the samples are too few for a slope.
    pub fn line(&self) -> Line {
        let weight = self.weight.max(1.0);
        let (time, value) = (self.time / weight, self.value / weight);
        let time_variance = self.time2 / weight - time * time;
        let variance = (self.value2 / weight - value * value).max(0.0);
        if weight < MIN_WEIGHT || time_variance < MIN_TIME_VARIANCE {
            let residual = variance.sqrt();
            return Line { level: value, residual, ..Line::default() };
        }
        let covariance = self.product / weight - time * value;
        let slope = covariance / time_variance;
        let residual = (variance - slope * covariance).max(0.0).sqrt();
        let slope_error = residual / (time_variance * weight).sqrt();
        Line { level: value - slope * time, slope, slope_error, residual }
    }
}
