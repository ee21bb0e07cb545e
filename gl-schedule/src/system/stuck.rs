//! Stops tasks that have been starting on a worker for too long.

use gl_model::{id, task, time};

use crate::{state, system};

/// Drains every task that has been starting for longer than the configuration allows. Before the
/// task starts elsewhere, its worker must confirm the stop or the worker's lease must expire.
pub fn run(shard: &mut state::Shard, now: time::Timestamp, events: &mut Vec<system::Event>) {
    track_starts(shard, now);
    let limit = time::Span::millis(shard.config.repair.start_ms);
    let stuck: Vec<id::TaskId> = shard
        .starting_since
        .iter()
        .filter(|(_, since)| now.since(**since) >= limit)
        .map(|(task, _)| task.clone())
        .collect();
    for task in stuck {
        reclaim(shard, &task, now, events);
    }
}

/// Records since when tasks are starting. A new owner counts from its first tick.
fn track_starts(shard: &mut state::Shard, now: time::Timestamp) {
    let is_starting = |task: &id::TaskId| {
        let state = shard.tasks.get(task).map(|stored| &stored.row.state);
        matches!(state, Some(task::State::Starting { .. }))
    };
    shard.starting_since.retain(|task, _| is_starting(task));
    for task in std::mem::take(&mut shard.new_starts) {
        shard.starting_since.entry(task).or_insert(now);
    }
}

fn reclaim(
    shard: &mut state::Shard,
    task: &id::TaskId,
    now: time::Timestamp,
    events: &mut Vec<system::Event>,
) {
    let Some(stored) = shard.tasks.get(task) else { return };
    let Some(vm) = stored.row.vm().cloned() else { return };
    shard.starting_since.remove(task);
    shard.counters.retries += 1;
    shard.step(task, &task::Step::Drain(task::After::Restart));
    system::review::record_failure(shard, &vm, now, events);
}
