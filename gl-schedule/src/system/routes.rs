//! Publishes the addresses of the shard's services.

use gl_model::{id, job, route, task, vm, worker};

use crate::state;

/// The routes as last published.
pub struct Routes {
    set: route::Set,
}

impl Routes {
    /// Returns routes of which nothing is published yet.
    pub fn new(shard: &id::DomainId, epoch: id::Epoch) -> Self {
        let set = route::Set {
            shard: shard.clone(),
            epoch,
            version: 0,
            entries: Vec::new(),
            objectives: Vec::new(),
        };
        Self { set }
    }

    /// Returns the routes if they have changed since they were last published.
    ///
    /// An owner without a report of any worker publishes nothing, so that the routes of its
    /// predecessor stay in use.
    pub fn run(&mut self, shard: &mut state::Shard) -> Option<route::Set> {
        let has_reported = |(_, w): (&id::VmId, &state::Worker)| w.statuses.is_some();
        if self.set.version == 0 && !shard.workers.iter().any(has_reported) {
            return None;
        }
        if !std::mem::take(&mut shard.routes_changed) {
            return None;
        }
        let next = route::Set {
            entries: entries(shard),
            objectives: objectives(shard),
            ..self.set.clone()
        };
        if self.set.version > 0 && next == self.set {
            return None;
        }
        self.set = route::Set { version: self.set.version + 1, ..next };
        Some(self.set.clone())
    }
}

fn entries(shard: &state::Shard) -> Vec<route::Entry> {
    let is_service =
        |(_, stored): &(&id::JobId, &state::Stored<job::Row>)| stored.row.spec.is_service();
    let mut entries = Vec::new();
    for (name, stored) in shard.jobs.iter().filter(is_service) {
        for slot in &stored.row.slots {
            entries.extend(entry(shard, &stored.row, &id::TaskId::of(name, slot.index)));
        }
    }
    entries
}

fn objectives(shard: &state::Shard) -> Vec<route::Objective> {
    let objective =
        |(_, stored): (&id::JobId, &state::Stored<job::Row>)| match &stored.row.spec.work {
            job::Work::Service(s) if s.serves == stored.row.spec.name => Some(route::Objective {
                service: s.serves.clone(),
                deadline: s.deadline,
                objective: s.objective,
            }),
            _ => None,
        };
    shard.jobs.iter().filter_map(objective).collect()
}

fn entry(shard: &state::Shard, job: &job::Row, task: &id::TaskId) -> Option<route::Entry> {
    let job::Work::Service(service) = &job.spec.work else {
        return None;
    };
    let row = &shard.tasks.get(task)?.row;
    let (task::State::Running { vm } | task::State::Starting { vm }) = &row.state else {
        return None;
    };
    let worker = shard.workers.get(vm)?;
    if worker.vm.liveness == vm::Liveness::Leaving {
        return None;
    }
    let status = worker.statuses.as_ref()?.get(task)?;
    let worker::Phase::Running(Some(address)) = status.phase else {
        return None;
    };
    (status.incarnation == row.incarnation).then(|| route::Entry {
        service: service.serves.clone(),
        task: task.clone(),
        incarnation: row.incarnation,
        vm: vm.clone(),
        address,
        slots: worker.vm.slots,
    })
}
