//! The time for which workers hold polls, and the time-outs that follow from it.

use gl_model::time;

use crate::owner::{Owner, Settings, Worker, runs};
use crate::{task, worker};

/// The time for which the time-outs stay long after polls became shorter: the polls that were sent
/// before still take the longer time.
const LONG_TIMEOUTS: time::Span = time::Span::seconds(4);
/// The fraction of a worker's lease for which it holds a poll at most, so that two more polls can
/// extend the lease.
const LEASE_SHARE: f64 = 1.0 / 3.0;

/// The share of the interval between two polls for a worker with runs that end soon. Their mean delay is
/// then a sixth of a second, a fifth of the shortest phases.
const BUSY_SHARE: f64 = 1.0 / 3.0;

/// How much longer than configured workers hold polls.
#[derive(Clone, Copy, Debug)]
pub(in crate::owner) struct PollTimes {
    /// The configured times.
    base: Settings,
    /// The longest time for which polls in flight may be held.
    longest: time::Span,
    /// The time until which that is so.
    until: time::Timestamp,
}

impl PollTimes {
    pub const fn new(settings: Settings) -> Self {
        Self { base: settings, longest: settings.poll_wait, until: time::Timestamp(0) }
    }
}

impl Owner {
    /// Lets workers that need no attention hold polls for `extra` longer than configured, as the
    /// process is short of processor time. The time-outs that depend on it grow in proportion.
    pub fn extend_polls(&mut self, extra: time::Span, now: time::Timestamp) {
        let times = &mut self.poll_times;
        let base = &times.base;
        let max = base.max_poll_wait.min(base.lease.scaled(LEASE_SHARE)).max(base.poll_wait);
        let wait = (base.poll_wait + extra).min(max);
        if wait >= times.longest || now >= times.until {
            times.longest = wait;
            times.until = now + LONG_TIMEOUTS;
        }
        let ratio = times.longest.as_seconds() / base.poll_wait.as_seconds();
        self.settings.poll_wait = wait;
        self.settings.reply_timeout = base.reply_timeout.scaled(ratio);
        self.settings.stall_timeout = base.stall_timeout.scaled(ratio);
    }

    /// Returns the interval between two polls of a worker that does not hold them. The end of a short or
    /// best-effort run, which the next phase may wait for, shows only in the next poll.
    pub fn poll_interval(&self, id: &worker::WorkerId) -> time::Span {
        let wait = self.settings.poll_wait;
        let ends_soon = |task: &task::TaskId| {
            self.runs.get(task).is_some_and(|run| run.kind != runs::Kind::LongRunning)
        };
        let worker = self.workers.get(id);
        if worker.is_some_and(|worker| worker.runs.iter().any(ends_soon)) {
            wait.scaled(BUSY_SHARE)
        } else {
            wait
        }
    }

    /// Returns the time for which a worker without throttled or stopping runs may hold a poll. One
    /// that drains has a short lease, and one with best-effort tasks next to long-running ones has
    /// to report interference soon.
    pub(in crate::owner) const fn calm_wait(&self, worker: &Worker) -> time::Span {
        let may_interfere = worker.long_running_cores > 0 && worker.best_effort_cores > 0;
        if worker.draining_since.is_some() || may_interfere {
            return self.poll_times.base.poll_wait;
        }
        self.settings.poll_wait
    }

    /// Returns the time at which a worker has to be polled at the latest, by which polls that wait
    /// are ordered: the end of its lease, or now if earlier owners may have started tasks there.
    pub fn poll_due(&self, id: &worker::WorkerId, now: time::Timestamp) -> time::Timestamp {
        let worker = self.workers.get(id);
        let expiry = worker.and_then(|worker| worker.expiry(&self.settings));
        match worker {
            Some(worker) if !worker.runs.is_empty() => expiry.unwrap_or(now),
            Some(worker) if worker.clock.is_none() && worker.was_enrolled => now,
            _ => now + self.settings.lease,
        }
    }

    /// Returns whether the next poll of a worker may be one of many: the worker has not replied to
    /// this owner, or not to the last poll.
    pub fn is_poll_deferrable(&self, id: &worker::WorkerId) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.clock.is_none() || worker.is_unresponsive)
    }
}
