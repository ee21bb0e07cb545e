//! The lifecycle of a task: a state machine whose transitions are stored by compare-and-set.

use crate::{id, time};

/// The state of a task.
#[gl_derive::domain]
pub enum State {
    /// The task waits for free capacity and starts no earlier than the given time.
    Pending {
        /// The earliest time of the next start.
        after: time::Timestamp,
    },
    /// Capacity is reserved on a VM, and the worker is ordered to start the task.
    Starting {
        /// The VM.
        vm: id::VmId,
    },
    /// The task runs.
    Running {
        /// The VM.
        vm: id::VmId,
    },
    /// The task writes a checkpoint and then stops, to free its capacity.
    Evicting {
        /// The VM.
        vm: id::VmId,
    },
    /// The task finishes its requests, then stops.
    Draining {
        /// The VM.
        vm: id::VmId,
        /// The action after the stop.
        then: After,
    },
    /// The task was evicted and waits for free capacity to resume from its checkpoint.
    Parked {
        /// The earliest time of the next start.
        after: time::Timestamp,
    },
    /// The task finished its work.
    Done,
    /// The task was given up.
    Failed {
        /// The reason.
        reason: String,
    },
    /// An operator cancelled the task.
    Cancelled,
}

/// The action after the stop of a drained task.
#[gl_derive::tag]
pub enum After {
    /// The task starts again on another VM.
    Restart,
    /// The task becomes cancelled.
    Cancel,
}

/// A transition of the lifecycle.
#[gl_derive::domain]
pub enum Step {
    /// Capacity is reserved on `vm`.
    Start {
        /// The VM.
        vm: id::VmId,
    },
    /// The worker reports that the task runs.
    Run,
    /// The task is evicted to free its capacity.
    Evict,
    /// The task finishes its requests and stops.
    Drain(After),
    /// The worker confirms the stop, or its last lease, the clock margin included, has expired.
    Stop {
        /// The checkpoint that was written, if any.
        checkpoint: Option<String>,
        /// The earliest time of the next start.
        after: time::Timestamp,
    },
    /// The worker reports that the work is done.
    Finish,
    /// The worker reports a failure, and the task may be retried.
    Retry {
        /// The earliest time of the next start.
        after: time::Timestamp,
    },
    /// The task is given up.
    Fail {
        /// The reason.
        reason: String,
    },
    /// An operator cancels the task while it is not on a VM.
    Cancel,
}

/// The error returned by [`Row::step()`].
#[gl_derive::domain]
pub struct Error {
    /// The state that does not allow the step.
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
    /// The number of its current start; zero before the first.
    pub incarnation: id::Incarnation,
    /// Its state.
    pub state: State,
    /// The checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// The number of consecutive failed starts.
    pub failures: u32,
    /// The number of times that it was evicted.
    pub evictions: u32,
    /// The VM of the last failure, which the next start avoids.
    pub avoid: Option<id::VmId>,
}

impl Row {
    /// Returns a task that waits for its first start.
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

    /// Returns the VM on which the task holds a reservation.
    pub const fn vm(&self) -> Option<&id::VmId> {
        match &self.state {
            State::Starting { vm }
            | State::Running { vm }
            | State::Evicting { vm }
            | State::Draining { vm, .. } => Some(vm),
            _ => None,
        }
    }

    /// Returns the earliest start time of a waiting task; none if the task is not waiting.
    pub const fn waits_until(&self) -> Option<time::Timestamp> {
        match self.state {
            State::Pending { after } | State::Parked { after } => Some(after),
            _ => None,
        }
    }

    /// Returns whether the task is in a final state.
    pub const fn is_ended(&self) -> bool {
        matches!(self.state, State::Done | State::Failed { .. } | State::Cancelled)
    }

    /// Returns the row after `step`.
    ///
    /// # Errors
    ///
    /// Returns an error if the state does not allow the step; the row is unchanged.
    pub fn step(&self, step: &Step) -> Result<Self, Error> {
        let error = || Error { from: self.state.clone(), step: step.clone() };
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
            _ => return Err(error()),
        }
        Ok(next)
    }
}
