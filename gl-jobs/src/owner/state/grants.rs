//! What the advice service has said of the workers that may run a phase.

use std::collections;

use gl_model::time;

use crate::worker;

/// A worker that the queue's policy allows, with the ticket that start orders to it carry.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The worker.
    pub worker: worker::WorkerId,
    /// The proof that the policy allows the worker.
    pub ticket: String,
}

/// The advice on a phase.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// The newest request, until it is answered.
    pending: Option<Request>,
    /// The answers, which do not change, by worker.
    answers: collections::BTreeMap<worker::WorkerId, Answer>,
}

#[derive(Clone, Debug, PartialEq)]
struct Request {
    sent: time::Timestamp,
    workers: collections::BTreeMap<worker::WorkerId, worker::Incarnation>,
}

/// What the service has said of an incarnation of a worker.
#[derive(Clone, Debug, PartialEq)]
struct Answer {
    incarnation: worker::Incarnation,
    /// The ticket; `None` if the policy does not allow the worker.
    ticket: Option<Ticket>,
}

#[derive(Clone, Debug, PartialEq)]
struct Ticket {
    text: String,
    until: time::Timestamp,
}

impl Advice {
    /// Returns the valid ticket of a worker.
    pub(in crate::owner) fn ticket(
        &self,
        worker: &worker::Registration,
        now: time::Timestamp,
    ) -> Option<&str> {
        let ticket = self.answer(worker)?.ticket.as_ref().filter(|ticket| now < ticket.until)?;
        Some(&ticket.text)
    }

    /// Returns the workers that were allowed, also those whose ticket has expired.
    pub(in crate::owner) fn allowed(&self) -> impl Iterator<Item = &worker::WorkerId> {
        let allowed = self.answers.iter().filter(|(_, answer)| answer.ticket.is_some());
        allowed.map(|(id, _)| id)
    }

    /// Returns whether the policy is known to allow a worker; `None` if it is not known.
    pub(in crate::owner) fn is_allowed(&self, worker: &worker::Registration) -> Option<bool> {
        self.answer(worker).map(|answer| answer.ticket.is_some())
    }

    fn answer(&self, worker: &worker::Registration) -> Option<&Answer> {
        let answer = self.answers.get(&worker.id);
        answer.filter(|answer| answer.incarnation == worker.incarnation)
    }

    /// Returns whether a request that was sent within `retry` has not been answered.
    pub(in crate::owner) fn is_pending(&self, retry: time::Span, now: time::Timestamp) -> bool {
        self.pending.as_ref().is_some_and(|request| now.since(request.sent) < retry)
    }

    /// Records a request.
    pub(in crate::owner) fn requested<'a>(
        &mut self,
        workers: impl Iterator<Item = &'a worker::Registration>,
        now: time::Timestamp,
    ) {
        let workers = workers.map(|worker| (worker.id.clone(), worker.incarnation)).collect();
        self.pending = Some(Request { sent: now, workers });
    }

    /// Records the answer to a request that named `workers`. The tickets are valid until `until`.
    pub(in crate::owner) fn received(
        &mut self,
        workers: &[worker::WorkerId],
        grants: Vec<Grant>,
        until: time::Timestamp,
    ) {
        // A late answer to an earlier request says nothing of those that only the newest one names.
        let Some(request) = &mut self.pending else {
            return;
        };
        let mut tickets: collections::BTreeMap<_, _> =
            grants.into_iter().map(|grant| (grant.worker, grant.ticket)).collect();
        for id in workers {
            let Some(incarnation) = request.workers.remove(id) else {
                continue;
            };
            let ticket = tickets.remove(id).map(|text| Ticket { text, until });
            self.answers.insert(id.clone(), Answer { incarnation, ticket });
        }
        if request.workers.is_empty() {
            self.pending = None;
        }
    }

    /// Records that a worker has refused its ticket. It is still allowed, and needs another ticket.
    pub(in crate::owner) fn refused(&mut self, id: &worker::WorkerId) {
        let ticket = self.answers.get_mut(id).and_then(|answer| answer.ticket.as_mut());
        if let Some(ticket) = ticket {
            ticket.until = time::Timestamp::default();
        }
    }
}
