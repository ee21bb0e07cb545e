//! The record of all runs on the stand-in's workers.

use std::{collections, fmt};

use gl_jobs::{task, worker};

/// A run of a task. Times are Unix times in milliseconds.
#[gl_derive::domain]
pub struct Run {
    /// The task.
    pub task: String,
    /// The attempt.
    pub attempt: u64,
    /// The index of the worker.
    pub worker: usize,
    /// The failure domain of the worker.
    pub domain: String,
    /// The fencing token of the owner that ordered the start.
    pub token: u64,
    /// The start of the run.
    pub started: u64,
    /// The end of the run, if it has ended.
    pub ended: Option<u64>,
    /// The outcome of the run, if it has ended otherwise than by a crash of its worker.
    #[serde(rename = "how")]
    pub outcome: Option<worker::Outcome>,
    /// The time at which a call acknowledged the end, if one has before the worker's lease lapsed.
    pub acknowledged: Option<u64>,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { attempt, worker, domain, token, started, .. } = self;
        write!(f, "[attempt {attempt} of owner {token} on w-{worker} in {domain}, from {started}")?;
        if let (Some(ended), Some(outcome)) = (self.ended, self.outcome) {
            write!(f, " to {ended} {outcome:?}")?;
        }
        if let Some(at) = self.acknowledged {
            write!(f, ", acknowledged at {at}")?;
        }
        f.write_str("]")
    }
}

/// Records the runs of workers.
#[derive(Debug, Default)]
pub struct Recorder {
    /// All runs so far, in the order of their starts.
    pub runs: Vec<Run>,
    /// The runs in progress, as indices, by worker.
    open: collections::BTreeMap<(usize, task::TaskId), Vec<usize>>,
    /// The runs whose ends may be acknowledged, as indices, by worker and number of the end.
    unacknowledged: collections::BTreeMap<(usize, u64), Vec<usize>>,
}

impl Recorder {
    /// Records a start. A run of another attempt that the worker has not ended continues beside it.
    pub fn started(&mut self, task: task::TaskId, run: Run) {
        let open = self.open.entry((run.worker, task)).or_default();
        open.push(self.runs.len());
        self.runs.push(run);
    }

    /// Records the end of a task's runs on a worker.
    pub fn ended(&mut self, worker: usize, end: &worker::Ended, at: u64) {
        let open = self.open.remove(&(worker, end.task)).unwrap_or_default();
        for index in &open {
            let run = &mut self.runs[*index];
            run.ended = Some(at);
            run.outcome = Some(end.outcome);
        }
        self.unacknowledged.insert((worker, end.number), open);
    }

    /// Records that a worker has crashed with all that it ran and knew.
    pub fn crashed(&mut self, worker: usize, at: u64) {
        for (_, open) in self.open.extract_if(.., |(of, _), _| *of == worker) {
            for index in open {
                self.runs[index].ended = Some(at);
            }
        }
        self.unacknowledged.retain(|(of, _), _| *of != worker);
    }

    /// Records that the lease of a worker has lapsed. What acknowledges its earlier ends later does not count.
    pub fn lapsed(&mut self, worker: usize) {
        self.unacknowledged.retain(|(of, _), _| *of != worker);
    }

    /// Records that the ends of a worker were acknowledged up to a number.
    pub fn acknowledged(&mut self, worker: usize, number: u64, at: u64) {
        let range = (worker, 0)..=(worker, number);
        let ends: Vec<_> = self.unacknowledged.range(range).map(|(end, _)| *end).collect();
        for index in ends.iter().filter_map(|end| self.unacknowledged.remove(end)).flatten() {
            self.runs[index].acknowledged = Some(at);
        }
    }
}
