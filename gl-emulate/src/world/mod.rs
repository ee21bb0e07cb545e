//! The event loop: messages with their delays, faults, owners one after the other, and checks.

mod checks;
mod faults;
mod messages;
mod owners;
mod settings;
mod workers;

use std::collections;

use gl_jobs::{owner, record, task, worker as model};
use gl_model::time;
use rand::{SeedableRng as _, rngs};

pub use settings::{Fault, Off, Planned, Settings};

use checks::OpenEnd;
use messages::Due;
use owners::{Reign, StoredJob, is_active};

use crate::{report, worker};

/// One step of virtual time.
const STEP: time::Span = time::Span::millis(5);
/// The time of a message from an owner to a worker, or back.
const HOP: time::Span = time::Span::millis(2);
/// The time-out of an order.
const ORDER_LIMIT: time::Span = time::Span::millis(900);
/// How long after the last arrival jobs may take to end.
const FINISH: time::Span = time::Span::seconds(60);

/// The world.
pub struct World {
    settings: Settings,
    now: time::Timestamp,
    rng: rngs::SmallRng,
    workers: Vec<worker::Worker>,
    reigns: Vec<Reign>,
    due: collections::BinaryHeap<Due>,
    numbers: u64,
    version: u64,
    jobs: collections::BTreeMap<task::JobId, StoredJob>,
    submitted: usize,
    next_fault: usize,
    store_down: time::Timestamp,
    late: Option<(time::Timestamp, f64)>,
    troubles: Vec<(time::Timestamp, usize)>,
    returns: Vec<(time::Timestamp, usize)>,
    leaves: Vec<(time::Timestamp, usize)>,
    unlisted: Vec<(time::Timestamp, usize)>,
    failed: collections::BTreeMap<task::TaskId, u32>,
    roster: collections::BTreeMap<model::WorkerId, model::Registration>,
    learnt: record::ModelSnapshot,
    last_renewal: time::Timestamp,
    done: collections::BTreeSet<task::TaskId>,
    open_ends: Vec<OpenEnd>,
    report: report::Report,
}

impl World {
    /// A world that hasn't begun.
    pub fn new(mut settings: Settings) -> Self {
        settings.arrivals.sort_by_key(|arrival| arrival.at);
        settings.faults.sort_by_key(|fault| fault.at);
        let now = time::Timestamp(time::Span::seconds(1).0);
        let specs = settings.workers.iter().cloned().enumerate();
        let workers = specs.map(|(n, spec)| worker::Worker::new(n, spec, time::Timestamp(0)));
        let workers = workers.collect();
        Self {
            rng: rngs::SmallRng::seed_from_u64(settings.seed),
            settings,
            now,
            workers,
            reigns: Vec::new(),
            due: collections::BinaryHeap::new(),
            numbers: 0,
            version: 0,
            jobs: collections::BTreeMap::new(),
            submitted: 0,
            next_fault: 0,
            store_down: time::Timestamp::default(),
            late: None,
            troubles: Vec::new(),
            returns: Vec::new(),
            leaves: Vec::new(),
            unlisted: Vec::new(),
            failed: collections::BTreeMap::new(),
            roster: collections::BTreeMap::new(),
            learnt: record::ModelSnapshot::default(),
            last_renewal: now,
            done: collections::BTreeSet::new(),
            open_ends: Vec::new(),
            report: report::Report::default(),
        }
    }

    /// Plays until all jobs have ended or their time is up.
    pub fn run(mut self) -> report::Report {
        let last = self.settings.arrivals.last().map_or(self.now, |arrival| arrival.at);
        let last = self.settings.faults.last().map_or(last, |fault| last.max(fault.at));
        let end = last + FINISH;
        while self.now < end {
            self.step();
            let is_quiet = self.now > last + time::Span::seconds(2) && self.all_ended();
            if is_quiet {
                break;
            }
        }
        self.conclude();
        self.report
    }

    fn all_ended(&self) -> bool {
        let is_open = |job: &&StoredJob| {
            let arrival = &self.settings.arrivals[job.arrival];
            let has_end = job.progress.as_ref().is_some_and(|p| p.final_state.is_some());
            !has_end && job.cancelled.is_none() && !arrival.job.is_long_running()
        };
        self.submitted >= self.settings.arrivals.len() && self.jobs.values().find(is_open).is_none()
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.play_faults();
        self.claim();
        self.submit();
        self.deliver();
        self.advance_workers();
        self.advance_owners();
    }

    fn is_at(&self, interval: time::Span) -> bool {
        self.now.0.is_multiple_of(interval.0)
    }

    fn is_store_up(&self) -> bool {
        self.now >= self.store_down
    }

    fn moment(&self) -> owner::Moment {
        owner::Moment { now: self.now, wall: self.now }
    }

    fn list(&self) -> Vec<model::Registration> {
        let is_listed =
            |n: usize| !self.unlisted.iter().any(|(until, m)| *m == n && self.now < *until);
        let listed = self.workers.iter().enumerate().filter(|(n, w)| !w.is_down && is_listed(*n));
        listed.map(|(_, w)| w.registration()).collect()
    }

    fn submit(&mut self) {
        if !self.is_store_up() {
            return;
        }
        while let Some(arrival) = self.settings.arrivals.get(self.submitted).cloned() {
            if arrival.at > self.now {
                break;
            }
            self.version += 1;
            let version = self.version;
            let stored =
                StoredJob { arrival: self.submitted, version, cancelled: None, progress: None };
            self.jobs.insert(arrival.id, stored);
            self.submitted += 1;
            let moment = self.moment();
            for reign in self.reigns.iter_mut().filter(|r| is_active(r, moment.now)) {
                reign.owner.add_job(arrival.id, arrival.job.clone(), &moment);
            }
        }
        self.cancel();
    }

    fn cancel(&mut self) {
        let now = self.now;
        let arrivals = &self.settings.arrivals;
        for (id, job) in &mut self.jobs {
            let is_asked = arrivals[job.arrival].cancelled.is_some_and(|at| at <= now);
            let has_end = job.progress.as_ref().is_some_and(|p| p.final_state.is_some());
            if !is_asked || has_end || job.cancelled.is_some() {
                continue;
            }
            job.cancelled = Some(now);
            for reign in self.reigns.iter_mut().filter(|r| is_active(r, now)) {
                reign.owner.cancel_job(*id, now);
            }
        }
    }
}
