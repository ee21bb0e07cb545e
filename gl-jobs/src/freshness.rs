//! The time at which a reply of the store was made, by the clock of the daemon that polls it.
//!
//! The process may be suspended while a reply waits to be read, so the time of receipt says nothing
//! about the age of the reply. The store's clock does: between two replies it advances as much as the
//! daemon's, but for the difference of their rates.

use gl_model::time;

/// The resolution of the store's clock in its replies.
const CLOCK_RESOLUTION: time::Span = time::Span::millis(1);

/// A reply to a read or a long poll.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reply {
    /// The time at which the request was sent.
    pub sent: time::Timestamp,
    /// The store's clock in its reply, if it tells it.
    pub clock: Option<time::Timestamp>,
    /// The time for which the store should have waited before it replied.
    pub waited: time::Span,
}

/// A lower bound of the daemon's time at which the store's clock showed a reading.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Bound {
    clock: time::Timestamp,
    at: time::Timestamp,
}

/// The relation of the store's clock to the daemon's, kept between replies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Freshness {
    bound: Option<Bound>,
    is_loose: bool,
}

impl Freshness {
    /// Returns the latest time at which the content of a reply was certainly current at the store. The
    /// reply is read at `now`, and the rates of the clocks differ by at most `drift`. Without the
    /// store's clock, only the time of sending is certain.
    pub fn current_at(
        &mut self,
        reply: &Reply,
        drift: f64,
        now: time::Timestamp,
    ) -> time::Timestamp {
        let bound = reply.clock.map(|clock| self.bound_at(clock, reply.sent, drift, now));
        self.bound = bound;
        let at = bound.map_or(reply.sent, |bound| bound.at.min(reply.sent + reply.waited));
        self.is_loose = bound.is_some() && at.since(reply.sent) < reply.waited.scaled(0.5);
        at
    }

    /// Returns whether a read that the store answers at once would make later times more exact.
    pub const fn is_loose(&self) -> bool {
        self.is_loose
    }

    fn bound_at(
        &self,
        clock: time::Timestamp,
        sent: time::Timestamp,
        drift: f64,
        now: time::Timestamp,
    ) -> Bound {
        let advanced = |known: Bound| {
            let elapsed = (clock - CLOCK_RESOLUTION).since(known.clock);
            known.at + elapsed.scaled(1.0 - drift)
        };
        let at = self.bound.map_or(sent, advanced).max(sent).min(now);
        Bound { clock, at }
    }
}
