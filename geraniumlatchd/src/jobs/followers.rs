//! What the owner of the cell knows of its followers.

use gl_jobs::election;
use gl_model::time;

use super::ownership;
use crate::clock;

/// Time for which a follower without heartbeats still counts as a daemon that may claim the cell.
const FOLLOWER_RETENTION: time::Span = time::Span::seconds(20);

/// Last heartbeat received from a follower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Heartbeat {
    at: time::Timestamp,
    is_store_up: bool,
}

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
        let heartbeat = Heartbeat { at: now, is_store_up };
        self.followers.borrow_mut().insert(daemon, heartbeat);
    }

    /// Returns whether a follower can reach the store while this daemon cannot, so that it can own
    /// the cell instead.
    pub(super) fn is_store_up_for_follower(&self, now: time::Timestamp) -> bool {
        let last_success = self.node.store_health().last_success;
        let followers = self.followers.borrow();
        followers.values().any(|heartbeat| {
            heartbeat.is_store_up
                && now.since(heartbeat.at) < election::HEARTBEAT_VALIDITY
                && election::has_reached_store_since(last_success, heartbeat.at)
        })
    }

    /// Returns whether there are followers and none of them can reach the store. A follower without
    /// a recent heartbeat may be able to reach it, and the result is then false.
    pub(super) fn is_store_down_for_followers(&self, now: time::Timestamp) -> bool {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|_, heartbeat| now.since(heartbeat.at) < FOLLOWER_RETENTION);
        let is_store_down = |heartbeat: &Heartbeat| {
            now.since(heartbeat.at) < election::HEARTBEAT_VALIDITY && !heartbeat.is_store_up
        };
        !followers.is_empty() && followers.values().all(is_store_down)
    }
}
