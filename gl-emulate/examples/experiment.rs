//! Simulates a load and prints the service that clients get, for one or more sets of owner settings
//! side by side.

use std::{collections, fmt};

use gl_emulate::{fleet, load, report, simulation, usage};
use gl_jobs::owner;
use gl_model::time;

const USAGE: &str = "Usage: experiment [options]\n\nSimulates jobs in virtual time.";

/// The largest offset of a task from the common swing, as a share of the period.
const SPREAD: f64 = 0.06;

fn main() -> Result<(), String> {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this text");
    options.optopt("", "workers", "number of workers (24)", "N");
    options.optopt("", "seeds", "number of seeds (3)", "N");
    options.optopt("", "seconds", "seconds during which jobs arrive (20)", "N");
    options.optopt("", "lasting", "long-running jobs submitted at the start (18)", "N");
    options.optopt("", "batch", "batch jobs per second (2)", "X");
    options.optopt("", "fills", "best-effort jobs per second (2)", "X");
    options.optopt("", "burst", "factor on the rate of best-effort jobs for 6 s (1)", "X");
    options.optopt("", "harm-limit", "compare with this interference limit", "X");
    options.optflag("", "orders", "compare the orders of phases");
    options.optflag("", "loss", "compare with the order by loss while capacity is scarce");
    options.optopt("", "priority", "priority of best-effort jobs (0)", "N");
    options.optflag(
        "",
        "switches",
        "compare the switches of colocation; base is skip with untested",
    );
    options.optopt("", "burst-at", "second at which the burst starts (10)", "N");
    options.optopt("", "burst-image", "number of the image of the burst's jobs", "N");
    options.optopt("", "swing", "swing of the long-running load, relative to its mean", "X");
    options.optopt("", "period", "period of the swing, in seconds (11)", "N");
    options.optopt("", "first-seed", "first seed (0)", "N");
    options.optflag("", "table", "print the mean of all seeds, one line for each set of settings");
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
    let base = owner::Settings::default();
    let mut policies = vec![("as is", base)];
    if matches.opt_present("harm-limit") {
        let interference_limit = number("harm-limit", base.interference_limit)?;
        policies.push(("changed", owner::Settings { interference_limit, ..base }));
    }
    if matches.opt_present("orders") {
        policies.push(("slack", owner::Settings { order: owner::PhaseOrder::Slack, ..base }));
        policies.push(("work", owner::Settings { order: owner::PhaseOrder::Work, ..base }));
    }
    if matches.opt_present("loss") {
        policies.push(("loss", owner::Settings { loss_order: owner::LossOrder::All, ..base }));
    }
    if matches.opt_present("switches") {
        let switched = colocations().into_iter();
        policies
            .extend(switched.map(|(name, c)| (name, owner::Settings { colocation: c, ..base })));
    }
    let swing = usage::Swing {
        share: number("swing", 0.0)?,
        period: time::Span::seconds(u64::from(whole("period", 11)?)),
        spread: SPREAD,
    };
    let burst = load::Burst {
        from: time::Timestamp(time::Span::seconds(u64::from(whole("burst-at", 10)?)).0),
        length: time::Span::seconds(6),
        factor: number("burst", 1.0)?,
        image: matches.opt_present("burst-image").then(|| whole("burst-image", 0)).transpose()?,
    };
    let usual = load::Settings {
        length: time::Span::seconds(u64::from(whole("seconds", 20)?)),
        long_running: whole("lasting", 18)?,
        batch: number("batch", 2.0)?,
        best_effort: number("fills", 2.0)?,
        burst: Some(burst),
        swing: matches.opt_present("swing").then_some(swing),
        ..load::Settings::default()
    };
    let workers = fleet::mixed(whole("workers", 24)? as usize);
    let priority = whole("priority", 0)?;
    let first = u64::from(whole("first-seed", 0)?);
    let mut totals = vec![Total::default(); policies.len()];
    for seed in first..first + u64::from(whole("seeds", 3)?) {
        let mut arrivals = load::generate(&load::Settings { seed, ..usual });
        for arrival in arrivals.iter_mut().filter(|arrival| arrival.kind == load::BEST_EFFORT) {
            arrival.job.policy.priority = priority;
        }
        for ((name, owner), total) in policies.iter().zip(&mut totals) {
            let (workers, arrivals) = (workers.clone(), arrivals.clone());
            let settings = simulation::Settings {
                seed,
                workers,
                arrivals,
                owner: *owner,
                ..Default::default()
            };
            let report = simulation::Simulation::new(settings).run();
            if !matches.opt_present("table") {
                print!("seed {seed}, {name}: {report}");
            }
            total.add(&report);
        }
    }
    for ((name, _), total) in policies.iter().zip(&totals) {
        println!("{name:<16} {total}");
    }
    Ok(())
}

/// Returns the switches of colocation: one at a time, and with the two that need no swing.
fn colocations() -> Vec<(&'static str, owner::Colocation)> {
    let off = owner::Colocation::default();
    let skip = owner::Colocation { skips_throttled: true, ..off };
    let untested = owner::Colocation { untested_runs: Some(2), ..off };
    let starts = owner::Colocation { forecasts_starts: true, ..off };
    let base = owner::Colocation { untested_runs: Some(2), ..skip };
    vec![
        ("skip", skip),
        ("untested", untested),
        ("starts", starts),
        ("base", base),
        ("base, starts", owner::Colocation { forecasts_starts: true, ..base }),
    ]
}

/// The totals of all seeds.
#[derive(Clone, Default)]
struct Total {
    kinds: collections::BTreeMap<String, report::KindTotals>,
    colocation: report::Colocation,
    violations: usize,
}

impl Total {
    fn add(&mut self, report: &report::Report) {
        for (name, kind) in &report.kinds {
            let sum = self.kinds.entry(name.clone()).or_default();
            sum.attainable += kind.attainable;
            sum.net += kind.net;
        }
        self.colocation.starts += report.colocation.starts;
        self.colocation.windows += report.colocation.windows;
        self.colocation.stopped += report.colocation.stopped;
        self.colocation.limits += report.colocation.limits;
        self.violations += report.violations.len();
    }
}

impl fmt::Display for Total {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (mut net, mut attainable) = (0.0, 0.0);
        for (name, kind) in &self.kinds {
            write!(f, "{name} {:.3} ", kind.net / kind.attainable)?;
            net += kind.net;
            attainable += kind.attainable;
        }
        let [windows, stopped, limits] = self.colocation.per_thousand();
        let starts = self.colocation.starts;
        write!(
            f,
            "all {:.3}, {starts} starts, per 1,000: {windows:.0} windows, ",
            net / attainable
        )?;
        write!(f, "{stopped:.0} stopped, {limits:.0} limits; {} violations", self.violations)
    }
}
