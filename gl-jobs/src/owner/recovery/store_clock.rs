//! Conversion between the owner's clock and the store's, which all owners share.

use gl_model::time;

/// A reading of the store's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreClock {
    /// The store's clock in its reply.
    pub clock: time::Timestamp,
    /// The time at which the request was sent, by the owner's clock.
    pub sent: time::Timestamp,
    /// The time at which the reply arrived, by the owner's clock.
    pub at: time::Timestamp,
}

impl StoreClock {
    /// Returns a time at which the store's clock shows `until` or more, if the rates of the clocks
    /// differ by at most `drift`.
    pub fn local(&self, until: time::Timestamp, drift: f64) -> time::Timestamp {
        let left = until.since(self.clock);
        self.at + left + left.scaled(drift)
    }

    /// Returns a reading that the store's clock shows no sooner than the owner's shows `until`.
    pub fn stored(&self, until: time::Timestamp, drift: f64) -> time::Timestamp {
        let left = until.since(self.sent);
        self.clock + left + left.scaled(drift)
    }
}
