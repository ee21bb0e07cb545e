//! Compares the settings for uneven workers, one at a time, under faults that make workers uneven.

use gl_emulate::{fleet, load, report, simulation, worker};
use gl_jobs::owner;
use gl_model::time;
use rand::{Rng as _, SeedableRng as _, rngs};

const USAGE: &str = "Usage: uneven [options]\n\nCompares the settings for uneven workers.";

/// The ways in which workers are uneven.
const SCENARIOS: [&str; 10] = [
    "even", "slow5", "slow2", "failing", "flapping", "silent", "empty", "cold", "racks", "one-rack",
];

/// The options of a comparison.
struct Plan {
    workers: usize,
    seeds: std::ops::Range<u64>,
    rate: f64,
    long_running: u32,
    remote_factor: f64,
}

fn main() -> Result<(), String> {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this text");
    options.optopt("", "workers", "number of workers (24)", "N");
    options.optopt("", "first", "first seed (0)", "N");
    options.optopt("", "seeds", "number of seeds (6)", "N");
    options.optopt("", "rate", "factor on the rate of jobs (1)", "X");
    options.optopt("", "lasting", "long-running jobs (18)", "N");
    options.optopt("", "remote", "factor by which remote tasks are slower (1.5)", "X");
    options.optopt("", "scenario", "only scenarios whose name contains the text", "TEXT");
    options.optmulti("", "policy", "only these settings; may be repeated", "NAME");
    let matches = options.parse(std::env::args().skip(1)).map_err(|e| e.to_string())?;
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return Ok(());
    }
    let number = |name: &str, default: f64| match matches.opt_str(name) {
        Some(text) => text.parse::<f64>().map_err(|e| format!("--{name}: {e}; give a number")),
        None => Ok(default),
    };
    let whole = |name: &str, default: u32| match matches.opt_str(name) {
        Some(text) => text.parse::<u32>().map_err(|e| format!("--{name}: {e}; give a number")),
        None => Ok(default),
    };
    let first = u64::from(whole("first", 0)?);
    let plan = Plan {
        workers: whole("workers", 24)? as usize,
        seeds: first..first + u64::from(whole("seeds", 6)?),
        rate: number("rate", 1.0)?,
        long_running: whole("lasting", 18)?,
        remote_factor: number("remote", 1.5)?,
    };
    let only = matches.opt_str("scenario").unwrap_or_default();
    let chosen = matches.opt_strs("policy");
    let is_chosen = |name: &str| chosen.is_empty() || chosen.iter().any(|other| other == name);
    for scenario in SCENARIOS.iter().filter(|name| name.contains(&only)) {
        for (name, owner) in policies(plan.remote_factor).into_iter().filter(|(n, _)| is_chosen(n))
        {
            print_row(scenario, name, &plan, owner);
        }
    }
    Ok(())
}

/// Returns the settings to compare: each switch alone, then all of them.
fn policies(remote_factor: f64) -> Vec<(&'static str, owner::Settings)> {
    let base = owner::Settings::default();
    vec![
        ("as is", base),
        ("estimates", owner::Settings { uses_estimates: true, ..base }),
        ("unproven", owner::Settings { unproven_runs: Some(8), ..base }),
        ("cold", owner::Settings { cold_factor: 2.0, ..base }),
        ("remote", owner::Settings { remote_factor, ..base }),
        ("copies", owner::Settings { copy_share: 0.05, ..base }),
        ("est+copies", owner::Settings { uses_estimates: true, copy_share: 0.05, ..base }),
        ("spread", owner::Settings { spreads_domains: true, ..base }),
        (
            "all",
            owner::Settings {
                uses_estimates: true,
                unproven_runs: Some(8),
                cold_factor: 2.0,
                remote_factor,
                spreads_domains: true,
                ..base
            },
        ),
    ]
}

