//! The load of each service, and how scarce its capacity is.
//!
//! A service has two kinds of capacity: short tasks need processors that nobody has reserved, and
//! best-effort tasks need idle ones. The level follows from the kind that is shorter. A new owner
//! starts with the level ample and no rates, and measures both.

use std::collections;

use gl_cost::{ledger, level, rate, summary};
use gl_model::time;

use super::{Owner, PhaseState, Worker, order, settings, state};
use crate::{job, task};

/// The interval at which the load is sampled. Levels change over seconds.
const INTERVAL: time::Span = time::Span::millis(100);
/// The time for which a phase has to wait before it counts as backlog. Placement passes are less than
/// 100 ms apart, so that several of them have found no worker for it.
const MIN_WAIT: time::Span = time::Span::millis(300);

/// The load of the owner's services, by name.
pub(in crate::owner) type Services = collections::BTreeMap<String, Service>;

/// The load of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub(in crate::owner) struct Service {
    short: Flow,
    best_effort: Flow,
}

/// The load of one kind of tasks.
#[derive(Clone, Debug, Default, PartialEq)]
pub(in crate::owner) struct Flow {
    arrived: rate::Rate,
    completed: rate::Rate,
    sample: level::Sample,
    monitor: level::Monitor,
    /// The jobs that are served by right.
    ledger: ledger::Ledger,
}

impl Service {
    /// Returns the load of the tasks that need the same kind of capacity as those of a phase.
    pub const fn flow(&self, spec: &job::Phase) -> &Flow {
        if spec.best_effort { &self.best_effort } else { &self.short }
    }

    const fn flow_mut(&mut self, spec: &job::Phase) -> &mut Flow {
        if spec.best_effort { &mut self.best_effort } else { &mut self.short }
    }
}

impl Flow {
    /// Returns whether capacity is scarce.
    pub fn is_scarce(&self) -> bool {
        self.monitor.level() == level::Level::Scarce
    }

    /// Returns the time in which the backlog drains.
    pub fn drain_time(&self) -> time::Span {
        self.sample.drain_time()
    }

    /// Returns whether a job is served by right.
    pub fn has_turn(&self, id: task::JobId) -> bool {
        self.ledger.has_turn(id.0)
    }

    fn start_sample(&mut self, now: time::Timestamp) {
        let arrivals = self.arrived.per_second(now);
        let completions = self.completed.per_second(now);
        self.sample = level::Sample { arrivals, completions, ..level::Sample::default() };
    }

    fn update_level(&mut self, now: time::Timestamp) {
        self.monitor.update(&self.sample, &level::Settings::default(), now);
    }

    /// Updates the turns of the waiting jobs.
    fn update_turns(&mut self, waiting: &[ledger::Waiting<'_>]) {
        if self.is_scarce() {
            self.ledger.grant(waiting);
        } else {
            self.ledger.clear();
        }
    }
}

/// Samples the load of all services, once per interval.
pub(in crate::owner) fn update(owner: &mut Owner, now: time::Timestamp) {
    // Tasks that wait for the end of a recovery do not wait for capacity.
    let is_due = now.since(owner.sampled_at) >= INTERVAL;
    if owner.settings.loss_order == settings::LossOrder::Off || !is_due || owner.is_recovering() {
        return;
    }
    owner.sampled_at = now;
    let mut services = std::mem::take(&mut owner.scarcity);
    for service in services.values_mut() {
        service.short.start_sample(now);
        service.best_effort.start_sample(now);
    }
    add_backlog(owner, &mut services, now);
    add_free(owner, &mut services, now);
    for (name, service) in &mut services {
        service.short.update_level(now);
        service.best_effort.update_level(now);
        let is_scarce = service.short.is_scarce() || service.best_effort.is_scarce();
        // With room there are no turns, and the owner of a full cell has thousands of phases.
        let waiting = if is_scarce { waiting_jobs(owner, name) } else { Default::default() };
        service.short.update_turns(&waiting[0]);
        service.best_effort.update_turns(&waiting[1]);
    }
    owner.scarcity = services;
}

/// Adds the work of the waiting tasks that no pass could place. Phases that can earn nothing any more
/// are left out, as one that fits on no worker would make capacity look scarce for ever.
fn add_backlog(owner: &Owner, services: &mut Services, now: time::Timestamp) {
    for (_, entry, state, spec) in owner.open_phases.iter().filter_map(|p| parts(owner, *p)) {
        let end = state.deadline + entry.objective + entry.objective;
        if !is_plain(entry, spec) || now.since(state.since) < MIN_WAIT || now > end {
            continue;
        }
        if let Some(service) = services.get_mut(&entry.job.service) {
            service.flow_mut(spec).sample.backlog += state.waiting.len() as f64 * spec.task_work();
        }
    }
}

/// Adds the free capacity. Where a backlog is left by several passes, its tasks can start on none of
/// it.
fn add_free(owner: &Owner, services: &mut Services, now: time::Timestamp) {
    let is_usable = |w: &&Worker| w.is_eligible(&owner.settings, now);
    for worker in owner.workers.values().filter(is_usable) {
        let Some(service) = services.get_mut(&worker.registration.service) else {
            continue;
        };
        let unreserved = worker.free().cores as f64 / MILLICORES_PER_CORE;
        let idle = worker.idle_cores().max(0.0) / MILLICORES_PER_CORE;
        for (flow, free) in [(&mut service.short, unreserved), (&mut service.best_effort, idle)] {
            if flow.sample.backlog <= 0.0 {
                flow.sample.free += free;
            }
        }
    }
}

const MILLICORES_PER_CORE: f64 = 1_000.0;

/// A waiting phase with what describes it.
type Parts<'a> = (task::PhaseId, &'a super::JobEntry, &'a PhaseState, &'a job::Phase);

