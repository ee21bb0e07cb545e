//! The daemons beside the owner: their health checks of the store, and their heartbeats to the owner that
//! they follow.

use gl_jobs::election;
use gl_model::time;

use super::messages::Message;
use super::{MESSAGE_DELAY, Simulation};

/// The number of daemons beside the owner.
pub(super) const FOLLOWERS: usize = 5;
/// Every daemon whose number is a multiple of this is on the side of the owner in a split.
const SPLIT_FOLLOWERS: usize = 3;
/// The interval of heartbeats.
const HEARTBEAT_INTERVAL: time::Span = time::Span::millis(300);

impl Simulation {
    /// Has all daemons that reach the store call it, and send their heartbeats when these are due.
    pub(super) fn advance_daemons(&mut self) {
        let now = self.now;
        for n in 0..FOLLOWERS {
            if self.is_store_up() && !self.is_split_off(n) {
                self.store_calls[n] = now;
            }
        }
        for n in 0..self.ownerships.len() {
            if self.is_store_up_for(n) {
                self.ownerships[n].store_call = now;
            }
        }
        if self.is_due(HEARTBEAT_INTERVAL) {
            (0..FOLLOWERS).for_each(|n| self.send_heartbeat(n));
        }
    }

    /// Returns whether a daemon is on the side of the owner in a split.
    fn is_split_off(&self, daemon: usize) -> bool {
        self.split_owner().is_some() && daemon.is_multiple_of(SPLIT_FOLLOWERS)
    }

    fn send_heartbeat(&mut self, daemon: usize) {
        let split = self.split_owner();
        let newest = self.ownerships.len().checked_sub(1);
        let owner =
            if self.is_split_off(daemon) { split } else { newest.filter(|n| split != Some(*n)) };
        let Some(owner) = owner else { return };
        let is_store_up = has_called(self.store_calls[daemon], self.now);
        let message = Message::Heartbeat(format!("daemon-{daemon}"), is_store_up);
        self.send(owner, 0, MESSAGE_DELAY, message);
    }

    /// Decides what an owner may do at a tick: order new runs, and extend leases without the store.
    pub(super) fn update_permissions(&mut self, n: usize) {
        let now = self.now;
        let ownership = &mut self.ownerships[n];
        ownership.followers.drop_silent(now);
        let outage = election::Outage {
            owner_cut_off: !has_called(ownership.store_call, now),
            followers_cut_off: ownership.followers.is_store_down(now),
            is_stale: ownership.is_stale,
        };
        let is_leased = now.since(ownership.renewed_at) < super::owners::LEASE_DURATION;
        let is_valid = is_leased || outage.followers_cut_off;
        let may_start = is_valid && !ownership.is_stale;
        let until = if may_start { now + super::owners::LEASE_DURATION } else { now };
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

/// Returns whether a daemon whose last call succeeded at `at` counts the store as reachable.
fn has_called(at: time::Timestamp, now: time::Timestamp) -> bool {
    now.since(at) < election::STORE_DOWN_TIMEOUT
}
