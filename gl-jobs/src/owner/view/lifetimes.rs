//! Lifetimes: a worker may start again under its name, and the next incarnation carries out calls that were
//! meant for the last one, as nothing in them names it. It would take their leases by its own clock, which
//! starts anew, run their orders, and forget ends that it has not listed.
//!
//! A worker refuses calls with a lower fencing token than the highest that it has received. So each
//! incarnation gets calls with a higher token than the last one. Once it has replied to one of these it
//! carries out no others, and its reply has all that can come of them. Until then nothing is started there,
//! no lease is extended and no end is acknowledged.

use std::collections;

use gl_model::time;

use crate::owner::{Action, Owner, Successor, Worker, workers};
use crate::{task, worker};

/// The number of fencing tokens for workers that follow from a token of the cell. A later owner has a
/// higher one of the cell, so that all of its own are higher. They rise within an incarnation, too, see
/// [`super::acknowledgements`].
const LIFETIMES_PER_TOKEN: u64 = 1 << 20;
/// The number of those that are left for the time until another owner has taken over.
const RESERVED: u64 = 1 << 12;

/// The tolerance with which readings of a clock are compared: they are in whole milliseconds.
const CLOCK_TOLERANCE: time::Span = time::Span::millis(2);

/// Returns the number of calls that follow those with `lifetime`.
pub(in crate::owner) const fn after(lifetime: u64) -> u64 {
    if lifetime + 1 < LIFETIMES_PER_TOKEN { lifetime + 1 } else { lifetime }
}

impl Owner {
    /// Returns the fencing token of the calls to a worker.
    pub fn call_token(&self, id: &worker::WorkerId) -> Option<u64> {
        let lifetime = self.workers.get(id)?.lifetime;
        Some(self.token * LIFETIMES_PER_TOKEN + lifetime)
    }

    /// Returns whether calls to a worker have this fencing token now. The refusal of an older call says nothing
    /// of later owners.
    pub fn is_call_current(&self, id: &worker::WorkerId, token: u64) -> bool {
        self.call_token(id) == Some(token)
    }

    /// Returns whether a call with this fencing token was meant for the incarnation of a worker that gets the
    /// calls now. The failure of an older one says nothing of the worker.
    pub fn is_for_incarnation(&self, id: &worker::WorkerId, token: u64) -> bool {
        let first = self.token * LIFETIMES_PER_TOKEN;
        let tokens = |w: &Worker| first + w.first_lifetime..=first + w.lifetime;
        self.workers.get(id).is_some_and(|worker| tokens(worker).contains(&token))
    }

    /// Returns whether the fencing tokens for a worker are nearly used up, so that another owner has to take over.
    pub fn is_short_of_tokens(&self) -> bool {
        self.workers.values().any(|worker| worker.lifetime >= LIFETIMES_PER_TOKEN - RESERVED)
    }

    /// Records that a worker has left the table. If it is added again, calls to it may be in transit that are not
    /// known any more.
    pub(in crate::owner) fn calls_forgotten(&mut self, worker: &Worker) {
        self.added_lifetime = self.added_lifetime.max(after(worker.lifetime));
    }

    /// Records that the list has a newer incarnation of a worker.
    pub(in crate::owner) fn lifetime_listed(
        &mut self,
        id: &worker::WorkerId,
        now: time::Timestamp,
    ) {
        let carried = self.workers.get(id).map(|worker| worker.carried_end(now, &self.settings));
        if let Some(lease) = carried {
            self.extend_pending(id, lease);
        }
        let is_other = |w: &Worker| w.incarnation.is_some_and(|i| i != w.registration.incarnation);
        if self.workers.get(id).is_some_and(is_other) {
            self.renumber_calls(id, now);
        } else {
            self.actions.push(Action::Poll { worker: id.clone() });
        }
    }

