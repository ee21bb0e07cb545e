//! Measures how late start orders are, and why: placement passes that take long, passes that end early
//! because too many orders are in flight, and orders that are sent long after the decision.

use gl_model::time;

/// Interval at which the measurements are reported.
const INTERVAL: time::Span = time::Span::seconds(1);
/// Share of an interval that passes may take without a report; more delays whatever else the process
/// does.
const BUSY_SHARE: f64 = 0.25;
/// Time that an order may wait without a report; several times what it takes on an idle process.
const LATE: time::Span = time::Span::millis(50);

/// What happened since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of placement passes.
    pub passes: u64,
    /// Number of passes that ended because too many start orders were in flight.
    pub held: u64,
    /// Time that all passes took.
    pub total: time::Span,
    /// Time that the longest pass took.
    pub longest: time::Span,
    /// Number of start orders that were sent.
    pub orders: u64,
    /// Longest time from the decision on a start order until it was sent.
    pub order_delay: time::Span,
}

impl Report {
    /// Returns whether any start was late.
    fn is_notable(&self, span: time::Span) -> bool {
        self.held > 0 || self.order_delay >= LATE || self.total > span.scaled(BUSY_SHARE)
    }
}

/// Collects the measurements between two reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassMeter {
    report: Report,
    since: time::Timestamp,
    /// Number of passes that had ended early at the last report.
    held: u64,
}

impl PassMeter {
    /// Records a placement pass.
    pub fn pass(&mut self, took: time::Span) {
        self.report.passes += 1;
        self.report.total = self.report.total + took;
        self.report.longest = self.report.longest.max(took);
    }

    /// Records that a start order is sent, `delay` after the decision.
    pub fn order(&mut self, delay: time::Span) {
        self.report.orders += 1;
        self.report.order_delay = self.report.order_delay.max(delay);
    }

    /// Returns what happened since the last interval, at the end of an interval in which starts were
    /// late. `held` is the number of passes that have ended early so far.
    pub fn report(&mut self, held: u64, now: time::Timestamp) -> Option<Report> {
        let span = now.since(self.since);
        if span < INTERVAL {
            return None;
        }
        let report = Report { held: held - self.held, ..self.report };
        *self = Self { report: Report::default(), since: now, held };
        report.is_notable(span).then_some(report)
    }
}
