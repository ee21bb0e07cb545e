//! Rates that decay with time.

use gl_model::time;

/// The time constant of the decay. It covers several short tasks, and is short against a burst of
/// jobs, which lasts 5 to 7 s.
const TIME_CONSTANT: time::Span = time::Span::seconds(3);

/// An exponentially weighted rate of events that have an amount each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    amount: f64,
    at: time::Timestamp,
}

impl Rate {
    /// Counts an event.
    pub fn add(&mut self, amount: f64, now: time::Timestamp) {
        self.amount = self.decayed(now) + amount;
        self.at = self.at.max(now);
    }

    /// Returns the amount per second.
    pub fn per_second(&self, now: time::Timestamp) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_seconds()
    }

    fn decayed(&self, now: time::Timestamp) -> f64 {
        let age = now.since(self.at).as_seconds();
        self.amount * (-age / TIME_CONSTANT.as_seconds()).exp()
    }
}
