//! Owners, one after the other or beside each other.

use std::collections;

use gl_jobs::{owner, record, worker as model};
use gl_model::time;

use super::messages::{Delivery, Message};
use super::{MESSAGE_DELAY, Simulation};

/// The time of a commit.
const COMMIT_DELAY: time::Span = time::Span::millis(10);
/// How often the list of workers is read.
const LIST_INTERVAL: time::Span = time::Span::millis(500);
/// How often an owner reads rows whose announcement it may have missed.
const FEED_INTERVAL: time::Span = time::Span::millis(400);
/// How often the owner's systems run.
const TICK_INTERVAL: time::Span = time::Span::millis(50);
/// How often the owner renews its lease, and how long that lasts.
const RENEW_INTERVAL: time::Span = time::Span::millis(500);
const LEASE_TERM: time::Span = time::Span::millis(2_000);
/// How long the store must show no renewal until another owner claims.
const TAKEOVER_DELAY: time::Span = time::Span::millis(2_500);

/// One owner's time.
pub(super) struct Ownership {
    pub owner: owner::Owner,
    pub token: u64,
    pub is_ended: bool,
    pub is_killed: bool,
    pub paused_until: time::Timestamp,
    pub renewed_at: time::Timestamp,
    pub is_committing: bool,
    pub backlog: Vec<Delivery>,
    pub polled: collections::BTreeSet<usize>,
    pub feed_version: u64,
    pub is_stale: bool,
}

/// A job as the store has it.
pub(super) struct StoredJob {
    pub arrival: usize,
    pub version: u64,
    pub cancelled: Option<time::Timestamp>,
    pub progress: Option<record::Progress>,
}

impl Simulation {
    /// A new owner begins once the store, while it answers, has shown no renewal for long enough.
    pub(super) fn claim(&mut self) {
        let seen_since = self.last_renewal.max(self.outage_end);
        let is_expired = self.now.since(seen_since) >= TAKEOVER_DELAY;
        let may_claim = self.is_store_up() && (self.ownerships.is_empty() || is_expired);
        if !may_claim {
            return;
        }
        self.last_renewal = self.now;
        self.version += 1;
        let token = self.version;
        let moment = self.moment();
        let mut owner = owner::Owner::new(self.settings.owner, token, self.now);
        owner.workers_listed(&self.listed_workers(), self.now);
        let is_blind = self.settings.disabled.recovery;
        let stored = self.jobs.iter().map(|(id, job)| owner::StoredJob {
            id: *id,
            job: self.settings.arrivals[job.arrival].job.clone(),
            progress: job.progress.clone(),
            is_cancelled: job.cancelled.is_some(),
            is_inherited: !is_blind && job.version < token,
        });
        owner.recover(stored.collect(), self.roster.values().cloned().collect(), &moment);
        owner.restore_model(&self.interference);
        self.ownerships.push(Ownership {
            owner,
            token,
            is_ended: false,
            is_killed: false,
            paused_until: time::Timestamp::default(),
            renewed_at: self.now,
            is_committing: false,
            backlog: Vec::new(),
            polled: collections::BTreeSet::new(),
            feed_version: token,
            is_stale: false,
        });
    }

    pub(super) fn deliver_to_owner(&mut self, delivery: Delivery) {
        let now = self.now;
        let ownership = &mut self.ownerships[delivery.ownership];
        if ownership.is_killed || ownership.is_ended {
            return;
        }
        if now < ownership.paused_until {
            ownership.backlog.push(delivery);
            return;
        }
        let id = self.workers[delivery.worker].id.clone();
        let blind = self.settings.disabled.lost_replies;
        match delivery.message {
            Message::Started(task, attempt, answer) => {
                let is_fenced = answer == model::OrderReply::Refused(model::Refusal::Fenced);
                let refused = model::OrderReply::Refused(model::Refusal::Unspecified);
                let answer =
                    if blind && answer == model::OrderReply::Lost { refused } else { answer };
                if is_fenced {
                    ownership.is_ended = true;
                } else {
                    ownership.owner.start_replied(&id, task, attempt, answer, now);
                }
            }
            Message::Stopped(task, attempt, answer) => {
                ownership.owner.stop_replied(&id, task, attempt, answer, now);
            }
            Message::PollReply(sent, look, is_extra) => {
                self.report.polls += 1;
                match look {
                    Some(look) => ownership.owner.poll_replied(&id, sent, &look, now),
                    None => ownership.owner.poll_failed(&id, now),
                }
                if !is_extra {
                    ownership.polled.remove(&delivery.worker);
                }
            }
            Message::Commit(commit) => self.apply_commit(delivery.ownership, &commit),
            _ => {}
        }
        self.apply_decisions(delivery.ownership);
    }

    /// The store carries a commit out, if its owner still owns the cell.
    pub(super) fn apply_commit(&mut self, n: usize, commit: &owner::Commit) {
        let newest = self.ownerships.iter().map(|ownership| ownership.token).max();
        let is_up = self.is_store_up();
        let ownership = &mut self.ownerships[n];
        ownership.is_committing = false;
        if !is_up {
            ownership.owner.commit_failed(commit);
            return;
        }
        if Some(ownership.token) != newest {
            ownership.is_ended = true;
            return;
        }
        ownership.owner.committed(commit);
        self.report.commits += 1;
        if let Some(model) = &commit.model {
            self.interference.clone_from(model);
        }
        for entry in &commit.enrolled {
            self.roster.insert(entry.id.clone(), entry.clone());
        }
        for id in &commit.removed_workers {
            self.roster.remove(id);
        }
        for row in &commit.rows {
            self.store_progress(row);
        }
    }

