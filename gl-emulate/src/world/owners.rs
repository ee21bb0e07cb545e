//! Owners, one after the other or beside each other.

use std::collections;

use gl_jobs::{owner, record, worker as model};
use gl_model::time;

use super::messages::{Due, Message};
use super::{HOP, World};

/// The time of a commit.
const COMMIT: time::Span = time::Span::millis(10);
/// How often the list of workers is read.
const LIST: time::Span = time::Span::millis(500);
/// How often an owner reads rows whose announcement it may have missed.
const FEED: time::Span = time::Span::millis(400);
/// How often the owner's systems run.
const TICK: time::Span = time::Span::millis(50);
/// How often the owner renews its lease, and how long that lasts.
const RENEW: time::Span = time::Span::millis(500);
const LEASE: time::Span = time::Span::millis(2_000);
/// How long the store must show no renewal until another owner claims.
const TAKEOVER: time::Span = time::Span::millis(2_500);

/// One owner's time.
pub(super) struct Reign {
    pub owner: owner::Owner,
    pub token: u64,
    pub is_over: bool,
    pub is_dead: bool,
    pub frozen_until: time::Timestamp,
    pub renewed: time::Timestamp,
    pub is_committing: bool,
    pub waiting: Vec<Due>,
    pub looked_at: collections::BTreeSet<usize>,
    pub fed: u64,
    pub is_stale: bool,
}

/// A job as the store has it.
pub(super) struct StoredJob {
    pub arrival: usize,
    pub version: u64,
    pub cancelled: Option<time::Timestamp>,
    pub progress: Option<record::Progress>,
}

impl World {
    /// A new owner begins once the store, while it answers, has shown no renewal for long enough.
    pub(super) fn claim(&mut self) {
        let seen_since = self.last_renewal.max(self.store_down);
        let is_expired = self.now.since(seen_since) >= TAKEOVER;
        let is_due = self.is_store_up() && (self.reigns.is_empty() || is_expired);
        if !is_due {
            return;
        }
        self.last_renewal = self.now;
        self.version += 1;
        let token = self.version;
        let moment = self.moment();
        let mut owner = owner::Owner::new(self.settings.owner, token, self.now);
        owner.workers_listed(&self.list(), self.now);
        let is_blind = self.settings.off.recovery;
        let stored = self.jobs.iter().map(|(id, job)| owner::StoredJob {
            id: *id,
            job: self.settings.arrivals[job.arrival].job.clone(),
            progress: job.progress.clone(),
            is_cancelled: job.cancelled.is_some(),
            is_inherited: !is_blind && job.version < token,
        });
        owner.recover(stored.collect(), self.roster.values().cloned().collect(), &moment);
        owner.restore_model(&self.learnt);
        self.reigns.push(Reign {
            owner,
            token,
            is_over: false,
            is_dead: false,
            frozen_until: time::Timestamp::default(),
            renewed: self.now,
            is_committing: false,
            waiting: Vec::new(),
            looked_at: collections::BTreeSet::new(),
            fed: token,
            is_stale: false,
        });
    }

    pub(super) fn at_owner(&mut self, due: Due) {
        let now = self.now;
        let reign = &mut self.reigns[due.reign];
        if reign.is_dead || reign.is_over {
            return;
        }
        if now < reign.frozen_until {
            reign.waiting.push(due);
            return;
        }
        let id = self.workers[due.worker].id.clone();
        let blind = self.settings.off.lost_answers;
        match due.message {
            Message::Started(task, attempt, answer) => {
                let is_fenced = answer == model::OrderReply::Refused(model::Refusal::Fenced);
                let refused = model::OrderReply::Refused(model::Refusal::Unspecified);
                let answer =
                    if blind && answer == model::OrderReply::Lost { refused } else { answer };
                if is_fenced {
                    reign.is_over = true;
                } else {
                    reign.owner.start_replied(&id, task, attempt, answer, now);
                }
            }
            Message::Stopped(task, attempt, answer) => {
                reign.owner.stop_replied(&id, task, attempt, answer, now);
            }
            Message::Looked(sent, look, is_extra) => {
                self.report.looks += 1;
                match look {
                    Some(look) => reign.owner.poll_replied(&id, sent, &look, now),
                    None => reign.owner.poll_failed(&id, now),
                }
                if !is_extra {
                    reign.looked_at.remove(&due.worker);
                }
            }
            Message::Committed(commit) => self.committed(due.reign, &commit),
            _ => {}
        }
        self.settle(due.reign);
    }

    /// The store carries a commit out, if its owner still owns the cell.
    pub(super) fn committed(&mut self, n: usize, commit: &owner::Commit) {
        let newest = self.reigns.iter().map(|reign| reign.token).max();
        let is_up = self.is_store_up();
        let reign = &mut self.reigns[n];
        reign.is_committing = false;
        if !is_up {
            reign.owner.commit_failed(commit);
            return;
        }
        if Some(reign.token) != newest {
            reign.is_over = true;
            return;
        }
        reign.owner.committed(commit);
        self.report.commits += 1;
        if let Some(learnt) = &commit.model {
            self.learnt.clone_from(learnt);
        }
        for entry in &commit.enrolled {
            self.roster.insert(entry.id.clone(), entry.clone());
        }
        for id in &commit.removed_workers {
            self.roster.remove(id);
        }
        for row in &commit.rows {
            self.store(row);
        }
    }

