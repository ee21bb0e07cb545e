//! A worker as the owner sees it: its room, its clock, its health.

use std::collections;

use gl_model::{size, time};

use super::{Settings, interference, runs};
use crate::{task, worker};

/// A worker of the cell.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its newest entry in the platform's list.
    pub registration: worker::Registration,
    /// Whether the newest list has it.
    pub is_listed: bool,
    /// Whether its name is stored, so that a later owner looks for tasks there.
    pub is_enrolled: bool,
    /// When the newest list that has it was read.
    pub listed_at: time::Timestamp,
    /// When its entry first said that it leaves.
    pub draining_since: Option<time::Timestamp>,
    /// The incarnation that last answered a look; none before the first answer.
    pub incarnation: Option<worker::Incarnation>,
    /// When it last answered a look.
    pub polled_at: time::Timestamp,
    /// Whether its last look went unanswered. Its lease isn't extended then, so that what it may
    /// be running ends some time.
    pub is_unresponsive: bool,
    /// The worker's clock in its newest answer, and when that came.
    pub clock: Option<ClockReading>,
    /// The latest lease or deadline sent, by the worker's clock.
    pub granted_until: time::Timestamp,
    /// Whether an earlier owner may have started tasks there.
    pub was_enrolled: bool,
    /// Until when earlier owners may have leased it, by its clock.
    pub inherited_until: time::Timestamp,
    /// The highest number of an end that was taken into account.
    pub processed_end: u64,
    /// The highest number of an end whose consequences are stored.
    pub stored_end: u64,
    /// The room that runs take.
    pub reserved: size::Size,
    /// The processors that fill tasks may use, in thousandths of a core.
    pub best_effort_cores: u64,
    /// The processors that lasting tasks have reserved.
    pub long_running_cores: u64,
    /// The share of those that they are estimated to use.
    pub cpu_use: f64,
    /// Runs, by task.
    pub runs: collections::BTreeSet<task::TaskId>,
    /// Runs that no stored job explains; the worker gets nothing while there are any.
    pub unknown_runs: usize,
    /// Failures of late, against successes.
    pub health: Health,
    /// No new tasks before this time.
    pub suspect_until: time::Timestamp,
    /// When the pace of its fill tasks last changed.
    pub throttled_at: time::Timestamp,
    /// When the harm done there was last learnt from.
    pub observed_at: time::Timestamp,
    /// The images of its lasting tasks, with the processors that they reserve.
    pub long_running_images: Vec<ImageCores>,
    /// The images of its fill tasks, with the processors that they may use.
    pub best_effort_images: Vec<ImageCores>,
    /// The highest tail latency of its lasting tasks, as a multiple of the target.
    pub tail_ratio: f64,
    /// Since when some lasting task has been over its target in every look.
    pub exceeded_since: Option<time::Timestamp>,
}

/// The processors of one image's tasks on a worker, in thousandths of a core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImageCores {
    /// The image.
    pub image: interference::ImageId,
    /// The processors.
    pub cores: u64,
}

fn add_load(loads: &mut Vec<ImageCores>, run: &runs::Run) {
    let Some(image) = run.image else { return };
    match loads.iter_mut().find(|load| load.image == image) {
        Some(load) => load.cores += run.cores,
        None => loads.push(ImageCores { image, cores: run.cores }),
    }
}

fn take_load(loads: &mut Vec<ImageCores>, run: &runs::Run) {
    for load in loads.iter_mut().filter(|load| Some(load.image) == run.image) {
        load.cores = load.cores.saturating_sub(run.cores);
    }
    loads.retain(|load| load.cores > 0);
}

/// A worker's clock, read at a time of the owner's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// What the worker's clock showed.
    pub clock: time::Timestamp,
    /// When the answer came.
    pub at: time::Timestamp,
}

/// Failures and successes, fading with each further end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// Weight of failures.
    pub failures: f64,
    /// Weight of successes.
    pub successes: f64,
}

/// How much of the past remains with each end.
const DECAY: f64 = 0.8;

