//! The owner's view of the failure domains that operators have emptied. Tasks that run there
//! continue, and none is started there.
//!
//! The view is read from the store, so it may lack the newest request. A start order is therefore
//! valid only until the time at which a request that the view lacks could be in force, and is not
//! sent at all under a view that is too old.

use gl_model::time;

use crate::domain;
use crate::owner::{Note, Owner, Worker};

/// The newest view of the emptied failure domains.
#[derive(Clone, Debug, Default)]
pub(in crate::owner) struct View {
    emptied: domain::Emptied,
    /// The time at which it was current at the store; `None` before the first read.
    read_at: Option<time::Timestamp>,
}

impl View {
    /// Returns whether no task may be started in a failure domain.
    pub fn is_emptied(&self, domain: &str) -> bool {
        self.emptied.contains(domain)
    }

    /// Returns the time for which a start order may be valid at `now`, if requests to empty a
    /// domain are in force after `empty_time`.
    pub fn order_validity(&self, empty_time: time::Span, now: time::Timestamp) -> time::Span {
        self.read_at.map_or(time::Span::ZERO, |at| (at + empty_time).since(now))
    }
}

impl Owner {
    /// Records the failure domains that were emptied at `read_at`.
    pub fn emptied_read(&mut self, emptied: &domain::Emptied, read_at: time::Timestamp) {
        let view = &mut self.emptied;
        if view.read_at.is_some_and(|known| known > read_at) {
            return;
        }
        view.read_at = Some(read_at);
        if view.emptied == *emptied {
            return;
        }
        let previous = std::mem::replace(&mut view.emptied, emptied.clone());
        for worker in self.workers.values_mut() {
            worker.is_domain_emptied = emptied.contains(&worker.registration.domain);
        }
        for (domain, _) in emptied.iter().filter(|(domain, _)| !previous.contains(domain)) {
            let (workers, runs) = self.occupancy(domain);
            self.note(Note::Emptied { domain: domain.to_owned(), workers, runs });
        }
        for (domain, _) in previous.iter().filter(|(domain, _)| !emptied.contains(domain)) {
            let (workers, runs) = self.occupancy(domain);
            self.note(Note::Restored { domain: domain.to_owned(), workers, runs });
        }
    }

    /// Returns the emptied failure domains.
    pub const fn emptied(&self) -> &domain::Emptied {
        &self.emptied.emptied
    }

    /// Returns the number of runs in emptied failure domains.
    pub fn emptied_runs(&self) -> usize {
        self.workers.values().filter(|w| w.is_domain_emptied).map(|w| w.runs.len()).sum()
    }

    /// Returns the number of workers in a failure domain, and of the runs that they have.
    fn occupancy(&self, domain: &str) -> (usize, usize) {
        let is_in_domain = |worker: &&Worker| worker.registration.domain == domain;
        let workers = self.workers.values().filter(is_in_domain);
        workers.fold((0, 0), |(workers, runs), worker| (workers + 1, runs + worker.runs.len()))
    }
}
