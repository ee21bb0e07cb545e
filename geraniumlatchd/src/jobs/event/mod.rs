//! Events of the structured log, one line with a JSON object each: the decisions that affect a
//! request, and the changes of the daemon's recorded state.

mod lifetimes;
mod notes;

use std::fmt;

use gl_jobs::{job, owner, task, worker};

/// An event of the log. The names of variants and fields, or the names that `rename` gives, are
/// written to the log, and tools that read the log depend on them.
#[derive(serde::Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event<'a> {
    /// The process has started.
    Started {
        version: &'static str,
        clients: std::net::SocketAddr,
        mesh: std::net::SocketAddr,
        first_start: bool,
    },
    /// The process received the signal to stop.
    Stopping { signal: &'static str },
    /// The process received the signal to read its settings again.
    Reloaded { changed: bool },
    /// The process exits.
    Stopped { open_requests: usize },
    /// Another version of the routing is in force.
    Routing {
        version: u64,
        queues: usize,
        #[serde(rename = "was")]
        previous: Option<u64>,
    },
    /// The routing could not be read from the store. Logged for the first failure in a row, and then
    /// each time their number has doubled.
    RoutingUnread { failures: u32, took_ms: u64, age_ms: Option<u64>, detail: String },
    /// A request has an address that no queue of the routing has. Callers are told that there is
    /// none only if that is certain by the age of the routing.
    NoQueue {
        host: &'a str,
        path: &'a str,
        version: Option<u64>,
        age_ms: Option<u64>,
        certain: bool,
    },
    /// A dependency became unreachable.
    DependencyLost { dependency: &'static str, detail: String },
    /// A dependency can be reached again.
    #[serde(rename = "dependency-back")]
    DependencyRecovered { dependency: &'static str, after_ms: u64 },
    /// This daemon follows another owner of the cell.
    Following { owner: &'a str, token: u64 },
    /// This daemon claimed the cell. At the claim, leases of workers that earlier owners had extended
    /// could last for `leases_ms`, by `bound`, and those owners could order starts for `starts_ms`. The
    /// newest renewal was first read `renewal_age_ms` before it, and this daemon had last reported an
    /// outage of the store `outage_age_ms` before it. Of the `pages` of progress that were read,
    /// `unreadable` were left out, as they could not be decoded, and `orphans` belong to no job.
    Claimed {
        token: u64,
        jobs: usize,
        pages: usize,
        unreadable: usize,
        orphans: usize,
        workers: usize,
        cause: &'static str,
        leases_ms: Option<u64>,
        bound: &'static str,
        starts_ms: u64,
        renewal_age_ms: Option<u64>,
        outage_age_ms: Option<u64>,
    },
    /// A claim failed, or its outcome is unknown.
    ClaimFailed { cause: &'static str, detail: String },
    /// This daemon gave the cell up.
    SteppedDown { token: u64, cause: &'static str },
    /// The connections to workers have reached their limit. Logged once until they fall below it.
    ConnectionsShort { polls: usize, poll_limit: usize, orders: usize, order_limit: usize },
    /// Start orders were late in the last second: `held` of the placement passes ended early, as the
    /// orders in flight had reached their limit, which was `limit` at the end.
    StartsLate {
        passes: u64,
        held: u64,
        total_ms: u64,
        longest_ms: u64,
        orders: u64,
        order_delay_ms: u64,
        in_flight: usize,
        limit: usize,
    },
    /// New runs were permitted or forbidden.
    Starts { allowed: bool, lease_left_ms: u64, cause: &'static str },
    /// The owner has begun or stopped to go on without the store, as no daemon can claim the cell.
    /// That takes current reports of all `claimants`, as they are stored. Of the `followers` that were heard
    /// lately, `heard` have a current heartbeat, and `store_down` could not reach the store when they were
    /// last heard, the oldest `oldest_ms` ago; `silent` ones were not heard for long. Logged once a second at
    /// most, with the number of changes.
    OutageRule {
        active: bool,
        lease_left_ms: u64,
        cut_off: bool,
        stale: bool,
        claimants: usize,
        followers: usize,
        heard: usize,
        store_down: usize,
        oldest_ms: Option<u64>,
        silent: usize,
        changes: u32,
    },
    /// A follower was silent for so long that it is not kept as one that may claim the cell.
    FollowerSilent { follower: &'a str, silent_ms: u64 },
    /// Such a follower was heard again.
    FollowerBack { follower: &'a str, silent_ms: u64 },
    /// A job was stored.
    Accepted {
        job: Text<task::JobId>,
        queue: &'a str,
        tasks: u32,
        /// Declared work of an occurrence, in core-seconds.
        work: f64,
        /// Processors of its largest task.
        cores: f64,
        took_ms: u64,
    },
    /// A job was refused.
    Refused { job: Text<task::JobId>, queue: &'a str, cause: &'static str, took_ms: u64 },
    /// It is not known whether a job was stored.
    Unsettled { job: Text<task::JobId>, queue: &'a str, cause: &'static str, took_ms: u64 },
    /// A client requested a cancellation.
    Cancel { job: Text<task::JobId>, outcome: &'static str, took_ms: u64 },
    /// The state of a job could not be determined.
    StateUnknown { job: Text<task::JobId>, cause: &'static str, took_ms: u64 },
    /// A run was ordered.
    #[serde(rename = "ordered")]
    RunOrdered {
        task: Text<task::TaskId>,
        attempt: u64,
        worker: &'a str,
        waited_ms: u64,
        estimate_ms: u64,
        cores: f64,
    },
    /// A start was ordered again on the same worker, as the last order got no answer.
    OrderedAgain { task: Text<task::TaskId>, attempt: u64, worker: &'a str },
    /// An order without an answer counts as one that cannot be carried out any more, `bound_ms` after it was
    /// sent. The `attempt` is zero if an earlier owner has sent it.
    OrderExpired { task: Text<task::TaskId>, attempt: u64, worker: &'a str, bound_ms: u64 },
    /// A task starts again elsewhere while this run continues.
    #[serde(rename = "overtaken")]
    RunOvertaken { task: Text<task::TaskId>, attempt: u64, worker: &'a str },
    /// A run ended.
    #[serde(rename = "over")]
    RunEnded {
        task: Text<task::TaskId>,
        attempt: u64,
        worker: &'a str,
        cause: owner::Cause,
        #[serde(flatten, skip_serializing_if = "Option::is_none")]
        conclusion: Option<Conclusion>,
    },
    /// A worker reports a run that this owner had taken for gone `gone_ms` ago. It is running unless there
    /// is an `outcome`. The worker's clock is `lease_over_ms` past the lease that had counted as expired.
    /// Logged once for each attempt.
    Outlived {
        task: Text<task::TaskId>,
        attempt: u64,
        worker: &'a str,
        running: bool,
        #[serde(skip_serializing_if = "Option::is_none")]
        outcome: Option<worker::Outcome>,
        cause: owner::Cause,
        basis: owner::Basis,
        gone_ms: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        lease_over_ms: Option<u64>,
        other_attempt: Option<u64>,
    },
    /// More such runs were reported in the last second than are logged, or more were taken for gone in the
    /// last minute than are remembered.
    OutlivedOmitted { runs: usize, forgotten: usize },
    /// A run was ordered to stop.
    #[serde(rename = "halting")]
    RunStopping {
        task: Text<task::TaskId>,
        attempt: u64,
        worker: &'a str,
        reason: owner::StopReason,
    },
    /// A worker reports a run of a task of which another run is recorded, and is ordered to stop it.
    /// The tokens are those of the owners that ordered the runs. Logged once for each attempt.
    SecondRun {
        task: Text<task::TaskId>,
        attempt: u64,
        token: u64,
        worker: &'a str,
        other_attempt: u64,
        other_token: u64,
        other_worker: &'a str,
        other_age_ms: u64,
    },
    /// More such runs were reported in the last second than are logged.
    SecondRunsOmitted { runs: usize },
    /// A job's final state was decided.
    Decided {
        job: Text<task::JobId>,
        state: job::State,
        age_ms: u64,
        objective_ms: u64,
        /// Declared work of an occurrence, in core-seconds.
        work: f64,
        /// Share of the queue's recent jobs that declared less work.
        rank: Option<f64>,
        /// Time that its short tasks waited for placement, summed over its phases, by cause.
        waits: Waits,
    },
    /// Short tasks have found no room for some time. `overtaking` and `long_running` are the starts of
    /// the last second that came before them: of smaller short tasks that had waited for less time,
    /// and of long-running tasks.
    ShortTasksWait {
        service: &'a str,
        tasks: u64,
        late: u64,
        longest_ms: u64,
        cores: f64,
        memory_mb: u64,
        room_cores: f64,
        room_memory_mb: u64,
        free_workers: usize,
        overtaking: u64,
        long_running: u64,
    },
    /// The CPU limit of a worker's best-effort tasks was changed.
    #[serde(rename = "paced")]
    Throttled {
        worker: &'a str,
        #[serde(rename = "percent")]
        cpu_limit: u32,
        #[serde(rename = "heat")]
        tail_ratio: f64,
    },
    /// The cost of interference between best-effort and long-running tasks of a service, in counts
    /// since the last such line, and per 1,000 starts of best-effort tasks.
    Interference {
        service: &'a str,
        span_ms: u64,
        starts: u64,
        windows: u64,
        stopped: u64,
        limits: u64,
        windows_per_1000: f64,
        stopped_per_1000: f64,
        limits_per_1000: f64,
    },
    /// A worker gets no new tasks for a while.
    Suspected { worker: &'a str, reason: &'static str },
    /// A worker has crashed soon after it started a task.
    Implicated { task: Text<task::TaskId>, attempt: u64, worker: &'a str, crashes: usize },
    /// A task has crashed too many workers, so its job has failed.
    GivenUp { task: Text<task::TaskId>, crashes: usize },
    /// A worker's incarnation was replaced, which an entry of another worker of its VM shows, or a reply of
    /// its own. `runs_lost` and `silent_ms` are not known of a worker that has not replied to a new owner.
    Replaced {
        worker: &'a str,
        runs_lost: Option<usize>,
        basis: owner::Basis,
        #[serde(flatten, skip_serializing_if = "Option::is_none")]
        entry: Option<Entry<'a>>,
        incarnation: u64,
        next_incarnation: u64,
        age_ms: u64,
        silent_ms: Option<u64>,
    },
    /// An incarnation of a worker has first replied to a call of its own, after another one.
    LifetimeBegan(lifetimes::LifetimeBegan<'a>),
    /// A worker lists the end `next_end`, and has not listed the `missed` ends before it: a call that was meant
    /// for an earlier incarnation has acknowledged them.
    EndsMissed { worker: &'a str, incarnation: u64, missed: u64, next_end: u64 },
    /// More of both came in the last second than are logged.
    LifetimesOmitted { reports: usize },
    /// All leases of a worker are taken to have expired, so that what ran there can start elsewhere.
    /// `runs` is not known of a worker that has not replied to a new owner, nor `silent_ms`. The leases had
    /// `lease_ms` left at a reading of the worker's clock `reading_ms` ago, to which `margin_ms` were added.
    LeasesExpired {
        worker: &'a str,
        domain: &'a str,
        runs: Option<usize>,
        silent_ms: Option<u64>,
        bound: owner::LeaseBound,
        reading_ms: u64,
        lease_ms: u64,
        margin_ms: u64,
    },
    /// A new owner waits for workers that may run tasks of earlier owners' jobs.
    Recovering { missing: usize, workers: Vec<Text<worker::WorkerId>>, left_ms: u64 },
    /// All runs that earlier owners may have started have been accounted for.
    Recovered { missing: usize, took_ms: u64 },
    /// Operators have emptied a failure domain, in which `runs` tasks continue.
    #[serde(rename = "domain-emptied")]
    Emptied { domain: &'a str, workers: usize, runs: usize },
    /// Tasks may be started in a failure domain again.
    #[serde(rename = "domain-restored")]
    Restored { domain: &'a str, workers: usize, runs: usize },
    /// A commit was not stored at once.
    CommitRetried { number: u64, detail: String },
    /// The store will never take a commit, and its rows are stored in smaller ones.
    CommitRejected { number: u64, detail: String },
    /// A job has failed, as a row of its progress is longer than the store takes.
    Unstorable { job: Text<task::JobId>, page: u32 },
    /// A row cannot be decoded.
    Unreadable { row: &'a str, detail: String },
}

/// Why a run counts as gone whose end its worker has not reported. Where `after_ms` and `bound_ms` are
/// missing, an event of the worker tells more.
#[derive(serde::Serialize)]
pub struct Conclusion {
    basis: owner::Basis,
    age_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    bound_ms: Option<u64>,
    stage: owner::LastStage,
    seen_ms: Option<u64>,
}

/// The entry in the list of workers that shows that another worker of its VM has ended.
#[derive(serde::Serialize)]
pub struct Entry<'a> {
    next_worker: &'a str,
    next_service: &'a str,
}

/// The waits of a job, in milliseconds.
#[derive(serde::Serialize)]
pub struct Waits {
    room_ms: u64,
    late_room_ms: u64,
    orders_ms: u64,
    rack_ms: u64,
    other_ms: u64,
}

/// Converts thousandths of a core to cores.
pub const fn as_cores(millicores: u64) -> f64 {
    millicores as f64 / 1_000.0
}

/// Rounds to a fraction of one, as logs need no more digits.
pub fn rounded(value: f64, parts: f64) -> f64 {
    (value * parts).round() / parts
}

/// A value that is logged as the text that `Display` gives.
pub struct Text<T>(pub T);

impl<T: fmt::Display> serde::Serialize for Text<T> {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

/// Returns the fields of the line by which a note is logged, as a JSON object.
///
/// # Errors
///
/// If it cannot be serialised.
pub fn note_fields(note: &owner::Note) -> Result<String, serde_json::Error> {
    serde_json::to_string(&Event::from(note))
}

/// Logs an event.
pub fn emit(event: &Event<'_>) {
    match serde_json::to_string(event) {
        Ok(line) => log::info!(target: crate::jobs::log_writer::EVENT_TARGET, "{line}"),
        Err(error) => log::error!("cannot serialise an event as JSON: {error}"),
    }
}
