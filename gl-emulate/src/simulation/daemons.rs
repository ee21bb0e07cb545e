//! The daemons: their health checks of the store, the heartbeats of those that do not own the cell, and
//! which of them may claim it.

use gl_jobs::{claimants, election, followers};
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
/// The interval at which each daemon calls the store.
const STORE_INTERVAL: time::Span = time::Span::millis(700);
/// The time after which a daemon without replies gives a connection up. What it has sent by then arrives
/// once the split has ended.
const CONNECTION_TIMEOUT: time::Span = time::Span::millis(600);

fn name(daemon: usize) -> String {
    format!("daemon-{daemon}")
}

impl Simulation {
    /// Has all daemons that reach the store call it, and send their heartbeats when these are due.
    pub(super) fn advance_daemons(&mut self) {
        for daemon in 0..DAEMONS {
            if self.is_store_up() && !self.is_split_off(daemon) && self.is_due(STORE_INTERVAL) {
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
        let newest = self.ownerships.len().checked_sub(1);
        let split = self.split.filter(|split| self.now < split.until);
        let own_side = split.filter(|_| self.is_split_off(daemon)).map(|split| split.owner);
        let owner = own_side.or(newest).filter(|owner| self.ownerships[*owner].daemon != daemon);
        let Some(owner) = owner else { return };
        if self.ownerships[owner].refused_since.is_some_and(|at| self.now >= at) {
            return;
        }
        let other_side = split.filter(|split| own_side.is_none() && split.owner == owner);
        let after = match other_side {
            None => MESSAGE_DELAY,
            Some(split) if self.now.since(split.since) < CONNECTION_TIMEOUT => {
                split.until.since(self.now)
            }
            Some(_) => return,
        };
        let heard = self.owner_clocks[daemon].filter(|(known, _)| *known == owner);
        let report = followers::Report {
            is_store_up: self.has_called(daemon),
            after: heard.map(|(_, clock)| clock),
        };
        self.send(owner, 0, after, Message::Heartbeat(daemon, report));
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
        let (known, renewed) = (&ownership.followers, ownership.renewed_at);
        let outage = election::Outage {
            owner_cut_off: is_cut_off,
            cut_off_after: ownership.claimants.cut_off_after(known, renewed, now),
            is_stale: ownership.is_stale,
        };
        let reported = outage.cut_off_after.map_or(now, |after| after + followers::REPORT_VALIDITY);
        let outage_until = reported.min(renewed + claimants::OUTAGE_LIMIT);
        let leased_until = renewed + LEASE_DURATION;
        let until = if ownership.is_stale { now } else { leased_until.max(outage_until) };
        ownership.owner.allow_starts(until);
        let is_store_down = outage.owner_cut_off && outage.cut_off_after.is_some();
        ownership.owner.set_store_down(is_store_down);
        if let Some(at) = election::no_claim_before(outage) {
            ownership.owner.claims_excluded(at);
        }
    }

    /// Records a heartbeat at the owner, which replies with its clock.
    pub(super) fn heartbeat_received(
        &mut self,
        owner: usize,
        daemon: usize,
        report: followers::Report,
    ) {
        self.owner_clocks[daemon] = Some((owner, self.now));
        self.ownerships[owner].followers.heard(name(daemon), report, self.now);
    }
}
