//! What the owner of the cell knows of its followers.

use gl_jobs::followers::{self, Silence};
use gl_model::time;

use super::{event, outage_rule, ownership};
use crate::clock;

impl ownership::Ownership {
    /// Records a follower's heartbeat.
    pub fn heartbeat_received(
        &self,
        daemon: String,
        report: followers::Report,
        wall: Option<time::Timestamp>,
    ) {
        let now = clock::steady();
        if let Some(wall) = wall {
            self.wall_clock.borrow_mut().heard(&daemon, wall, now);
        }
        let mut followers = self.followers.borrow_mut();
        if !followers.is_known(&daemon) {
            self.follower_wake.notify_one();
        }
        let silence = followers.heard(daemon, report, now);
        drop(followers);
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

    /// Returns a time after which all claimants have reported that they cannot reach the store, if these
    /// reports count.
    pub(super) fn cut_off_after(&self, now: time::Timestamp) -> Option<time::Timestamp> {
        let mut followers = self.followers.borrow_mut();
        for Silence { daemon, span } in followers.drop_silent(now) {
            let silent_ms = span.as_millis();
            event::emit(&event::Event::FollowerSilent { follower: &daemon, silent_ms });
        }
        self.claimants.borrow().cut_off_after(&followers, self.renewed_at(), now)
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
