//! The scarcity of a service's capacity.

use std::fmt;

use gl_model::time;

/// How scarce capacity is.
#[gl_derive::tag]
#[derive(Default)]
pub enum Level {
    /// Waiting tasks find capacity at once.
    #[default]
    Ample,
    /// Tasks wait, and the backlog drains within a few seconds.
    Tight,
    /// Tasks wait for long.
    Scarce,
}

impl Level {
    /// Returns the name, as in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ample => "ample",
            Self::Tight => "tight",
            Self::Scarce => "scarce",
        }
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The load of a service at one time.
#[gl_derive::domain]
#[derive(Copy, Default)]
pub struct Sample {
    /// The capacity that tasks could start on, in cores.
    pub free: f64,
    /// The work of the tasks that wait for placement, in core-seconds.
    pub backlog: f64,
    /// The rate at which work arrives, in core-seconds per second.
    pub arrivals: f64,
    /// The rate at which work is completed, in core-seconds per second.
    pub completions: f64,
}

/// The time for which free capacity is expected to take waiting work. Work that it can take within
/// that time is not scarce: its tasks start in the next placement passes.
const FREE_TIME: time::Span = time::Span::seconds(1);
/// The completion rate below which a backlog counts as one that never drains, in cores.
const MIN_COMPLETIONS: f64 = 0.01;
/// The time reported for such a backlog.
const LONGEST_DRAIN: time::Span = time::Span::seconds(600);

impl Sample {
    /// Returns the work that waits and exceeds what free capacity takes, in core-seconds.
    pub fn excess(&self) -> f64 {
        (self.backlog - self.free * FREE_TIME.as_seconds()).max(0.0)
    }

    /// Returns the time in which the excess is worked off at the present rate, if nothing arrives.
    pub fn drain_time(&self) -> time::Span {
        let excess = self.excess();
        if excess <= 0.0 {
            return time::Span::ZERO;
        }
        let seconds = excess / self.completions.max(MIN_COMPLETIONS);
        time::Span::seconds(1).scaled(seconds).min(LONGEST_DRAIN)
    }

    /// Returns whether more arrives than is completed.
    pub fn is_growing(&self) -> bool {
        self.arrivals > self.completions * GROWTH_RATIO
    }
}

/// The ratio of arrivals to completions from which a backlog grows. Both rates vary by some percent
/// in a balanced service.
const GROWTH_RATIO: f64 = 1.1;

/// The thresholds of the levels.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The drain time from which capacity is tight.
    pub tight: time::Span,
    /// The drain time from which capacity is scarce.
    pub scarce: time::Span,
    /// The same while the backlog grows.
    pub growing: time::Span,
    /// The share of a threshold below which the level falls again.
    pub fall_share: f64,
    /// The time for which the drain time has to exceed a threshold before the level rises. It is
    /// longer than placement takes, so that a batch of tasks that starts at once is no shortage.
    pub rise_after: time::Span,
    /// The time for which the drain time has to stay low before the level falls.
    pub fall_after: time::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            tight: time::Span::millis(500),
            scarce: time::Span::millis(2_000),
            growing: time::Span::millis(1_000),
            fall_share: 0.5,
            rise_after: time::Span::millis(500),
            fall_after: time::Span::millis(2_000),
        }
    }
}

/// The level of a service, with hysteresis.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Monitor {
    level: Level,
    /// The level that the samples call for, and since when they have called for a different one than
    /// the present level.
    pending: Option<(Level, time::Timestamp)>,
}

impl Monitor {
    /// Returns the level.
    pub const fn level(&self) -> Level {
        self.level
    }

    /// Takes a sample into account, and returns the level.
    pub fn update(&mut self, sample: &Sample, settings: &Settings, now: time::Timestamp) -> Level {
        let wanted = self.wanted(sample, settings);
        if wanted == self.level {
            self.pending = None;
            return self.level;
        }
        let is_rise = wanted > self.level;
        let same_direction = |(level, _): &(Level, _)| (*level > self.level) == is_rise;
        let since = self.pending.filter(same_direction).map_or(now, |(_, since)| since);
        let pause = if is_rise { settings.rise_after } else { settings.fall_after };
        if now.since(since) >= pause {
            self.level = wanted;
            self.pending = None;
        } else {
            self.pending = Some((wanted, since));
        }
        self.level
    }

    /// Returns the level that a sample calls for: a threshold at or below the present level is lower
    /// than the one by which that level was reached.
    fn wanted(&self, sample: &Sample, settings: &Settings) -> Level {
        let drain = sample.drain_time();
        let scarce = if sample.is_growing() { settings.growing } else { settings.scarce };
        let threshold = |level: Level, span: time::Span| {
            if self.level >= level { span.scaled(settings.fall_share) } else { span }
        };
        if drain >= threshold(Level::Scarce, scarce) {
            Level::Scarce
        } else if drain >= threshold(Level::Tight, settings.tight) {
            Level::Tight
        } else {
            Level::Ample
        }
    }
}
