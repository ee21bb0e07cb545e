//! Estimates of a value that swings, from irregular samples: its recent maximum, its trend and its
//! periodic component. The value is the tail ratio of a long-running task; nothing here depends on
//! that. The package makes no decisions, does no I/O and reads no clock.
//!
//! ```
//! use gl_model::time;
//!
//! let mut tracker = gl_forecast::Tracker::default();
//! for n in 0..120 {
//!     let at = time::Timestamp(time::Span::millis(n * 500).0);
//!     let angle = at.since(time::Timestamp(0)).as_seconds() / 12.0 * std::f64::consts::TAU;
//!     tracker.observe(at, 0.6 + 0.2 * angle.cos());
//! }
//! let now = time::Timestamp(time::Span::seconds(60).0);
//! let cycle = tracker.estimates(now).and_then(|e| e.cycle);
//! assert!(cycle.is_some_and(|cycle| (cycle.amplitude.value - 0.2).abs() < 0.02));
//! ```

mod forecast;
mod harmonic;
mod recent;
mod tracker;

pub use forecast::Forecast;
pub use tracker::{Cycle, Estimates, Tracker};

use gl_model::time;

/// An estimate of a value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// The standard deviation of the error of the value.
    pub uncertainty: f64,
    /// The time since the newest sample that it is based on.
    pub age: time::Span,
}
