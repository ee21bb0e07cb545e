//! Pages: the rows in which the progress of a job is stored. The store takes rows of limited length, and
//! jobs of many tasks or occurrences have more progress than fits into one.

use std::{collections, ops};

use crate::owner::jobs::{JobEntry, PhaseState};
use crate::{bitset, record, task};

/// The number of tasks in a page. Checkpoints and starts that may have crashed a worker take some
/// hundred bytes a task.
const PAGE_TASKS: u64 = 128;

/// The numbers of a job's tasks, counted over all phases and occurrences.
#[derive(Clone, Debug, Default)]
pub(in crate::owner) struct Numbering {
    /// The number of the first task of each phase in the first occurrence.
    firsts: Vec<u64>,
    /// The number of tasks of an occurrence.
    width: u64,
}

impl Numbering {
    /// Numbers the tasks of phases with these counts of tasks.
    pub fn new(counts: impl Iterator<Item = u32>) -> Self {
        let mut numbering = Self::default();
        for count in counts {
            numbering.firsts.push(numbering.width);
            numbering.width += u64::from(count);
        }
        numbering
    }

    fn first(&self, occurrence: u32, phase: u32) -> u64 {
        let first = self.firsts.get(phase as usize).copied().unwrap_or_default();
        u64::from(occurrence) * self.width + first
    }

    fn page(&self, occurrence: u32, phase: u32, index: u32) -> u32 {
        let number = self.first(occurrence, phase) + u64::from(index);
        u32::try_from(number / PAGE_TASKS).unwrap_or(u32::MAX)
    }

    /// Returns the indices of those tasks of a phase that are in a page.
    fn indices(&self, page: u32, occurrence: u32, phase: u32) -> ops::Range<u32> {
        let first = self.first(occurrence, phase);
        let from = u64::from(page) * PAGE_TASKS;
        let index = |number: u64| u32::try_from(number.saturating_sub(first)).unwrap_or(u32::MAX);
        index(from)..index(from + PAGE_TASKS)
    }

    /// Returns the occurrences that have tasks in a page.
    fn occurrences(&self, page: u32) -> ops::RangeInclusive<u32> {
        let from = u64::from(page) * PAGE_TASKS;
        let occurrence =
            |number: u64| u32::try_from(number / self.width.max(1)).unwrap_or(u32::MAX);
        occurrence(from)..=occurrence(from + PAGE_TASKS - 1)
    }
}

impl JobEntry {
    /// Returns the page of a task.
    pub(in crate::owner) fn page(&self, task: task::TaskId) -> u32 {
        self.numbering.page(task.phase.occurrence, task.phase.phase, task.index)
    }

    /// Returns the content of a page. The first one has the final state, and nothing else is needed of a
    /// job that has one.
    pub(in crate::owner) fn page_progress(&self, page: u32) -> record::Progress {
        let final_state = self.final_state.filter(|_| page == 0);
        if self.final_state.is_some() {
            return record::Progress { final_state, phases: Vec::new() };
        }
        let occurrences = self.numbering.occurrences(page);
        let states = self.phases.range((*occurrences.start(), 0)..=(*occurrences.end(), u32::MAX));
        let part = |(&(occurrence, phase), state): (&(u32, u32), &PhaseState)| {
            let part = state.part(self.numbering.indices(page, occurrence, phase));
            part.map(|part| record::Phase { occurrence, phase, ..part })
        };
        record::Progress { final_state, phases: states.filter_map(part).collect() }
    }

    /// Returns the pages of the tasks with any progress.
    pub(in crate::owner) fn pages_in_use(&self) -> collections::BTreeSet<u32> {
        let of_phase = |(&(occurrence, phase), state): (&(u32, u32), &PhaseState)| {
            let page = move |index| self.numbering.page(occurrence, phase, index);
            state.indices_in_use().map(page).collect::<Vec<_>>()
        };
        self.phases.iter().flat_map(of_phase).collect()
    }
}

impl PhaseState {
    /// Returns the progress of some tasks of the phase, if there is any.
    fn part(&self, indices: ops::Range<u32>) -> Option<record::Phase> {
        fn part<T: Clone>(
            all: &collections::BTreeMap<u32, T>,
            indices: &ops::Range<u32>,
        ) -> collections::BTreeMap<u32, T> {
            let part = all.range(indices.start..indices.end.max(indices.start));
            part.map(|(index, value)| (*index, value.clone())).collect()
        }
        let mut done = bitset::BitSet::default();
        for index in self.done.members(indices.clone()) {
            done.insert(index);
        }
        let mut started = bitset::BitSet::default();
        for index in self.started.members(indices.clone()) {
            started.insert(index);
        }
        let part = record::Phase {
            occurrence: 0,
            phase: 0,
            done,
            failures: part(&self.failures, &indices),
            checkpoints: part(&self.checkpoints, &indices),
            suspects: part(&self.suspects, &indices),
            started,
            unsettled: collections::BTreeMap::new(),
        };
        let is_empty = part.done.is_empty()
            && part.failures.is_empty()
            && part.checkpoints.is_empty()
            && part.suspects.is_empty()
            && part.started.is_empty();
        (!is_empty).then_some(part)
    }

    fn indices_in_use(&self) -> impl Iterator<Item = u32> {
        let maps = self.failures.keys().chain(self.checkpoints.keys()).chain(self.suspects.keys());
        let members = self.done.members(0..u32::MAX).chain(self.started.members(0..u32::MAX));
        maps.copied().chain(members)
    }
}
