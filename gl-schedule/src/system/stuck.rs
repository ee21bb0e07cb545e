//! Takes tasks back from workers that never get them to run.

use gl_model::{id, task, time};

use crate::{system, world};

/// Drains every task that has been starting for longer than the configuration allows. Its worker
/// must confirm the stop, or its lease must lapse, before the task starts elsewhere.
pub fn run(world: &mut world::World, now: time::Timestamp, notes: &mut Vec<system::Note>) {
    note_starts(world, now);
    let limit = time::Span::millis(world.config.repair.start_ms);
    let stuck: Vec<id::TaskId> = world
        .starting
        .iter()
        .filter(|(_, since)| now.since(**since) >= limit)
        .map(|(task, _)| task.clone())
        .collect();
    for task in stuck {
        take_back(world, &task, now, notes);
    }
}

/// Notes since when tasks are starting. A new owner counts from its first look.
fn note_starts(world: &mut world::World, now: time::Timestamp) {
    let is_starting = |task: &id::TaskId| {
        let state = world.tasks.get(task).map(|stored| &stored.row.state);
        matches!(state, Some(task::State::Starting { .. }))
    };
    world.starting.retain(|task, _| is_starting(task));
    for task in std::mem::take(&mut world.begun) {
        world.starting.entry(task).or_insert(now);
    }
}

fn take_back(
    world: &mut world::World,
    task: &id::TaskId,
    now: time::Timestamp,
    notes: &mut Vec<system::Note>,
) {
    let Some(stored) = world.tasks.get(task) else { return };
    let Some(vm) = stored.row.vm().cloned() else { return };
    world.starting.remove(task);
    world.counters.retries += 1;
    world.step(task, &task::Step::Drain(task::After::Restart));
    system::review::quarantine(world, &vm, now, notes);
}