    /// Numbers the calls to a worker anew, as another incarnation may get them.
    fn renumber_calls(&mut self, id: &worker::WorkerId, now: time::Timestamp) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.lifetime = after(worker.lifetime);
            worker.first_lifetime = worker.lifetime;
            worker.has_acknowledged = false;
            worker.unconfirmed_since = Some(now);
        }
        self.update_unstored(id);
        self.actions.push(Action::Poll { worker: id.clone() });
    }

    /// Handles the clock in the answer to an order. If it is behind that of an earlier reply, another incarnation
    /// has answered than the one that the order was meant for.
    pub fn order_answered(
        &mut self,
        id: &worker::WorkerId,
        call: worker::Call,
        answer: &worker::Answer,
        now: time::Timestamp,
    ) {
        let is_for_it = self.is_for_incarnation(id, call.token);
        let worker = self.workers.get(id).filter(|w| is_for_it && w.unconfirmed_since.is_none());
        let (Some(reading), Some(clock)) = (worker.and_then(|w| w.clock), answer.clock) else {
            return;
        };
        // The order was carried out after it had been sent, and the clock may be slow.
        let advance = call.sent.since(reading.at).scaled(1.0 - self.settings.clock_drift);
        let earliest = reading.clock + advance;
        if clock + reading.at.since(call.sent) + CLOCK_TOLERANCE < earliest {
            self.renumber_calls(id, now);
        }
    }

    /// Returns whether a reply counts: it is from the incarnation that gets the calls to the worker.
    pub(in crate::owner) fn accept_reply(
        &mut self,
        id: &worker::WorkerId,
        call: worker::Call,
        reply: &worker::PollReply,
        now: time::Timestamp,
    ) -> bool {
        let is_for_it = self.is_for_incarnation(id, call.token);
        let Some(worker) = self.workers.get(id).filter(|_| is_for_it) else {
            return false;
        };
        match worker.incarnation {
            Some(known) if known != reply.incarnation => {
                if worker.unconfirmed_since.is_none() {
                    self.renumber_calls(id, now);
                    return false;
                }
                self.note_lifetime(id, known, reply, now);
                self.begin_lifetime(id, call.sent, reply, now);
            }
            None => {
                self.note_first_reply(id, reply, now);
                self.first_replied(id, reply, now);
            }
            Some(_) => {}
        }
        let was_confirmed = self.workers.get(id).is_some_and(Worker::is_confirmed);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.incarnation = Some(reply.incarnation);
            worker.unconfirmed_since = None;
        }
        if !was_confirmed {
            self.end_older_on_vm(id, now, now);
        }
        true
    }

    /// Handles the first reply of an incarnation to calls of its own. All runs of the last one have ended, and
    /// no order to it can be carried out any more, so that those runs are left which the reply has.
    fn begin_lifetime(
        &mut self,
        id: &worker::WorkerId,
        sent: time::Timestamp,
        reply: &worker::PollReply,
        now: time::Timestamp,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let is_kept = |task: &&task::TaskId| {
            let attempt = self.runs.get(*task).map(|run| run.attempt);
            let running = reply.running.iter().map(|r| (r.task, r.attempt));
            let mut reported = running.chain(reply.ended.iter().map(|end| (end.task, end.attempt)));
            reported.any(|(task_id, n)| task_id == **task && Some(n) == attempt)
        };
        let kept: collections::BTreeSet<_> = worker.runs.iter().filter(is_kept).copied().collect();
        let age = now.since(sent);
        let successor = Successor { incarnation: reply.incarnation, entry: None, age };
        self.end_incarnation(id, &kept, successor, now);
        let settings = self.settings;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.processed_end = 0;
            worker.has_all_ends = true;
            worker.stored_end = 0;
            worker.forgotten_end = 0;
            worker.granted_until = time::Timestamp::default();
            worker.clock = None;
            worker.health = workers::Health::default();
            worker.record.add_flap(now);
            worker.is_unproven = true;
            worker.carry_leases(reply, &settings, now);
        }
    }

    /// Handles the first reply of a worker to this owner. Earlier ones may have extended its leases, also if it
    /// is not in the roster. So may this one, if the worker was removed from the table since, and by calls to an
    /// earlier incarnation.
    fn first_replied(
        &mut self,
        id: &worker::WorkerId,
        reply: &worker::PollReply,
        now: time::Timestamp,
    ) {
        let (settings, inherited) = (self.settings, self.inherited_lease);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.was_enrolled {
            let was_forgotten = worker.first_lifetime > 0;
            let lease = if was_forgotten { settings.max_lease } else { settings.lease };
            worker.inherited_until = reply.clock + lease;
            return;
        }
        if worker.stored_as != Some(reply.incarnation) {
            return worker.carry_leases(reply, &settings, now);
        }
        let carried = worker.carried_until.map_or(time::Span::ZERO, |until| until.since(now));
        worker.inherited_until = reply.clock + inherited.max(carried.min(settings.max_lease));
    }
}

impl Worker {
    /// Records that an incarnation which now gets calls of its own may have got others before. It is stored
    /// again before it is used, so that a later owner knows of the leases that it may have got by them.
    fn carry_leases(
        &mut self,
        reply: &worker::PollReply,
        settings: &crate::owner::Settings,
        now: time::Timestamp,
    ) {
        self.inherited_until = reply.clock + settings.max_lease;
        self.carried_until = Some(settings.lease_end(now, settings.max_lease));
        self.is_enrolled = false;
    }
}
