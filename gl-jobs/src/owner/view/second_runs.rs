//! Reported runs of tasks of which another run is recorded, for the log.

use std::collections;

use gl_model::time;

use crate::owner::{Note, Owner, token_of};
use crate::worker;

/// The interval for which the number of reports is limited.
const INTERVAL: time::Span = time::Span::seconds(1);
/// The maximum number of reports in an interval.
const LIMIT: usize = 20;
/// The time after which a run that is reported again counts as another one.
const RETENTION: time::Span = time::Span::seconds(60);

/// The second runs that workers have reported.
#[derive(Clone, Debug, Default)]
pub struct SecondRuns {
    /// The time at which each was last reported by its worker, by attempt.
    seen: collections::BTreeMap<u64, time::Timestamp>,
    /// The start of the interval.
    since: time::Timestamp,
    /// The number of those in the interval that were logged.
    logged: usize,
    /// The number of those in the interval that were not.
    omitted: usize,
}

impl SecondRuns {
    /// Returns whether to log a run that a worker reports at `now`.
    fn admit(&mut self, attempt: u64, now: time::Timestamp) -> bool {
        let is_new = self.seen.insert(attempt, now).is_none();
        let is_admitted = is_new && self.logged < LIMIT;
        self.logged += usize::from(is_admitted);
        self.omitted += usize::from(is_new && !is_admitted);
        is_admitted
    }

    /// Starts another interval, if one has passed, and returns the number of runs of the last one that
    /// were not logged.
    fn next_interval(&mut self, now: time::Timestamp) -> usize {
        if now.since(self.since) < INTERVAL {
            return 0;
        }
        (self.since, self.logged) = (now, 0);
        self.seen.retain(|_, at| now.since(*at) < RETENTION);
        std::mem::take(&mut self.omitted)
    }
}

impl Owner {
    /// Reports a run for the log, if another one of its task is recorded.
    pub(in crate::owner) fn note_second_run(
        &mut self,
        id: &worker::WorkerId,
        running: &worker::Running,
        now: time::Timestamp,
    ) {
        let Some(other) = self.runs.get(&running.task) else {
            return;
        };
        if !self.second_runs.admit(running.attempt, now) {
            return;
        }
        let note = Note::SecondRun {
            task: running.task,
            attempt: running.attempt,
            token: token_of(running.attempt),
            worker: id.clone(),
            other_attempt: other.attempt,
            other_token: token_of(other.attempt),
            other_worker: other.worker.clone(),
            other_age: now.since(other.since),
        };
        self.note(note);
    }
}

/// Reports how many second runs were not logged.
pub fn run(owner: &mut Owner, now: time::Timestamp) {
    let omitted = owner.second_runs.next_interval(now);
    if omitted > 0 {
        owner.note(Note::SecondRunsOmitted { runs: omitted });
    }
}