    pub(super) fn advance_owners(&mut self) {
        for n in 0..self.ownerships.len() {
            let now = self.now;
            let is_up = self.is_store_up();
            if !is_active(&self.ownerships[n], now) {
                continue;
            }
            let backlog = std::mem::take(&mut self.ownerships[n].backlog);
            for delivery in backlog {
                self.deliver_to_owner(delivery);
            }
            if self.is_due(RENEW_INTERVAL) && is_up {
                let newest = self.ownerships.iter().map(|ownership| ownership.token).max();
                let ownership = &mut self.ownerships[n];
                ownership.is_ended |= Some(ownership.token) != newest;
                if !ownership.is_ended {
                    ownership.renewed_at = now;
                    ownership.owner.lease_renewed(now);
                    self.last_renewal = now;
                }
            }
            if self.is_due(LIST_INTERVAL) && is_up {
                let list = self.listed_workers();
                self.ownerships[n].owner.workers_listed(&list, now);
            }
            if self.is_due(FEED_INTERVAL) && is_up {
                self.read_feed(n);
            }
            if self.is_due(TICK_INTERVAL) {
                let moment = self.moment();
                let ownership = &mut self.ownerships[n];
                let is_valid = now.since(ownership.renewed_at) < LEASE_TERM || !is_up;
                ownership.owner.allow_starts(is_valid && !ownership.is_stale);
                ownership.owner.tick(&moment);
            }
            self.apply_decisions(n);
        }
    }

    /// Tells an owner of rows whose announcement it has missed.
    pub(super) fn read_feed(&mut self, n: usize) {
        let moment = self.moment();
        let newest = self.version;
        let ownership = &mut self.ownerships[n];
        for (id, stored) in &self.jobs {
            if stored.version > ownership.feed_version {
                let job = self.settings.arrivals[stored.arrival].job.clone();
                ownership.owner.add_job(*id, job, &moment);
            }
            if stored.cancelled.is_some() {
                ownership.owner.cancel_job(*id, moment.now);
            }
        }
        ownership.feed_version = newest;
        ownership.is_stale = false;
    }

    /// Carries out what an owner has decided.
    pub(super) fn apply_decisions(&mut self, n: usize) {
        if !is_active(&self.ownerships[n], self.now) {
            return;
        }
        let now = self.now;
        self.ownerships[n].owner.place(now);
        for action in self.ownerships[n].owner.take_actions() {
            self.perform(n, action);
        }
        for worker in 0..self.workers.len() {
            self.poll_worker(n, worker, false);
        }
        let blind = self.settings.disabled.store_before_ack;
        let ownership = &mut self.ownerships[n];
        if ownership.is_committing || !ownership.owner.has_commit() {
            return;
        }
        if let Some(commit) = ownership.owner.next_commit(now) {
            ownership.is_committing = true;
            if blind {
                ownership.owner.committed(&commit);
            }
            self.send(n, 0, COMMIT_DELAY, Message::Commit(commit));
        }
    }

    pub(super) fn poll_worker(&mut self, n: usize, worker: usize, is_extra: bool) {
        let now = self.now;
        let id = self.workers[worker].id.clone();
        let ownership = &mut self.ownerships[n];
        let known = ownership.owner.worker(&id);
        let is_waiting = known.is_some_and(|w| w.processed_end > w.stored_end);
        if !is_extra && (ownership.polled.contains(&worker) || is_waiting && self.outage_end <= now)
        {
            return;
        }
        let Some(mut order) = ownership.owner.poll_request(&id, now) else {
            return;
        };
        if is_extra {
            order.wait = time::Span::ZERO;
        } else {
            ownership.polled.insert(worker);
        }
        self.send(n, worker, MESSAGE_DELAY, Message::Poll(order, now, is_extra));
    }

    pub(super) fn perform(&mut self, n: usize, action: owner::Action) {
        let find = |id: &model::WorkerId| self.workers.iter().position(|w| w.id == *id);
        let (worker, message) = match action {
            owner::Action::Start { worker, order } => (find(&worker), Message::Start(order)),
            owner::Action::Stop { worker, task, attempt } => {
                (find(&worker), Message::Stop(task, attempt))
            }
            owner::Action::Throttle { worker, task, attempt, percent } => {
                self.ownerships[n].owner.throttle_confirmed(task, attempt, percent);
                (find(&worker), Message::SetCpuLimit(task, attempt, percent))
            }
            owner::Action::Poll { worker } => {
                if let Some(worker) = find(&worker) {
                    self.poll_worker(n, worker, true);
                }
                return;
            }
            owner::Action::RequestAdvice { .. } => return,
            owner::Action::Note(note) => return self.trace(n, &note),
        };
        let Some(worker) = worker else { return };
        if self.should_delay(&message) {
            self.send_delayed(n, worker, message);
            return;
        }
        self.send(n, worker, MESSAGE_DELAY, message);
    }

    pub(super) fn trace(&mut self, n: usize, note: &owner::Note) {
        let Some(wanted) = &self.settings.trace else {
            return;
        };
        let text = format!("{note:?}");
        if text.contains(wanted) {
            let at = self.now.0 / 1_000;
            self.report.trace.push(format!("{at} owner {} {text}", self.ownerships[n].token));
        }
    }
}

pub(super) fn is_active(ownership: &Ownership, now: time::Timestamp) -> bool {
    !ownership.is_killed && !ownership.is_ended && now >= ownership.paused_until
}
