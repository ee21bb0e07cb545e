//! Points in time and spans of time, in microseconds.

use std::{fmt, ops};

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A point in time, in microseconds since the Unix epoch.
#[gl_derive::unit]
pub struct Timestamp(pub u64);

/// A span of time, in microseconds.
#[gl_derive::unit]
pub struct Span(pub u64);

impl Span {
    /// A span of zero length.
    pub const ZERO: Self = Self(0);

    /// Returns a span of `n` microseconds.
    pub const fn micros(n: u64) -> Self {
        Self(n)
    }

    /// Returns a span of `n` milliseconds, saturating at the longest span.
    pub const fn millis(n: u64) -> Self {
        Self(n.saturating_mul(MICROS_PER_MILLI))
    }

    /// Returns a span of `n` seconds, saturating at the longest span.
    pub const fn seconds(n: u64) -> Self {
        Self(n.saturating_mul(MICROS_PER_SECOND))
    }

    /// Returns the span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the span in seconds.
    pub fn as_seconds(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Returns the span multiplied by `factor`, rounded down; a negative factor gives zero.
    pub fn scaled(self, factor: f64) -> Self {
        let micros = (self.0 as f64 * factor).max(0.0);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
        Self(micros as u64)
    }
}

impl From<std::time::Duration> for Span {
    fn from(duration: std::time::Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl From<Span> for std::time::Duration {
    fn from(span: Span) -> Self {
        Self::from_micros(span.0)
    }
}

impl Timestamp {
    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Span> for Timestamp {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl ops::Sub<Span> for Timestamp {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl ops::Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.as_millis())
    }
}
