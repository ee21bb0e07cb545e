//! Why short tasks wait: the time that each job has waited, by cause, and what room there was.

use gl_model::{size, time};

use crate::owner::{Note, Owner, Worker, state};
use crate::{job, task};

/// The interval at which waiting tasks are reported.
const INTERVAL: time::Span = time::Span::seconds(1);
/// The time for which a task has to wait before it is reported. Placement passes are less than 100 ms
/// apart, so that several of them have not started it.
const MIN_WAIT: time::Span = time::Span::millis(300);

/// Why the tasks of a phase wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::owner) enum Cause {
    /// No worker has room for a task.
    Room,
    /// The limit of the start orders in flight is reached.
    Orders,
    /// The rack of the tasks is expected to have room soon.
    Rack,
    /// Advice, the end of a recovery, or a worker of its own for a task that may crash it.
    Other,
}

/// The time that the phases of a job have waited for placement, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    /// For room, while the objective could be met.
    pub room: time::Span,
    /// For room, after that.
    pub late_room: time::Span,
    /// For the limit of the start orders in flight.
    pub orders: time::Span,
    /// For room in the rack of the tasks.
    pub rack: time::Span,
    /// For anything else.
    pub other: time::Span,
}

/// The wait of a phase since the last pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::owner) struct Wait {
    cause: Cause,
    is_late: bool,
    since: time::Timestamp,
}

/// The short tasks of a service that wait, as they are reported.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shortage {
    /// The service.
    pub service: String,
    /// The waiting tasks.
    pub tasks: u64,
    /// Those of them that cannot meet their objective any more.
    pub late: u64,
    /// The longest wait.
    pub longest: time::Span,
    /// The largest task.
    pub largest: size::Size,
    /// The largest room on a worker that accepts tasks, by processors.
    pub room: size::Size,
    /// The workers without any long-running task.
    pub free_workers: usize,
    /// The starts of smaller short tasks that have waited for less time than a task that found no
    /// room, since the last report.
    pub overtaking: u64,
    /// The starts of long-running tasks while a short task found no room, since the last report.
    pub long_running: u64,
}

/// Collects what is reported of short tasks that wait.
#[derive(Clone, Debug, Default)]
pub(in crate::owner) struct Monitor {
    /// The phases that found no room in the last pass.
    blocked: Vec<Blocked>,
    /// Those that have found none in this one so far.
    found: Vec<Blocked>,
    counts: Vec<Counts>,
    reported_at: time::Timestamp,
}

#[derive(Clone, Debug, PartialEq)]
struct Blocked {
    phase: task::PhaseId,
    service: String,
    cores: u64,
    since: time::Timestamp,
}

#[derive(Clone, Debug, PartialEq)]
struct Counts {
    service: String,
    overtaking: u64,
    long_running: u64,
}

impl Waits {
    fn add(&mut self, wait: Wait, now: time::Timestamp) {
        let total = match wait.cause {
            Cause::Room if wait.is_late => &mut self.late_room,
            Cause::Room => &mut self.room,
            Cause::Orders => &mut self.orders,
            Cause::Rack => &mut self.rack,
            Cause::Other => &mut self.other,
        };
        *total = *total + now.since(wait.since);
    }
}

/// Records why the tasks of a phase that a pass has left waiting were not started; `None` if all were.
pub(in crate::owner) fn record(
    owner: &mut Owner,
    phase: task::PhaseId,
    cause: Option<Cause>,
    now: time::Timestamp,
) {
    let Some(entry) = owner.jobs.get_mut(&phase.job) else {
        return;
    };
    let Some(spec) = entry.spec(phase.phase).filter(|spec| spec.is_short()) else {
        return;
    };
    let (cores, path) = (spec.size.cores, entry.critical_path(phase.phase));
    let Some(state) = entry.phases.get_mut(&(phase.occurrence, phase.phase)) else {
        return;
    };
    let is_late = now + path > state.deadline;
    let ended = state.wait.take();
    state.wait = cause.map(|cause| Wait { cause, is_late, since: now });
    if let Some(wait) = ended {
        entry.waits.add(wait, now);
    }
    if cause == Some(Cause::Room) {
        let (service, since) = (entry.job.service.clone(), state.since);
        owner.short_waits.found.push(Blocked { phase, service, cores, since });
    }
}