impl Health {
    /// Takes an end into account.
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
    pub(super) fn new(
        registration: worker::Registration,
        settings: &Settings,
        now: time::Timestamp,
    ) -> Self {
        Self {
            registration,
            is_listed: true,
            is_enrolled: false,
            listed_at: now,
            draining_since: None,
            incarnation: None,
            polled_at: time::Timestamp::default(),
            is_unresponsive: false,
            clock: None,
            granted_until: time::Timestamp::default(),
            was_enrolled: false,
            inherited_until: time::Timestamp::default(),
            processed_end: 0,
            stored_end: 0,
            reserved: size::Size::default(),
            best_effort_cores: 0,
            long_running_cores: 0,
            cpu_use: settings.assumed_use,
            runs: collections::BTreeSet::new(),
            unknown_runs: 0,
            health: Health::default(),
            suspect_until: time::Timestamp::default(),
            throttled_at: time::Timestamp::default(),
            observed_at: time::Timestamp::default(),
            long_running_images: Vec::new(),
            best_effort_images: Vec::new(),
            tail_ratio: 0.0,
            exceeded_since: None,
        }
    }

    /// The room that is left for tasks that reserve some.
    pub const fn free(&self) -> size::Size {
        self.registration.size.minus(&self.reserved)
    }

    /// The processors that are estimated to be idle, in thousandths of a core.
    pub fn idle_cores(&self) -> f64 {
        let lasting = self.long_running_cores as f64;
        let batch = self.reserved.cores.saturating_sub(self.long_running_cores) as f64;
        let used = lasting * self.cpu_use + batch + self.best_effort_cores as f64;
        self.registration.size.cores as f64 - used
    }

    /// What the worker's clock shows now, at least.
    pub fn clock_at(&self, now: time::Timestamp) -> Option<time::Timestamp> {
        self.clock.map(|reading| reading.clock + now.since(reading.at))
    }

    /// Whether the worker may have started anew since it last answered. Its ends are numbered
    /// from 1 then, so an acknowledgement meant for the earlier incarnation would delete them.
    pub(super) fn may_have_restarted(&self) -> bool {
        self.is_unresponsive || self.incarnation != Some(self.registration.incarnation)
    }

    /// When all leases of the worker have surely expired, by the owner's clock.
    pub(super) fn expiry(&self, settings: &Settings) -> Option<time::Timestamp> {
        let reading = self.clock?;
        let until = self.granted_until.max(self.inherited_until);
        let left = until.since(reading.clock);
        Some(reading.at + left + left.scaled(settings.clock_drift) + settings.clock_margin)
    }

    /// Whether new tasks may go there.
    pub fn is_eligible(&self, settings: &Settings, now: time::Timestamp) -> bool {
        self.is_listed
            && self.is_enrolled
            && self.draining_since.is_none()
            && !self.registration.draining
            && self.incarnation == Some(self.registration.incarnation)
            && self.unknown_runs == 0
            && self.clock.is_some()
            && now >= self.suspect_until
            && now.since(self.polled_at) <= settings.reply_timeout
    }

    pub(super) fn add(&mut self, task: task::TaskId, run: &runs::Run) {
        if !self.runs.insert(task) {
            return;
        }
        self.reserved = self.reserved.plus(&run.reserved);
        match run.kind {
            runs::Kind::BestEffort => {
                self.best_effort_cores += run.cores;
                add_load(&mut self.best_effort_images, run);
            }
            runs::Kind::LongRunning => {
                self.long_running_cores += run.cores;
                add_load(&mut self.long_running_images, run);
            }
            runs::Kind::Batch => {}
        }
    }

    pub(super) fn remove(&mut self, task: task::TaskId, run: &runs::Run) {
        if !self.runs.remove(&task) {
            return;
        }
        self.reserved = self.reserved.minus(&run.reserved);
        match run.kind {
            runs::Kind::BestEffort => {
                self.best_effort_cores = self.best_effort_cores.saturating_sub(run.cores);
                take_load(&mut self.best_effort_images, run);
            }
            runs::Kind::LongRunning => {
                self.long_running_cores = self.long_running_cores.saturating_sub(run.cores);
                take_load(&mut self.long_running_images, run);
            }
            runs::Kind::Batch => {}
        }
    }
}
