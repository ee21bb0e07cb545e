//! Removes the tasks of ended jobs and records their counts in the job's row, so that the tables
//! hold unfinished work only.

use gl_model::{id, job, task, time};

use crate::state;

/// Retires each batch job, and each cancelled service, whose tasks have all ended.
pub fn run(shard: &mut state::Shard, now: time::Timestamp) {
    let changed: Vec<id::JobId> = shard
        .changes
        .tasks
        .iter()
        .filter_map(|task| shard.tasks.get(task))
        .filter(|stored| stored.row.is_ended())
        .map(|stored| stored.row.job.clone())
        .collect();
    let mut last: Option<id::JobId> = None;
    for name in changed {
        if last.as_ref() != Some(&name) {
            retire(shard, &name, now);
        }
        last = Some(name);
    }
}

fn retire(shard: &mut state::Shard, name: &id::JobId, now: time::Timestamp) {
    let Some(stored) = shard.jobs.get(name) else {
        return;
    };
    if stored.row.spec.is_service() && !stored.row.cancelled {
        return;
    }
    let tasks: Vec<id::TaskId> =
        stored.row.slots.iter().map(|slot| id::TaskId::of(name, slot.index)).collect();
    let Some(ended) = count_ended(shard, &tasks, now) else {
        return;
    };
    for task in tasks {
        shard.tasks.remove(&task);
        shard.changes.tasks.insert(task);
    }
    if let Some(stored) = shard.jobs.get_mut(name) {
        stored.row.ended = Some(ended);
        shard.changes.jobs.insert(name.clone());
    }
}

/// Counts the tasks by outcome; none if a task has not ended yet.
fn count_ended(
    shard: &state::Shard,
    tasks: &[id::TaskId],
    at: time::Timestamp,
) -> Option<job::Ended> {
    let mut ended = job::Ended { at, done: 0, failed: 0, cancelled: 0 };
    for task in tasks {
        match shard.tasks.get(task)?.row.state {
            task::State::Done => ended.done += 1,
            task::State::Failed { .. } => ended.failed += 1,
            task::State::Cancelled => ended.cancelled += 1,
            _ => return None,
        }
    }
    Some(ended)
}
