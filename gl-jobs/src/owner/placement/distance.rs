//! Racks: whether a task waits for capacity near its data or near the other tasks of its phase, or
//! starts elsewhere and takes longer by [`Settings::remote_factor`](crate::owner::Settings).

use std::collections;

use gl_model::time;

use crate::owner::{Owner, Run, Worker, preference, runs, search, state};
use crate::{job, task, worker};

/// The progress, in percent, from which the remaining time of a run follows from its progress.
const MIN_PROGRESS: f64 = 10.0;

/// The racks for which tasks wait in this pass.
#[derive(Default)]
pub(in crate::owner) struct Racks(Vec<Rack>);

struct Rack {
    name: String,
    is_best_effort: bool,
    /// The expected ends of the runs, with the processors that they release.
    releases: Vec<(time::Timestamp, u64)>,
    /// The processors for which tasks of higher rank wait.
    held: u64,
    /// The processors of the smallest task that was found to have no room in the rack.
    busy: Option<u64>,
}

/// Returns whether the waiting tasks of a phase should wait for capacity in their rack, given the
/// worker that was found for the next one. Without a worker, the question is whether the rack is
/// known to be busy, so that no worker has to be sought.
pub(in crate::owner) fn should_wait(
    owner: &mut Owner,
    racks: &mut Racks,
    phase: task::PhaseId,
    found: Option<&worker::WorkerId>,
    now: time::Timestamp,
) -> bool {
    let Some(wait) = wait_for(owner, racks, phase, found, now) else {
        return false;
    };
    let entry = owner.jobs.get_mut(&phase.job);
    let Some(state) = entry.and_then(|e| e.phases.get_mut(&(phase.occurrence, phase.phase))) else {
        return false;
    };
    let since = state.rack_wait.unwrap_or(now);
    // The wait may take longer than expected. It never costs more than it could save.
    let is_worthwhile = wait.end <= now + wait.limit && now.since(since) < wait.limit;
    if is_worthwhile {
        state.rack_wait = Some(since);
        racks.0[wait.rack].held += wait.cores;
    }
    is_worthwhile
}

/// A possible wait for a rack.
struct Wait {
    rack: usize,
    /// The time at which the rack is expected to have capacity for all waiting tasks of the phase.
    end: time::Timestamp,
    /// The time that a task loses if it starts elsewhere.
    limit: time::Span,
    cores: u64,
}

fn wait_for(
    owner: &Owner,
    racks: &mut Racks,
    phase: task::PhaseId,
    found: Option<&worker::WorkerId>,
    now: time::Timestamp,
) -> Option<Wait> {
    let factor = owner.settings.remote_factor;
    let entry = owner.jobs.get(&phase.job).filter(|_| factor > 1.0)?;
    let spec = entry.spec(phase.phase).filter(|spec| !spec.long_running)?;
    let state = state::state_of(owner, phase)?;
    let usual = spec.estimate.scaled(owner.medians.factor(&entry.job.queue));
    let limit = usual.scaled(factor - 1.0);
    // What best-effort tasks find in a rack depends on interference more than on the runs there, so
    // the expected wait is rough. It pays only if the job would be late without it.
    if spec.best_effort && now + limit + entry.critical_path(phase.phase) <= state.deadline {
        return None;
    }
    let name = spec.data_rack.clone().or_else(|| search::sibling_rack(owner, phase, spec))?;
    let rack = racks.position(owner, &name, spec.best_effort, now);
    let size = spec.size.cores;
    match found.and_then(|id| owner.workers.get(id)) {
        Some(worker) if worker.registration.rack.as_ref() == Some(&name) => return None,
        Some(_) => {
            let busy = &mut racks.0[rack].busy;
            *busy = Some(busy.map_or(size, |least| least.min(size)));
        }
        None => racks.0[rack].busy.filter(|least| *least <= size).map(drop)?,
    }
    let waiting = state.waiting.len() as u64;
    let end = racks.0[rack].available(size * waiting)?;
    Some(Wait { rack, end, limit, cores: size * waiting })
}

impl Racks {
    /// Returns the position of a rack, after listing its runs if this is the first question for it.
    fn position(
        &mut self,
        owner: &Owner,
        name: &str,
        is_best_effort: bool,
        now: time::Timestamp,
    ) -> usize {
        let is_same = |rack: &Rack| rack.name == name && rack.is_best_effort == is_best_effort;
        if let Some(position) = self.0.iter().position(is_same) {
            return position;
        }
        let releases = releases(owner, name, is_best_effort, now);
        let name = name.to_owned();
        self.0.push(Rack { name, is_best_effort, releases, held: 0, busy: None });
        self.0.len() - 1
    }
}

