//! Claims of the cell by new owners, and its release.

use std::collections;

use gl_jobs::{claimants, election, followers, owner};
use gl_model::time;

use super::Simulation;
use super::owners::{LEASE_DURATION, Ownership, is_active, store_clock};

/// The time without a renewal in the store after which another owner claims the cell.
const TAKEOVER_TIMEOUT: time::Span = time::Span::millis(2_500);

impl Simulation {
    /// Starts the first owner, or a new one if the last one has released the cell or refuses
    /// connections, or if the store has been available without a renewal for the takeover time-out.
    pub(super) fn claim(&mut self) {
        let unrenewed_since = self.last_renewal.max(self.outage_end);
        let is_expired = self.now.since(unrenewed_since) >= TAKEOVER_TIMEOUT;
        let is_released = self.ownerships.last().is_some_and(|ownership| ownership.is_released);
        let is_refusing = self
            .ownerships
            .last()
            .is_some_and(|ownership| !ownership.is_killed && ownership.refused_since.is_some());
        let is_claimable = self.ownerships.is_empty() || is_expired || is_released || is_refusing;
        if !self.is_store_up() || !is_claimable {
            return;
        }
        let has_ended = self.ownerships.last().is_some_and(|last| last.ended_at.is_some());
        let Some(daemon) = self.claiming_daemon(has_ended) else {
            return;
        };
        self.claimants = self.claimants_after_claim(daemon);
        let last_renewal = Some(self.last_renewal).filter(|_| !self.ownerships.is_empty());
        self.last_renewal = self.now;
        self.version += 1;
        let token = self.version;
        let owner = owner::Owner::new(self.settings.owner, token, self.now);
        let skips_recovery = self.settings.disabled.recovery;
        let ended_at = self.ownerships.last().and_then(|ownership| ownership.ended_at);
        let last = election::LastOwner {
            ended: ended_at.map(|at| election::Ended { at, outstanding: self.outstanding }),
            renewal_read: last_renewal.unwrap_or_default(),
            earlier_starts: self.earlier_starts,
            refused_since: self.ownerships.last().and_then(|ownership| ownership.refused_since),
            unrenewed_since: last_renewal,
            outage_reported: self.outage_end,
            standing: claimants::Standing::Claimant,
        };
        let settings = &self.settings.owner;
        let outstanding =
            election::outstanding(&last, settings.horizon, settings.clock_drift, self.now);
        let starts = election::starts_left(&last, LEASE_DURATION, settings.clock_drift, self.now);
        let starts = if skips_recovery { time::Span::ZERO } else { starts };
        self.earlier_starts = starts;
        let carried = outstanding.unwrap_or(settings.horizon).max(settings.lease);
        self.outstanding = Some(carried);
        self.ownerships.push(Ownership {
            owner,
            token,
            is_ended: false,
            is_killed: false,
            is_released: false,
            daemon,
            claimants: claimants::Claimants::inherit(self.claimants.clone(), self.now),
            followers: followers::Followers::default(),
            refused_since: None,
            ended_at: None,
            loaded_at: self.now + self.settings.load_time,
            is_loaded: false,
            inherited_until: outstanding.map(|left| self.now + left),
            superseded_at: (starts > time::Span::ZERO).then(|| self.now + starts),
            paused_until: time::Timestamp::default(),
            renewed_at: self.now,
            is_committing: false,
            backlog: Vec::new(),
            polling: collections::BTreeSet::new(),
            feed_version: token,
            feed_read: self.now,
            is_stale: false,
        });
        self.load_due(self.ownerships.len() - 1);
    }

    /// Loads the stored state for an owner once it has had the time for that.
    pub(super) fn load_due(&mut self, n: usize) {
        let now = self.now;
        let is_up = self.is_store_up_for(n);
        let ownership = &self.ownerships[n];
        if !is_up || ownership.is_loaded || now < ownership.loaded_at {
            return;
        }
        let skips_recovery = self.settings.disabled.recovery;
        let stored = self.jobs.iter().map(|(id, job)| owner::StoredJob {
            id: *id,
            job: self.settings.arrivals[job.arrival].job.clone(),
            progress: job.progress(),
            pages: job.pages.keys().copied().collect(),
            is_cancelled: job.cancelled.is_some(),
            is_inherited: !skips_recovery && job.version < ownership.token,
        });
        let takeover = owner::Takeover {
            jobs: stored.collect(),
            roster: self.roster.values().cloned().collect(),
            vacating: self.vacating.values().cloned().collect(),
            outstanding: ownership.inherited_until.map(|until| until.since(now)),
            superseded_at: ownership.superseded_at,
        };
        let (list, moment) = (self.listed_workers(), self.moment());
        let newest = self.version;
        let ownership = &mut self.ownerships[n];
        let owner = &mut ownership.owner;
        owner.workers_listed(&list, now, now);
        owner.store_clock_read(store_clock(now));
        owner.recover(takeover, &moment);
        owner.work_read(now);
        owner.restore_model(&self.stored_model);
        ownership.is_loaded = true;
        ownership.feed_version = newest;
        ownership.feed_read = now;
    }

    /// Ends the ownership as a daemon does that is shutting down: pending decisions are stored, and
    /// another daemon can claim the cell at once. Without the store, the others only notice that the
    /// process has terminated.
    pub(super) fn release_owner(&mut self) {
        let now = self.now;
        let newest = self.ownerships.iter().map(|ownership| ownership.token).max();
        let is_owner = |o: &Ownership| is_active(o, now) && Some(o.token) == newest;
        let Some(n) = self.ownerships.iter().position(is_owner) else {
            return;
        };
        let is_up = self.is_store_up_for(n);
        while is_up && !self.ownerships[n].is_ended {
            let Some(commit) = self.ownerships[n].owner.next_commit(now) else {
                break;
            };
            self.apply_commit(n, &commit);
        }
        let ownership = &mut self.ownerships[n];
        ownership.is_ended = true;
        ownership.is_released = true;
        ownership.ended_at = Some(now);
        let outstanding = ownership.owner.outstanding(now);
        if is_up {
            self.outstanding = Some(outstanding);
        }
    }
}
