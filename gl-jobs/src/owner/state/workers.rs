//! The owner's table of workers: their capacity, clocks and health.

use std::collections;

use gl_model::{size, time};

use crate::owner::colocation::pressure;
use crate::owner::{Settings, estimate, interference, open_polls, runs};
use crate::{record, task, worker};

/// A worker of the cell.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The newest entry in the platform's list.
    pub registration: worker::Registration,
    /// Whether the newest list has an entry for the worker.
    pub is_listed: bool,
    /// Whether the worker may get tasks: the roster has a row of it, and no [`record::Vacating`] says
    /// that it gets none.
    pub is_enrolled: bool,
    /// Whether the roster has a row of the worker, so that a later owner waits for its reply.
    pub in_roster: bool,
    /// What is stored, or being stored, of a worker of the roster that gets no new tasks.
    pub vacating: Option<record::Vacating>,
    /// Whether the store has, or may have, a time at which its leases have expired. They must not be
    /// extended until that is replaced.
    pub has_stored_end: bool,
    /// Whether operators have emptied its failure domain.
    pub is_domain_emptied: bool,
    /// The time since which the list has no entry for the worker, if it has none.
    pub unlisted_at: time::Timestamp,
    /// The time at which its entry was first marked as draining.
    pub draining_since: Option<time::Timestamp>,
    /// The incarnation that last replied to a poll; `None` before the first reply.
    pub incarnation: Option<worker::Incarnation>,
    /// The part of the fencing token of calls to the worker that tells its incarnations apart.
    pub lifetime: u64,
    /// The lowest such number of the calls that were meant for its present incarnation.
    pub first_lifetime: u64,
    /// Whether a call with the present number has acknowledged ends.
    pub has_acknowledged: bool,
    /// The time since which another incarnation may have replaced it, and no reply has shown which one gets
    /// the calls with this token.
    pub unconfirmed_since: Option<time::Timestamp>,
    /// The time of the last reply to a poll.
    pub polled_at: time::Timestamp,
    /// The time at which the newest of the polls was sent to which it has replied in full.
    pub answered: time::Timestamp,
    /// The time until which calls were sent that extend its lease, at least that of the takeover.
    pub lease_sent: time::Timestamp,
    /// Whether the last poll failed. The lease is not extended then, so that it expires and the
    /// runs that the worker may have are known to have ended.
    pub is_unresponsive: bool,
    /// The worker's clock in its newest reply.
    pub clock: Option<ClockReading>,
    /// The latest lease or deadline that was sent, by the worker's clock.
    pub granted_until: time::Timestamp,
    /// The polls that were not answered.
    pub(in crate::owner) sent_polls: open_polls::SentPolls,
    /// Whether an earlier owner may have started tasks on the worker.
    pub was_enrolled: bool,
    /// The incarnation on which earlier owners may have started tasks first.
    pub enrolled_as: Option<worker::Incarnation>,
    /// The incarnation in its row of the roster, if it has one.
    pub stored_as: Option<worker::Incarnation>,
    /// The latest end of a lease by the worker's clock that an earlier owner may have granted, or that the
    /// incarnation may have got by a call to an earlier one.
    pub inherited_until: time::Timestamp,
    /// The time at which all leases have expired that the incarnation may have got by calls to earlier ones.
    pub carried_until: Option<time::Timestamp>,
    /// The highest sequence number of an end that has been processed.
    pub processed_end: u64,
    /// Whether its incarnation has replied to this owner first, so that it lists all of its ends here.
    pub has_all_ends: bool,
    /// The highest sequence number of an end whose effects are stored.
    pub stored_end: u64,
    /// The highest sequence number up to which the worker has forgotten its ends, as its newest reply shows.
    pub forgotten_end: u64,
    /// The capacity that runs have reserved.
    pub reserved: size::Size,
    /// The maximum number of processors that best-effort tasks use, in thousandths of a core.
    pub best_effort_cores: u64,
    /// The processors that long-running tasks have reserved, in thousandths of a core.
    pub long_running_cores: u64,
    /// The estimated share of `long_running_cores` that is in use.
    pub cpu_use: f64,
    /// The tasks of its runs.
    pub runs: collections::BTreeSet<task::TaskId>,
    /// The number of reported runs that belong to no stored job, or to a task of which another run
    /// is recorded. The worker gets no new tasks while there are any.
    pub unknown_runs: usize,
    /// The recent failures and successes.
    pub health: Health,
    /// The estimates of its speed, failures and flapping.
    pub record: estimate::Record,
    /// Whether it has registered or restarted while others were in use, and has not yet completed a
    /// run since.
    pub is_unproven: bool,
    /// The time until which its runs are slower, as it is cold.
    pub cold_until: time::Timestamp,
    /// The worker gets no new tasks before this time.
    pub suspect_until: time::Timestamp,
    /// Whether it is held for short tasks, so that no long-running task starts on it for the first time.
    pub is_held: bool,
    /// The task that is tried on the worker, as it may crash it. The worker gets no other tasks.
    pub held_for: Option<task::TaskId>,
    /// The time at which it was last polled for the outcome of a start that may have crashed it.
    pub probed_at: time::Timestamp,
    /// The time at which the CPU limits of its best-effort tasks last changed.
    pub throttled_at: time::Timestamp,
    /// The time at which the interference model was last updated from its reports.
    pub observed_at: time::Timestamp,
    /// The last window of measurements from which the effects of best-effort images were learned.
    pub window: pressure::Window,
    /// The images of its long-running tasks, with the processors that they reserve.
    pub long_running_images: Vec<ImageCores>,
    /// The images of its best-effort tasks, with the maximum number of processors that they use.
    pub best_effort_images: Vec<ImageCores>,
    /// The highest tail ratio of its long-running tasks: tail latency divided by its target.
    pub tail_ratio: f64,
    /// The forecasts of the tail ratios of its long-running tasks, as of the last poll.
    pub forecasts: Vec<gl_forecast::Forecast>,
    /// The time of the first in the current series of polls that all show a long-running task over
    /// its target; `None` if the last poll shows none.
    pub exceeded_since: Option<time::Timestamp>,
}

