//! The owner of a cell: what it knows, and the decisions that follow.
//!
//! Inputs are methods: a job was accepted, a worker answered a look, an order was answered or
//! its answer was lost, time has passed. Decisions are [`Action`]s, which the caller carries out.
//! Systems run over the tables: [`place`] starts tasks, [`pace`] protects lasting tasks from what
//! fills in beside them, [`expire`] ends what can't be running any more.

mod action;
mod adoption;
mod advice;
mod colocation;
mod commit;
mod completion;
mod drain;
mod gang;
mod interference;
mod jobs;
mod orders;
mod placement;
mod polls;
mod recovery;
mod runs;
mod settings;
mod throttle;
mod timeouts;
mod workers;

use std::collections;

use gl_model::time;

pub use action::{Action, Cause, Note, StopReason};
pub use advice::Grant;
pub use commit::{Commit, Row as CommitRow};
pub use interference::{CpuUse, ImageId, InterferenceModel};
pub use jobs::{Advice, JobEntry, PhaseState};
pub use recovery::StoredJob;
pub use runs::{Kind, Run, Stage, Stopping};
pub use settings::{PhaseOrder, Settings};
pub use workers::Worker;

use crate::{job, record, task, worker};

/// The owner of a cell.
pub struct Owner {
    settings: Settings,
    token: u64,
    last_attempt: u64,
    jobs: collections::BTreeMap<task::JobId, JobEntry>,
    workers: collections::BTreeMap<worker::WorkerId, Worker>,
    runs: collections::BTreeMap<task::TaskId, Run>,
    /// Phases with tasks that wait for a place.
    open_phases: collections::BTreeSet<task::PhaseId>,
    /// Jobs with occurrences that aren't due yet.
    scheduled_jobs: collections::BTreeSet<task::JobId>,
    dirty_jobs: collections::BTreeSet<task::JobId>,
    /// Jobs whose progress is still stored and nothing else.
    orphans: collections::BTreeSet<task::JobId>,
    /// Workers that are gone and still stored as enrolled.
    removed_workers: collections::BTreeSet<worker::WorkerId>,
    interference: InterferenceModel,
    /// When what was learnt of images was last given to a commit.
    model_stored_at: time::Timestamp,
    recovery: Option<recovery::Recovery>,
    /// Until when leases of workers may be extended at most.
    horizon: time::Timestamp,
    /// Whether no other daemon can have taken the cell over.
    may_start: bool,
    actions: Vec<Action>,
}

/// Attempt numbers that each fencing token has; they rise from owner to owner.
const ATTEMPTS_PER_TOKEN: u64 = 1 << 22;

impl Owner {
    /// An owner that holds `token` and knows nothing yet.
    pub fn new(settings: Settings, token: u64, now: time::Timestamp) -> Self {
        Self {
            horizon: now + settings.horizon,
            settings,
            token,
            last_attempt: token * ATTEMPTS_PER_TOKEN,
            jobs: collections::BTreeMap::new(),
            workers: collections::BTreeMap::new(),
            runs: collections::BTreeMap::new(),
            open_phases: collections::BTreeSet::new(),
            scheduled_jobs: collections::BTreeSet::new(),
            dirty_jobs: collections::BTreeSet::new(),
            orphans: collections::BTreeSet::new(),
            removed_workers: collections::BTreeSet::new(),
            interference: InterferenceModel::default(),
            model_stored_at: now,
            recovery: None,
            may_start: true,
            actions: Vec::new(),
        }
    }

    /// The fencing token of all its orders.
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Takes the decisions made since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The owner's lease on the cell was renewed at `sent`.
    pub fn lease_renewed(&mut self, sent: time::Timestamp) {
        self.horizon = self.horizon.max(sent + self.settings.horizon);
    }

    /// Whether the owner may order new runs: its lease on the cell is valid, or nobody can have
    /// taken the cell over.
    pub const fn allow_starts(&mut self, may_start: bool) {
        self.may_start = may_start;
    }

