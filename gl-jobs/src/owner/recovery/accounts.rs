//! What a new owner has taken workers to run, for the log. A run of an earlier owner that a worker did not
//! have then, and reports later, was taken for gone.

use std::collections;

use gl_model::time;

use crate::owner::{Basis, Cause, Owner};
use crate::worker;

/// What is taken to be known of a worker.
#[derive(Clone, Debug)]
struct Account {
    at: time::Timestamp,
    /// The attempts that are no news: those that the worker had listed, and those that were noted since.
    attempts: collections::BTreeSet<u64>,
    basis: Basis,
}

/// The accounts of the workers that may have had runs of earlier owners.
#[derive(Clone, Debug, Default)]
pub(in crate::owner) struct Accounts(collections::BTreeMap<worker::WorkerId, Account>);

impl Accounts {
    /// Removes those that are older than `retention`.
    pub fn expire(&mut self, retention: time::Span, now: time::Timestamp) {
        self.0.retain(|_, account| now.since(account.at) < retention);
    }

    /// Records that the leases of a worker are taken to have expired before it replied.
    pub fn add_expired(&mut self, id: worker::WorkerId, now: time::Timestamp) {
        let attempts = collections::BTreeSet::new();
        self.0.insert(id, Account { at: now, attempts, basis: Basis::Lease });
    }

    /// Returns the conclusion that the report of an earlier owner's run contradicts, with its time, if this is
    /// the first report that does.
    pub fn contradicted(
        &mut self,
        id: &worker::WorkerId,
        attempt: u64,
        outcome: Option<worker::Outcome>,
    ) -> Option<(Cause, Basis, time::Timestamp)> {
        let account = self.0.get_mut(id)?;
        let is_expected = account.basis == Basis::Lease && outcome == Some(worker::Outcome::Lapsed);
        if is_expected || !account.attempts.insert(attempt) {
            return None;
        }
        let cause = if account.basis == Basis::Lease { Cause::Lapsed } else { Cause::Missing };
        Some((cause, account.basis, account.at))
    }
}

impl Owner {
    /// Records that a reply has all that a worker runs of earlier owners, if that was not known.
    pub(in crate::owner) fn account_replied(
        &mut self,
        id: &worker::WorkerId,
        reply: &worker::PollReply,
        now: time::Timestamp,
    ) {
        let recovery = self.recovery.as_ref();
        if recovery.is_some_and(|recovery| recovery.pending.contains_key(id)) {
            let running = reply.running.iter().map(|run| run.attempt);
            let attempts = running.chain(reply.ended.iter().map(|end| end.attempt)).collect();
            let account = Account { at: now, attempts, basis: Basis::Reply };
            self.accounts.0.insert(id.clone(), account);
            self.mark_replied(id);
        }
    }
}