fn print_row(scenario: &str, name: &str, plan: &Plan, owner: owner::Settings) {
    let seeds = plan.seeds.clone();
    let reports: Vec<_> = seeds.map(|seed| simulate(scenario, plan, seed, owner)).collect();
    let count = reports.len().max(1) as f64;
    let mean =
        |value: &dyn Fn(&report::Report) -> f64| reports.iter().map(value).sum::<f64>() / count;
    let share = |kind: &str| {
        let totals = reports.iter().filter_map(|report| report.kinds.get(kind));
        let (earned, all) = totals.fold((0.0, 0.0), |(earned, all), totals| {
            (earned + totals.earned, all + totals.attainable)
        });
        earned / f64::max(all, 1.0)
    };
    let failed = mean(&|report| report.kinds.values().map(|kind| f64::from(kind.failed)).sum());
    println!(
        "{scenario:<9} {name:<10} payoff {:.3} short {:.3} best-effort {:.3} long {:.3} failed {failed:.1} starts {:.0} interrupted {:.0} violations {}",
        mean(&report::Report::payoff_share),
        share("batch"),
        share("fill"),
        share("lasting"),
        mean(&|report| report.starts as f64),
        mean(&|report| report.interrupted as f64),
        reports.iter().map(|report| report.violations.len()).sum::<usize>(),
    );
}

fn simulate(scenario: &str, plan: &Plan, seed: u64, owner: owner::Settings) -> report::Report {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut workers = fleet::mixed(plan.workers);
    if scenario == "cold" {
        for spec in &mut workers {
            spec.cold_time = time::Span::seconds(8);
        }
    }
    let racks = u32::try_from(plan.workers / 8).unwrap_or(1).max(1);
    let distance = match scenario {
        "racks" => load::Distance { bound: 0.5, racks: (racks / 3).max(1), sensitive: 0.0 },
        "one-rack" => load::Distance { bound: 0.0, racks, sensitive: 0.5 },
        _ => load::Distance::default(),
    };
    let arrivals = load::generate(&load::Settings {
        seed,
        length: time::Span::seconds(30),
        long_running: plan.long_running,
        batch: 2.0 * plan.rate,
        best_effort: 2.0 * plan.rate,
        distance,
        ..load::Settings::default()
    });
    let faults = faults(scenario, plan.workers, &mut rng);
    let remote_factor = plan.remote_factor;
    let settings = simulation::Settings {
        seed,
        workers,
        arrivals,
        faults,
        owner,
        remote_factor,
        ..Default::default()
    };
    simulation::Simulation::new(settings).run()
}

/// Returns the faults of a scenario: they concern a sixth of the workers, or a third of them that
/// start late.
fn faults(
    scenario: &str,
    workers: usize,
    rng: &mut rngs::SmallRng,
) -> Vec<simulation::ScheduledFault> {
    let slow = |factor| worker::Fault { slowdown: Some(factor), ..worker::Fault::default() };
    let mut faults = Vec::new();
    let mut add = |millis: u64, fault| {
        let at = time::Timestamp(time::Span::millis(millis).0);
        faults.push(simulation::ScheduledFault { at, fault });
    };
    let length = time::Span::seconds(20);
    for _ in 0..workers / 6 {
        let n = rng.random_range(0..workers);
        let at = rng.random_range(4_000..14_000);
        match scenario {
            "slow5" => add(at, simulation::Fault::Worker(n, length, slow(5.0))),
            "slow2" => add(at, simulation::Fault::Worker(n, length, slow(2.0))),
            "failing" => {
                let fault = worker::Fault { fails_runs: true, ..worker::Fault::default() };
                add(at, simulation::Fault::Worker(n, time::Span::seconds(10), fault));
            }
            "silent" => {
                let fault = worker::Fault { is_partitioned: true, ..worker::Fault::default() };
                add(at, simulation::Fault::Worker(n, time::Span::seconds(8), fault));
            }
            "flapping" => {
                for repeat in 0..5 {
                    let down = time::Span::millis(1_000);
                    add(at + repeat * 4_000, simulation::Fault::CrashWorker(n, down));
                }
            }
            _ => {}
        }
    }
    if scenario == "cold" || scenario == "empty" {
        for n in 0..workers / 3 {
            add(12_000, simulation::Fault::StartWorker(n));
        }
    }
    if scenario == "empty" {
        // Two of the workers that start fail all that they start.
        for n in 0..2 {
            let fault = worker::Fault { fails_runs: true, ..worker::Fault::default() };
            add(12_000, simulation::Fault::Worker(n, time::Span::seconds(6), fault));
        }
    }
    faults
}