impl Rack {
    /// Returns the time at which runs have released processors for tasks that need `cores` more than
    /// those that already wait, or `None` if the present runs release too few.
    fn available(&self, cores: u64) -> Option<time::Timestamp> {
        let needed = self.held + cores;
        let mut released = 0;
        self.releases.iter().find_map(|(at, cores)| {
            released += cores;
            (released >= needed).then_some(*at)
        })
    }
}

/// Returns the expected ends of the runs of one kind in a rack, the earliest first.
fn releases(
    owner: &Owner,
    rack: &str,
    is_best_effort: bool,
    now: time::Timestamp,
) -> Vec<(time::Timestamp, u64)> {
    let kind = if is_best_effort { runs::Kind::BestEffort } else { runs::Kind::Batch };
    let is_usable = |w: &&Worker| {
        w.registration.rack.as_deref() == Some(rack) && w.is_eligible(&owner.settings, now)
    };
    let workers = owner.workers.values().filter(is_usable);
    let of_worker = |w: &Worker| {
        let runs = w.runs.iter().filter_map(|task| Some((task, owner.runs.get(task)?)));
        let ends = runs
            .filter(|(_, run)| run.kind == kind)
            .map(|(task, run)| (expected_end(owner, *task, run, w, now), run.cores));
        ends.collect::<Vec<_>>()
    };
    let mut releases: Vec<_> = workers.flat_map(of_worker).collect();
    releases.sort_unstable();
    releases
}

/// Returns the time at which a run is expected to be done.
pub(in crate::owner) fn expected_end(
    owner: &Owner,
    task: task::TaskId,
    run: &Run,
    w: &Worker,
    now: time::Timestamp,
) -> time::Timestamp {
    let since = run.started_at();
    if run.progress >= MIN_PROGRESS && !run.is_partial {
        let elapsed = run.progressed_at.since(since);
        return now.max(since + elapsed.scaled(runs::FULL_PERCENT / run.progress));
    }
    let entry = owner.jobs.get(&task.phase.job);
    let factor = entry.map_or(1.0, |entry| owner.medians.factor(&entry.job.queue));
    let spec = entry.and_then(|entry| entry.spec(task.phase.phase));
    let slowness = spec.map_or(1.0, |spec| preference::slowness(owner, spec, w, now));
    now.max(since + run.estimate.scaled(factor * slowness))
}

/// Returns the rack with room for the most of the phase's waiting tasks, if they should share one and
/// none of them runs yet.
pub(in crate::owner) fn roomiest_rack(
    owner: &Owner,
    phase: task::PhaseId,
    spec: &job::Phase,
    now: time::Timestamp,
) -> Option<String> {
    if owner.settings.remote_factor <= 1.0 || !spec.rack_sensitive || spec.long_running {
        return None;
    }
    let entry = owner.jobs.get(&phase.job)?;
    let mut slots: collections::BTreeMap<&str, u64> = collections::BTreeMap::new();
    let of_service = owner.workers.values().filter(|w| {
        w.registration.service == entry.job.service && w.is_eligible(&owner.settings, now)
    });
    for w in of_service {
        let Some(rack) = w.registration.rack.as_deref() else {
            continue;
        };
        *slots.entry(rack).or_default() += slots_on(w, spec);
    }
    let most = slots.values().copied().max().filter(|most| *most > 0)?;
    let rack = slots.into_iter().find(|(_, slots)| *slots == most);
    rack.map(|(rack, _)| rack.to_owned())
}

/// Returns the number of the phase's tasks for which a worker has capacity.
fn slots_on(w: &Worker, spec: &job::Phase) -> u64 {
    let free = w.free();
    let size = spec.size;
    let fitting = |free: u64, needed: u64| free.checked_div(needed).unwrap_or(u64::MAX);
    let by_cores = if spec.best_effort {
        let idle = time::Span::micros(1).scaled(w.idle_cores().max(0.0)).0;
        fitting(idle, size.cores)
    } else {
        fitting(free.cores, size.cores)
    };
    let limit = spec.per_worker.map_or(u64::MAX, u64::from);
    let by_rest =
        fitting(free.memory, size.memory).min(fitting(free.accelerators, size.accelerators));
    by_cores.min(by_rest).min(limit).min(u64::from(spec.count))
}
