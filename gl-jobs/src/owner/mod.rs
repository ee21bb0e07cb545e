//! The owner of a cell: its state, and the decisions that follow from it.
//!
//! Inputs are method calls: a job was accepted, a worker replied to a poll, an order was answered
//! or its reply was lost, time has passed. Decisions are [`Action`]s, which the caller carries out.
//! The state is a set of tables, and each system is a function that runs over them: [`placement`]
//! starts tasks, [`throttle`] protects long-running tasks from interference by best-effort tasks on
//! the same worker, [`timeouts`] ends runs that cannot exist any longer.

mod action;
mod colocation;
mod commit;
mod completion;
mod conclusions;
mod crashes;
mod intake;
mod moment;
mod orders;
mod pacing;
mod placement;
mod queries;
mod recovery;
mod scarcity;
mod settings;
mod state;
mod unsettled;
mod view;

use std::collections;

use gl_model::time;

pub use action::{Action, Cause, LeaseBound, Note, StopReason};
pub use commit::{Commit, Row as CommitRow};
pub use conclusions::{Basis, Conclusion, Entry, Evidence, LastStage, Successor};
pub use estimate::{Estimate, Medians, Record as WorkerRecord};
pub use footprint::of as footprint_of;
pub use grants::{Advice, Grant};
pub use impact::Impact;
pub use interference::{CpuUse, ImageId, InterferenceModel};
pub use jobs::{JobEntry, PhaseState};
pub use lifetime_notes::{LifetimeStart, MissedEnds, OpenOrders};
pub use moment::Moment;
pub use open_polls::OpenPolls;
pub use pacing::window::{
    Outcome as OrderOutcome, Settings as WindowSettings, Window as OrderWindow,
};
pub use pressure::{Level as TailLevel, PressureModel, Window as PressureWindow};
pub use recovery::{StoredJob, Takeover};
pub use run_orders::Orders;
pub use runs::{Kind, Run, Stage, Stopping};
pub use settings::{Colocation, LossOrder, PhaseOrder, Settings};
pub use store_clock::StoreClock;
pub use waits::{Shortage, Waits};
pub use workers::Worker;

use colocation::{impact, interference, pressure, throttle, untested};
use pacing::{in_flight, poll_times};
use placement::{
    advice, copies, distance, drain, gang, headroom, order, preference, search, spread, trials,
    waits,
};
use recovery::{accounts, store_clock, timeouts};
use state::{estimate, footprint, grants, jobs, pages, run_orders, runs, workers};
use view::{domains, lifetime_notes, lifetimes, open_polls, roster, second_runs, unread};

use crate::{record, task, worker};

