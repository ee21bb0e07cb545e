//! Simulates a load and prints the service that clients get, for one or more sets of owner settings
//! side by side.

use gl_emulate::{fleet, load, simulation};
use gl_jobs::owner;
use gl_model::time;

const USAGE: &str = "Usage: experiment [options]\n\nSimulates jobs in virtual time.";

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
        policies.push(("loss", owner::Settings { follows_loss: true, ..base }));
    }
    for seed in 0..u64::from(whole("seeds", 3)?) {
        let burst = load::Burst {
            from: time::Timestamp(time::Span::seconds(10).0),
            length: time::Span::seconds(6),
            factor: number("burst", 1.0)?,
        };
        let mut arrivals = load::generate(&load::Settings {
            seed,
            length: time::Span::seconds(u64::from(whole("seconds", 20)?)),
            long_running: whole("lasting", 18)?,
            batch: number("batch", 2.0)?,
            best_effort: number("fills", 2.0)?,
            burst: Some(burst),
            ..load::Settings::default()
        });
        let priority = whole("priority", 0)?;
        for arrival in arrivals.iter_mut().filter(|arrival| arrival.kind == load::BEST_EFFORT) {
            arrival.job.policy.priority = priority;
        }
        for (name, owner) in &policies {
            let workers = fleet::mixed(whole("workers", 24)? as usize);
            let arrivals = arrivals.clone();
            let settings = simulation::Settings {
                seed,
                workers,
                arrivals,
                owner: *owner,
                ..Default::default()
            };
            print!("seed {seed}, {name}: {}", simulation::Simulation::new(settings).run());
        }
    }
    Ok(())
}
