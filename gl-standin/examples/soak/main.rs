//! Runs seeded series of overlapping disturbances on real daemons, and judges what the workers of the
//! stand-in have run: one line of JSON for each seed.

mod clients;
mod owners;
mod plan;
mod report;
mod series;

use std::{io, path, process, rc, time::Duration};

use gl_standin::fleet::{
    Size,
    deployment::{self, Deployment},
};
use serde_json::json;

const USAGE: &str = "Usage: soak [options]\n\nRuns daemons in failure domains that are cut off, \
    without a store, paused and killed.\nBuild them first: cargo build --release --locked -p \
    geraniumlatchd -p gl-standin --bins --examples";

/// The options of a soak.
struct Options {
    seeds: std::ops::Range<u64>,
    deployment: deployment::Settings,
    length: Duration,
    gap: Duration,
    settling: Duration,
    kinds: Vec<plan::Kind>,
    hand_over: Option<Duration>,
    wide_one_in: u32,
    has_two_phases: bool,
    /// The folder for the logs of seeds with violations.
    logs: Option<path::PathBuf>,
}

/// The clients of each failure domain.
const CLIENTS: usize = 3;
/// The workers for which one job arrives per second.
const WORKERS_PER_JOB: f64 = 10.0;

fn main() -> process::ExitCode {
    let options = match parse() {
        Ok(Some(options)) => options,
        Ok(None) => return process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            return process::ExitCode::FAILURE;
        }
    };
    let system = ntex::rt::System::new("soak", ntex::rt::DefaultRuntime);
    let result = system.block_on(async move {
        for seed in options.seeds.clone() {
            run_seed(&options, seed).await?;
        }
        Ok::<(), io::Error>(())
    });
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

fn parse() -> Result<Option<Options>, String> {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this text");
    options.optopt("", "seeds", "number of seeds (1)", "N");
    options.optopt("", "first", "first seed (0)", "N");
    options.optopt("", "zones", "failure domains (3)", "N");
    options.optopt("", "daemons", "daemons in each failure domain (3)", "N");
    options.optopt("", "workers", "workers in all (60)", "N");
    options.optopt("", "seconds", "length of a series (90)", "N");
    options.optopt("", "gap", "longest time between disturbances, in milliseconds (9000)", "N");
    options.optopt("", "settling", "time after it, in seconds (30)", "N");
    options.optopt("", "lease", "longest lease of a worker, in milliseconds (10000)", "N");
    options.optmulti(
        "",
        "only",
        "only this kind: cut, store, pause, kill, crash, late, delay, worker-cut, stall or recut; may be repeated (all but recut)",
        "KIND",
    );
    options.optopt("", "wide", "one in so many jobs has 27 to 60 tasks of 15 s (0: none)", "N");
    options.optflag(
        "",
        "two-phases",
        "all jobs have two phases, and a third of them tasks of 7 to 16 s",
    );
    options.optopt("", "hand-over", "kill the owner after so many seconds (0: not)", "N");
    options.optopt("", "logs", "folder for the logs of seeds with violations", "PATH");
    let matches = options.parse(std::env::args().skip(1)).map_err(|e| e.to_string())?;
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return Ok(None);
    }
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        Some(text) => text.parse().map_err(|e| format!("--{name}: {e}; give a whole number")),
        None => Ok(default),
    };
    let count = |name, default| {
        number(name, default).and_then(|n| usize::try_from(n.max(1)).map_err(|e| e.to_string()))
    };
    let names = matches.opt_strs("only");
    let is_known = |name: &String| plan::KINDS.iter().any(|(_, known, _)| name == known);
    if let Some(name) = names.iter().find(|name| !is_known(name)) {
        let known: Vec<_> = plan::KINDS.iter().map(|(_, name, _)| *name).collect();
        return Err(format!("--only: no kind `{name}`; give one of {}", known.join(", ")));
    }
    let is_chosen = |(kind, name, _): &&(plan::Kind, &str, u32)| {
        names.iter().any(|chosen| chosen == name)
            || (names.is_empty() && *kind != plan::Kind::Recut)
    };
    let kinds = plan::KINDS.iter().filter(is_chosen);
    let first = number("first", 0)?;
    Ok(Some(Options {
        seeds: first..first + number("seeds", 1)?,
        deployment: deployment::Settings {
            size: Size { workers: count("workers", 60)?, domains: count("zones", 3)? },
            daemons: count("daemons", 3)?,
            max_lease_ms: number("lease", 10_000)?,
            ..deployment::Settings::default()
        },
        length: Duration::from_secs(number("seconds", 90)?),
        gap: Duration::from_millis(number("gap", 9_000)?),
        settling: Duration::from_secs(number("settling", 30)?),
        kinds: kinds.map(|(kind, ..)| *kind).collect(),
        hand_over: Some(number("hand-over", 0)?).filter(|at| *at > 0).map(Duration::from_secs),
        wide_one_in: u32::try_from(number("wide", 0)?).map_err(|e| e.to_string())?,
        has_two_phases: matches.opt_present("two-phases"),
        logs: matches.opt_str("logs").map(path::PathBuf::from),
    }))
}

