//! When the owner goes on although it cannot renew its lease, as no daemon can claim the cell.

use gl_model::time;

/// Interval in which changes are reported once.
const INTERVAL: time::Span = time::Span::seconds(1);

/// What decides whether the owner goes on without the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// Time for which the lease on the cell is still valid.
    pub lease_left: time::Span,
    /// Whether this daemon cannot reach the store.
    pub is_cut_off: bool,
    /// Whether there are followers, and none of them can reach the store.
    pub are_followers_cut_off: bool,
    /// Whether the process may have been suspended since it last read the store.
    pub is_stale: bool,
}

impl State {
    /// Returns whether the owner extends leases of workers or orders starts because no daemon can claim
    /// the cell.
    pub fn is_in_force(&self) -> bool {
        let needs_rule = self.is_cut_off || self.lease_left == time::Span::ZERO;
        needs_rule && self.are_followers_cut_off && !self.is_stale
    }
}

/// Limits the reports of changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageRule {
    is_in_force: bool,
    /// Number of changes since the last report.
    changes: u32,
    reported_at: Option<time::Timestamp>,
}

impl OutageRule {
    /// Records whether the rule is in force at `now`. Returns the number of changes since the last
    /// report, if there were any and another report may be made.
    pub fn update(&mut self, is_in_force: bool, now: time::Timestamp) -> Option<u32> {
        self.changes += u32::from(is_in_force != self.is_in_force);
        self.is_in_force = is_in_force;
        let is_due = self.reported_at.is_none_or(|at| now.since(at) >= INTERVAL);
        if self.changes == 0 || !is_due {
            return None;
        }
        self.reported_at = Some(now);
        Some(std::mem::take(&mut self.changes))
    }
}