/// The owner of a cell.
pub struct Owner {
    settings: Settings,
    token: u64,
    /// The number of the first calls to workers that are added to the table.
    added_lifetime: u64,
    last_attempt: u64,
    jobs: collections::BTreeMap<task::JobId, JobEntry>,
    /// The estimated memory of all jobs, in bytes.
    job_bytes: usize,
    workers: collections::BTreeMap<worker::WorkerId, Worker>,
    runs: collections::BTreeMap<task::TaskId, Run>,
    /// Runs of tasks that were started again elsewhere, as their worker became slow or silent.
    overtaken: collections::BTreeMap<task::TaskId, Run>,
    /// Phases with tasks that wait for placement.
    open_phases: collections::BTreeSet<task::PhaseId>,
    /// Tasks that may have crashed a worker, and are not done.
    suspects: collections::BTreeSet<task::TaskId>,
    /// The starts of such tasks on workers of their own.
    trials: collections::BTreeMap<task::TaskId, trials::Trial>,
    /// Start orders that wait until the start is stored.
    unsent: collections::BTreeMap<task::TaskId, trials::Unsent>,
    /// Tasks with start orders that got no answer and may still be carried out.
    unsettled: unsettled::Unsettled,
    /// Start orders that were not answered.
    in_flight: in_flight::StartsInFlight,
    /// How much longer than configured workers hold polls.
    poll_times: poll_times::PollTimes,
    /// The time of the last decision that depends on the time.
    decided_at: time::Timestamp,
    /// Whether runs have ended with their workers since the suspects were last reviewed.
    has_lost_runs: bool,
    /// The worker that last lost a run that may have crashed it.
    last_lost: Option<(worker::WorkerId, worker::Incarnation)>,
    /// The time at which the suspects were last reviewed.
    reviewed_at: time::Timestamp,
    /// Whether workers may have crashed under tasks that an earlier owner had started.
    has_hidden_crashes: bool,
    /// Jobs with occurrences that are not due yet.
    scheduled_jobs: collections::BTreeSet<task::JobId>,
    /// The pages of jobs' progress that have changed since they were last stored.
    dirty_pages: collections::BTreeSet<(task::JobId, u32)>,
    /// The largest number of rows in the next commit, while a row is sought that the store refuses.
    commit_rows: Option<usize>,
    /// Stored pages that are not needed any more.
    removed_pages: collections::BTreeSet<(task::JobId, u32)>,
    /// Jobs of which only the progress is still stored.
    orphans: collections::BTreeSet<task::JobId>,
    /// Listed workers that have to be stored in the roster before they get tasks.
    unenrolled: collections::BTreeSet<worker::WorkerId>,
    /// Workers with processed ends whose effects are not stored yet.
    unstored: collections::BTreeSet<worker::WorkerId>,
    /// Workers that are still stored in the roster and have to be removed from it.
    removed_workers: collections::BTreeSet<worker::WorkerId>,
    interference: InterferenceModel,
    /// The effects of best-effort images on the tail latency of long-running ones.
    pressure: pressure::PressureModel,
    /// The usual durations of the queues' tasks.
    medians: estimate::Medians,
    /// The time at which the learned model was last included in a commit.
    model_stored_at: time::Timestamp,
    /// Workers whose [`record::Vacating`] has to be stored.
    unstored_vacating: collections::BTreeSet<worker::WorkerId>,
    recovery: Option<recovery::Recovery>,
    /// The unknown jobs that workers report.
    unread: unread::Unread,
    /// The reported runs of tasks of which another run is recorded.
    second_runs: second_runs::SecondRuns,
    /// The limit of the lines on first replies of incarnations.
    lifetime_notes: lifetime_notes::LifetimeNotes,
    /// What workers were taken to run of earlier owners.
    accounts: accounts::Accounts,
    /// The runs that have lately been taken for gone.
    conclusions: conclusions::Conclusions,
    /// The longest time for which leases that earlier owners have extended may last from the takeover.
    inherited_lease: time::Span,
    /// The time from which on no earlier owner orders starts; `None` if they had ended before the claim.
    superseded_at: Option<time::Timestamp>,
    /// The newest reading of the store's clock.
    store_clock: Option<StoreClock>,
    /// The recent demand of short tasks, one entry for each service that has any.
    demands: Vec<headroom::Demand>,
    /// The waiting best-effort tasks, one entry for each service that has any.
    backlogs: Vec<untested::Backlog>,
    /// The cost of interference since it was last reported, by service.
    impacts: collections::BTreeMap<String, Impact>,
    /// The time at which it was last reported.
    impact_at: time::Timestamp,
    /// The time at which this owner was created.
    started_at: time::Timestamp,
    /// The time at which the demand was last recorded.
    demand_at: time::Timestamp,
    /// The load of the services.
    scarcity: scarcity::Services,
    /// The time at which the load was last sampled.
    sampled_at: time::Timestamp,
    /// What is reported of short tasks that wait.
    short_waits: waits::Monitor,
    /// The latest time to which leases of workers may be extended.
    horizon: time::Timestamp,
    /// The time until which it is certain that no other daemon has taken over the cell.
    starts_until: time::Timestamp,
    /// The time at which the newest list of workers was requested.
    list_read_at: time::Timestamp,
    /// The failure domains that operators have emptied.
    emptied: domains::View,
    /// Whether no daemon can reach the store, so that no worker can change its entry either.
    is_store_down: bool,
    /// Whether the time of day is agreed on well enough to start occurrences that are due.
    is_wall_settled: bool,
    actions: Vec<Action>,
}

