//! The first replies of incarnations to calls of their own, for the log: what was in transit to each worker
//! when it started again, and what its next incarnation may have carried out of that.

use std::collections;

use gl_model::time;

use crate::owner::{Note, OpenPolls, Owner};
use crate::worker;

/// The interval for which the number of reports is limited.
const INTERVAL: time::Span = time::Span::seconds(1);
/// The maximum number of reports in an interval.
const LIMIT: usize = 100;
/// The maximum number of attempts in a report.
const MAX_ATTEMPTS: usize = 3;

/// The first reply of an incarnation of a worker, after another one, to a call of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct LifetimeStart {
    /// The worker.
    pub worker: worker::WorkerId,
    /// The incarnation.
    pub incarnation: worker::Incarnation,
    /// The incarnation before it, as far as it is known.
    pub previous: worker::Incarnation,
    /// The fencing token of the call.
    pub token: u64,
    /// Its clock in the reply.
    pub clock: time::Timestamp,
    /// The time since the last reply of the incarnation before it; `None` if that has not replied to this
    /// owner.
    pub silent: Option<time::Span>,
    /// The number of runs that it reports.
    pub runs: usize,
    /// The number of ends that it lists.
    pub ends: usize,
    /// The sequence number of the first of them, if there is any.
    pub first_end: Option<u64>,
    /// The start orders without an answer.
    pub orders: OpenOrders,
    /// The polls without an answer of the incarnation before it.
    pub polls: OpenPolls,
}

impl LifetimeStart {
    /// Returns the number of ends that were acknowledged before this owner has received them; `None` if the
    /// reply lists no end, which tells nothing.
    pub fn missed_ends(&self) -> Option<u64> {
        self.first_end.map(|number| number.saturating_sub(1))
    }
}

/// Ends that a worker has not listed to this owner, although it has listed a later one. They were acknowledged by
/// a call that was meant for the incarnation before, and nobody has received them.
#[derive(Clone, Debug, PartialEq)]
pub struct MissedEnds {
    /// The worker.
    pub worker: worker::WorkerId,
    /// Its incarnation.
    pub incarnation: worker::Incarnation,
    /// Their number.
    pub count: u64,
    /// The sequence number of the end that is listed after them.
    pub next_end: u64,
}

/// Start orders to a worker without an answer, which may still be carried out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenOrders {
    /// Their number. Several orders of an attempt count as one.
    pub count: usize,
    /// The highest of their attempts, three at most. Those that an earlier owner has sent have none.
    pub attempts: Vec<u64>,
}

/// The limit of the reports.
#[derive(Clone, Debug, Default)]
pub struct LifetimeNotes {
    /// The start of the interval.
    since: time::Timestamp,
    /// The number of those in the interval that were logged.
    logged: usize,
    /// The number of those in the interval that were not.
    omitted: usize,
}

impl LifetimeNotes {
    fn admit(&mut self) -> bool {
        let is_admitted = self.logged < LIMIT;
        self.logged += usize::from(is_admitted);
        self.omitted += usize::from(!is_admitted);
        is_admitted
    }

    /// Starts another interval, if one has passed, and returns the number of reports of the last one that
    /// were not logged.
    fn next_interval(&mut self, now: time::Timestamp) -> usize {
        if now.since(self.since) < INTERVAL {
            return 0;
        }
        (self.since, self.logged) = (now, 0);
        std::mem::take(&mut self.omitted)
    }
}

impl Owner {
    /// Reports the first reply to this owner, if earlier ones have stored another incarnation.
    pub(in crate::owner) fn note_first_reply(
        &mut self,
        id: &worker::WorkerId,
        reply: &worker::PollReply,
        now: time::Timestamp,
    ) {
        let stored = self.workers.get(id).and_then(|worker| worker.enrolled_as);
        if let Some(stored) = stored.filter(|stored| *stored != reply.incarnation) {
            self.note_lifetime(id, stored, reply, now);
        }
    }

    /// Reports the first reply of an incarnation to a call of its own, and forgets the polls that were meant
    /// for the previous one.
    pub(in crate::owner) fn note_lifetime(
        &mut self,
        id: &worker::WorkerId,
        previous: worker::Incarnation,
        reply: &worker::PollReply,
        now: time::Timestamp,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let polls = std::mem::take(&mut worker.sent_polls);
        let silent = worker.silent(now);
        if !self.lifetime_notes.admit() {
            return;
        }
        let orders = self.open_orders(id, now);
        let token = self.call_token(id).unwrap_or_default();
        let polls = polls.open(self.settings.order_lateness, now);
        self.note(Note::LifetimeBegan(LifetimeStart {
            worker: id.clone(),
            incarnation: reply.incarnation,
            previous,
            token,
            clock: reply.clock,
            silent,
            runs: reply.running.len(),
            ends: reply.ended.len(),
            first_end: reply.ended.first().map(|end| end.number),
            orders,
            polls,
        }));
    }

    /// Reports that ends are missing before the next one, if the worker has begun to list them to this owner.
    pub(in crate::owner) fn note_missed_ends(&mut self, id: &worker::WorkerId, number: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let is_counted = worker.processed_end > 0 || worker.has_all_ends;
        let count = number.saturating_sub(worker.processed_end + 1);
        let incarnation = worker.incarnation.filter(|_| is_counted && count > 0);
        if let Some(incarnation) = incarnation.filter(|_| self.lifetime_notes.admit()) {
            let worker = id.clone();
            let missed = MissedEnds { worker, incarnation, count, next_end: number };
            self.note(Note::EndsMissed(missed));
        }
    }

    fn open_orders(&self, id: &worker::WorkerId, now: time::Timestamp) -> OpenOrders {
        let tasks = self.workers.get(id).into_iter().flat_map(|worker| &worker.runs);
        let runs = tasks.filter_map(|task| Some((*task, self.runs.get(task)?)));
        let of_runs = runs.filter(|(_, run)| run.orders.may_arrive(now));
        let of_runs = of_runs.map(|(task, run)| (run.attempt, task));
        let open: collections::BTreeSet<_> =
            of_runs.chain(self.unsettled.sent_to(id, now)).collect();
        let attempts = open.iter().rev().map(|(attempt, _)| *attempt);
        let attempts = attempts.filter(|attempt| *attempt > 0).take(MAX_ATTEMPTS).collect();
        OpenOrders { count: open.len(), attempts }
    }
}

/// Reports how many first replies and gaps were not logged.
pub fn run(owner: &mut Owner, now: time::Timestamp) {
    let omitted = owner.lifetime_notes.next_interval(now);
    if omitted > 0 {
        owner.note(Note::LifetimesOmitted { reports: omitted });
    }
}
