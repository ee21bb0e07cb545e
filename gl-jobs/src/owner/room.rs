//! A worker as the owner sees it: its room, its clock, its health.

use std::collections;

use gl_model::{size, time};

use super::{Settings, harm, run};
use crate::{task, worker};

/// A worker of the cell.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its newest entry in the platform's list.
    pub entry: worker::Registration,
    /// Whether the newest list has it.
    pub listed: bool,
    /// Whether its name is stored, so that a later owner looks for tasks there.
    pub enrolled: bool,
    /// When the newest list that has it was read.
    pub listed_at: time::Timestamp,
    /// When its entry first said that it leaves.
    pub leaving: Option<time::Timestamp>,
    /// The incarnation that last answered a look; none before the first answer.
    pub incarnation: Option<worker::Incarnation>,
    /// When it last answered a look.
    pub looked: time::Timestamp,
    /// Whether its last look went unanswered. Its lease isn't extended then, so that what it may
    /// be running ends some time.
    pub silent: bool,
    /// The worker's clock in its newest answer, and when that came.
    pub clock: Option<Reading>,
    /// The latest lease or deadline sent, by the worker's clock.
    pub granted: time::Timestamp,
    /// Whether an earlier owner may have started tasks there.
    pub was_enrolled: bool,
    /// Until when earlier owners may have leased it, by its clock.
    pub inherited: time::Timestamp,
    /// The highest number of an end that was taken into account.
    pub seen: u64,
    /// The highest number of an end whose consequences are stored.
    pub stored: u64,
    /// The room that runs take.
    pub taken: size::Size,
    /// The processors that fill tasks may use, in thousandths of a core.
    pub filled: u64,
    /// The processors that lasting tasks have reserved.
    pub lasting: u64,
    /// The share of those that they are estimated to use.
    pub lasting_use: f64,
    /// Runs, by task.
    pub runs: collections::BTreeSet<task::TaskId>,
    /// Runs that no stored job explains; the worker gets nothing while there are any.
    pub strangers: usize,
    /// Failures of late, against successes.
    pub health: Health,
    /// No new tasks before this time.
    pub suspect: time::Timestamp,
    /// When the pace of its fill tasks last changed.
    pub paced: time::Timestamp,
    /// When the harm done there was last learnt from.
    pub observed: time::Timestamp,
    /// The images of its lasting tasks, with the processors that they reserve.
    pub lasting_images: Vec<Load>,
    /// The images of its fill tasks, with the processors that they may use.
    pub fill_images: Vec<Load>,
    /// The highest tail latency of its lasting tasks, as a multiple of the target.
    pub heat: f64,
    /// Since when some lasting task has been over its target in every look.
    pub over: Option<time::Timestamp>,
}

/// The processors of one image's tasks on a worker, in thousandths of a core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The image.
    pub image: harm::Image,
    /// The processors.
    pub cores: u64,
}

fn add_load(loads: &mut Vec<Load>, run: &run::Run) {
    let Some(image) = run.image else { return };
    match loads.iter_mut().find(|load| load.image == image) {
        Some(load) => load.cores += run.cores,
        None => loads.push(Load { image, cores: run.cores }),
    }
}

fn take_load(loads: &mut Vec<Load>, run: &run::Run) {
    for load in loads.iter_mut().filter(|load| Some(load.image) == run.image) {
        load.cores = load.cores.saturating_sub(run.cores);
    }
    loads.retain(|load| load.cores > 0);
}

/// A worker's clock, read at a time of the owner's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// What the worker's clock showed.
    pub clock: time::Timestamp,
    /// When the answer came.
    pub at: time::Timestamp,
}

/// Failures and successes, fading with each further end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// Weight of failures.
    pub bad: f64,
    /// Weight of successes.
    pub good: f64,
}

/// How much of the past remains with each end.
const FADE: f64 = 0.8;

impl Health {
    /// Takes an end into account.
    pub fn note(&mut self, is_good: bool) {
        self.bad *= FADE;
        self.good *= FADE;
        if is_good {
            self.good += 1.0;
        } else {
            self.bad += 1.0;
        }
    }
}

