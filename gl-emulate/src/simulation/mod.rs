//! The simulation: a loop over discrete time steps that delivers messages, injects faults, runs
//! owners and workers, and checks the guarantees.

mod checks;
mod claims;
mod daemons;
mod faults;
mod late_calls;
mod messages;
mod owners;
mod settings;
mod stored_job;
mod workers;

use std::collections;

use gl_jobs::{claimants, owner, record, task, worker as model};
use gl_model::time;
use rand::{SeedableRng as _, rngs};

pub use settings::{Calls, Disabled, Fault, ScheduledFault, Settings};

use checks::{CrashCount, PendingEnd};
use faults::Split;
use late_calls::LateCalls;
use messages::Delivery;
use owners::{Ownership, is_active};
use stored_job::StoredJob;

use crate::{report, worker};

/// The step of virtual time.
const TIME_STEP: time::Span = time::Span::millis(5);
/// The delay of a message between an owner and a worker.
const MESSAGE_DELAY: time::Span = time::Span::millis(2);
/// The time-out of an order.
const ORDER_TIMEOUT: time::Span = time::Span::millis(900);
/// The time after the last arrival or fault within which all jobs must end.
const FINISH_TIMEOUT: time::Span = time::Span::seconds(60);

/// A simulation run. Pairs of a time and a number say when the state of the worker with that number
/// changes.
pub struct Simulation {
    settings: Settings,
    now: time::Timestamp,
    rng: rngs::SmallRng,
    /// Draws the times after which workers notice that their leases have expired.
    lapse_rng: rngs::SmallRng,
    workers: Vec<worker::Worker>,
    ownerships: Vec<Ownership>,
    deliveries: collections::BinaryHeap<Delivery>,
    sequence: u64,
    version: u64,
    jobs: collections::BTreeMap<task::JobId, StoredJob>,
    submitted: usize,
    next_fault: usize,
    /// The end of the latest outage of the store.
    outage_end: time::Timestamp,
    /// The end of the period in which orders are delayed, and the share of delayed orders.
    order_delay: Option<(time::Timestamp, f64)>,
    /// The end of the period in which calls are slow, and the longest time that a message takes then.
    slow_calls: Option<(time::Timestamp, time::Span)>,
    late_calls: LateCalls,
    fault_ends: Vec<(time::Timestamp, usize)>,
    restarts: Vec<(time::Timestamp, usize)>,
    terminations: Vec<(time::Timestamp, usize)>,
    unlisted: Vec<(time::Timestamp, usize)>,
    failures: collections::BTreeMap<task::TaskId, u32>,
    /// Those of them whose ends were lost with their worker.
    lost_failures: collections::BTreeMap<task::TaskId, u32>,
    /// The times at which tasks crash their workers, with the worker and the task.
    crashes: Vec<(time::Timestamp, usize, task::TaskId)>,
    /// The workers that have crashed under each task, and the starts after the third crash.
    crash_counts: collections::BTreeMap<task::TaskId, CrashCount>,
    roster: collections::BTreeMap<model::WorkerId, record::Enrolment>,
    vacating: collections::BTreeMap<model::WorkerId, record::Vacating>,
    split: Option<Split>,
    /// The time of the last successful call to the store of each daemon.
    store_calls: [time::Timestamp; daemons::DAEMONS],
    /// The newest clock of an owner that each daemon has received, with the owner.
    owner_clocks: [Option<(usize, time::Timestamp)>; daemons::DAEMONS],
    /// The daemons that may claim the cell in an outage, as the owner has stored them.
    claimants: claimants::Names,
    stored_model: record::ModelSnapshot,
    last_renewal: time::Timestamp,
    /// How long leases may last once the last owner has ended, as it has stored it.
    outstanding: Option<time::Span>,
    /// How long earlier owners could order starts after the last renewal.
    earlier_starts: time::Span,
    /// The end of the latest disturbance that was not planned.
    disturbed_until: time::Timestamp,
    /// The time at which each long-running task last had a run.
    last_runs: collections::BTreeMap<task::TaskId, time::Timestamp>,
    completed: collections::BTreeSet<task::TaskId>,
    pending_ends: Vec<PendingEnd>,
    /// The tasks whose runs were acknowledged as done before that was stored.
    unseen_ends: collections::BTreeSet<task::TaskId>,
    /// The long-running tasks that were over their targets beside best-effort tasks in the present
    /// window.
    spoiled: collections::BTreeSet<task::TaskId>,
    report: report::Report,
}