fn parts(owner: &Owner, phase: task::PhaseId) -> Option<Parts<'_>> {
    let entry = owner.jobs.get(&phase.job)?;
    let spec = entry.spec(phase.phase).filter(|spec| !spec.long_running)?;
    Some((phase, entry, state::state_of(owner, phase)?, spec))
}

/// Returns whether only a lack of capacity can keep the tasks of a phase waiting.
const fn is_plain(entry: &super::JobEntry, spec: &job::Phase) -> bool {
    spec.label.is_none() && spec.per_worker.is_none() && !spec.gang && entry.job.advice.is_none()
}

/// Returns the jobs of a service that wait with short tasks, and those that wait with best-effort ones.
fn waiting_jobs<'a>(owner: &'a Owner, service: &str) -> [Vec<ledger::Waiting<'a>>; 2] {
    let mut waiting = [Vec::new(), Vec::new()];
    let phases = owner.open_phases.iter().filter_map(|phase| parts(owner, *phase));
    for (phase, entry, state, spec) in phases.filter(|(_, e, ..)| e.job.service == service) {
        waiting[usize::from(spec.best_effort)].push(ledger::Waiting {
            id: phase.job.0,
            queue: &entry.job.queue,
            priority: entry.job.policy.priority,
            work: entry.job.work(),
            since: order::due(entry, state),
        });
    }
    waiting
}

impl Owner {
    /// Returns the load of all services, as it was last sampled.
    pub fn load_summary(&self, now: time::Timestamp) -> summary::Summary {
        let load = |service: &str, kind, flow: &Flow| summary::Load {
            service: service.to_owned(),
            kind,
            level: flow.monitor.level(),
            sample: flow.sample,
        };
        let loads = self.scarcity.iter().flat_map(|(name, service)| {
            [
                load(name, summary::Kind::Short, &service.short),
                load(name, summary::Kind::BestEffort, &service.best_effort),
            ]
        });
        summary::Summary { loads: loads.collect(), age: now.since(self.sampled_at) }
    }

    /// Counts the work of a job that was accepted.
    pub(in crate::owner) fn count_arrival(&mut self, id: task::JobId, now: time::Timestamp) {
        self.record_size(id);
        let Some(entry) = self.jobs.get(&id).filter(|entry| !entry.job.is_long_running()) else {
            return;
        };
        let Some(service) = self.scarcity.get_mut(&entry.job.service) else {
            return;
        };
        for spec in &entry.job.phases {
            let work = f64::from(spec.count) * spec.task_work();
            service.flow_mut(spec).arrived.add(work, now);
        }
    }

    /// Records the size of a job, from which the largest of its queue are known. For jobs that an
    /// earlier owner has stored this is all, as the time of their arrival has passed.
    pub(in crate::owner) fn record_size(&mut self, id: task::JobId) {
        let entry = self.jobs.get(&id).filter(|entry| !entry.job.is_long_running());
        let Some(entry) = entry.filter(|_| self.settings.loss_order != settings::LossOrder::Off)
        else {
            return;
        };
        let service = match self.scarcity.get_mut(&entry.job.service) {
            Some(service) => service,
            None => self.scarcity.entry(entry.job.service.clone()).or_default(),
        };
        if let Some(spec) = entry.job.phases.first() {
            let ledger = &mut service.flow_mut(spec).ledger;
            ledger.arrived(&entry.job.queue, entry.job.work());
        }
    }

    /// Returns the share of the recent jobs of its queue that declared less work than a job.
    pub(in crate::owner) fn size_rank(&self, job: &job::Job) -> Option<f64> {
        let flow = self.scarcity.get(&job.service)?.flow(job.phases.first()?);
        flow.ledger.rank(&job.queue, job.work())
    }

    /// Counts the work of `tasks` completed tasks.
    pub(in crate::owner) fn count_done(
        &mut self,
        phase: task::PhaseId,
        tasks: u32,
        now: time::Timestamp,
    ) {
        let Some(entry) = self.jobs.get(&phase.job) else {
            return;
        };
        let service = self.scarcity.get_mut(&entry.job.service);
        if let Some((service, spec)) = service.zip(entry.spec(phase.phase)) {
            service.flow_mut(spec).completed.add(f64::from(tasks) * spec.task_work(), now);
        }
    }

    /// Records the end of a job.
    pub(in crate::owner) fn count_end(&mut self, id: task::JobId, state: job::State) {
        let Some(entry) = self.jobs.get(&id).filter(|entry| !entry.job.is_long_running()) else {
            return;
        };
        let Some(service) = self.scarcity.get_mut(&entry.job.service) else {
            return;
        };
        let is_complete = state == job::State::Complete;
        let Some(spec) = entry.job.phases.first() else {
            return;
        };
        let flow = service.flow_mut(spec);
        if is_complete && flow.is_scarce() {
            flow.ledger.completed(id.0, &entry.job.queue, entry.job.work());
        }
        self.end_turn(id);
    }

    /// Ends the turn of a job, or of the occurrence of a job for which it was granted.
    pub(in crate::owner) fn end_turn(&mut self, id: task::JobId) {
        let service = self.jobs.get(&id).map(|entry| &entry.job.service);
        if let Some(service) = service.and_then(|name| self.scarcity.get_mut(name)) {
            service.short.ledger.removed(id.0);
            service.best_effort.ledger.removed(id.0);
        }
    }
}
