//! Runs that count as gone, or as never started, without a report of their workers: what that follows
//! from, for the log, and which of them their workers report after all.

use std::collections;

use gl_model::time;

use super::{Cause, Note, Owner, Run, Settings, Stage, Worker, token_of};
use crate::{task, worker};

/// The interval for which the number of reports is limited.
const INTERVAL: time::Span = time::Span::seconds(1);
/// The maximum number of reports in an interval.
const LIMIT: usize = 100;
/// The time for which a conclusion is kept.
const RETENTION: time::Span = time::Span::seconds(60);
/// The maximum number of conclusions that are kept.
const MAX_KEPT: usize = 4_096;

/// What shows that a run has ended, or that it never starts, although its worker has not reported the end.
#[gl_derive::tag]
pub enum Basis {
    /// All leases of its worker are taken to have expired.
    Lease,
    /// An entry in the list of workers, for a newer worker of its VM that has replied.
    Entry,
    /// A reply of the next incarnation of its worker, which does not have it.
    Incarnation,
    /// A reply that does not have it, to a poll that was sent after the start was confirmed.
    Reply,
    /// A reply that does not have it, to a poll that was sent after a stop was confirmed.
    Stop,
    /// A reply that does not have it, whose clock is past the deadline of the start order.
    Deadline,
    /// The worker has refused the start order.
    Refusal,
    /// The start order was not sent.
    Unsent,
}

/// A basis with the figures that decide.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// The basis.
    pub basis: Basis,
    /// Its age: the time since the reading of the worker's clock, since the list was requested, since the
    /// poll was sent, or since the start was ordered.
    pub age: time::Span,
    /// The time by which it is later than what it has to be later than: the confirmed start or stop, or the
    /// deadline of the order. `None` where an event of the worker has the figures.
    pub after: Option<time::Span>,
    /// What that time had to exceed.
    pub bound: Option<time::Span>,
}

impl Evidence {
    /// Returns evidence whose age alone is known, or whose other figures an event of the worker has.
    pub(super) const fn of(basis: Basis, age: time::Span) -> Self {
        Self { basis, age, after: None, bound: None }
    }

    /// Returns what follows from a reply that does not have a run, to a poll that was sent at `sent`. `None`
    /// if it does not show that the run is gone.
    pub(super) fn from_reply(
        run: &Run,
        clock: time::Timestamp,
        sent: time::Timestamp,
        settings: &Settings,
        now: time::Timestamp,
    ) -> Option<Self> {
        let margin = settings.clock_margin;
        let (basis, after, bound) = match run.stage {
            Stage::Running(at) if at < sent => (Basis::Reply, sent.since(at), time::Span::ZERO),
            Stage::Stopping(super::Stopping { confirmed: Some(at), .. }) if at < sent => {
                (Basis::Stop, sent.since(at), time::Span::ZERO)
            }
            // A busy worker may list a run some time after it has checked the deadline.
            Stage::Stopping(stop) if stop.was_starting && clock > run.deadline + margin => {
                (Basis::Deadline, clock.since(run.deadline), margin)
            }
            _ => return None,
        };
        Some(Self { basis, age: now.since(sent), after: Some(after), bound: Some(bound) })
    }

    /// Returns the cause of the end of a run that a reply does not have.
    pub(super) const fn missing_cause(&self) -> Cause {
        match self.basis {
            Basis::Reply => Cause::Missing,
            _ => Cause::NeverRan,
        }
    }
}

/// The stage of a run at its end.
#[gl_derive::tag]
pub enum LastStage {
    /// Its start was ordered, and not confirmed.
    Starting,
    /// Its worker had confirmed the start, or reported the run.
    Running,
    /// It was ordered to stop.
    Stopping,
}

impl From<&Stage> for LastStage {
    fn from(stage: &Stage) -> Self {
        match stage {
            Stage::Starting => Self::Starting,
            Stage::Running(_) => Self::Running,
            Stage::Stopping(_) => Self::Stopping,
        }
    }
}

