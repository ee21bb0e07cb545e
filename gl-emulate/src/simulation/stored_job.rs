//! Jobs in the store.

use std::collections;

use gl_jobs::{job, record};
use gl_model::time;

/// A job in the store.
pub(super) struct StoredJob {
    pub arrival: usize,
    pub version: u64,
    pub cancelled: Option<time::Timestamp>,
    /// The stored pages of its progress.
    pub pages: collections::BTreeMap<u32, record::Progress>,
}

impl StoredJob {
    /// Returns the final state.
    pub fn final_state(&self) -> Option<job::State> {
        self.pages.get(&0)?.final_state
    }

    /// Returns the progress of all pages, if there is any.
    pub fn progress(&self) -> Option<record::Progress> {
        let phases = self.pages.values().flat_map(|page| page.phases.iter().cloned()).collect();
        let final_state = self.final_state();
        (!self.pages.is_empty()).then_some(record::Progress { final_state, phases })
    }
}
