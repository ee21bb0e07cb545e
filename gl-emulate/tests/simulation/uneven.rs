//! Guards against violations of the guarantees, such as a task that is not speculative and runs twice,
//! by the settings for uneven workers, under the same random faults as without them.

use gl_emulate::{load, simulation};
use gl_jobs::owner;

use crate::faults;

/// The number of runs. Each takes some tens of milliseconds in a debug build.
const RUNS: u64 = 120;

fn settings(seed: u64) -> simulation::Settings {
    let load = load::Settings {
        seed,
        distance: load::Distance { bound: 0.3, racks: 2, sensitive: 0.3 },
        ..faults::load()
    };
    let owner = owner::Settings {
        uses_estimates: true,
        unproven_runs: Some(8),
        cold_factor: 2.0,
        remote_factor: 3.0,
        spreads_domains: true,
        copy_share: 0.2,
        ..owner::Settings::default()
    };
    simulation::Settings {
        arrivals: load::generate(&load),
        owner,
        remote_factor: 3.0,
        ..faults::settings(seed)
    }
}

#[test]
fn settings_for_uneven_workers_violate_no_guarantee() {
    let simulate = |seed| {
        let report = simulation::Simulation::new(settings(seed)).run();
        report.violations.into_iter().map(move |violation| (seed, violation))
    };
    let violations: Vec<_> = (0..RUNS).flat_map(simulate).collect();
    let first = &violations[..violations.len().min(8)];
    assert!(violations.is_empty(), "{} violations, the first: {first:?}", violations.len());
}