/// Why a run counts as gone whose end its worker has not reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conclusion {
    /// What shows it.
    pub evidence: Evidence,
    /// The stage of the run until then.
    pub stage: LastStage,
    /// The time since its worker last reported it; `None` if it never did.
    pub seen: Option<time::Span>,
}

impl Conclusion {
    pub(super) fn new(run: &Run, evidence: Evidence, now: time::Timestamp) -> Self {
        let is_seen = run.reported_at > time::Timestamp::default();
        let seen = is_seen.then(|| now.since(run.reported_at));
        Self { evidence, stage: LastStage::from(&run.stage), seen }
    }
}

/// What shows that an incarnation of a worker has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Successor {
    /// The incarnation that has followed it.
    pub incarnation: worker::Incarnation,
    /// The entry for a newer worker of the same VM; `None` if a reply of the worker itself shows it.
    pub entry: Option<Entry>,
    /// The time since the list was requested, or since the poll was sent.
    pub age: time::Span,
}

/// The entry of a worker in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The worker.
    pub worker: worker::WorkerId,
    /// Its service.
    pub service: String,
}

impl Successor {
    /// Returns what ends the runs of the earlier incarnation.
    pub const fn basis(&self) -> Basis {
        if self.entry.is_some() { Basis::Entry } else { Basis::Incarnation }
    }
}

/// The lease of an incarnation of a worker.
#[derive(Clone, Copy, Debug)]
struct Lease {
    incarnation: worker::Incarnation,
    /// Its end by the worker's clock.
    end: time::Timestamp,
}

/// A run that counts as gone.
#[derive(Clone, Debug)]
struct Gone {
    task: task::TaskId,
    worker: worker::WorkerId,
    cause: Cause,
    basis: Basis,
    at: time::Timestamp,
    /// The latest lease that counted for its worker then; `None` if that has not replied.
    lease: Option<Lease>,
    /// Whether a report of it was noted.
    is_noted: bool,
}

/// The runs that have lately been taken for gone.
#[derive(Clone, Debug, Default)]
pub(in crate::owner) struct Conclusions {
    /// Each by its attempt.
    gone: collections::BTreeMap<u64, Gone>,
    /// The attempts, in the order of the conclusions.
    order: collections::VecDeque<(time::Timestamp, u64)>,
    /// The start of the interval.
    since: time::Timestamp,
    /// The number of reports in the interval that were logged.
    logged: usize,
    /// The number of reports in the interval that were not.
    omitted: usize,
    /// The number of conclusions in the interval that were removed early, as there were too many.
    forgotten: usize,
}

impl Conclusions {
    fn add(&mut self, attempt: u64, gone: Gone) {
        if self.order.len() >= MAX_KEPT {
            self.forgotten += 1;
            self.remove_first();
        }
        self.order.push_back((gone.at, attempt));
        self.gone.insert(attempt, gone);
    }

    fn remove_first(&mut self) {
        let Some((at, attempt)) = self.order.pop_front() else {
            return;
        };
        // A run that was recorded again may be gone a second time.
        if self.gone.get(&attempt).is_some_and(|gone| gone.at == at) {
            self.gone.remove(&attempt);
        }
    }

    /// Returns the conclusion that a report contradicts, if this is the first one that does.
    fn contradicted(
        &mut self,
        id: &worker::WorkerId,
        task: task::TaskId,
        attempt: u64,
        outcome: Option<worker::Outcome>,
    ) -> Option<Gone> {
        let gone = self.gone.get_mut(&attempt)?;
        let is_same = gone.task == task && gone.worker == *id;
        // Workers end their runs when a lease expires, and report that later.
        let is_expected = gone.basis == Basis::Lease && outcome == Some(worker::Outcome::Lapsed);
        if !is_same || is_expected || std::mem::replace(&mut gone.is_noted, true) {
            return None;
        }
        Some(gone.clone())
    }

    fn admit(&mut self) -> bool {
        let is_admitted = self.logged < LIMIT;
        self.logged += usize::from(is_admitted);
        self.omitted += usize::from(!is_admitted);
        is_admitted
    }

