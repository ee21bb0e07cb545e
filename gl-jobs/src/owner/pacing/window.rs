//! A window for requests in flight that adapts to the time in which they are answered.
//!
//! If more requests are sent than a process of little processor time can handle, all of them miss
//! their time-outs and are repeated, so that the process works on requests whose replies are of no
//! use any more. The window grows while it holds requests back and replies come well within the
//! target, and shrinks to what is answered within the target once replies take longer.

use gl_model::time;

/// The parameters of a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The smallest limit. It lets requests pass whose replies are slow for another reason than
    /// their number: at a reply time of half a second, 64 each second.
    pub floor: usize,
    /// The limit before anything is measured: what a small VM (0.5 cores) answers in a third of a
    /// second, and more than a cell of 500 workers has in flight.
    pub initial: usize,
    /// The largest limit; half of the file descriptors of a VM that provides 8,192.
    pub ceiling: usize,
    /// The time from the decision to the reply above which the window shrinks. The window grows
    /// below half of it. Several round trips between regions.
    pub target: time::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Self { floor: 32, initial: 512, ceiling: 4_096, target: time::Span::millis(100) }
    }
}

/// The shortest time over which reply times are compared with the target.
const PERIOD: time::Span = time::Span::millis(100);
/// The smallest number of results that are compared with the target.
const MIN_RESULTS: usize = 8;
/// One result in this number takes less time than the one that is compared with the target. A
/// process that is short of processor time delays all requests, while silent workers, of which there
/// may be many, delay only their own.
const QUANTILE: usize = 4;

/// The result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The peer replied.
    Answered,
    /// The request was sent too late to be of use, or no reply came in time.
    Failed,
}

/// An adaptive limit on the number of requests in flight.
#[derive(Clone, Debug)]
pub struct Window {
    settings: Settings,
    limit: usize,
    /// Whether requests have been held back since the last comparison with the target.
    is_limiting: bool,
    /// The times of the results since the last comparison.
    results: Vec<time::Span>,
    /// The number of replies among them.
    answered: usize,
    /// The time of the first of them.
    since: time::Timestamp,
}

impl Window {
    /// Creates a window without measurements.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            limit: settings.initial,
            is_limiting: false,
            results: Vec::new(),
            answered: 0,
            since: time::Timestamp(0),
        }
    }

    /// Returns the largest number of requests in flight.
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Returns whether another request may be sent while `in_flight` are not answered. A refusal is
    /// remembered, as the window grows only if it holds requests back.
    pub const fn admits(&mut self, in_flight: usize) -> bool {
        let is_full = in_flight >= self.limit;
        self.is_limiting |= is_full;
        !is_full
    }

    /// Records the result of a request `took` after the decision to send it.
    pub fn record(&mut self, took: time::Span, outcome: Outcome, now: time::Timestamp) {
        let target = self.settings.target;
        if outcome == Outcome::Failed && took <= target {
            // The peer is gone or the permission to send has ended, whatever the load is.
            return;
        }
        if self.results.is_empty() {
            self.since = now;
        }
        self.results.push(took);
        if outcome == Outcome::Answered {
            self.answered += 1;
            if self.is_limiting && took + took <= target {
                self.limit = (self.limit + 1).min(self.settings.ceiling);
            }
        }
        if self.results.len() >= MIN_RESULTS && now.since(self.since) >= PERIOD {
            self.compare(now);
        }
    }

    /// Shrinks the window to the replies that come within the target if most results take longer.
    fn compare(&mut self, now: time::Timestamp) {
        let quarter = self.results.len() / QUANTILE;
        let (_, typical, _) = self.results.select_nth_unstable(quarter);
        let target = self.settings.target;
        if *typical > target {
            let in_time = self.answered as u64 * target.0 / now.since(self.since).0.max(1);
            let in_time = usize::try_from(in_time).unwrap_or(usize::MAX);
            self.limit = self.limit.min(in_time.max(self.settings.floor));
        }
        self.results.clear();
        self.answered = 0;
        self.is_limiting = false;
    }
}
