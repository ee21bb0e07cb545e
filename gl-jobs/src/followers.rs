//! What the owner of a cell knows of its followers: the daemons that may claim the cell.

use std::collections;

use gl_model::time;

use crate::election;

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