/// The number of attempt numbers per fencing token. They are derived from the token, so the numbers
/// of a later owner are higher than those of earlier ones.
const ATTEMPTS_PER_TOKEN: u64 = 1 << 22;

/// Returns the fencing token of the owner that ordered an attempt.
const fn token_of(attempt: u64) -> u64 {
    attempt / ATTEMPTS_PER_TOKEN
}

impl Owner {
    /// Creates an owner that holds `token` and has an empty state.
    pub fn new(settings: Settings, token: u64, now: time::Timestamp) -> Self {
        Self {
            horizon: now + settings.horizon,
            starts_until: now + settings.start_window,
            list_read_at: now,
            emptied: domains::View::default(),
            is_store_down: false,
            in_flight: in_flight::StartsInFlight::new(OrderWindow::new(settings.order_window)),
            poll_times: poll_times::PollTimes::new(settings),
            decided_at: now,
            is_wall_settled: true,
            settings,
            token,
            added_lifetime: 0,
            last_attempt: token * ATTEMPTS_PER_TOKEN,
            jobs: collections::BTreeMap::new(),
            job_bytes: 0,
            workers: collections::BTreeMap::new(),
            runs: collections::BTreeMap::new(),
            overtaken: collections::BTreeMap::new(),
            open_phases: collections::BTreeSet::new(),
            suspects: collections::BTreeSet::new(),
            trials: collections::BTreeMap::new(),
            unsent: collections::BTreeMap::new(),
            unsettled: unsettled::Unsettled::default(),
            has_lost_runs: false,
            last_lost: None,
            reviewed_at: now,
            has_hidden_crashes: false,
            scheduled_jobs: collections::BTreeSet::new(),
            dirty_pages: collections::BTreeSet::new(),
            commit_rows: None,
            removed_pages: collections::BTreeSet::new(),
            orphans: collections::BTreeSet::new(),
            unenrolled: collections::BTreeSet::new(),
            unstored: collections::BTreeSet::new(),
            removed_workers: collections::BTreeSet::new(),
            interference: InterferenceModel::default(),
            pressure: pressure::PressureModel::default(),
            medians: estimate::Medians::default(),
            model_stored_at: now,
            unstored_vacating: collections::BTreeSet::new(),
            recovery: None,
            unread: unread::Unread::default(),
            second_runs: second_runs::SecondRuns::default(),
            lifetime_notes: lifetime_notes::LifetimeNotes::default(),
            accounts: accounts::Accounts::default(),
            conclusions: conclusions::Conclusions::default(),
            inherited_lease: settings.horizon,
            superseded_at: None,
            store_clock: None,
            demands: Vec::new(),
            backlogs: Vec::new(),
            impacts: collections::BTreeMap::new(),
            impact_at: now,
            started_at: now,
            demand_at: time::Timestamp::default(),
            scarcity: scarcity::Services::new(),
            short_waits: waits::Monitor::default(),
            sampled_at: time::Timestamp::default(),
            actions: Vec::new(),
        }
    }

    /// Returns the fencing token of the cell. Those of calls to workers follow from it, see
    /// [`Self::call_token()`].
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Returns the decisions made since the last call, and clears them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Records that the owner's lease on the cell was renewed by a request sent at `sent`.
    pub fn lease_renewed(&mut self, sent: time::Timestamp) {
        self.claims_excluded(sent);
    }

    /// Records that no other daemon can have claimed the cell before `until`, so that a later owner
    /// waits for leases granted from then on. While no daemon reaches the store, this keeps the
    /// workers' tasks running although the owner cannot renew its own lease.
    pub fn claims_excluded(&mut self, until: time::Timestamp) {
        self.horizon = self.horizon.max(until + self.settings.horizon);
    }

    /// Sets the time until which the owner may order new runs. It may while its lease on the cell
    /// is valid, or while no other daemon can have taken over the cell. The permission is compared
    /// with the time of each decision, as the process may be suspended between two of them.
    pub const fn allow_starts(&mut self, until: time::Timestamp) {
        self.starts_until = until;
    }