    /// Takes a stored job in. A job that is known already stays as it is.
    pub fn add_job(&mut self, id: task::JobId, job: job::Job, moment: &Moment) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let entry = JobEntry::new(job, moment);
        if entry.job.schedule.is_some() {
            self.scheduled_jobs.insert(id);
        }
        self.jobs.insert(id, entry);
        self.open_due(id, moment);
    }

    /// A job's client wants it to end, and that is stored.
    pub fn cancel_job(&mut self, id: task::JobId, now: time::Timestamp) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        if entry.final_state.is_some() {
            return;
        }
        entry.final_state = Some(job::State::Cancelled);
        entry.stored_state = Some(job::State::Cancelled);
        entry.ended_at = now;
        self.note_decided(id, now);
        self.close_job(id, now);
    }

    /// Takes over what earlier owners have learnt of images.
    pub fn restore_model(&mut self, model: &record::ModelSnapshot) {
        self.interference.restore(model);
    }

    /// Progress without a job was found; it is removed with the next commits.
    pub fn add_orphans(&mut self, orphans: impl Iterator<Item = task::JobId>) {
        self.orphans.extend(orphans);
    }

    /// What a client may be shown of a job; none if it isn't known.
    pub fn state(&self, id: task::JobId) -> Option<job::State> {
        let entry = self.jobs.get(&id)?;
        let begun = if entry.has_started { job::State::Running } else { job::State::Queued };
        Some(entry.stored_state.unwrap_or(begun))
    }

    /// How many jobs of a queue have been accepted and not begun.
    pub fn pending(&self, queue: &str) -> usize {
        let waits =
            |e: &&JobEntry| !e.has_started && e.final_state.is_none() && e.job.queue == queue;
        self.jobs.values().filter(waits).count()
    }

    /// The workers to look at.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// A worker.
    pub fn worker(&self, id: &worker::WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// The jobs, for reports.
    pub fn jobs(&self) -> impl Iterator<Item = (task::JobId, &JobEntry)> {
        self.jobs.iter().map(|(id, entry)| (*id, entry))
    }

    /// The runs, for reports.
    pub fn runs(&self) -> impl Iterator<Item = (task::TaskId, &Run)> {
        self.runs.iter().map(|(id, run)| (*id, run))
    }

    /// Runs all systems that follow time.
    pub fn tick(&mut self, moment: &Moment) {
        timeouts::run(self, moment.now);
        recovery::run(self, moment.now);
        for id in self.scheduled_jobs.clone() {
            self.open_due(id, moment);
        }
        drain::run(self, moment.now);
        self.place(moment.now);
    }

    /// Starts what can start.
    pub fn place(&mut self, now: time::Timestamp) {
        placement::run(self, now);
    }

    fn note(&mut self, note: Note) {
        self.actions.push(Action::Note(note));
    }

    fn note_decided(&mut self, id: task::JobId, now: time::Timestamp) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let Some(state) = entry.final_state else { return };
        let note = Note::Decided {
            job: id,
            state,
            age: now.since(entry.accepted_at),
            objective: entry.job.objective(),
        };
        self.note(note);
    }

    /// Opens the first phases of occurrences that have become due.
    fn open_due(&mut self, id: task::JobId, moment: &Moment) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        if entry.final_state.is_some() {
            self.scheduled_jobs.remove(&id);
            return;
        }
        let opened = entry.open_due(id, moment);
        if entry.all_opened() {
            self.scheduled_jobs.remove(&id);
        }
        self.open_phases.extend(opened);
    }

    /// Stops what still runs of a job that has ended, and forgets what waits.
    fn close_job(&mut self, id: task::JobId, now: time::Timestamp) {
        self.scheduled_jobs.remove(&id);
        let first = task::PhaseId { job: id, occurrence: 0, phase: 0 };
        let last = task::PhaseId { job: id, occurrence: u32::MAX, phase: u32::MAX };
        let waiting: Vec<_> = self.open_phases.range(first..=last).copied().collect();
        for phase in waiting {
            self.open_phases.remove(&phase);
        }
        let from = task::TaskId { phase: first, index: 0 };
        let to = task::TaskId { phase: last, index: u32::MAX };
        let running: Vec<_> = self.runs.range(from..=to).map(|(task, _)| *task).collect();
        for task in running {
            self.stop(task, StopReason::JobEnded, now);
        }
    }

    /// The record of a job's progress.
    fn progress(&self, id: task::JobId) -> Option<record::Progress> {
        self.jobs.get(&id).map(JobEntry::progress)
    }
}

/// The present time by the steady clock, and the time of day that goes with it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Moment {
    /// The steady clock; it counts time during which the VM was suspended.
    pub now: time::Timestamp,
    /// The time of day.
    pub wall: time::Timestamp,
}
