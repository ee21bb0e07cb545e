//! What the owner of the cell knows of its followers.

use gl_jobs::followers::Silence;
use gl_model::time;

use super::{event, lease, outage_rule, ownership};
use crate::clock;

impl ownership::Ownership {
    /// Records a follower's heartbeat.
    pub fn heartbeat_received(
        &self,
        daemon: String,
        is_store_up: bool,
        wall: Option<time::Timestamp>,
    ) {
        let now = clock::steady();
        if let Some(wall) = wall {
            self.wall_clock.borrow_mut().heard(&daemon, wall, now);
        }
        let silence = self.followers.borrow_mut().heard(daemon, is_store_up, now);
        if let Some(Silence { daemon, span }) = silence {
            let silent_ms = span.as_millis();
            event::emit(&event::Event::FollowerBack { follower: &daemon, silent_ms });
        }
    }

    /// Returns whether a follower can reach the store while this daemon cannot, so that it can own
    /// the cell instead.
    pub(super) fn is_store_up_for_follower(&self, now: time::Timestamp) -> bool {
        let last_success = self.node.store_health().last_success;
        self.followers.borrow().is_store_up(last_success, now)
    }

    /// Returns whether no daemon can claim the cell for want of the store.
    pub(super) fn are_claimants_cut_off(&self, now: time::Timestamp) -> bool {
        let mut followers = self.followers.borrow_mut();
        for Silence { daemon, span } in followers.drop_silent(now) {
            let silent_ms = span.as_millis();
            event::emit(&event::Event::FollowerSilent { follower: &daemon, silent_ms });
        }
        let renewed = self.lease_until.get() - lease::DURATION;
        self.claimants.borrow().are_cut_off(&followers, renewed, now)
    }

    /// Reports the followers in the metrics, and in the log if `state` tells that the owner has begun or
    /// stopped to go on without the store.
    pub(super) fn report_outage_rule(&self, state: outage_rule::State, now: time::Timestamp) {
        let census = self.followers.borrow().census(now);
        let claimants = self.claimants.borrow().count();
        self.node.metrics.followers(claimants, census.silent);
        let Some(changes) = self.outage_rule.borrow_mut().update(state.is_in_force(), now) else {
            return;
        };
        event::emit(&event::Event::OutageRule {
            active: state.is_in_force(),
            lease_left_ms: state.lease_left.as_millis(),
            cut_off: state.is_cut_off,
            stale: state.is_stale,
            claimants,
            followers: census.known,
            heard: census.heard,
            store_down: census.store_down,
            oldest_ms: census.oldest.map(time::Span::as_millis),
            silent: census.silent,
            changes,
        });
    }
}