impl Simulation {
    /// Creates a simulation at its start.
    pub fn new(mut settings: Settings) -> Self {
        settings.arrivals.sort_by_key(|arrival| arrival.at);
        settings.faults.sort_by_key(|fault| fault.at);
        let now = time::Timestamp(time::Span::seconds(1).0);
        let specs = settings.workers.iter().cloned().enumerate();
        let workers = specs.map(|(n, spec)| worker::Worker::new(n, spec, time::Timestamp(0)));
        let mut workers: Vec<_> = workers.collect();
        for scheduled in &settings.faults {
            if let Fault::StartWorker(n) = scheduled.fault {
                workers[n].is_down = true;
            }
        }
        let mut simulation = Self {
            late_calls: LateCalls::new(settings.seed),
            rng: rngs::SmallRng::seed_from_u64(settings.seed),
            lapse_rng: rngs::SmallRng::seed_from_u64(!settings.seed),
            settings,
            now,
            workers,
            ownerships: Vec::new(),
            deliveries: collections::BinaryHeap::new(),
            sequence: 0,
            version: 0,
            jobs: collections::BTreeMap::new(),
            submitted: 0,
            next_fault: 0,
            outage_end: time::Timestamp::default(),
            order_delay: None,
            slow_calls: None,
            fault_ends: Vec::new(),
            restarts: Vec::new(),
            terminations: Vec::new(),
            unlisted: Vec::new(),
            failures: collections::BTreeMap::new(),
            lost_failures: collections::BTreeMap::new(),
            crashes: Vec::new(),
            crash_counts: collections::BTreeMap::new(),
            roster: collections::BTreeMap::new(),
            vacating: collections::BTreeMap::new(),
            split: None,
            store_calls: [now; daemons::DAEMONS],
            owner_clocks: [None; daemons::DAEMONS],
            claimants: claimants::Names::new(),
            stored_model: record::ModelSnapshot::default(),
            last_renewal: now,
            outstanding: None,
            earlier_starts: time::Span::ZERO,
            disturbed_until: now,
            last_runs: collections::BTreeMap::new(),
            completed: collections::BTreeSet::new(),
            pending_ends: Vec::new(),
            unseen_ends: collections::BTreeSet::new(),
            spoiled: collections::BTreeSet::new(),
            report: report::Report::default(),
        };
        (0..simulation.workers.len()).for_each(|n| simulation.draw_lapse_delay(n));
        simulation
    }

    /// Runs the simulation until all jobs have ended or the time limit is reached.
    pub fn run(mut self) -> report::Report {
        let last = self.settings.arrivals.last().map_or(self.now, |arrival| arrival.at);
        let last = self.settings.faults.last().map_or(last, |fault| last.max(fault.at));
        let end = last + FINISH_TIMEOUT;
        while self.now < end {
            self.step();
            let may_stop = self.now > last + time::Span::seconds(2) && self.all_ended();
            if may_stop {
                break;
            }
        }
        self.score_jobs();
        self.report
    }

    fn all_ended(&self) -> bool {
        let is_unfinished = |job: &&StoredJob| {
            let arrival = &self.settings.arrivals[job.arrival];
            let has_end = job.final_state().is_some();
            !has_end && job.cancelled.is_none() && !arrival.job.is_long_running()
        };
        self.submitted >= self.settings.arrivals.len()
            && self.jobs.values().find(is_unfinished).is_none()
    }

    fn step(&mut self) {
        self.now = self.now + TIME_STEP;
        self.apply_faults();
        self.claim();
        self.submit();
        self.advance_daemons();
        self.deliver();
        self.advance_workers();
        self.advance_owners();
        self.check_continuity();
    }

    fn is_due(&self, interval: time::Span) -> bool {
        self.now.0.is_multiple_of(interval.0)
    }

    fn is_store_up(&self) -> bool {
        self.now >= self.outage_end
    }

    fn moment(&self) -> owner::Moment {
        owner::Moment { now: self.now, wall: self.now }
    }

    fn listed_workers(&self) -> Vec<model::Registration> {
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
            let pages = collections::BTreeMap::new();
            let stored = StoredJob { arrival: self.submitted, version, cancelled: None, pages };
            self.jobs.insert(arrival.id, stored);
            self.submitted += 1;
            let moment = self.moment();
            let active = self.ownerships.iter_mut().filter(|o| is_active(o, moment.now));
            let mut active: Vec<_> = active.collect();
            // One daemon announces the job, to the owner that it follows.
            let followed = usize::try_from(version).unwrap_or_default() % active.len().max(1);
            // An owner that has not loaded the stored state yet reads the job with it.
            if let Some(ownership) = active.get_mut(followed).filter(|o| o.is_loaded) {
                ownership.owner.add_job(arrival.id, arrival.job, &moment);
            }
        }
        self.cancel();
    }

    fn cancel(&mut self) {
        let now = self.now;
        let arrivals = &self.settings.arrivals;
        for (id, job) in &mut self.jobs {
            let is_requested = arrivals[job.arrival].cancelled.is_some_and(|at| at <= now);
            let has_end = job.final_state().is_some();
            if !is_requested || has_end || job.cancelled.is_some() {
                continue;
            }
            job.cancelled = Some(now);
            for ownership in self.ownerships.iter_mut().filter(|o| is_active(o, now)) {
                ownership.owner.cancel_job(*id, now);
            }
        }
    }
}