impl Worker {
    pub(super) fn new(
        entry: worker::Registration,
        settings: &Settings,
        now: time::Timestamp,
    ) -> Self {
        Self {
            entry,
            listed: true,
            enrolled: false,
            listed_at: now,
            leaving: None,
            incarnation: None,
            looked: time::Timestamp::default(),
            silent: false,
            clock: None,
            granted: time::Timestamp::default(),
            was_enrolled: false,
            inherited: time::Timestamp::default(),
            seen: 0,
            stored: 0,
            taken: size::Size::default(),
            filled: 0,
            lasting: 0,
            lasting_use: settings.lasting_use,
            runs: collections::BTreeSet::new(),
            strangers: 0,
            health: Health::default(),
            suspect: time::Timestamp::default(),
            paced: time::Timestamp::default(),
            observed: time::Timestamp::default(),
            lasting_images: Vec::new(),
            fill_images: Vec::new(),
            heat: 0.0,
            over: None,
        }
    }

    /// The room that is left for tasks that reserve some.
    pub const fn free(&self) -> size::Size {
        self.entry.size.minus(&self.taken)
    }

    /// The processors that are estimated to be idle, in thousandths of a core.
    pub fn idle(&self) -> f64 {
        let lasting = self.lasting as f64;
        let batch = self.taken.cores.saturating_sub(self.lasting) as f64;
        let used = lasting * self.lasting_use + batch + self.filled as f64;
        self.entry.size.cores as f64 - used
    }

    /// What the worker's clock shows now, at least.
    pub fn clock_at(&self, now: time::Timestamp) -> Option<time::Timestamp> {
        self.clock.map(|reading| reading.clock + now.since(reading.at))
    }

    /// Whether the worker may have started anew since it last answered. Its ends are numbered
    /// from 1 then, so an acknowledgement meant for the earlier incarnation would delete them.
    pub(super) fn may_be_new(&self) -> bool {
        self.silent || self.incarnation != Some(self.entry.incarnation)
    }

    /// When all leases of the worker have surely expired, by the owner's clock.
    pub(super) fn expiry(&self, settings: &Settings) -> Option<time::Timestamp> {
        let reading = self.clock?;
        let until = self.granted.max(self.inherited);
        let left = until.since(reading.clock);
        Some(reading.at + left + left.scaled(settings.drift) + settings.margin)
    }

    /// Whether new tasks may go there.
    pub fn is_eligible(&self, settings: &Settings, now: time::Timestamp) -> bool {
        self.listed
            && self.enrolled
            && self.leaving.is_none()
            && !self.entry.draining
            && self.incarnation == Some(self.entry.incarnation)
            && self.strangers == 0
            && self.clock.is_some()
            && now >= self.suspect
            && now.since(self.looked) <= settings.silence
    }

    pub(super) fn add(&mut self, task: task::TaskId, run: &run::Run) {
        if !self.runs.insert(task) {
            return;
        }
        self.taken = self.taken.plus(&run.reserved);
        match run.kind {
            run::Kind::Fill => {
                self.filled += run.cores;
                add_load(&mut self.fill_images, run);
            }
            run::Kind::Lasting => {
                self.lasting += run.cores;
                add_load(&mut self.lasting_images, run);
            }
            run::Kind::Batch => {}
        }
    }

    pub(super) fn remove(&mut self, task: task::TaskId, run: &run::Run) {
        if !self.runs.remove(&task) {
            return;
        }
        self.taken = self.taken.minus(&run.reserved);
        match run.kind {
            run::Kind::Fill => {
                self.filled = self.filled.saturating_sub(run.cores);
                take_load(&mut self.fill_images, run);
            }
            run::Kind::Lasting => {
                self.lasting = self.lasting.saturating_sub(run.cores);
                take_load(&mut self.lasting_images, run);
            }
            run::Kind::Batch => {}
        }
    }
}
