//! Injection of faults, and recovery from them.

use gl_model::time;

use super::late_calls::Period;
use super::{Fault, Simulation};
use crate::worker;

/// The time after which other daemons notice that a process refuses connections.
const NOTICE_DELAY: time::Span = time::Span::millis(300);
/// The time for which a worker is down that a task has crashed.
const CRASH_DOWNTIME: time::Span = time::Span::seconds(3);

/// Every worker whose number is a multiple of this is on the side of the owner in a split.
const SPLIT_WORKERS: usize = 3;

/// A partition between an owner with some of the workers and everything else.
#[derive(Clone, Copy)]
pub(super) struct Split {
    pub owner: usize,
    pub since: time::Timestamp,
    pub until: time::Timestamp,
}

impl Simulation {
    pub(super) fn split_owner(&self) -> Option<usize> {
        self.split.filter(|split| self.now < split.until).map(|split| split.owner)
    }

    /// Returns whether an owner can reach the store.
    pub(super) fn is_store_up_for(&self, owner: usize) -> bool {
        self.is_store_up() && self.split_owner() != Some(owner)
    }

    /// Returns whether an owner can reach a worker that has no fault of its own.
    pub(super) fn is_connected(&self, owner: usize, worker: usize) -> bool {
        let has_worker = worker.is_multiple_of(SPLIT_WORKERS);
        self.split_owner().is_none_or(|split| (split == owner) == has_worker)
    }

    pub(super) fn apply_faults(&mut self) {
        while let Some(scheduled) = self.settings.faults.get(self.next_fault).cloned() {
            if scheduled.at > self.now {
                break;
            }
            self.next_fault += 1;
            self.inject(&scheduled.fault);
        }
        let now = self.now;
        for (_, n) in self.fault_ends.extract_if(.., |(at, _)| *at <= now) {
            self.workers[n].fault = worker::Fault::default();
        }
        for (_, n) in self.restarts.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            self.workers[n].restart(now);
            self.send_late(n);
        }
        for (_, n, task) in self.crashes.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>() {
            if self.workers[n].runs.contains_key(&task) {
                self.inject(&Fault::CrashWorker(n, CRASH_DOWNTIME));
            }
        }
        for (_, n) in self.terminations.extract_if(.., |(at, _)| *at <= now) {
            self.workers[n].is_down = true;
            self.workers[n].runs.clear();
        }
    }

    pub(super) fn inject(&mut self, fault: &Fault) {
        let now = self.now;
        if !fault.is_planned() {
            self.disturbed_until = self.disturbed_until.max(now + fault.length());
        }
        match fault {
            Fault::KillOwner => {
                for ownership in &mut self.ownerships {
                    ownership.is_killed = true;
                    ownership.refused_since.get_or_insert(now + NOTICE_DELAY);
                }
            }
            Fault::RefuseOwner => {
                if let Some(ownership) = self.ownerships.last_mut() {
                    ownership.refused_since.get_or_insert(now);
                }
            }
            Fault::ReleaseOwner => self.release_owner(),
            Fault::StartWorker(n) => self.workers[*n].restart(now),
            Fault::PauseOwner(span) => {
                if let Some(ownership) = self.ownerships.last_mut() {
                    ownership.paused_until = now + *span;
                    ownership.is_stale = true;
                }
            }
            Fault::SplitOwner(span) if !self.ownerships.is_empty() => {
                let owner = self.ownerships.len() - 1;
                self.split = Some(Split { owner, since: now, until: now + *span });
            }
            Fault::SplitOwner(_) => {}
            Fault::StoreOutage(span) => self.outage_end = now + *span,
            Fault::DelayOrders(span, share) => self.order_delay = Some((now + *span, *share)),
            Fault::LateCalls(calls, span, share) => {
                let until = now + *span;
                self.late_calls.period = Some(Period { until, calls: *calls, share: *share });
            }
            Fault::SlowCalls(span, slowest) => self.slow_calls = Some((now + *span, *slowest)),
            Fault::Worker(n, span, worker_fault) => {
                self.workers[*n].fault = *worker_fault;
                self.fault_ends.push((now + *span, *n));
            }
            Fault::CrashWorker(n, span) => {
                self.drop_expired(*n);
                self.count_crash(*n);
                self.count_lost_failures(*n);
                self.workers[*n].is_down = true;
                self.workers[*n].runs.clear();
                self.restarts.push((now + *span, *n));
            }
            Fault::UnlistWorker(n, span) => self.unlisted.push((now + *span, *n)),
            Fault::DrainWorker(n, span) => {
                self.workers[*n].draining = true;
                self.terminations.push((now + *span, *n));
            }
        }
    }
}
