//! Polls without an answer, for the log. The next incarnation of a worker may carry out those that were meant
//! for the last one.

use gl_model::time;

use crate::owner::Owner;
use crate::worker;

/// The maximum number of polls of a worker that are kept apart. The oldest two are merged beyond that.
const MAX_KEPT: usize = 4;

/// What the polls of a worker carry that were not answered by the incarnation that they were meant for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenPolls {
    /// Their number, of those that acknowledge ends or extend the lease.
    pub count: u32,
    /// The highest of their fencing tokens.
    pub token: u64,
    /// The highest sequence number of an end that they acknowledge.
    pub acknowledged: u64,
    /// The latest end of a lease, by the clock of that incarnation. The start of that clock if there is none.
    pub lease: time::Timestamp,
    /// The number of those that the next incarnation has answered.
    pub crossed: u32,
}

/// A poll, or several that were merged.
#[derive(Clone, Debug)]
struct Poll {
    /// The time at which the last of them was sent.
    sent: time::Timestamp,
    /// The highest fencing token.
    token: u64,
    acknowledged: u64,
    /// As in [`OpenPolls`].
    lease: time::Timestamp,
    count: u32,
}

/// The polls of a worker that were not answered.
#[derive(Clone, Debug, Default)]
pub(in crate::owner) struct SentPolls {
    /// In the order in which they were sent.
    polls: Vec<Poll>,
    /// The number of those that another incarnation has answered.
    crossed: u32,
}

impl SentPolls {
    /// Adds a poll that is sent now, unless it neither acknowledges ends nor extends the lease. Forgets those
    /// that were sent `lateness` ago.
    pub fn add(
        &mut self,
        request: &worker::PollRequest,
        lateness: time::Span,
        now: time::Timestamp,
    ) {
        self.polls.retain(|poll| now.since(poll.sent) < lateness);
        if request.acknowledged == 0 && request.lease.is_none() {
            return;
        }
        if self.polls.len() >= MAX_KEPT {
            self.merge_oldest();
        }
        let lease = request.lease.unwrap_or_default();
        let worker::PollRequest { token, acknowledged, .. } = *request;
        self.polls.push(Poll { sent: now, token, acknowledged, lease, count: 1 });
    }

    fn merge_oldest(&mut self) {
        let oldest = self.polls.remove(0);
        if let Some(next) = self.polls.first_mut() {
            next.token = next.token.max(oldest.token);
            next.acknowledged = next.acknowledged.max(oldest.acknowledged);
            next.lease = next.lease.max(oldest.lease);
            next.count += oldest.count;
        }
    }

    /// Records that a poll is answered.
    fn settle(&mut self, call: worker::Call) {
        let is_call = |poll: &Poll| poll.sent == call.sent && poll.token == call.token;
        let Some(index) = self.polls.iter().position(is_call) else {
            return;
        };
        let poll = &mut self.polls[index];
        poll.count -= 1;
        if poll.count == 0 {
            self.polls.remove(index);
        }
    }

    /// Returns what those carry that were sent less than `lateness` ago.
    pub fn open(&self, lateness: time::Span, now: time::Timestamp) -> OpenPolls {
        let recent = self.polls.iter().filter(|poll| now.since(poll.sent) < lateness);
        let empty = OpenPolls { crossed: self.crossed, ..OpenPolls::default() };
        recent.fold(empty, |open, poll| OpenPolls {
            count: open.count + poll.count,
            token: open.token.max(poll.token),
            acknowledged: open.acknowledged.max(poll.acknowledged),
            lease: open.lease.max(poll.lease),
            crossed: open.crossed,
        })
    }
}

impl Owner {
    /// Records the reply to a poll. The poll stays open if another incarnation has replied than that which it
    /// was meant for.
    pub(in crate::owner) fn poll_answered(
        &mut self,
        id: &worker::WorkerId,
        call: worker::Call,
        incarnation: worker::Incarnation,
    ) {
        let is_current = self.is_for_incarnation(id, call.token);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let is_other = worker.incarnation.is_some_and(|known| known != incarnation);
        // Otherwise it is the reply to a call of its own, or a late one of an incarnation that has ended.
        if is_other && is_current == worker.unconfirmed_since.is_none() {
            worker.sent_polls.crossed += 1;
        } else {
            worker.sent_polls.settle(call);
        }
    }
}
