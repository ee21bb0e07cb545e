//! The start orders of a run, as far as they are answered.

use gl_model::time;

/// The start orders of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Orders {
    sent: u32,
    /// Those that were answered, or not sent after all.
    answered: u32,
    /// Whether the worker has reported the run, so that it has carried out one of them at least.
    is_reported: bool,
    /// The time until which the last one may be carried out.
    until: time::Timestamp,
}

impl Orders {
    /// Records that an order is sent that may be carried out before `until`.
    pub(in crate::owner) fn send(&mut self, until: time::Timestamp) {
        self.sent += 1;
        self.until = until;
    }

    /// Records that the worker has answered an order, or that it was not sent after all.
    pub(in crate::owner) fn settle(&mut self) {
        self.answered = (self.answered + 1).min(self.sent);
    }

    /// Records that the worker has the run, so that it has carried out one order at least. Returns whether
    /// that was not known.
    pub(in crate::owner) fn confirm(&mut self) -> bool {
        !std::mem::replace(&mut self.is_reported, true)
    }

    /// Returns the number of orders that were sent.
    pub(in crate::owner) const fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns whether the start was ordered more than once.
    pub(in crate::owner) const fn is_repeated(&self) -> bool {
        self.sent > 1
    }

    /// Returns the time until which the last order may be carried out.
    pub(in crate::owner) const fn until(&self) -> time::Timestamp {
        self.until
    }

    /// Returns whether an order has no answer and may be carried out after `now`.
    pub(in crate::owner) fn may_arrive(&self, now: time::Timestamp) -> bool {
        self.has_open() && now < self.until
    }

    /// Returns whether an order has no answer. The one that was carried out needs none.
    pub(in crate::owner) const fn has_open(&self) -> bool {
        let is_answered = self.answered > 0 || !self.is_reported;
        let settled = if is_answered { self.answered } else { 1 };
        settled < self.sent
    }
}
