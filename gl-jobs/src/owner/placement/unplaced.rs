//! The tasks that a placement pass need not seek a worker for.

use gl_model::{size, time};

use crate::owner::{Owner, search};
use crate::{job, task};

/// Returns how long a phase has waited, as far as its tasks may start where others may not that have not.
pub(in crate::owner) fn urgency(
    owner: &Owner,
    phase: task::PhaseId,
    spec: &job::Phase,
    now: time::Timestamp,
) -> search::Urgency {
    // In a full service a search for each kind of waiting best-effort tasks finds nothing.
    if spec.best_effort {
        return search::Urgency::Recent;
    }
    search::urgency(owner, phase, now)
}

/// Tasks that could not be placed in this pass. Tasks of the same kind that need at least as much
/// cannot be placed either, and are skipped.
pub(in crate::owner) struct Unplaced {
    tasks: Vec<Requirements>,
    rooms: Vec<Room>,
}

/// The largest free capacity of a service's workers at the start of a pass, in each dimension. It is
/// an upper bound, as a pass only takes capacity. In a full service it spares the search for a
/// worker for nearly all waiting tasks.
struct Room {
    service: String,
    largest: size::Size,
}

fn rooms(owner: &Owner, now: time::Timestamp) -> Vec<Room> {
    let mut rooms: Vec<Room> = Vec::new();
    for worker in owner.workers.values().filter(|w| w.is_eligible(&owner.settings, now)) {
        let service = &worker.registration.service;
        match rooms.iter_mut().find(|room| room.service == *service) {
            Some(room) => room.largest = room.largest.max(&worker.free()),
            None => rooms.push(Room { service: service.clone(), largest: worker.free() }),
        }
    }
    rooms
}

/// The requirements of a task that could not be placed and that has no special constraints.
struct Requirements {
    service: String,
    best_effort: bool,
    /// The image of a best-effort task, which decides where the task would interfere.
    image: Option<String>,
    size: size::Size,
    /// How long it has waited. Others that have waited for longer may start where it may not.
    urgency: search::Urgency,
}

impl Requirements {
    fn new(job: &job::Job, spec: &job::Phase, urgency: search::Urgency) -> Self {
        let service = job.service.clone();
        let image = spec.image.clone().filter(|_| spec.best_effort);
        Self { service, best_effort: spec.best_effort, image, size: spec.size, urgency }
    }

    fn covers(&self, job: &job::Job, spec: &job::Phase, urgency: search::Urgency) -> bool {
        self.urgency >= urgency
            && self.best_effort == spec.best_effort
            && (!spec.best_effort || self.image == spec.image)
            && self.service == job.service
            && self.size.fits_in(&spec.size)
    }
}

impl Unplaced {
    pub fn new(owner: &Owner, now: time::Timestamp) -> Self {
        Self { tasks: Vec::new(), rooms: rooms(owner, now) }
    }

    pub fn covers(&self, job: &job::Job, spec: &job::Phase, urgency: search::Urgency) -> bool {
        let room = self.rooms.iter().find(|room| room.service == job.service);
        let has_room = room.is_some_and(|room| spec.reserved().fits_in(&room.largest));
        // A request for advice does not need room, and the answer takes a while.
        if !has_room && job.advice.is_none() {
            return true;
        }
        self.tasks.iter().any(|task| task.covers(job, spec, urgency))
    }

    pub fn add(&mut self, job: &job::Job, spec: &job::Phase, urgency: search::Urgency) {
        let is_plain = spec.label.is_none()
            && spec.per_worker.is_none()
            && !spec.gang
            && !spec.long_running
            && job.advice.is_none();
        if is_plain {
            self.tasks.push(Requirements::new(job, spec, urgency));
        }
    }
}