    /// Returns whether the owner may order new runs at `now`.
    pub fn may_start(&self, now: time::Timestamp) -> bool {
        now < self.starts_until && now + self.settings.start_window <= self.horizon
    }

    /// Records a reading of the store's clock.
    pub const fn store_clock_read(&mut self, reading: StoreClock) {
        self.store_clock = Some(reading);
    }

    /// Sets whether no daemon can reach the store. Workers cannot announce then that they drain, and
    /// operators cannot empty a failure domain, so what was read last stays valid.
    pub const fn set_store_down(&mut self, is_store_down: bool) {
        self.is_store_down = is_store_down;
    }

    /// Returns the time for which a start order may be valid so that no worker carries it out later
    /// than [`Settings::drain_time`] after it announced that it drains, or later than
    /// [`Settings::empty_time`] after operators requested to empty its failure domain. The newest
    /// list and view show all that was written before they were requested.
    fn start_validity(&self, now: time::Timestamp) -> time::Span {
        if self.is_store_down {
            return self.settings.start_window;
        }
        let list_validity = (self.list_read_at + self.settings.drain_time).since(now);
        let window = self.settings.start_window.min(list_validity);
        let empty_time = self.settings.empty_time;
        empty_time.map_or(window, |time| window.min(self.emptied.order_validity(time, now)))
    }

    /// Restores the interference model that earlier owners have stored.
    pub fn restore_model(&mut self, model: &record::ModelSnapshot) {
        self.interference.restore(model);
    }

    /// Sets whether the time of day is agreed on well enough to start occurrences that are due.
    pub const fn set_wall_settled(&mut self, is_settled: bool) {
        self.is_wall_settled = is_settled;
    }

    /// Runs all systems that depend on the time.
    pub fn tick(&mut self, moment: &Moment) {
        self.decided_at = moment.now;
        in_flight::run(self, moment.now);
        unsettled::run(self, moment.now);
        timeouts::run(self, moment.now);
        recovery::run(self, moment.now);
        roster::run(self, moment.now);
        second_runs::run(self, moment.now);
        lifetime_notes::run(self, moment.now);
        conclusions::run(self, moment.now);
        for id in self.scheduled_jobs.clone() {
            self.open_due(id, moment);
        }
        drain::run(self, moment.now);
        if self.may_start(moment.now) {
            copies::run(self, moment.now);
        }
        self.place(moment.now);
        impact::run(self, moment.now);
    }

    /// Starts all waiting tasks that can be placed.
    pub fn place(&mut self, now: time::Timestamp) {
        placement::run(self, now);
    }

    fn note(&mut self, note: Note) {
        self.actions.push(Action::Note(note));
    }

    /// Opens the first phases of occurrences that have become due.
    fn open_due(&mut self, id: task::JobId, moment: &Moment) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        if entry.final_state.is_some() {
            self.scheduled_jobs.remove(&id);
            return;
        }
        if entry.job.schedule.is_some() && !self.is_wall_settled {
            return;
        }
        let opened = entry.open_due(id, moment);
        if entry.all_opened() {
            self.scheduled_jobs.remove(&id);
        }
        self.open_phases.extend(opened);
    }

    /// Stops the remaining runs of a job that has ended, and discards its waiting tasks.
    fn close_job(&mut self, id: task::JobId, now: time::Timestamp) {
        self.scheduled_jobs.remove(&id);
        for state in self.jobs.get_mut(&id).into_iter().flat_map(|entry| entry.phases.values_mut())
        {
            state.advice = Advice::default();
        }
        let first = task::PhaseId { job: id, occurrence: 0, phase: 0 };
        let last = task::PhaseId { job: id, occurrence: u32::MAX, phase: u32::MAX };
        let waiting: Vec<_> = self.open_phases.range(first..=last).copied().collect();
        for phase in waiting {
            self.open_phases.remove(&phase);
        }
        let from = task::TaskId { phase: first, index: 0 };
        let to = task::TaskId { phase: last, index: u32::MAX };
        let running: Vec<_> = self.runs.range(from..=to).map(|(task, _)| *task).collect();
        for task in running {
            self.stop(task, StopReason::JobEnded, now);
        }
    }
}
