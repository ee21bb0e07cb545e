//! Owners of the cell, in succession or, after a pause, at the same time.

use std::collections;

use gl_jobs::{claimants, followers, owner, worker as model};
use gl_model::time;

use super::Simulation;
use super::messages::{Delivery, Message};

/// The time that the store takes to commit.
const COMMIT_DELAY: time::Span = time::Span::millis(10);
/// The interval at which an owner reads the directory of workers.
const WORKER_LIST_INTERVAL: time::Span = time::Span::millis(500);
/// The interval at which an owner reads new jobs and cancellations from the store, because it may
/// have missed their announcement.
const CHANGE_FEED_INTERVAL: time::Span = time::Span::millis(400);
/// The interval at which an owner makes its periodic decisions.
const TICK_INTERVAL: time::Span = time::Span::millis(50);
/// The interval at which an owner renews its lease.
const RENEWAL_INTERVAL: time::Span = time::Span::millis(500);
/// The duration of an owner's lease.
pub(super) const LEASE_DURATION: time::Span = time::Span::millis(2_000);

/// One owner's period of ownership of the cell.
pub(super) struct Ownership {
    pub owner: owner::Owner,
    pub token: u64,
    pub is_ended: bool,
    pub is_killed: bool,
    /// Whether the owner has released the cell.
    pub is_released: bool,
    /// The number of the daemon.
    pub daemon: usize,
    /// What it knows of the other daemons.
    pub followers: followers::Followers,
    /// The daemons that may claim the cell in an outage.
    pub claimants: claimants::Claimants,
    /// The time since which its address refuses the connections of other daemons, alive or not.
    pub refused_since: Option<time::Timestamp>,
    /// The time at which it released the cell.
    pub ended_at: Option<time::Timestamp>,
    /// The time at which it has loaded the stored state.
    pub loaded_at: time::Timestamp,
    /// Whether it has.
    pub is_loaded: bool,
    /// The time until which leases may last that earlier owners have extended, if it is known.
    pub inherited_until: Option<time::Timestamp>,
    /// The time from which on no earlier owner orders starts; `None` if none did at the claim.
    pub superseded_at: Option<time::Timestamp>,
    pub paused_until: time::Timestamp,
    pub renewed_at: time::Timestamp,
    pub is_committing: bool,
    /// Messages that arrived while the owner was paused.
    pub backlog: Vec<Delivery>,
    /// Workers with a long poll in progress.
    pub polling: collections::BTreeSet<usize>,
    /// The version of the store up to which the owner has read new jobs.
    pub feed_version: u64,
    /// The time of that read.
    pub feed_read: time::Timestamp,
    /// Whether the owner was paused and has not read the store since.
    pub is_stale: bool,
}

impl Simulation {
    pub(super) fn deliver_to_owner(&mut self, delivery: Delivery) {
        let now = self.now;
        let ownership = &mut self.ownerships[delivery.owner];
        if ownership.is_killed || ownership.is_ended {
            return;
        }
        if now < ownership.paused_until {
            ownership.backlog.push(delivery);
            return;
        }
        let id = self.workers[delivery.worker].id.clone();
        let lost_is_refusal = self.settings.disabled.lost_replies;
        match delivery.message {
            Message::Started(call, task, attempt, answer) => {
                let refused = model::OrderReply::Refused(model::Refusal::Unspecified);
                let reply = if lost_is_refusal && answer.reply == model::OrderReply::Lost {
                    refused
                } else {
                    answer.reply
                };
                ownership.owner.order_answered(&id, call, &answer, now);
                ownership.owner.start_replied(&id, task, attempt, reply, now);
            }
            Message::Stopped(task, attempt, reply) => {
                ownership.owner.stop_replied(&id, task, attempt, reply, now);
            }
            Message::PollReply(call, reply, is_immediate) => {
                self.report.polls += 1;
                match reply {
                    Some(reply) => ownership.owner.poll_replied(&id, call, &reply, now),
                    None if ownership.owner.is_for_incarnation(&id, call.token) => {
                        ownership.owner.poll_failed(&id, now);
                    }
                    None => {}
                }
                if !is_immediate {
                    ownership.polling.remove(&delivery.worker);
                }
            }
            Message::PollRefused(false) => {
                ownership.polling.remove(&delivery.worker);
            }
            Message::Commit(commit) => self.apply_commit(delivery.owner, &commit),
            Message::Heartbeat(daemon, report) => {
                self.heartbeat_received(delivery.owner, daemon, report);
            }
            _ => {}
        }
        self.apply_decisions(delivery.owner);
    }