    /// Removes what has expired. Starts another interval, if one has passed, and returns the numbers of
    /// reports that were not logged in the last one, and of conclusions that were removed early.
    fn next_interval(&mut self, now: time::Timestamp) -> (usize, usize) {
        while self.order.front().is_some_and(|(at, _)| now.since(*at) >= RETENTION) {
            self.remove_first();
        }
        if now.since(self.since) < INTERVAL {
            return (0, 0);
        }
        (self.since, self.logged) = (now, 0);
        (std::mem::take(&mut self.omitted), std::mem::take(&mut self.forgotten))
    }
}

impl Owner {
    /// Returns what the entry for a newer worker of a VM shows of the older one.
    pub(super) fn successor_on_vm(
        &self,
        entry: &worker::Registration,
        now: time::Timestamp,
    ) -> Successor {
        Successor {
            incarnation: entry.incarnation,
            entry: Some(Entry { worker: entry.id.clone(), service: entry.service.clone() }),
            age: now.since(self.list_read_at),
        }
    }

    /// Notes the end of a run that its worker has not reported.
    pub(super) fn note_gone(
        &mut self,
        task: task::TaskId,
        run: &Run,
        cause: Cause,
        evidence: Evidence,
        now: time::Timestamp,
    ) {
        let (attempt, worker, basis) = (run.attempt, run.worker.clone(), evidence.basis);
        let conclusion = Some(Conclusion::new(run, evidence, now));
        self.note(Note::Ended { task, attempt, worker: worker.clone(), cause, conclusion });
        let lease = self.workers.get(&run.worker).and_then(Worker::counted_lease);
        let gone = Gone { task, worker, cause, basis, at: now, lease, is_noted: false };
        self.conclusions.add(attempt, gone);
    }

    /// Notes that a worker reports a run that counts as gone, as running, or as ended with `outcome`. That may
    /// be one of an earlier owner.
    pub(super) fn note_outlived(
        &mut self,
        worker: &worker::WorkerId,
        task: task::TaskId,
        attempt: u64,
        outcome: Option<worker::Outcome>,
        now: time::Timestamp,
    ) {
        let gone = self.conclusions.contradicted(worker, task, attempt, outcome);
        let expired = gone.as_ref().filter(|gone| gone.basis == Basis::Lease);
        let lease_over = expired.and_then(|gone| self.lease_over(worker, gone.lease?));
        let known = gone.map(|gone| (gone.cause, gone.basis, gone.at));
        let is_earlier = token_of(attempt) < self.token;
        let unseen = || self.accounts.contradicted(worker, attempt, outcome);
        let Some((cause, basis, at)) = known.or_else(|| is_earlier.then(unseen).flatten()) else {
            return;
        };
        if !self.conclusions.admit() {
            return;
        }
        let other = self.runs.get(&task);
        self.note(Note::Outlived {
            task,
            attempt,
            worker: worker.clone(),
            outcome,
            cause,
            basis,
            gone: now.since(at),
            lease_over,
            other_attempt: other.map(|run| run.attempt),
        });
    }
}

impl Owner {
    /// Returns the time by which a worker's clock in its newest reply is past a lease. `None` if it is not, or
    /// if that is the clock of another incarnation.
    fn lease_over(&self, id: &worker::WorkerId, lease: Lease) -> Option<time::Span> {
        let worker = self.workers.get(id)?;
        let clock = worker.clock.filter(|_| worker.incarnation == Some(lease.incarnation))?.clock;
        (clock > lease.end).then(|| clock.since(lease.end))
    }
}

impl Worker {
    /// Returns the latest lease that counts for the worker.
    fn counted_lease(&self) -> Option<Lease> {
        let end = self.granted_until.max(self.inherited_until);
        self.incarnation.map(|incarnation| Lease { incarnation, end })
    }
}

/// Forgets old conclusions, and reports how many lines the log does not have.
pub(super) fn run(owner: &mut Owner, now: time::Timestamp) {
    let (runs, forgotten) = owner.conclusions.next_interval(now);
    owner.accounts.expire(RETENTION, now);
    if runs + forgotten > 0 {
        owner.note(Note::OutlivedOmitted { runs, forgotten });
    }
}
