//! The time of day on which the daemons agree, so that clocks that jump do not move due times.
//!
//! The owner keeps the offset between the time of day and its steady clock as the median over the
//! readings of all daemons. A jump on a minority of them does not change it. If the clocks of a
//! majority jump, the agreed time of day follows them.

use std::collections;

use gl_model::time;

use crate::owner;

/// The time for which a daemon's reading counts without a new one; covers a takeover.
const RETENTION: time::Span = time::Span::seconds(20);
/// The time after which a new owner relies on the readings that it has. Daemons find a new owner within
/// 300 ms and send it a reading each 300 ms.
const SETTLE_TIME: time::Span = time::Span::millis(1_500);
/// The number of readings of which a single wrong one cannot be the median.
const ENOUGH_READINGS: usize = 3;

/// An agreed time of day.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Agreed {
    /// The time of day less the steady clock of this daemon.
    pub offset: time::Span,
    /// The number of daemons whose readings it follows from.
    pub readings: usize,
}

impl Agreed {
    /// Returns the agreement that another daemon reported as the time of day `wall` in its reply to a
    /// request sent at `sent`.
    pub const fn reported(wall: time::Timestamp, readings: usize, sent: time::Timestamp) -> Self {
        Self { offset: wall.since(sent), readings }
    }

    /// Returns the agreed time of day.
    pub fn wall(&self, now: time::Timestamp) -> time::Timestamp {
        now + self.offset
    }
}

/// The readings of all daemons, as the owner knows them.
#[derive(Clone, Debug)]
pub struct WallClock {
    readings: collections::BTreeMap<String, Reading>,
    /// The agreement of the previous owner, if this daemon knew it.
    inherited: Option<Agreed>,
    /// The offset on which the daemons agreed last.
    kept: Option<time::Span>,
    since: time::Timestamp,
}

/// A daemon's time of day.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Reading {
    offset: time::Span,
    at: time::Timestamp,
}

impl WallClock {
    /// Creates the clock of a daemon that became the owner at `now`.
    pub fn new(inherited: Option<Agreed>, now: time::Timestamp) -> Self {
        let kept = inherited.map(|agreed| agreed.offset);
        Self { readings: collections::BTreeMap::new(), inherited, kept, since: now }
    }

    /// Records the time of day of another daemon.
    pub fn heard(&mut self, daemon: &str, wall: time::Timestamp, now: time::Timestamp) {
        let reading = Reading { offset: wall.since(now), at: now };
        self.readings.insert(daemon.to_owned(), reading);
    }

    /// Returns the agreed time of day, given the owner's own clocks.
    pub fn agree(&mut self, own: &owner::Moment) -> Agreed {
        self.readings.retain(|_, reading| own.now.since(reading.at) < RETENTION);
        let readings = self.readings.len() + 1;
        if let Some(inherited) = self.inherited.filter(|_| own.now.since(self.since) < RETENTION) {
            // Until half of the daemons have reported, the previous agreement rests on more readings.
            if 2 * readings <= inherited.readings {
                return inherited;
            }
        }
        self.inherited = None;
        let offset = self.median(own.wall.since(own.now));
        self.kept = Some(offset);
        Agreed { offset, readings }
    }

    /// Returns whether the agreement can be relied on to start what is due.
    pub fn is_settled(&self, now: time::Timestamp) -> bool {
        self.inherited.is_some()
            || self.readings.len() + 1 >= ENOUGH_READINGS
            || now.since(self.since) >= SETTLE_TIME
    }

    /// Returns the median offset. Of the two in the middle of an even number, it is the one closer to
    /// the last agreement, so that one of two clocks that jumps does not count, or the lower one if
    /// there is none, as work that starts late is better than work that starts early.
    fn median(&self, own: time::Span) -> time::Span {
        let mut offsets: Vec<_> = self.readings.values().map(|reading| reading.offset).collect();
        offsets.push(own);
        offsets.sort_unstable();
        let (lower, upper) = (offsets[(offsets.len() - 1) / 2], offsets[offsets.len() / 2]);
        let is_upper_closer =
            self.kept.is_some_and(|kept| upper.0.abs_diff(kept.0) < lower.0.abs_diff(kept.0));
        if is_upper_closer { upper } else { lower }
    }
}
