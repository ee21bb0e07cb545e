//! The owner's actions that are not carried out yet.

use std::collections;

use gl_jobs::owner;

/// Actions in the order in which they are carried out: stop and CPU-limit orders before start
/// orders, and polls last.
#[derive(Default)]
pub struct ActionQueue {
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
            owner::Action::Stop { .. }
            | owner::Action::Throttle { .. }
            | owner::Action::Note(_) => &mut self.urgent,
        };
        queue.push_back(action);
    }

    /// Removes the next action.
    pub fn pop(&mut self) -> Option<owner::Action> {
        let next = self.urgent.pop_front().or_else(|| self.starts.pop_front());
        next.or_else(|| self.polls.pop_front())
    }

    /// Returns whether no action is left.
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.starts.is_empty() && self.polls.is_empty()
    }
}
