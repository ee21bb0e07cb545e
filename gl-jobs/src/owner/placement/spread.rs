//! Spreads the long-running tasks of a phase over failure domains, so that the loss of one domain
//! takes as few of a job's tasks as possible.

use std::collections;

use crate::owner::{Owner, Worker};
use crate::{job, task};

/// The malus of a failure domain that has all running tasks of the phase. It outweighs differences in
/// free capacity, and none in interference.
const DOMAIN_MALUS: f64 = 0.25;

/// The share of a phase's running tasks that each failure domain has.
#[derive(Default)]
pub(in crate::owner) struct Shares<'a>(collections::BTreeMap<&'a str, f64>);

impl<'a> Shares<'a> {
    /// Counts the running tasks of a long-running phase.
    pub fn new(owner: &'a Owner, phase: task::PhaseId, spec: &job::Phase) -> Self {
        if !owner.settings.spreads_domains || !spec.long_running {
            return Self::default();
        }
        let first = task::TaskId { phase, index: 0 };
        let last = task::TaskId { phase, index: u32::MAX };
        let running = owner.runs.range(first..=last);
        let workers = running.filter_map(|(_, run)| owner.workers.get(&run.worker));
        let mut shares = collections::BTreeMap::new();
        for worker in workers {
            *shares.entry(worker.registration.domain.as_str()).or_default() += 1.0;
        }
        let total: f64 = shares.values().sum();
        shares.values_mut().for_each(|share| *share /= total);
        Self(shares)
    }

    /// Returns the malus of a worker.
    pub fn malus(&self, w: &Worker) -> f64 {
        let share = self.0.get(w.registration.domain.as_str());
        share.map_or(0.0, |share| share * DOMAIN_MALUS)
    }

    /// Returns whether all workers are alike.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
