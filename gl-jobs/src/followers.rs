//! What the owner of a cell hears of its followers.

use std::collections;

use gl_model::time;

use crate::election;

/// Time for which a follower without heartbeats remains known.
pub(crate) const RETENTION: time::Span = time::Span::seconds(20);

/// Time for which a report of an outage counts, from the earliest time at which it can have been made. It
/// covers a lost heartbeat.
pub const REPORT_VALIDITY: time::Span = time::Span::millis(1_500);

/// Time after its own report of an outage for which a daemon claims no cell from an owner that may go on.
/// Longer than the validity by the drift of clocks.
pub const REPORT_TIMEOUT: time::Span = time::Span::millis(1_600);

/// A follower's report of whether it can reach the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Whether it can.
    pub is_store_up: bool,
    /// The owner's clock in the newest reply that the follower had, if it had any. The report is not older,
    /// however late it arrives.
    pub after: Option<time::Timestamp>,
}

impl Report {
    /// Returns the report of a daemon that has `clock` from the owner. While a claim of its own may take
    /// effect, a report of an outage must not count.
    pub fn new(is_store_up: bool, clock: Option<time::Timestamp>, has_open_claim: bool) -> Self {
        Self { is_store_up, after: clock.filter(|_| !has_open_claim) }
    }
}

/// Last heartbeat received from a follower.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Heartbeat {
    at: time::Timestamp,
    report: Report,
}

impl Heartbeat {
    fn is_current(&self, now: time::Timestamp) -> bool {
        now.since(self.at) < election::HEARTBEAT_VALIDITY
    }
}

/// The followers from which the owner has received heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Followers {
    /// Those that were heard within the retention.
    known: collections::BTreeMap<String, Heartbeat>,
    /// Those that were silent for longer, with the time of the last heartbeat.
    silent: collections::BTreeMap<String, time::Timestamp>,
}

/// A follower that is not known any more, or known again.
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
    /// Those that were heard within the retention.
    pub known: usize,
    /// Those among them whose last heartbeat is current.
    pub heard: usize,
    /// Those among them that could not reach the store at their last heartbeat.
    pub store_down: usize,
    /// Time since the oldest of their last heartbeats.
    pub oldest: Option<time::Span>,
    /// Those that were silent for longer.
    pub silent: usize,
}

impl Followers {
    /// Records a follower's heartbeat. Returns the silence before it, if the follower was not known any
    /// more.
    pub fn heard(
        &mut self,
        daemon: String,
        report: Report,
        now: time::Timestamp,
    ) -> Option<Silence> {
        let silent_since = self.silent.remove(&daemon);
        let silence =
            silent_since.map(|at| Silence { daemon: daemon.clone(), span: now.since(at) });
        self.known.insert(daemon, Heartbeat { at: now, report });
        silence
    }

    /// Returns whether a follower was heard within the retention.
    pub fn is_known(&self, daemon: &str) -> bool {
        self.known.contains_key(daemon)
    }

    /// Forgets the followers that were silent for too long, and returns them.
    pub fn drop_silent(&mut self, now: time::Timestamp) -> Vec<Silence> {
        let is_silent = |heartbeat: &Heartbeat| now.since(heartbeat.at) >= RETENTION;
        let dropped = self.known.extract_if(.., |_, heartbeat| is_silent(heartbeat));
        let drop = |(daemon, heartbeat): (String, Heartbeat)| {
            self.silent.insert(daemon.clone(), heartbeat.at);
            Silence { daemon, span: now.since(heartbeat.at) }
        };
        dropped.map(drop).collect()
    }

    /// Returns whether a follower can reach the store, and has reached it since the owner's last
    /// successful call at `last_success`.
    pub fn is_store_up(&self, last_success: time::Timestamp, now: time::Timestamp) -> bool {
        self.known.values().any(|heartbeat| {
            heartbeat.report.is_store_up
                && heartbeat.is_current(now)
                && election::has_reached_store_since(last_success, heartbeat.at)
        })
    }

    /// Returns a time after which a daemon has reported that it cannot reach the store, if that report
    /// counts at `now`. Without one, it may be able to reach it.
    pub fn cut_off_after(&self, daemon: &str, now: time::Timestamp) -> Option<time::Timestamp> {
        let report = self.known.get(daemon)?.report;
        let after = report.after.filter(|_| !report.is_store_up)?;
        (after <= now && now.since(after) < REPORT_VALIDITY).then_some(after)
    }

    /// Returns the names of the known followers.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.known.keys()
    }

    /// Returns the numbers of followers.
    pub fn census(&self, now: time::Timestamp) -> Census {
        let known = self.known.values();
        Census {
            known: known.len(),
            heard: known.clone().filter(|heartbeat| heartbeat.is_current(now)).count(),
            store_down: known.clone().filter(|heartbeat| !heartbeat.report.is_store_up).count(),
            oldest: known.map(|heartbeat| now.since(heartbeat.at)).max(),
            silent: self.silent.len(),
        }
    }
}
