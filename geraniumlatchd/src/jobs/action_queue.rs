//! The owner's actions that are not carried out yet.

use std::collections;

use gl_jobs::owner;

/// Actions in the order in which they are carried out: lines of the log, stop and CPU-limit orders,
/// start orders, and polls last.
#[derive(Default)]
pub struct ActionQueue {
    notes: collections::VecDeque<owner::Action>,
    urgent: collections::VecDeque<owner::Action>,
    starts: collections::VecDeque<owner::Action>,
    polls: collections::VecDeque<owner::Action>,
    /// Whether a task carries out the actions.
    pub is_served: bool,
}

impl ActionQueue {
    /// Adds an action.
    pub fn push(&mut self, action: owner::Action) {
        let queue = match action {
            owner::Action::Start { .. } | owner::Action::RequestAdvice { .. } => &mut self.starts,
            owner::Action::Poll { .. } => &mut self.polls,
            owner::Action::Stop { .. } | owner::Action::Throttle { .. } => &mut self.urgent,
            owner::Action::Note(_) => &mut self.notes,
        };
        queue.push_back(action);
    }

    /// Removes the next action.
    pub fn pop(&mut self) -> Option<owner::Action> {
        let queues = [&mut self.notes, &mut self.urgent, &mut self.starts, &mut self.polls];
        queues.into_iter().find_map(collections::VecDeque::pop_front)
    }

    /// Removes the next actions with at most `requests` requests. Lines of the log are not counted, as
    /// they cost little: there are two for each run, and they would delay its start.
    pub fn next_chunk(&mut self, requests: usize) -> Vec<owner::Action> {
        let mut chunk: Vec<_> = self.notes.drain(..).collect();
        chunk.extend(std::iter::from_fn(|| self.pop()).take(requests));
        chunk
    }

    /// Returns whether no action is left.
    pub fn is_empty(&self) -> bool {
        let queues = [&self.notes, &self.urgent, &self.starts, &self.polls];
        queues.into_iter().all(collections::VecDeque::is_empty)
    }
}
