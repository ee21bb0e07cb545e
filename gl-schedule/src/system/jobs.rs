//! Makes the tasks that the jobs' rows ask for, and ends those that are no longer wanted.

use gl_model::{id, job, task, time};

use crate::{owner, state};

/// Takes the stored job rows in. A row that this owner has changed and not committed yet stays.
pub fn update(shard: &mut state::Shard, rows: Vec<owner::Job>) {
    for job in rows {
        let name = job.row.spec.name.clone();
        let known = shard.jobs.get(&name).map(|stored| stored.version).unwrap_or_default();
        if job.version > known {
            shard.routes_changed = true;
            shard.unreconciled.insert(name.clone());
            shard.jobs.put(name, state::Stored { row: job.row, version: job.version });
        }
    }
}

/// Compares the tasks with their jobs' rows, where a row is new or a season begins or ends.
pub fn run(shard: &mut state::Shard, now: time::Timestamp) {
    let mut due = std::mem::take(&mut shard.unreconciled);
    for (name, stored) in shard.jobs.iter() {
        if let job::Work::Service(service) = &stored.row.spec.work
            && !service.windows.is_empty()
        {
            due.insert(name.clone());
        }
    }
    for name in due {
        reconcile(shard, &name, now);
    }
}

fn reconcile(shard: &mut state::Shard, name: &id::JobId, now: time::Timestamp) {
    let Some(stored) = shard.jobs.get(name) else {
        return;
    };
    if stored.row.ended.is_some() {
        return;
    }
    let wanted = !stored.row.cancelled && stored.row.spec.is_wanted(now);
    let restart = !stored.row.cancelled && stored.row.spec.is_service();
    let indices: Vec<u32> = stored.row.slots.iter().map(|slot| slot.index).collect();
    end_unlisted(shard, name, &indices);
    for index in indices {
        let task = id::TaskId::of(name, index);
        let existing = shard.tasks.get(&task).map(|stored| stored.row.clone());
        match existing {
            None if wanted => shard.set_task(task::Row::new(name, index, now)),
            Some(row) if !wanted => end(shard, &row),
            Some(row) if wanted && restart && row.state == task::State::Cancelled => {
                let state = task::State::Pending { after: now };
                shard.set_task(task::Row { state, ..row });
            }
            _ => {}
        }
    }
}

/// Ends the tasks of a job that its row no longer lists, as the job was made smaller.
fn end_unlisted(shard: &mut state::Shard, name: &id::JobId, indices: &[u32]) {
    let unlisted: Vec<task::Row> = shard
        .tasks
        .iter()
        .map(|(_, stored)| &stored.row)
        .filter(|row| row.job == *name && !indices.contains(&row.index))
        .cloned()
        .collect();
    for row in unlisted {
        end(shard, &row);
    }
}

fn end(shard: &mut state::Shard, row: &task::Row) {
    let draining = matches!(row.state, task::State::Draining { then: task::After::Cancel, .. });
    if row.is_ended() || draining {
        return;
    }
    let step = match row.vm() {
        Some(_) => task::Step::Drain(task::After::Cancel),
        None => task::Step::Cancel,
    };
    shard.step(&row.id, &step);
}