async fn run_seed(options: &Options, seed: u64) -> io::Result<()> {
    let mut deployment = Deployment::start(options.deployment).await?;
    let domains = options.deployment.size.domains;
    let shared = start_clients(options, &deployment, seed);
    let size = plan::Size {
        domains,
        daemons: deployment.daemons.len(),
        workers: options.deployment.size.workers,
        length: options.length,
        gap: options.gap,
        kinds: options.kinds.clone(),
        hand_over: options.hand_over,
    };
    let steps = plan::series(seed, size);
    let mut series = series::Series::new(&mut deployment, domains);
    series.run(&steps).await?;
    let log = std::mem::take(&mut series.log);
    shared.is_over.set(true);
    ntex::time::sleep(options.settling).await;
    let ended = deployment.daemons.iter_mut().filter_map(|daemon| daemon.process.exit_code());
    let daemons_down = ended.count();
    let runs = deployment.runs().await?;
    let owners = owners::Owners::read(&deployment.daemons);
    let mut line = report::findings(&runs, &owners, &shared.accepted.borrow());
    line["seed"] = json!(seed);
    for (kind, name, _) in plan::KINDS {
        let of_kind = steps.iter().filter(|step| step.action.kind() == kind);
        line["steps"][name] = json!(of_kind.count());
    }
    line["daemons-down"] = json!(daemons_down);
    line["refused"] = json!(shared.refused.get());
    println!("{line}");
    let has_violations = line["ways"].as_object().is_some_and(|ways| !ways.is_empty());
    if let Some(logs) = options.logs.as_ref().filter(|_| has_violations) {
        let kept = logs.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&kept)?;
        std::fs::write(kept.join("series.txt"), log.join("\n"))?;
        std::fs::write(kept.join("runs.json"), serde_json::to_vec(&runs)?)?;
        let calls = deployment.late_calls().await?;
        std::fs::write(kept.join("late-calls.json"), serde_json::to_vec(&calls)?)?;
        for entry in std::fs::read_dir(deployment.dir())? {
            let entry = entry?;
            std::fs::copy(entry.path(), kept.join(entry.file_name()))?;
        }
    }
    Ok(())
}

/// Starts the clients, which first submit a long-running task for each worker.
fn start_clients(options: &Options, deployment: &Deployment, seed: u64) -> rc::Rc<clients::Shared> {
    let shared = rc::Rc::<clients::Shared>::default();
    let Size { workers, domains } = options.deployment.size;
    let count = CLIENTS * domains;
    let interval = Duration::from_secs(1).mul_f64(count as f64 * WORKERS_PER_JOB / workers as f64);
    for n in 0..count {
        let in_domain = deployment.daemons.iter().skip(n % domains).step_by(domains);
        let mut daemons: Vec<_> = in_domain.map(|daemon| daemon.client_address).collect();
        daemons.rotate_left(n / domains % options.deployment.daemons);
        let client = clients::Client {
            shared: rc::Rc::clone(&shared),
            daemons,
            interval,
            long_running: workers / count,
            wide_one_in: options.wide_one_in,
            has_two_phases: options.has_two_phases,
            seed: seed << 8 | n as u64,
        };
        ntex::rt::spawn(client.run());
    }
    shared
}
