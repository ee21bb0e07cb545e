//! What ran on a worker, for the checks of a test.

use gl_model::{id, time};

/// A stretch of time in which a task ran.
#[gl_derive::domain]
pub struct Run {
    /// The task.
    pub task: id::TaskId,
    /// The start.
    pub incarnation: id::Incarnation,
    /// The worker.
    pub vm: id::VmId,
    /// Whether it is a service's.
    pub serving: bool,
    /// Since when.
    pub from: time::Timestamp,
    /// Until when; none if it still runs.
    pub to: Option<time::Timestamp>,
    /// The progress that it began with, in microseconds of its run time.
    pub resumed: u64,
    /// Whether it finished its work.
    pub done: bool,
}

/// A request that a task ran.
#[gl_derive::domain]
pub struct Request {
    /// The request's identity, from its body.
    pub request: String,
    /// When it ran.
    pub at: time::Timestamp,
    /// The task that ran it.
    pub task: id::TaskId,
    /// The task's start.
    pub incarnation: id::Incarnation,
}

/// Everything that ran on a worker.
#[gl_derive::domain]
#[derive(Default)]
pub struct Log {
    /// Tasks.
    pub runs: Vec<Run>,
    /// Requests.
    pub requests: Vec<Request>,
}

/// The services' tasks that ran in two places at once.
pub fn overlaps(runs: &[Run], now: time::Timestamp) -> Vec<id::TaskId> {
    let mut serving: Vec<&Run> = runs.iter().filter(|run| run.serving).collect();
    serving.sort_by(|a, b| (&a.task, a.from).cmp(&(&b.task, b.from)));
    let overlap =
        |pair: &&[&Run]| pair[0].task == pair[1].task && pair[1].from < pair[0].to.unwrap_or(now);
    serving.windows(2).filter(overlap).map(|pair| pair[0].task.clone()).collect()
}

/// The requests that a task began to run after it had stopped.
pub fn after_stop(log: &Log) -> Vec<String> {
    let ended = |request: &&Request| {
        log.runs.iter().any(|run| {
            let same = run.task == request.task && run.incarnation == request.incarnation;
            same && run.to.is_some_and(|to| to < request.at)
        })
    };
    log.requests.iter().filter(ended).map(|request| request.request.clone()).collect()
}

/// The requests that ran more than once.
pub fn doubled(logs: &[Log]) -> Vec<String> {
    let mut all: Vec<&str> =
        logs.iter().flat_map(|log| log.requests.iter().map(|r| r.request.as_str())).collect();
    all.sort_unstable();
    let mut doubled: Vec<String> =
        all.windows(2).filter(|pair| pair[0] == pair[1]).map(|pair| pair[0].to_owned()).collect();
    doubled.dedup();
    doubled
}