    /// Applies a commit to the store if its owner still owns the cell.
    pub(super) fn apply_commit(&mut self, n: usize, commit: &owner::Commit) {
        let newest = self.ownerships.iter().map(|ownership| ownership.token).max();
        let is_up = self.is_store_up_for(n);
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
        if let Some(snapshot) = &commit.model {
            self.stored_model.clone_from(snapshot);
        }
        for entry in &commit.enrolled {
            self.roster.insert(entry.worker.id.clone(), entry.clone());
        }
        for row in &commit.vacating {
            self.vacating.insert(row.worker.clone(), row.clone());
        }
        for id in &commit.removed_workers {
            self.roster.remove(id);
        }
        for id in commit.removed_workers.iter().chain(&commit.reopened) {
            self.vacating.remove(id);
        }
        for row in &commit.rows {
            self.store_progress(row);
        }
        for (id, page) in &commit.removed_pages {
            if let Some(job) = self.jobs.get_mut(id) {
                job.pages.remove(page);
            }
        }
    }

    pub(super) fn advance_owners(&mut self) {
        for n in 0..self.ownerships.len() {
            let now = self.now;
            let is_up = self.is_store_up_for(n);
            if !is_active(&self.ownerships[n], now) {
                continue;
            }
            let backlog = std::mem::take(&mut self.ownerships[n].backlog);
            for delivery in backlog {
                self.deliver_to_owner(delivery);
            }
            if self.is_due(RENEWAL_INTERVAL) && is_up {
                let newest = self.ownerships.iter().map(|ownership| ownership.token).max();
                let ownership = &mut self.ownerships[n];
                ownership.is_ended |= Some(ownership.token) != newest;
                if !ownership.is_ended {
                    ownership.renewed_at = now;
                    ownership.owner.lease_renewed(now);
                    let settings = &self.settings.owner;
                    let inherited = ownership.inherited_until.map(|until| until.since(now));
                    let unloaded = inherited.unwrap_or(settings.horizon).max(settings.lease);
                    let is_loaded = ownership.is_loaded;
                    let outstanding =
                        if is_loaded { ownership.owner.outstanding(now) } else { unloaded };
                    self.outstanding = Some(outstanding);
                    let superseded_at = ownership.superseded_at;
                    self.earlier_starts =
                        superseded_at.map_or(time::Span::ZERO, |at| at.since(now));
                    self.last_renewal = now;
                    self.store_claimants(n);
                }
            }
            self.load_due(n);
            if !self.ownerships[n].is_loaded {
                continue;
            }
            if self.is_due(WORKER_LIST_INTERVAL) && is_up {
                let list = self.listed_workers();
                self.ownerships[n].owner.workers_listed(&list, now, now);
            }
            if self.is_due(CHANGE_FEED_INTERVAL) && is_up {
                self.read_feed(n);
            }
            if self.is_due(TICK_INTERVAL) {
                self.update_permissions(n);
                let moment = self.moment();
                self.ownerships[n].owner.tick(&moment);
            }
            self.apply_decisions(n);
        }
    }

