//! The daemons: their health checks of the store, the heartbeats of those that do not own the cell, and
//! which of them may claim it.

use gl_jobs::{claimants, election};
use gl_model::time;

use super::messages::Message;
use super::owners::{LEASE_DURATION, is_active};
use super::{MESSAGE_DELAY, Simulation};

/// The number of daemons.
pub(super) const DAEMONS: usize = 6;
/// Every daemon whose number differs from that of the owner by a multiple of this is on the owner's side
/// in a split.
const SPLIT_DAEMONS: usize = 3;
/// The interval of heartbeats.
const HEARTBEAT_INTERVAL: time::Span = time::Span::millis(300);

fn name(daemon: usize) -> String {
    format!("daemon-{daemon}")
}

impl Simulation {
    /// Has all daemons that reach the store call it, and send their heartbeats when these are due.
    pub(super) fn advance_daemons(&mut self) {
        for daemon in 0..DAEMONS {
            if self.is_store_up() && !self.is_split_off(daemon) {
                self.store_calls[daemon] = self.now;
            }
        }
        if self.is_due(HEARTBEAT_INTERVAL) {
            (0..DAEMONS).for_each(|daemon| self.send_heartbeat(daemon));
        }
    }

    /// Returns whether a daemon is on the side of the owner in a split.
    fn is_split_off(&self, daemon: usize) -> bool {
        self.split_owner().is_some_and(|owner| {
            daemon.abs_diff(self.ownerships[owner].daemon).is_multiple_of(SPLIT_DAEMONS)
        })
    }

    fn send_heartbeat(&mut self, daemon: usize) {
        let split = self.split_owner();
        let newest = self.ownerships.len().checked_sub(1);
        let owner =
            if self.is_split_off(daemon) { split } else { newest.filter(|n| split != Some(*n)) };
        let Some(owner) = owner.filter(|owner| self.ownerships[*owner].daemon != daemon) else {
            return;
        };
        let is_store_up = self.has_called(daemon);
        let message = Message::Heartbeat(name(daemon), is_store_up);
        self.send(owner, 0, MESSAGE_DELAY, message);
    }

    /// Returns whether a daemon counts the store as reachable.
    fn has_called(&self, daemon: usize) -> bool {
        self.now.since(self.store_calls[daemon]) < election::STORE_DOWN_TIMEOUT
    }

    /// Returns a daemon that may claim the cell, whose last owner has ended or not.
    pub(super) fn claiming_daemon(&self, has_ended: bool) -> Option<usize> {
        let own = self.ownerships.last().filter(|o| is_active(o, self.now)).map(|o| o.daemon);
        let is_outsider = |daemon: &usize| {
            let standing = claimants::standing(Some(&self.claimants), &name(*daemon));
            standing == claimants::Standing::Outsider
        };
        let is_over = self.now.since(self.last_renewal) >= claimants::OUTSIDER_TIMEOUT;
        let may_claim = |daemon: &usize| {
            Some(*daemon) != own
                && !self.is_split_off(*daemon)
                && (has_ended || is_over || !is_outsider(daemon))
        };
        (0..DAEMONS).find(may_claim)
    }

    /// Returns the claimants that the claim of a daemon stores.
    pub(super) fn claimants_after_claim(&self, daemon: usize) -> claimants::Names {
        self.claimants.iter().filter(|other| **other != name(daemon)).cloned().collect()
    }

    /// Stores the claimants of an owner if they have changed.
    pub(super) fn store_claimants(&mut self, n: usize) {
        let ownership = &mut self.ownerships[n];
        if let Some(names) = ownership.claimants.to_store(&ownership.followers, self.now) {
            ownership.claimants.settled(names.clone());
            self.claimants = names;
        }
    }

    /// Decides what an owner may do at a tick: order new runs, and extend leases without the store.
    pub(super) fn update_permissions(&mut self, n: usize) {
        let now = self.now;
        let is_cut_off = !self.has_called(self.ownerships[n].daemon);
        let ownership = &mut self.ownerships[n];
        ownership.followers.drop_silent(now);
        let (followers, renewed) = (&ownership.followers, ownership.renewed_at);
        let outage = election::Outage {
            owner_cut_off: is_cut_off,
            followers_cut_off: ownership.claimants.are_cut_off(followers, renewed, now),
            is_stale: ownership.is_stale,
        };
        let is_leased = now.since(ownership.renewed_at) < LEASE_DURATION;
        let is_valid = is_leased || outage.followers_cut_off;
        let may_start = is_valid && !ownership.is_stale;
        let until = if may_start { now + LEASE_DURATION } else { now };
        ownership.owner.allow_starts(until);
        ownership.owner.set_store_down(outage.owner_cut_off && outage.followers_cut_off);
        if let Some(at) = election::no_claim_before(outage, now) {
            ownership.owner.claims_excluded(at);
        }
    }

    /// Records a heartbeat at the owner.
    pub(super) fn heartbeat_received(&mut self, owner: usize, daemon: String, is_store_up: bool) {
        let followers = &mut self.ownerships[owner].followers;
        followers.heard(daemon, is_store_up, self.now);
    }
}
