//! Admits jobs as far as the owner has memory for them, and any daemon that may follow it as the owner.

use std::cell;

use gl_jobs::{job, owner, room, task};

use super::{mesh, node, ownership, submission};

/// A job that may be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The owner does not know the job yet.
    New,
    /// The owner has the job already.
    Known,
}

/// The memory of jobs that a daemon may accept without asking the owner.
#[derive(Debug)]
pub struct Share {
    left: cell::Cell<usize>,
    /// The memory of all jobs that were accepted so, in bytes.
    taken: cell::Cell<usize>,
}

impl Share {
    /// Creates a share of `bytes` bytes.
    pub const fn new(bytes: usize) -> Self {
        Self { left: cell::Cell::new(bytes), taken: cell::Cell::new(0) }
    }

    /// Takes the memory of a job, and returns whether it was left.
    pub fn take(&self, bytes: usize) -> bool {
        let Some(left) = self.left.get().checked_sub(bytes) else {
            return false;
        };
        self.left.set(left);
        self.taken.set(self.taken.get().wrapping_add(bytes));
        true
    }
}

/// The jobs that an owner cannot know of when it replies to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct Untold {
    /// The memory of those that were being stored when the heartbeat was sent, in bytes.
    storing: usize,
    /// The memory of all jobs that this daemon had accepted by then without asking the owner.
    taken: usize,
}

impl node::Node {
    /// Returns the jobs that the owner does not know of now.
    pub(super) fn untold_jobs(&self) -> Untold {
        Untold { storing: self.storing.used(), taken: self.job_share.taken.get() }
    }

    /// Takes over how many jobs this daemon may accept from the reply to a heartbeat that was sent when
    /// the owner did not know of `untold`. Owners of earlier versions do not limit them.
    pub(super) fn job_share_received(&self, reply: Option<&mesh::Response>, untold: Untold) {
        let Some(mesh::Response::Confirmed { room, .. }) = reply else { return };
        let share = room.map_or(usize::MAX, |room| usize::try_from(room).unwrap_or(usize::MAX));
        let since = self.job_share.taken.get().wrapping_sub(untold.taken);
        self.job_share.left.set(share.saturating_sub(untold.storing.saturating_add(since)));
    }
}

impl ownership::Ownership {
    /// Records the memory that a follower would have for jobs as the owner.
    pub(super) fn job_limit_reported(&self, daemon: &str, limit: Option<u64>) {
        let limit = limit.and_then(|limit| usize::try_from(limit).ok());
        let mut limits = self.job_limits.borrow_mut();
        if let Some(limit) = limit
            && limits.get(daemon) != Some(&limit)
        {
            limits.insert(daemon.to_owned(), limit);
        }
    }

    /// Returns the memory for jobs, the smallest of this daemon and of those that may follow it, and what
    /// present jobs and those that are being stored take.
    pub(super) fn room(&self) -> room::Room {
        let followers = self.followers.borrow();
        let mut limits = self.job_limits.borrow_mut();
        limits.retain(|daemon, _| followers.is_known(daemon));
        let own = self.node.settings.memory.jobs;
        let limit = limits.values().copied().chain([own]).min().unwrap_or(own);
        let used = self.owner.borrow().job_bytes().saturating_add(self.node.storing.used());
        room::Room { limit, used }
    }

    /// Returns the memory of jobs, in bytes, that a follower may accept until its next heartbeat.
    pub(super) fn job_share(&self) -> usize {
        if !self.is_loaded.get() {
            return room::Room::initial_share(self.node.settings.memory.jobs);
        }
        self.room().share(self.followers.borrow().names().count() + 1)
    }

    /// Determines whether a job may be stored that is not counted as being stored yet.
    ///
    /// # Errors
    ///
    /// Returns the cause if there is not enough memory for it.
    pub fn admit(&self, id: task::JobId, job: &job::Job) -> Result<Admission, submission::Cause> {
        if self.owner.borrow().has_job(id) {
            return Ok(Admission::Known);
        }
        let (room, bytes) = (self.room(), owner::footprint_of(job));
        if !self.is_loaded.get() {
            // The memory of the stored jobs is not known yet.
            let is_in_share = self.node.job_share.take(bytes);
            return if is_in_share {
                Ok(Admission::New)
            } else {
                Err(submission::Cause::OwnerFull)
            };
        }
        if room.admits(bytes) {
            Ok(Admission::New)
        } else if room.holds(bytes) {
            Err(submission::Cause::OwnerFull)
        } else {
            Err(submission::Cause::TooLarge)
        }
    }
}
