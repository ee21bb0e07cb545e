//! The jobs of one service that are served next by right, so that the order by loss leaves none
//! behind.
//!
//! Two bounds follow, counted in jobs of the service that are complete while its level is scarce:
//!
//! * A job with `n` older ones that wait gets its turn after at most `AGED_PERIOD * (n + 1)` jobs,
//!   whatever arrives.
//! * One of a queue's large jobs gets its turn for each `LARGE_PERIOD` jobs of the queue, so that the
//!   largest tenth is served at least half as often as the queue.

use std::collections;

use gl_model::time;

use crate::turns;

/// The number of completed jobs of a service for each turn of its oldest waiting job. Such a job may
/// have lost all its value, and a longer period leaves more capacity to the others.
pub const AGED_PERIOD: u64 = 20;
/// The number of completed jobs of a queue for each turn of one of its large jobs. Twenty would give
/// the largest tenth half the rate of the queue if it were known which jobs belong to it. The limit
/// is an estimate from the newest jobs, so some turns go to smaller ones: with 20, in simulated
/// queues of 370 jobs the largest tenth was served at a third of the rate.
pub const LARGE_PERIOD: u64 = 12;

/// A job that waits, or of which a part waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting<'a> {
    /// The job's identity.
    pub id: u64,
    /// Its queue.
    pub queue: &'a str,
    /// The priority of its queue; zero is the highest.
    pub priority: u32,
    /// All its work, as it was given to [`Ledger::arrived()`].
    pub work: f64,
    /// The time since which it waits.
    pub since: time::Timestamp,
}

/// The turns of a service's jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Ledger {
    aged: turns::Turns,
    queues: collections::BTreeMap<String, Queue>,
    /// The jobs that have a turn.
    open: collections::BTreeSet<u64>,
}

#[derive(Clone, Debug, PartialEq)]
struct Queue {
    large: turns::Turns,
    sizes: turns::Sizes,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            aged: turns::Turns::new(AGED_PERIOD),
            queues: collections::BTreeMap::new(),
            open: collections::BTreeSet::new(),
        }
    }
}

impl Ledger {
    /// Records an accepted job.
    pub fn arrived(&mut self, queue: &str, work: f64) {
        match self.queues.get_mut(queue) {
            Some(queue) => queue.sizes.add(work),
            None => {
                let mut sizes = turns::Sizes::default();
                sizes.add(work);
                let large = turns::Turns::new(LARGE_PERIOD);
                self.queues.insert(queue.to_owned(), Queue { large, sizes });
            }
        }
    }

    /// Returns the share of the newest jobs of a queue that have less work than this; `None` if too few
    /// are known.
    pub fn rank(&self, queue: &str, work: f64) -> Option<f64> {
        self.queues.get(queue)?.sizes.rank(work)
    }

    /// Records a completed job.
    pub fn completed(&mut self, id: u64, queue: &str, work: f64) {
        let had_turn = self.open.remove(&id);
        self.aged.served();
        if let Some(queue) = self.queues.get_mut(queue) {
            queue.large.served();
            if !had_turn && queue.sizes.is_large(work) {
                queue.large.grant();
            }
        }
    }

    /// Ends the turn of a job that ended otherwise, if it has one.
    pub fn removed(&mut self, id: u64) {
        self.open.remove(&id);
    }

    /// Ends all turns, as the capacity suffices.
    pub fn clear(&mut self) {
        self.open.clear();
        self.aged.forfeit();
        self.queues.values_mut().for_each(|queue| queue.large.forfeit());
    }

    /// Returns whether a job has a turn. Those that have are served before all others.
    pub fn has_turn(&self, id: u64) -> bool {
        self.open.contains(&id)
    }

    /// Grants the turns that are due: to the oldest jobs, and to the oldest large ones of each queue.
    /// Of jobs that are equally old, the one of higher priority comes first.
    pub fn grant(&mut self, waiting: &[Waiting<'_>]) {
        while self.aged.is_due() {
            let Some(next) = oldest(waiting, &self.open, |_| true) else {
                self.aged.forfeit();
                break;
            };
            self.aged.grant();
            self.open.insert(next.id);
            let queue = self.queues.get_mut(next.queue);
            if let Some(queue) = queue.filter(|queue| queue.sizes.is_large(next.work)) {
                queue.large.grant();
            }
        }
        for (name, queue) in &mut self.queues {
            let is_large = |job: &Waiting<'_>| job.queue == name && queue.sizes.is_large(job.work);
            while queue.large.is_due() {
                let Some(next) = oldest(waiting, &self.open, is_large) else {
                    queue.large.forfeit();
                    break;
                };
                queue.large.grant();
                self.open.insert(next.id);
            }
        }
    }
}

/// Returns the oldest of the jobs that have no turn yet and for which `is_meant` holds.
fn oldest<'a>(
    waiting: &'a [Waiting<'a>],
    open: &collections::BTreeSet<u64>,
    is_meant: impl Fn(&Waiting<'_>) -> bool,
) -> Option<&'a Waiting<'a>> {
    let candidates = waiting.iter().filter(|job| !open.contains(&job.id) && is_meant(job));
    candidates.min_by_key(|job| (job.since, job.priority, job.id))
}
