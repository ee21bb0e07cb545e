//! What a caller loses by the delay of a job.

use gl_model::time;

/// The share of its payoff that a job still earns between its objective and three times that.
pub const LATE_SHARE: f64 = 0.15;
/// The factor by which the payoff of a job exceeds that of an equal job of the next lower priority.
pub const PRIORITY_RATIO: f64 = 2.0;
/// The lowest priority that is told apart; the payoff of lower ones would be too small to compare.
const MAX_PRIORITY: i32 = 32;
/// The shortest wait that is assumed for a job that is passed over. It is about the duration of a
/// short task, as capacity does not become free sooner.
const MIN_WAIT: time::Span = time::Span::millis(500);

/// What is known of a job that waits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// The priority of its queue; zero is the highest.
    pub priority: u32,
    /// The work that is left, in core-seconds or any other unit that is the same for all jobs.
    pub work: f64,
    /// The shortest time in which the rest can be complete.
    pub path: time::Span,
    /// The latency objective.
    pub objective: time::Span,
    /// The time at which the objective ends.
    pub deadline: time::Timestamp,
    /// The relative error of `path`; zero if it is certain.
    pub error: f64,
}

/// What the caller loses, in units of the payoff of a job of the highest priority.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Loss {
    /// What can still be earned, and is lost if the job is never served.
    pub value: f64,
    /// The expected loss per second of delay.
    pub rate: f64,
}

impl Outlook {
    /// Returns the payoff within the objective.
    pub fn payoff(&self) -> f64 {
        let priority = i32::try_from(self.priority).unwrap_or(MAX_PRIORITY).min(MAX_PRIORITY);
        PRIORITY_RATIO.powi(-priority)
    }

    /// Returns the expected loss if the job starts `delay` after `now`, against a start in time. It
    /// does not fall with the delay.
    pub fn cost(&self, now: time::Timestamp, delay: time::Span) -> f64 {
        let [full, late] = self.steps();
        let is_lost = |step: &Step| step.payoff * (1.0 - self.chance(step, now + delay));
        is_lost(&full) + is_lost(&late)
    }

    /// Returns what is lost if the job is passed over at `now`. The wait that follows is unknown; its
    /// mean is `wait`, and its distribution is taken as exponential.
    pub fn loss(&self, now: time::Timestamp, wait: time::Span) -> Loss {
        let mean = wait.max(MIN_WAIT).as_seconds();
        let mut loss = Loss::default();
        for step in self.steps() {
            let left = step.payoff * self.chance(&step, now);
            let slack = self.slack(&step, now).max(0.0);
            loss.value += left;
            loss.rate += left * (-slack / mean).exp() / mean;
        }
        loss
    }

    /// Returns the loss per second of delay for each unit of work that is left. The job for which it
    /// is highest is served first.
    pub fn density(&self, now: time::Timestamp, wait: time::Span) -> f64 {
        let rate = self.loss(now, wait).rate;
        if rate > 0.0 { rate / self.work.max(0.0) } else { 0.0 }
    }

    /// Returns the steps in which the payoff falls.
    fn steps(&self) -> [Step; 2] {
        let payoff = self.payoff();
        let objective = self.objective;
        [
            Step { end: self.deadline, payoff: payoff * (1.0 - LATE_SHARE) },
            Step { end: self.deadline + objective + objective, payoff: payoff * LATE_SHARE },
        ]
    }

    /// Returns the time by which a job that starts at `now` is expected to be ahead of a step, in
    /// seconds; negative if it is behind.
    fn slack(&self, step: &Step, now: time::Timestamp) -> f64 {
        let finish = now + self.path;
        step.end.since(finish).as_seconds() - finish.since(step.end).as_seconds()
    }

    /// Returns the probability that a job that starts at `now` is complete before a step. The error
    /// is taken as logistic, which needs no special functions.
    fn chance(&self, step: &Step, now: time::Timestamp) -> f64 {
        let slack = self.slack(step, now);
        let scale = self.path.as_seconds() * self.error;
        if scale > 0.0 {
            1.0 / (1.0 + (-slack / scale).exp())
        } else if slack >= 0.0 {
            1.0
        } else {
            0.0
        }
    }
}

/// A time after which a job earns less.
struct Step {
    end: time::Timestamp,
    /// What it earns less.
    payoff: f64,
}