    /// Passes jobs and cancellations to an owner that may have missed their announcement.
    pub(super) fn read_feed(&mut self, n: usize) {
        let moment = self.moment();
        let newest = self.version;
        let owner = self.ownerships.iter().map(|ownership| ownership.token).max();
        let ownership = &mut self.ownerships[n];
        ownership.is_ended |= Some(ownership.token) != owner;
        if ownership.is_ended {
            return;
        }
        let after = ownership.feed_read;
        ownership.feed_read = moment.now;
        for (id, stored) in &self.jobs {
            if stored.version > ownership.feed_version {
                let job = self.settings.arrivals[stored.arrival].job.clone();
                ownership.owner.add_read_job(*id, job, after, &moment);
            }
            if stored.cancelled.is_some() {
                ownership.owner.cancel_job(*id, moment.now);
            }
        }
        ownership.owner.work_read(moment.now);
        ownership.owner.store_clock_read(store_clock(moment.now));
        ownership.feed_version = newest;
        ownership.is_stale = false;
    }

    /// Places tasks and carries out the owner's decisions: actions, polls and commits.
    pub(super) fn apply_decisions(&mut self, n: usize) {
        if !is_active(&self.ownerships[n], self.now) || !self.ownerships[n].is_loaded {
            return;
        }
        let now = self.now;
        self.ownerships[n].owner.place(now);
        for action in self.ownerships[n].owner.take_actions() {
            self.execute(n, action);
        }
        for worker in 0..self.workers.len() {
            self.poll_worker(n, worker, false);
        }
        let acknowledges_early = self.settings.disabled.store_before_ack;
        let ownership = &mut self.ownerships[n];
        if ownership.is_committing || !ownership.owner.has_commit() {
            return;
        }
        if let Some(commit) = ownership.owner.next_commit(now) {
            ownership.is_committing = true;
            if acknowledges_early {
                ownership.owner.committed(&commit);
            }
            self.send(n, 0, COMMIT_DELAY, Message::Commit(commit));
        }
    }

    pub(super) fn poll_worker(&mut self, n: usize, worker: usize, is_immediate: bool) {
        let now = self.now;
        let id = self.workers[worker].id.clone();
        let ownership = &mut self.ownerships[n];
        let state = ownership.owner.worker(&id);
        let has_unstored_end = state.is_some_and(|w| w.processed_end > w.stored_end);
        if !is_immediate
            && (ownership.polling.contains(&worker) || has_unstored_end && self.outage_end <= now)
        {
            return;
        }
        let Some(mut request) = ownership.owner.poll_request(&id, now) else {
            return;
        };
        if is_immediate {
            request.wait = time::Span::ZERO;
        } else {
            ownership.polling.insert(worker);
        }
        self.call(n, worker, Message::Poll(request, now, is_immediate));
    }

    pub(super) fn execute(&mut self, n: usize, action: owner::Action) {
        let find = |id: &model::WorkerId| self.workers.iter().position(|w| w.id == *id);
        let (worker, message) = match action {
            owner::Action::Start { worker, order } => {
                (find(&worker), Message::Start(order, self.now))
            }
            owner::Action::Stop { worker, task, attempt } => {
                let token = self.ownerships[n].owner.call_token(&worker).unwrap_or_default();
                (find(&worker), Message::Stop(token, task, attempt))
            }
            owner::Action::Throttle { worker, task, attempt, percent } => {
                self.report.colocation.limits += 1;
                self.ownerships[n].owner.throttle_confirmed(task, attempt, percent);
                let token = self.ownerships[n].owner.call_token(&worker).unwrap_or_default();
                (find(&worker), Message::SetCpuLimit(token, task, attempt, percent))
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
        self.call(n, worker, message);
    }
}

/// Returns a reading of the store's clock, which is two minutes ahead of all others.
pub(super) fn store_clock(now: time::Timestamp) -> owner::StoreClock {
    owner::StoreClock { clock: now + time::Span::seconds(120), sent: now, at: now }
}

pub(super) fn is_active(ownership: &Ownership, now: time::Timestamp) -> bool {
    !ownership.is_killed && !ownership.is_ended && now >= ownership.paused_until
}