    pub(super) fn advance_owners(&mut self) {
        for n in 0..self.reigns.len() {
            let now = self.now;
            let is_up = self.is_store_up();
            if !is_active(&self.reigns[n], now) {
                continue;
            }
            let waiting = std::mem::take(&mut self.reigns[n].waiting);
            for due in waiting {
                self.at_owner(due);
            }
            if self.is_at(RENEW) && is_up {
                let newest = self.reigns.iter().map(|reign| reign.token).max();
                let reign = &mut self.reigns[n];
                reign.is_over |= Some(reign.token) != newest;
                if !reign.is_over {
                    reign.renewed = now;
                    reign.owner.lease_renewed(now);
                    self.last_renewal = now;
                }
            }
            if self.is_at(LIST) && is_up {
                let list = self.list();
                self.reigns[n].owner.workers_listed(&list, now);
            }
            if self.is_at(FEED) && is_up {
                self.feed(n);
            }
            if self.is_at(TICK) {
                let moment = self.moment();
                let reign = &mut self.reigns[n];
                let is_valid = now.since(reign.renewed) < LEASE || !is_up;
                reign.owner.allow_starts(is_valid && !reign.is_stale);
                reign.owner.tick(&moment);
            }
            self.settle(n);
        }
    }

    /// Tells an owner of rows whose announcement it has missed.
    pub(super) fn feed(&mut self, n: usize) {
        let moment = self.moment();
        let newest = self.version;
        let reign = &mut self.reigns[n];
        for (id, stored) in &self.jobs {
            if stored.version > reign.fed {
                let job = self.settings.arrivals[stored.arrival].job.clone();
                reign.owner.add_job(*id, job, &moment);
            }
            if stored.cancelled.is_some() {
                reign.owner.cancel_job(*id, moment.now);
            }
        }
        reign.fed = newest;
        reign.is_stale = false;
    }

    /// Carries out what an owner has decided.
    pub(super) fn settle(&mut self, n: usize) {
        if !is_active(&self.reigns[n], self.now) {
            return;
        }
        let now = self.now;
        self.reigns[n].owner.place(now);
        for action in self.reigns[n].owner.take_actions() {
            self.carry_out(n, action);
        }
        for worker in 0..self.workers.len() {
            self.look_at(n, worker, false);
        }
        let blind = self.settings.off.stored_first;
        let reign = &mut self.reigns[n];
        if reign.is_committing || !reign.owner.has_commit() {
            return;
        }
        if let Some(commit) = reign.owner.next_commit(now) {
            reign.is_committing = true;
            if blind {
                reign.owner.committed(&commit);
            }
            self.send(n, 0, COMMIT, Message::Committed(commit));
        }
    }

    pub(super) fn look_at(&mut self, n: usize, worker: usize, is_extra: bool) {
        let now = self.now;
        let id = self.workers[worker].id.clone();
        let reign = &mut self.reigns[n];
        let known = reign.owner.worker(&id);
        let is_waiting = known.is_some_and(|w| w.processed_end > w.stored_end);
        if !is_extra && (reign.looked_at.contains(&worker) || is_waiting && self.store_down <= now)
        {
            return;
        }
        let Some(mut order) = reign.owner.poll_request(&id, now) else {
            return;
        };
        if is_extra {
            order.wait = time::Span::ZERO;
        } else {
            reign.looked_at.insert(worker);
        }
        self.send(n, worker, HOP, Message::Look(order, now, is_extra));
    }

    pub(super) fn carry_out(&mut self, n: usize, action: owner::Action) {
        let find = |id: &model::WorkerId| self.workers.iter().position(|w| w.id == *id);
        let (worker, message) = match action {
            owner::Action::Start { worker, order } => (find(&worker), Message::Start(order)),
            owner::Action::Stop { worker, task, attempt } => {
                (find(&worker), Message::Stop(task, attempt))
            }
            owner::Action::Throttle { worker, task, attempt, percent } => {
                self.reigns[n].owner.throttle_confirmed(task, attempt, percent);
                (find(&worker), Message::Pace(task, attempt, percent))
            }
            owner::Action::Poll { worker } => {
                if let Some(worker) = find(&worker) {
                    self.look_at(n, worker, true);
                }
                return;
            }
            owner::Action::RequestAdvice { .. } => return,
            owner::Action::Note(note) => return self.trace(n, &note),
        };
        let Some(worker) = worker else { return };
        if self.is_late(&message) {
            self.send_late(n, worker, message);
            return;
        }
        self.send(n, worker, HOP, message);
    }

    pub(super) fn trace(&mut self, n: usize, note: &owner::Note) {
        let Some(wanted) = &self.settings.trace else {
            return;
        };
        let text = format!("{note:?}");
        if text.contains(wanted) {
            let at = self.now.0 / 1_000;
            self.report.trace.push(format!("{at} owner {} {text}", self.reigns[n].token));
        }
    }
}

pub(super) fn is_active(reign: &Reign, now: time::Timestamp) -> bool {
    !reign.is_dead && !reign.is_over && now >= reign.frozen_until
}
