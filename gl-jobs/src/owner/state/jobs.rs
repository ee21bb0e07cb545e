//! The owner's table of jobs.

use std::collections;

use gl_model::time;

use crate::owner::{Advice, Moment, Waits, pages, waits};
use crate::{bitset, job, record, task};

/// A job and its progress.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The job as it was submitted.
    pub job: job::Job,
    /// The latency objective. It is kept because each placement pass needs it.
    pub objective: time::Span,
    /// The critical path from each phase on, kept for the same reason.
    critical_paths: Vec<time::Span>,
    /// The numbers of its tasks, which decide in which row their progress is stored.
    pub(in crate::owner) numbering: pages::Numbering,
    /// The stored rows of its progress.
    pub(in crate::owner) stored_pages: collections::BTreeSet<u32>,
    /// Whether the first of them has progress of other pages too, as earlier versions store it.
    pub(in crate::owner) is_unsplit: bool,
    /// The time of acceptance, by the owner's steady clock.
    pub accepted_at: time::Timestamp,
    /// Whether any task has started.
    pub has_started: bool,
    /// The final state, which may not be stored yet.
    pub final_state: Option<job::State>,
    /// The final state that is stored.
    pub stored_state: Option<job::State>,
    /// The time at which the job ended, or at which this owner restored it if it had ended before.
    pub ended_at: time::Timestamp,
    /// Whether the job was accepted under an earlier owner, so that some of its tasks may already
    /// run on workers that have not replied yet.
    pub is_inherited: bool,
    /// The phases of the occurrences that are due, by occurrence and phase number.
    pub phases: collections::BTreeMap<(u32, u32), PhaseState>,
    /// The time that its short tasks have waited for placement, by cause.
    pub(in crate::owner) waits: Waits,
    next_occurrence: u32,
    /// The estimated memory that it takes, in bytes.
    pub(in crate::owner) footprint: usize,
}

/// The progress of a phase of one occurrence.
#[derive(Clone, Debug, Default)]
pub struct PhaseState {
    /// The tasks that are done.
    pub done: bitset::BitSet,
    /// The tasks that wait for placement.
    pub waiting: collections::BTreeSet<u32>,
    /// The attempt numbers of the failed runs of each task.
    pub failures: collections::BTreeMap<u32, Vec<u64>>,
    /// The newest checkpoint of each task.
    pub checkpoints: collections::BTreeMap<u32, String>,
    /// The tasks that have run, if they are long-running ones.
    pub started: bitset::BitSet,
    /// The tasks that may have crashed a worker.
    pub suspects: collections::BTreeMap<u32, record::Suspect>,
    /// Whether all phases that it depends on are done.
    pub is_open: bool,
    /// The start of the current wait for placement: the time at which the phase was opened, or at
    /// which a task was queued again while none was waiting.
    pub since: time::Timestamp,
    /// The waiting tasks of which a run has ended or, after a change of owner, may have ended, with the
    /// time since which they wait.
    pub interrupted: collections::BTreeMap<u32, time::Timestamp>,
    /// The time since which tasks have waited for capacity in their rack although other racks have
    /// some; `None` if none has.
    pub rack_wait: Option<time::Timestamp>,
    /// Why the last placement pass has left short tasks waiting, if it has.
    pub(in crate::owner) wait: Option<waits::Wait>,
    /// The time by which the occurrence should be complete.
    pub deadline: time::Timestamp,
    /// What is known of the workers that the queue's policy allows.
    pub advice: Advice,
}

impl JobEntry {
    /// Creates the entry of a job that was stored after `after`, by the owner's steady clock. The time
    /// stamp of the job counts only as far as it agrees with that.
    pub(in crate::owner) fn new(job: job::Job, after: time::Timestamp, moment: &Moment) -> Self {
        let age = moment.wall.since(job.submitted);
        Self {
            objective: job.objective(),
            critical_paths: job.critical_paths(),
            numbering: pages::Numbering::new(job.phases.iter().map(|phase| phase.count)),
            stored_pages: collections::BTreeSet::new(),
            is_unsplit: false,
            job,
            accepted_at: (moment.now - age).max(after.min(moment.now)),
            has_started: false,
            final_state: None,
            stored_state: None,
            ended_at: time::Timestamp::default(),
            is_inherited: false,
            phases: collections::BTreeMap::new(),
            waits: Waits::default(),
            next_occurrence: 0,
            footprint: 0,
        }
    }

    /// Discards the texts of a job whose final state is stored, as none of its tasks starts any more.
    pub(in crate::owner) fn discard_texts(&mut self) {
        if self.stored_state.is_none() {
            return;
        }
        self.job.spec = String::new();
        for phase in &mut self.job.phases {
            phase.label = None;
            phase.data_rack = None;
            phase.image = None;
        }
    }

    /// Returns the description of a phase.
    pub fn spec(&self, phase: u32) -> Option<&job::Phase> {
        self.job.phases.get(phase as usize)
    }

