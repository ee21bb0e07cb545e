//! The line of the first reply of an incarnation of a worker.

use gl_jobs::owner;
use gl_model::time;

/// The first reply of an incarnation to a call of its own, which had `token`. It reports `runs`, and lists
/// `ends`, the first with the number `first_end`: `missed_ends` were acknowledged before, and not received.
/// `open_starts` orders to the worker had no answer; `attempts` are the highest three.
#[derive(serde::Serialize)]
pub struct LifetimeBegan<'a> {
    worker: &'a str,
    incarnation: u64,
    previous_incarnation: u64,
    token: u64,
    clock_ms: u64,
    silent_ms: Option<u64>,
    runs: usize,
    ends: usize,
    first_end: Option<u64>,
    missed_ends: Option<u64>,
    open_starts: usize,
    #[serde(skip_serializing_if = "<[u64]>::is_empty")]
    attempts: &'a [u64],
    open_polls: u32,
    crossed_polls: u32,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    polls: Option<Polls>,
}

/// The latest of what the polls carried that the incarnation before has not answered. `lease_end_ms` is by its
/// clock.
#[derive(serde::Serialize)]
struct Polls {
    polls_token: u64,
    acknowledged: u64,
    lease_end_ms: u64,
}

fn clock_millis(clock: time::Timestamp) -> u64 {
    clock.since(time::Timestamp::default()).as_millis()
}

impl<'a> From<&'a owner::LifetimeStart> for LifetimeBegan<'a> {
    fn from(start: &'a owner::LifetimeStart) -> Self {
        Self {
            worker: start.worker.as_str(),
            incarnation: start.incarnation.0,
            previous_incarnation: start.previous.0,
            token: start.token,
            clock_ms: clock_millis(start.clock),
            silent_ms: start.silent.map(time::Span::as_millis),
            runs: start.runs,
            ends: start.ends,
            first_end: start.first_end,
            missed_ends: start.missed_ends(),
            open_starts: start.orders.count,
            attempts: &start.orders.attempts,
            open_polls: start.polls.count,
            crossed_polls: start.polls.crossed,
            polls: (start.polls.count > 0).then(|| Polls::from(&start.polls)),
        }
    }
}

impl From<&owner::OpenPolls> for Polls {
    fn from(polls: &owner::OpenPolls) -> Self {
        Self {
            polls_token: polls.token,
            acknowledged: polls.acknowledged,
            lease_end_ms: clock_millis(polls.lease),
        }
    }
}