/// Starts a pass. Its starts are compared with what found no room in the pass before it.
pub(in crate::owner) fn start_pass(owner: &mut Owner, now: time::Timestamp) {
    owner.short_waits.blocked = std::mem::take(&mut owner.short_waits.found);
    if now.since(owner.short_waits.reported_at) >= INTERVAL {
        report(owner, now);
    }
}

/// Counts a start while a short task that found no room still waits.
pub(in crate::owner) fn count_start(owner: &mut Owner, phase: task::PhaseId, spec: &job::Phase) {
    if spec.best_effort {
        return;
    }
    let Some(entry) = owner.jobs.get(&phase.job) else {
        return;
    };
    let Some(since) = state::state_of(owner, phase).map(|state| state.since) else {
        return;
    };
    let service = &entry.job.service;
    let is_overtaken = |b: &Blocked| {
        let is_smaller = spec.long_running || (spec.size.cores < b.cores && since > b.since);
        b.phase != phase && b.service == *service && is_smaller
    };
    if !owner.short_waits.blocked.iter().any(is_overtaken) {
        return;
    }
    let service = service.clone();
    let counts = &mut owner.short_waits.counts;
    let position = counts.iter().position(|counts| counts.service == service);
    let position = position.unwrap_or_else(|| {
        counts.push(Counts { service, overtaking: 0, long_running: 0 });
        counts.len() - 1
    });
    counts[position].overtaking += u64::from(!spec.long_running);
    counts[position].long_running += u64::from(spec.long_running);
}

/// Reports the short tasks that have waited for some time, for each service that has any.
fn report(owner: &mut Owner, now: time::Timestamp) {
    owner.short_waits.reported_at = now;
    let counts = std::mem::take(&mut owner.short_waits.counts);
    let mut shortages: Vec<Shortage> = Vec::new();
    for blocked in &owner.short_waits.blocked {
        let service = &blocked.service;
        let position = shortages.iter().position(|shortage| shortage.service == *service);
        let position = position.unwrap_or_else(|| {
            shortages.push(Shortage { service: service.clone(), ..Shortage::default() });
            shortages.len() - 1
        });
        add_waiting(owner, &mut shortages[position], blocked, now);
    }
    for mut shortage in shortages.into_iter().filter(|shortage| shortage.tasks > 0) {
        add_room(owner, &mut shortage, now);
        if let Some(counts) = counts.iter().find(|counts| counts.service == shortage.service) {
            shortage.overtaking = counts.overtaking;
            shortage.long_running = counts.long_running;
        }
        owner.note(Note::ShortTasksWait(shortage));
    }
}

/// Adds the waiting tasks of a phase, if they have waited for some time.
fn add_waiting(owner: &Owner, shortage: &mut Shortage, blocked: &Blocked, now: time::Timestamp) {
    let Blocked { phase, since, .. } = *blocked;
    let Some(entry) = owner.jobs.get(&phase.job).filter(|_| now.since(since) >= MIN_WAIT) else {
        return;
    };
    let Some((spec, state)) = entry.spec(phase.phase).zip(state::state_of(owner, phase)) else {
        return;
    };
    let tasks = state.waiting.len() as u64;
    shortage.tasks += tasks;
    if now + entry.critical_path(phase.phase) > state.deadline {
        shortage.late += tasks;
    }
    shortage.longest = shortage.longest.max(now.since(since));
    if spec.size.cores > shortage.largest.cores {
        shortage.largest = spec.size;
    }
}

/// Adds the room that the workers of the service have.
fn add_room(owner: &Owner, shortage: &mut Shortage, now: time::Timestamp) {
    let of_service = |w: &&Worker| w.registration.service == shortage.service;
    for worker in owner.workers.values().filter(of_service) {
        shortage.free_workers += usize::from(worker.long_running_cores == 0);
        let free = worker.free();
        if worker.is_eligible(&owner.settings, now) && free.cores > shortage.room.cores {
            shortage.room = free;
        }
    }
}