    /// Returns the length of the critical path from a phase on.
    pub fn critical_path(&self, phase: u32) -> time::Span {
        self.critical_paths.get(phase as usize).copied().unwrap_or_default()
    }

    pub(in crate::owner) fn all_opened(&self) -> bool {
        self.next_occurrence >= self.job.occurrences()
    }

    /// Creates the phases of all occurrences that are due, and returns those that can start.
    pub(in crate::owner) fn open_due(
        &mut self,
        id: task::JobId,
        moment: &Moment,
    ) -> Vec<task::PhaseId> {
        let mut opened = Vec::new();
        while !self.all_opened() {
            let occurrence = self.next_occurrence;
            let due = self.job.due(occurrence);
            if self.job.schedule.is_some() && due > moment.wall {
                break;
            }
            self.next_occurrence += 1;
            let due_at = match self.job.schedule {
                Some(_) => moment.now - moment.wall.since(due),
                None => self.accepted_at,
            };
            let deadline = due_at + self.objective;
            self.make_phases(occurrence, deadline, moment.now);
            opened.extend(self.open_ready(id, occurrence, moment.now));
        }
        opened
    }

    /// Creates the phases of all occurrences up to one that an earlier owner has started, as that owner
    /// found them due. Returns those that can start.
    pub(in crate::owner) fn open_through(
        &mut self,
        id: task::JobId,
        occurrence: u32,
        now: time::Timestamp,
    ) -> Vec<task::PhaseId> {
        let mut opened = Vec::new();
        while self.next_occurrence <= occurrence && !self.all_opened() {
            let next = self.next_occurrence;
            self.next_occurrence += 1;
            self.make_phases(next, now + self.objective, now);
            opened.extend(self.open_ready(id, next, now));
        }
        opened
    }

    fn make_phases(&mut self, occurrence: u32, deadline: time::Timestamp, now: time::Timestamp) {
        for (number, phase) in (0..).zip(&self.job.phases) {
            let state = self.phases.entry((occurrence, number)).or_default();
            state.deadline = deadline;
            state.waiting = (0..phase.count).filter(|n| !state.done.contains(*n)).collect();
            let interrupted = state.waiting.iter().filter(|n| state.started.contains(**n));
            state.interrupted = interrupted.map(|n| (*n, now)).collect();
        }
    }

    /// Opens the phases of an occurrence whose dependencies are all done, and returns them.
    pub(in crate::owner) fn open_ready(
        &mut self,
        id: task::JobId,
        occurrence: u32,
        now: time::Timestamp,
    ) -> Vec<task::PhaseId> {
        let mut opened = Vec::new();
        for (number, phase) in (0..).zip(&self.job.phases) {
            let is_ready = phase.after.iter().all(|n| self.is_phase_done(occurrence, *n));
            let Some(state) = self.phases.get_mut(&(occurrence, number)) else {
                continue;
            };
            if is_ready && !state.is_open {
                state.is_open = true;
                state.since = now;
                opened.push(task::PhaseId { job: id, occurrence, phase: number });
            }
        }
        opened
    }

    /// Returns whether all tasks of a phase are done.
    pub fn is_phase_done(&self, occurrence: u32, phase: u32) -> bool {
        let Some(spec) = self.spec(phase) else {
            return false;
        };
        let state = self.phases.get(&(occurrence, phase));
        state.is_some_and(|state| state.done.count() >= spec.count)
    }

    /// Returns whether all tasks of an occurrence are done.
    pub fn is_occurrence_done(&self, occurrence: u32) -> bool {
        let mut phases = self.phases.range((occurrence, 0)..=(occurrence, u32::MAX));
        phases.all(|(&(occurrence, phase), _)| self.is_phase_done(occurrence, phase))
    }

    /// Returns whether all tasks of all occurrences are done.
    pub fn is_done(&self) -> bool {
        self.all_opened()
            && !self.phases.is_empty()
            && self.phases.keys().all(|(occurrence, phase)| self.is_phase_done(*occurrence, *phase))
    }

    /// Restores the progress in the stored rows, with the numbers of these. This has to happen before
    /// any phase is opened.
    pub(in crate::owner) fn restore(
        &mut self,
        progress: record::Progress,
        pages: collections::BTreeSet<u32>,
    ) {
        self.final_state = progress.final_state;
        self.stored_state = progress.final_state;
        self.stored_pages = pages;
        for phase in progress.phases {
            let state = self.phases.entry((phase.occurrence, phase.phase)).or_default();
            self.has_started |= !phase.done.is_empty() || !phase.started.is_empty();
            state.done.insert_all(&phase.done);
            state.started.insert_all(&phase.started);
            state.failures.extend(phase.failures);
            state.checkpoints.extend(phase.checkpoints);
            state.suspects.extend(phase.suspects);
        }
        self.is_unsplit = self.final_state.is_none()
            && self.pages_in_use().iter().any(|page| !self.stored_pages.contains(page));
    }
}
