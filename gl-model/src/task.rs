//! The lifecycle of a task: a typed state machine whose every step is a compare-and-set.

use crate::{id, time};

/// Where a task stands.
#[gl_derive::domain]
pub enum State {
    /// It waits for room, at the earliest at the given time.
    Pending {
        /// Not before this point.
        after: time::Timestamp,
    },
    /// Room is promised on a VM, and the worker is told to start it.
    Starting {
        /// The VM.
        vm: id::VmId,
    },
    /// It runs.
    Running {
        /// The VM.
        vm: id::VmId,
    },
    /// It writes a checkpoint to make room.
    Evicting {
        /// The VM.
        vm: id::VmId,
    },
    /// It finishes its requests, then stops.
    Draining {
        /// The VM.
        vm: id::VmId,
        /// What follows the stop.
        then: After,
    },
    /// It was evicted and waits for room to resume from its checkpoint.
    Parked {
        /// Not before this point.
        after: time::Timestamp,
    },
    /// It finished its work.
    Done,
    /// It was given up.
    Failed {
        /// Why.
        reason: String,
    },
    /// An operator cancelled it.
    Cancelled,
}

/// What follows a drained task's stop.
#[gl_derive::tag]
pub enum After {
    /// It starts again on another VM.
    Restart,
    /// It stays cancelled.
    Cancel,
}

/// A step of the lifecycle.
#[gl_derive::domain]
pub enum Step {
    /// Room is promised on `vm`.
    Start {
        /// The VM.
        vm: id::VmId,
    },
    /// The worker reports that it runs.
    Run,
    /// It makes room.
    Evict,
    /// It finishes its requests and stops.
    Drain(After),
    /// The worker confirms the stop, or the last lease has lapsed with its margin.
    Stop {
        /// The checkpoint that was written, if any.
        checkpoint: Option<String>,
        /// Not again before this point.
        after: time::Timestamp,
    },
    /// The worker reports that the work is done.
    Finish,
    /// The worker reports a failure, and the task may try again.
    Retry {
        /// Not before this point.
        after: time::Timestamp,
    },
    /// The task is given up.
    Fail {
        /// Why.
        reason: String,
    },
    /// An operator cancels it while it isn't on a VM.
    Cancel,
}

/// The error returned by [`Row::step()`].
#[gl_derive::domain]
pub struct Error {
    /// The state that doesn't admit the step.
    pub from: State,
    /// The step.
    pub step: Step,
}

/// The stored row of a task.
#[gl_derive::domain]
pub struct Row {
    /// The task.
    pub id: id::TaskId,
    /// Its job.
    pub job: id::JobId,
    /// Its index in the job.
    pub index: u32,
    /// Its current start, zero before the first.
    pub incarnation: id::Incarnation,
    /// Where it stands.
    pub state: State,
    /// The checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// Failed starts in a row.
    pub failures: u32,
    /// How often it was evicted.
    pub evictions: u32,
    /// The VM of the last failure, which the next start avoids.
    pub avoid: Option<id::VmId>,
}

impl Row {
    /// A task that waits for its first start.
    pub fn new(job: &id::JobId, index: u32, now: time::Timestamp) -> Self {
        Self {
            id: id::TaskId::of(job, index),
            job: job.clone(),
            index,
            incarnation: id::Incarnation::default(),
            state: State::Pending { after: now },
            checkpoint: None,
            failures: 0,
            evictions: 0,
            avoid: None,
        }
    }

    /// The VM on which the task holds a promise.
    pub const fn vm(&self) -> Option<&id::VmId> {
        match &self.state {
            State::Starting { vm }
            | State::Running { vm }
            | State::Evicting { vm }
            | State::Draining { vm, .. } => Some(vm),
            _ => None,
        }
    }

    /// The point before which a waiting task doesn't start; none if it isn't waiting.
    pub const fn waits_until(&self) -> Option<time::Timestamp> {
        match self.state {
            State::Pending { after } | State::Parked { after } => Some(after),
            _ => None,
        }
    }

    /// Whether nothing will happen to the task any more.
    pub const fn is_ended(&self) -> bool {
        matches!(self.state, State::Done | State::Failed { .. } | State::Cancelled)
    }

    /// The row after `step`.
    ///
    /// # Errors
    ///
    /// If the state doesn't admit the step; the row is unchanged.
    pub fn step(&self, step: &Step) -> Result<Self, Error> {
        let refuse = || Error { from: self.state.clone(), step: step.clone() };
        let mut next = self.clone();
        match (&self.state, step) {
            (State::Pending { .. } | State::Parked { .. }, Step::Start { vm }) => {
                next.incarnation = self.incarnation.next();
                next.state = State::Starting { vm: vm.clone() };
            }
            (State::Starting { vm }, Step::Run) => {
                next.failures = 0;
                next.state = State::Running { vm: vm.clone() };
            }
            (State::Starting { vm } | State::Running { vm }, Step::Evict) => {
                next.evictions += 1;
                next.state = State::Evicting { vm: vm.clone() };
            }
            (
                State::Starting { vm } | State::Running { vm } | State::Evicting { vm },
                Step::Drain(then),
            ) => {
                if matches!(self.state, State::Starting { .. }) {
                    next.avoid = Some(vm.clone());
                }
                next.state = State::Draining { vm: vm.clone(), then: *then };
            }
            (State::Draining { vm, .. }, Step::Drain(After::Cancel)) => {
                next.state = State::Draining { vm: vm.clone(), then: After::Cancel };
            }
            (State::Draining { then: After::Cancel, .. }, Step::Stop { .. }) => {
                next.state = State::Cancelled;
            }
            (State::Evicting { .. }, Step::Stop { checkpoint, after }) => {
                next.checkpoint = checkpoint.clone().or(next.checkpoint);
                next.state = State::Parked { after: *after };
            }
            (
                State::Starting { .. } | State::Running { .. } | State::Draining { .. },
                Step::Stop { checkpoint, after },
            ) => {
                next.checkpoint = checkpoint.clone().or(next.checkpoint);
                next.state = State::Pending { after: *after };
            }
            (
                State::Starting { .. }
                | State::Running { .. }
                | State::Evicting { .. }
                | State::Draining { .. },
                Step::Finish,
            ) => {
                next.state = State::Done;
            }
            (
                State::Starting { vm } | State::Running { vm } | State::Evicting { vm },
                Step::Retry { after },
            ) => {
                next.failures += 1;
                next.avoid = Some(vm.clone());
                next.state = State::Pending { after: *after };
            }
            (
                State::Pending { .. }
                | State::Parked { .. }
                | State::Starting { .. }
                | State::Running { .. }
                | State::Evicting { .. },
                Step::Fail { reason },
            ) => {
                next.state = State::Failed { reason: reason.clone() };
            }
            (State::Pending { .. } | State::Parked { .. }, Step::Cancel) => {
                next.state = State::Cancelled;
            }
            _ => return Err(refuse()),
        }
        Ok(next)
    }
}
