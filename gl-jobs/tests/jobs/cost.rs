//! The cost of placement passes. An owner of hundreds of workers passes over all waiting phases many
//! times a second, on half a core.

use gl_jobs::{job, owner};

use crate::cell::{self, Cell};

const WORKERS: usize = 200;
const PASSES: u32 = 20;

/// Returns the time of some placement passes with `waiting` long-running phases that find no room.
fn time_of_passes(waiting: u64) -> std::time::Duration {
    let mut cell = Cell::new(WORKERS);
    let whole = cell::phase(u32::try_from(WORKERS).unwrap(), 64_000);
    assert_eq!(cell::starts(&cell.submit(1, cell::job(vec![whole]))).len(), WORKERS);
    for n in 0..waiting {
        // Different sizes and a limit per worker, so that no phase stands for another one.
        let cores = 8_000 + n;
        let phase = job::Phase { long_running: true, per_worker: Some(2), ..cell::phase(4, cores) };
        cell.owner.add_job(cell::id(100 + n), cell::job(vec![phase]), &cell::moment(cell.now));
    }
    cell.tick();
    let started = std::time::Instant::now();
    for _ in 0..PASSES {
        cell.owner.place(cell::at(cell.now));
    }
    let took = started.elapsed();
    let actions: Vec<owner::Action> = cell.owner.take_actions();
    assert!(cell::starts(&actions).is_empty());
    took
}

/// In a full service, the search for a worker must not be repeated for each waiting phase.
#[test]
fn pass_over_many_waiting_phases_costs_little_more_than_over_one() {
    let few = time_of_passes(1).max(time_of_passes(1));
    let many = (0..3).map(|_| time_of_passes(200)).min().unwrap();
    assert!(many < few * 20, "{many:?} with 200 waiting phases, {few:?} with one");
}

const MANY_WORKERS: usize = 600;

/// Returns the time of the placement pass that starts a best-effort phase of `count` tasks.
fn time_to_start(count: u32, settings: owner::Settings) -> std::time::Duration {
    let mut cell = Cell::with_settings(MANY_WORKERS, settings);
    let image = Some("image".to_owned());
    let phase = job::Phase { best_effort: true, image, ..cell::phase(count, 1_000) };
    cell.owner.add_job(cell::id(1), cell::job(vec![phase]), &cell::moment(cell.now));
    let started = std::time::Instant::now();
    cell.owner.place(cell::at(cell.now));
    let took = started.elapsed();
    let actions: Vec<owner::Action> = cell.owner.take_actions();
    assert_eq!(cell::starts(&actions).len(), count as usize);
    took
}

/// All workers must be assessed once per phase, and not again for each of its tasks.
#[test]
fn starting_many_tasks_of_a_phase_assesses_each_worker_once() {
    let uneven = owner::Settings {
        uses_estimates: true,
        unproven_runs: Some(8),
        cold_factor: 2.0,
        remote_factor: 1.5,
        spreads_domains: true,
        ..owner::Settings::default()
    };
    for settings in [owner::Settings::default(), uneven] {
        let one = time_to_start(1, settings).max(time_to_start(1, settings));
        let many = (0..3).map(|_| time_to_start(200, settings)).min().unwrap();
        assert!(many < one * 50, "{many:?} for 200 tasks, {one:?} for one");
    }
}
