//! Records of what ran on a worker, and checks on them.

use gl_model::{id, time};

/// One run of a task.
#[gl_derive::domain]
pub struct Run {
    /// The task.
    pub task: id::TaskId,
    /// The incarnation of the task.
    pub incarnation: id::Incarnation,
    /// The worker.
    pub vm: id::VmId,
    /// True for a task of a service, false for a batch task.
    #[serde(rename = "serving")]
    pub is_service: bool,
    /// The start of the run.
    #[serde(rename = "from")]
    pub started_at: time::Timestamp,
    /// The end of the run, or `None` if the task is still running.
    #[serde(rename = "to")]
    pub ended_at: Option<time::Timestamp>,
    /// The progress at the start of the run, restored from a checkpoint, in microseconds of run time.
    #[serde(rename = "resumed")]
    pub initial_progress: u64,
    /// True if the task finished its work.
    #[serde(rename = "done")]
    pub is_done: bool,
}

/// A request that a task executed.
#[gl_derive::domain]
pub struct Request {
    /// The identity of the request, taken from its body.
    #[serde(rename = "request")]
    pub id: String,
    /// The time at which its execution started.
    #[serde(rename = "at")]
    pub started_at: time::Timestamp,
    /// The task that executed it.
    pub task: id::TaskId,
    /// The incarnation of that task.
    pub incarnation: id::Incarnation,
}

/// All runs of tasks and all requests of a worker.
#[gl_derive::domain]
#[derive(Default)]
pub struct Log {
    /// Runs of tasks.
    pub runs: Vec<Run>,
    /// Requests that the tasks executed.
    pub requests: Vec<Request>,
}

/// Returns the service tasks of which two consecutive runs overlapped in time. A run that has not
/// ended is treated as lasting until `now`.
pub fn overlapping_tasks(runs: &[Run], now: time::Timestamp) -> Vec<id::TaskId> {
    let mut service_runs: Vec<&Run> = runs.iter().filter(|run| run.is_service).collect();
    service_runs.sort_by(|a, b| (&a.task, a.started_at).cmp(&(&b.task, b.started_at)));
    let is_overlap = |pair: &&[&Run]| {
        pair[0].task == pair[1].task && pair[1].started_at < pair[0].ended_at.unwrap_or(now)
    };
    service_runs.windows(2).filter(is_overlap).map(|pair| pair[0].task.clone()).collect()
}

/// Returns the requests whose execution started after the end of the run that executed them.
pub fn requests_after_stop(log: &Log) -> Vec<String> {
    let is_late = |request: &&Request| {
        log.runs.iter().any(|run| {
            let is_same = run.task == request.task && run.incarnation == request.incarnation;
            is_same && run.ended_at.is_some_and(|ended| ended < request.started_at)
        })
    };
    log.requests.iter().filter(is_late).map(|request| request.id.clone()).collect()
}

/// Returns the requests that were executed more than once.
pub fn duplicates(logs: &[Log]) -> Vec<String> {
    let mut all_ids: Vec<&str> =
        logs.iter().flat_map(|log| log.requests.iter().map(|r| r.id.as_str())).collect();
    all_ids.sort_unstable();
    let mut duplicates: Vec<String> = all_ids
        .windows(2)
        .filter(|pair| pair[0] == pair[1])
        .map(|pair| pair[0].to_owned())
        .collect();
    duplicates.dedup();
    duplicates
}