/// The processors of one image's tasks on a worker, in thousandths of a core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImageCores {
    /// The image.
    pub image: interference::ImageId,
    /// The processors.
    pub cores: u64,
    /// The number of its runs.
    pub runs: usize,
}

fn add_cores(images: &mut Vec<ImageCores>, run: &runs::Run) {
    let Some(image) = run.image else { return };
    match images.iter_mut().find(|entry| entry.image == image) {
        Some(entry) => {
            entry.cores += run.cores;
            entry.runs += 1;
        }
        None => images.push(ImageCores { image, cores: run.cores, runs: 1 }),
    }
}

fn remove_cores(images: &mut Vec<ImageCores>, run: &runs::Run) {
    for entry in images.iter_mut().filter(|entry| Some(entry.image) == run.image) {
        entry.cores = entry.cores.saturating_sub(run.cores);
        entry.runs = entry.runs.saturating_sub(1);
    }
    images.retain(|entry| entry.cores > 0);
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// The worker's clock.
    pub clock: time::Timestamp,
    /// The owner's clock when the reply arrived.
    pub at: time::Timestamp,
}

/// Counts of failures and successes, with exponential decay per finished run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// The decayed count of failures.
    pub failures: f64,
    /// The decayed count of successes.
    pub successes: f64,
}

/// The decay factor that is applied with each finished run.
const DECAY: f64 = 0.8;

impl Health {
    /// Counts a finished run.
    pub fn record(&mut self, has_succeeded: bool) {
        self.failures *= DECAY;
        self.successes *= DECAY;
        if has_succeeded {
            self.successes += 1.0;
        } else {
            self.failures += 1.0;
        }
    }
}

impl Worker {
    pub(in crate::owner) fn new(
        registration: worker::Registration,
        settings: &Settings,
        now: time::Timestamp,
    ) -> Self {
        Self {
            registration,
            is_listed: true,
            is_enrolled: false,
            in_roster: false,
            vacating: None,
            has_stored_end: false,
            is_domain_emptied: false,
            unlisted_at: now,
            draining_since: None,
            incarnation: None,
            lifetime: 0,
            first_lifetime: 0,
            has_acknowledged: false,
            unconfirmed_since: None,
            polled_at: time::Timestamp::default(),
            answered: time::Timestamp::default(),
            lease_sent: now,
            is_unresponsive: false,
            clock: None,
            granted_until: time::Timestamp::default(),
            sent_polls: open_polls::SentPolls::default(),
            was_enrolled: false,
            enrolled_as: None,
            stored_as: None,
            inherited_until: time::Timestamp::default(),
            carried_until: None,
            processed_end: 0,
            has_all_ends: false,
            stored_end: 0,
            forgotten_end: 0,
            reserved: size::Size::default(),
            best_effort_cores: 0,
            long_running_cores: 0,
            cpu_use: settings.assumed_use,
            runs: collections::BTreeSet::new(),
            unknown_runs: 0,
            health: Health::default(),
            record: estimate::Record::default(),
            is_unproven: false,
            cold_until: time::Timestamp::default(),
            suspect_until: time::Timestamp::default(),
            is_held: false,
            held_for: None,
            probed_at: time::Timestamp::default(),
            throttled_at: time::Timestamp::default(),
            observed_at: time::Timestamp::default(),
            window: pressure::Window::default(),
            long_running_images: Vec::new(),
            best_effort_images: Vec::new(),
            tail_ratio: 0.0,
            forecasts: Vec::new(),
            exceeded_since: None,
        }
    }

