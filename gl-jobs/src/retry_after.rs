//! The time after which a client should repeat a request that was refused during an outage.
//!
//! Clients give a request 3 s and repeat it 4 times, and outages of the store last for 2.5 s to 9 s. A
//! client that repeats its request each second gives up in the first half of a long outage; one that
//! waits much longer returns long after the end of a short one.

use std::{collections, hash};

use gl_model::time;

/// The shortest time.
pub const MIN: time::Span = time::Span::seconds(1);
/// The longest time.
pub const MAX: time::Span = time::Span::seconds(10);
/// The number of times that a client repeats a request.
const REPETITIONS: f64 = 4.0;
/// The part of the time that is added at most, to spread clients.
const SPREAD: f64 = 0.5;
/// The number of earlier outages that are remembered.
const MAX_RECENT: usize = 4;
/// The time after which an earlier outage says nothing about the present one.
const RELEVANCE: time::Span = time::Span::seconds(600);
/// The shortest outage that is remembered. Single lost replies are shorter.
const MIN_OUTAGE: time::Span = time::Span::millis(500);

/// What a daemon knows about the outages of one dependency.
#[derive(Clone, Debug, PartialEq)]
pub struct Outages {
    /// The longest outage to expect while none is remembered.
    usual: time::Span,
    since: Option<time::Timestamp>,
    recent: collections::VecDeque<Ended>,
}

/// An outage that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Ended {
    length: time::Span,
    at: time::Timestamp,
}

impl Outages {
    /// Creates a history without outages, of a dependency whose outages usually last for `usual` at
    /// most.
    pub const fn new(usual: time::Span) -> Self {
        Self { usual, since: None, recent: collections::VecDeque::new() }
    }

    /// Records that the dependency has failed at `now`. It has last worked at `worked_at`.
    pub fn failed(&mut self, worked_at: time::Timestamp, now: time::Timestamp) {
        self.since.get_or_insert(worked_at.min(now));
    }

    /// Records that the dependency works at `now`.
    pub fn recovered(&mut self, now: time::Timestamp) {
        let Some(since) = self.since.take() else { return };
        let length = now.since(since);
        if length < MIN_OUTAGE {
            return;
        }
        self.recent.truncate(MAX_RECENT - 1);
        self.recent.push_front(Ended { length, at: now });
    }

    /// Returns the time since which the dependency has not worked, if there is an outage.
    pub const fn since(&self) -> Option<time::Timestamp> {
        self.since
    }

    /// Returns the time after which a request that is refused at `now` should be repeated, in whole
    /// seconds. Requests with other values of `key` get other times, and so does a repetition.
    pub fn retry_after(&self, key: u64, now: time::Timestamp) -> time::Span {
        let elapsed = self.since.map(|since| now.since(since));
        let base = elapsed.map_or(MIN, |elapsed| base(elapsed, self.longest(now)));
        spread(base, key, elapsed.unwrap_or_default())
    }

    /// Returns the longest outage to expect.
    fn longest(&self, now: time::Timestamp) -> time::Span {
        let is_relevant = |ended: &&Ended| now.since(ended.at) < RELEVANCE;
        let recent = self.recent.iter().filter(is_relevant).map(|ended| ended.length);
        recent.max().unwrap_or(self.usual)
    }
}

/// Returns the time to wait when an outage has lasted for `elapsed` and is expected to last for
/// `longest` at most, or longer if it has already. A client's repetitions together last that long.
fn base(elapsed: time::Span, longest: time::Span) -> time::Span {
    longest.max(elapsed).scaled(1.0 / REPETITIONS).clamp(MIN, MAX)
}

/// Adds up to [`SPREAD`] and rounds to whole seconds, both by a hash. HTTP states the time in whole
/// seconds; rounding by the hash keeps the mean, where rounding up would send all clients back together.
fn spread(base: time::Span, key: u64, elapsed: time::Span) -> time::Span {
    use hash::{Hash as _, Hasher as _};
    let mut hasher = hash::DefaultHasher::new();
    (key, elapsed.as_millis() / MIN.as_millis()).hash(&mut hasher);
    let hash = hasher.finish();
    let fraction = |bits: u64| (bits & u64::from(u32::MAX)) as f64 / f64::from(u32::MAX);
    let spread = base.as_seconds() * (1.0 + SPREAD * fraction(hash));
    let whole = MIN.scaled((spread + fraction(hash >> u32::BITS)).floor());
    whole.clamp(MIN, MAX)
}

/// Returns the key of a request that has no job: a hash of its address.
pub fn key_of(path: &str) -> u64 {
    use hash::{Hash as _, Hasher as _};
    let mut hasher = hash::DefaultHasher::new();
    path.hash(&mut hasher);
    hasher.finish()
}
