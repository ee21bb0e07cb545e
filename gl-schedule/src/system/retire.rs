//! Folds the tasks of ended jobs into their job's row, so that the tables hold live work only.

use gl_model::{id, job, task, time};

use crate::world;

/// Retires each batch job, and each cancelled service, whose tasks have all ended.
pub fn run(world: &mut world::World, now: time::Timestamp) {
    let touched: Vec<id::JobId> = world
        .changes
        .tasks
        .iter()
        .filter_map(|task| world.tasks.get(task))
        .filter(|stored| stored.row.is_ended())
        .map(|stored| stored.row.job.clone())
        .collect();
    let mut last: Option<id::JobId> = None;
    for name in touched {
        if last.as_ref() != Some(&name) {
            retire(world, &name, now);
        }
        last = Some(name);
    }
}

fn retire(world: &mut world::World, name: &id::JobId, now: time::Timestamp) {
    let Some(stored) = world.jobs.get(name) else {
        return;
    };
    if stored.row.spec.is_service() && !stored.row.cancelled {
        return;
    }
    let tasks: Vec<id::TaskId> =
        stored.row.slots.iter().map(|slot| id::TaskId::of(name, slot.index)).collect();
    let Some(ended) = tally(world, &tasks, now) else {
        return;
    };
    for task in tasks {
        world.tasks.remove(&task);
        world.changes.tasks.insert(task);
    }
    if let Some(stored) = world.jobs.get_mut(name) {
        stored.row.ended = Some(ended);
        world.changes.jobs.insert(name.clone());
    }
}

/// How the tasks ended, or none if one has not.
fn tally(world: &world::World, tasks: &[id::TaskId], at: time::Timestamp) -> Option<job::Ended> {
    let mut ended = job::Ended { at, done: 0, failed: 0, cancelled: 0 };
    for task in tasks {
        match world.tasks.get(task)?.row.state {
            task::State::Done => ended.done += 1,
            task::State::Failed { .. } => ended.failed += 1,
            task::State::Cancelled => ended.cancelled += 1,
            _ => return None,
        }
    }
    Some(ended)
}