    /// Returns the capacity that is not reserved.
    pub const fn free(&self) -> size::Size {
        self.registration.size.minus(&self.reserved)
    }

    /// Returns whether a task that reserves `needed` keeps the worker within its capacity. A worker
    /// that has shrunk may exceed it in any dimension, also in one of which the task needs nothing.
    pub const fn has_room(&self, needed: &size::Size) -> bool {
        self.reserved.plus(needed).fits_in(&self.registration.size)
    }

    /// Returns the number of processors that are estimated to be idle, in thousandths of a core, if
    /// the best-effort tasks use all that they declare.
    pub fn idle_cores(&self) -> f64 {
        let long_running = self.long_running_cores as f64;
        let batch = self.reserved.cores.saturating_sub(self.long_running_cores) as f64;
        let used = long_running * self.cpu_use + batch + self.best_effort_cores as f64;
        self.registration.size.cores as f64 - used
    }

    /// Returns a lower bound of the worker's clock at `now`.
    pub fn clock_at(&self, now: time::Timestamp) -> Option<time::Timestamp> {
        self.clock.map(|reading| reading.clock + now.since(reading.at))
    }

    /// Returns whether the worker may have restarted since its last reply. A new incarnation counts
    /// its ends from 1, so an acknowledgement meant for the earlier one would discard ends that
    /// were not processed.
    pub(in crate::owner) fn may_have_restarted(&self) -> bool {
        self.is_unresponsive
            || self.unconfirmed_since.is_some()
            || self.incarnation != Some(self.registration.incarnation)
    }

    /// Returns whether the incarnation in the worker's entry has replied, and none has replaced it since.
    pub(in crate::owner) fn is_confirmed(&self) -> bool {
        self.incarnation == Some(self.registration.incarnation) && self.unconfirmed_since.is_none()
    }

    /// Returns the newest incarnation that an entry or a reply has shown.
    pub(in crate::owner) fn newest_incarnation(&self) -> worker::Incarnation {
        let listed = self.registration.incarnation;
        self.incarnation.map_or(listed, |replied| replied.max(listed))
    }

    /// Returns whether the worker has restarted since an earlier owner enrolled it.
    pub(in crate::owner) fn was_replaced(&self) -> bool {
        self.enrolled_as.is_some_and(|enrolled| enrolled < self.registration.incarnation)
    }

    /// Returns whether the worker is one of those that get tasks: it is listed and enrolled, and neither
    /// drains nor has an emptied failure domain. It may still be suspect or silent at the moment.
    pub const fn is_in_use(&self) -> bool {
        self.is_listed
            && self.is_enrolled
            && self.draining_since.is_none()
            && !self.registration.draining
            && !self.is_domain_emptied
    }

    /// Returns whether new tasks may be started on the worker.
    pub fn is_eligible(&self, settings: &Settings, now: time::Timestamp) -> bool {
        self.is_in_use()
            && self.incarnation == Some(self.registration.incarnation)
            && self.unconfirmed_since.is_none()
            && self.unknown_runs == 0
            && self.clock.is_some()
            && !self.is_unresponsive
            && now >= self.suspect_until
            && now.since(self.polled_at) <= settings.reply_timeout
    }

    pub(in crate::owner) fn add(&mut self, task: task::TaskId, run: &runs::Run) {
        if self.runs.insert(task) {
            self.reserve(run);
        }
    }

    /// Reserves the capacity of a run.
    pub(in crate::owner) fn reserve(&mut self, run: &runs::Run) {
        self.reserved = self.reserved.plus(&run.reserved);
        match run.kind {
            runs::Kind::BestEffort => {
                self.best_effort_cores += run.cores;
                add_cores(&mut self.best_effort_images, run);
            }
            runs::Kind::LongRunning => {
                self.long_running_cores += run.cores;
                add_cores(&mut self.long_running_images, run);
            }
            runs::Kind::Batch => {}
        }
    }

    pub(in crate::owner) fn remove(&mut self, task: task::TaskId, run: &runs::Run) {
        if self.runs.remove(&task) {
            self.unreserve(run);
        }
    }

    /// Releases the capacity of a run.
    pub(in crate::owner) fn unreserve(&mut self, run: &runs::Run) {
        self.reserved = self.reserved.minus(&run.reserved);
        match run.kind {
            runs::Kind::BestEffort => {
                self.best_effort_cores = self.best_effort_cores.saturating_sub(run.cores);
                remove_cores(&mut self.best_effort_images, run);
            }
            runs::Kind::LongRunning => {
                self.long_running_cores = self.long_running_cores.saturating_sub(run.cores);
                remove_cores(&mut self.long_running_images, run);
            }
            runs::Kind::Batch => {}
        }
    }
}
