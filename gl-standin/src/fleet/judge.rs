//! Checks what the workers of the stand-in have run.

use std::{collections, fmt};

use gl_jobs::worker;

use super::recorder::Run;

/// The rule that two runs violate.
#[gl_derive::tag]
pub enum Rule {
    /// A task runs once at a time.
    OneRunAtATime,
    /// A task does not start again after an end as done that was acknowledged then or later.
    NoStartAfterDone,
}

/// Two runs of a task that violate a rule.
#[gl_derive::domain]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The run that started first.
    pub earlier: Run,
    /// The run that should not have started.
    pub later: Run,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rule = match self.rule {
            Rule::OneRunAtATime => "started while another run continued",
            Rule::NoStartAfterDone => "started after an acknowledged end as done",
        };
        write!(f, "{} {rule}: {} and {}", self.later.task, self.earlier, self.later)
    }
}

fn violated_rule(earlier: &Run, later: &Run) -> Option<Rule> {
    let is_done = earlier.outcome == Some(worker::Outcome::Done);
    if earlier.ended.is_none_or(|ended| later.started < ended) {
        Some(Rule::OneRunAtATime)
    } else if is_done && earlier.acknowledged.is_some() {
        Some(Rule::NoStartAfterDone)
    } else {
        None
    }
}

/// Returns the pairs of runs of which the later one should not have started. `runs` are in the order
/// of their starts.
pub fn violations(runs: &[Run]) -> Vec<Violation> {
    let mut by_task = collections::BTreeMap::<&str, Vec<&Run>>::new();
    let mut found = Vec::new();
    for later in runs {
        let before = by_task.entry(&later.task).or_default();
        let violation = |earlier: &&Run| {
            let (earlier, later) = ((*earlier).clone(), later.clone());
            violated_rule(&earlier, &later).map(|rule| Violation { rule, earlier, later })
        };
        found.extend(before.iter().filter_map(violation));
        before.push(later);
    }
    found
}
