//! What the owner of the cell knows of its followers.

use std::collections;

use gl_jobs::election;
use gl_model::time;

use super::{event, outage_rule, ownership};
use crate::clock;

/// Time for which a follower without heartbeats still counts as a daemon that may claim the cell.
const FOLLOWER_RETENTION: time::Span = time::Span::seconds(20);

/// Last heartbeat received from a follower.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Heartbeat {
    at: time::Timestamp,
    is_store_up: bool,
}

impl Heartbeat {
    fn is_current(&self, now: time::Timestamp) -> bool {
        now.since(self.at) < election::HEARTBEAT_VALIDITY
    }
}

/// The followers from which the owner has received heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Followers {
    /// Those that count as daemons that may claim the cell.
    counted: collections::BTreeMap<String, Heartbeat>,
    /// Those that do not count any more, with the time of the last heartbeat.
    silent: collections::BTreeMap<String, time::Timestamp>,
}

/// A follower that does not count any more, or counts again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Name of the daemon.
    pub daemon: String,
    /// Time since its last heartbeat.
    pub span: time::Span,
}

/// Numbers of followers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Census {
    /// Those that count as daemons that may claim the cell.
    pub counted: usize,
    /// Those among them whose last heartbeat is current.
    pub heard: usize,
    /// Those among them that could not reach the store at their last heartbeat.
    pub store_down: usize,
    /// Time since the oldest of their last heartbeats.
    pub oldest: Option<time::Span>,
    /// Those that do not count any more, as they were silent for too long.
    pub silent: usize,
}

impl Followers {
    /// Records a follower's heartbeat. Returns the silence before it, if the follower did not count any
    /// more.
    pub fn heard(
        &mut self,
        daemon: String,
        is_store_up: bool,
        now: time::Timestamp,
    ) -> Option<Silence> {
        let silent_since = self.silent.remove(&daemon);
        let silence =
            silent_since.map(|at| Silence { daemon: daemon.clone(), span: now.since(at) });
        self.counted.insert(daemon, Heartbeat { at: now, is_store_up });
        silence
    }

    /// Stops to count the followers that were silent for too long, and returns them.
    pub fn drop_silent(&mut self, now: time::Timestamp) -> Vec<Silence> {
        let is_silent = |heartbeat: &Heartbeat| now.since(heartbeat.at) >= FOLLOWER_RETENTION;
        let dropped = self.counted.extract_if(.., |_, heartbeat| is_silent(heartbeat));
        let drop = |(daemon, heartbeat): (String, Heartbeat)| {
            self.silent.insert(daemon.clone(), heartbeat.at);
            Silence { daemon, span: now.since(heartbeat.at) }
        };
        dropped.map(drop).collect()
    }

    /// Returns whether a follower can reach the store, and has reached it since the owner's last
    /// successful call at `last_success`.
    pub fn is_store_up(&self, last_success: time::Timestamp, now: time::Timestamp) -> bool {
        self.counted.values().any(|heartbeat| {
            heartbeat.is_store_up
                && heartbeat.is_current(now)
                && election::has_reached_store_since(last_success, heartbeat.at)
        })
    }

    /// Returns whether there are followers that count and none of them can reach the store. A follower
    /// without a current heartbeat may be able to reach it, and the result is then false.
    pub fn is_store_down(&self, now: time::Timestamp) -> bool {
        let is_store_down =
            |heartbeat: &Heartbeat| heartbeat.is_current(now) && !heartbeat.is_store_up;
        !self.counted.is_empty() && self.counted.values().all(is_store_down)
    }

    /// Returns the numbers of followers.
    pub fn census(&self, now: time::Timestamp) -> Census {
        let counted = self.counted.values();
        Census {
            counted: counted.len(),
            heard: counted.clone().filter(|heartbeat| heartbeat.is_current(now)).count(),
            store_down: counted.clone().filter(|heartbeat| !heartbeat.is_store_up).count(),
            oldest: counted.map(|heartbeat| now.since(heartbeat.at)).max(),
            silent: self.silent.len(),
        }
    }
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

    /// Returns whether there are followers and none of them can reach the store.
    pub(super) fn is_store_down_for_followers(&self, now: time::Timestamp) -> bool {
        let mut followers = self.followers.borrow_mut();
        for Silence { daemon, span } in followers.drop_silent(now) {
            let silent_ms = span.as_millis();
            event::emit(&event::Event::FollowerSilent { follower: &daemon, silent_ms });
        }
        followers.is_store_down(now)
    }

    /// Reports the followers in the metrics, and in the log if `state` tells that the owner has begun or
    /// stopped to go on without the store.
    pub(super) fn report_outage_rule(&self, state: outage_rule::State, now: time::Timestamp) {
        let census = self.followers.borrow().census(now);
        self.node.metrics.followers(census.counted, census.silent);
        let Some(changes) = self.outage_rule.borrow_mut().update(state.is_in_force(), now) else {
            return;
        };
        event::emit(&event::Event::OutageRule {
            active: state.is_in_force(),
            lease_left_ms: state.lease_left.as_millis(),
            cut_off: state.is_cut_off,
            stale: state.is_stale,
            followers: census.counted,
            heard: census.heard,
            store_down: census.store_down,
            oldest_ms: census.oldest.map(time::Span::as_millis),
            silent: census.silent,
            changes,
        });
    }
}
