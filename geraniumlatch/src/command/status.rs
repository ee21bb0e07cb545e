//! The command `status`, and the wait for a configuration to be in force.

use std::{io, io::Write as _, time};

use gl_model::{id, status};

use crate::{api, error::Error, output, program};

/// Prints the jobs, workers, daemons and shards.
///
/// # Errors
///
/// Returns an error if no daemon responds.
pub async fn run(api: &api::Api, options: &program::Options) -> Result<(), Error> {
    let status: status::Status = api.get("/v1/status").await?;
    match options.format {
        output::Format::Json => output::json(&status),
        output::Format::Text => print(&status),
    }
    Ok(())
}

fn print(status: &status::Status) {
    output::line(format_args!("jobs:"));
    for job in &status.jobs {
        let kind = if job.is_service { "service" } else { "batch" };
        let end = if job.cancelled { "  cancelled" } else { "" };
        output::line(format_args!(
            "  {}  {kind}  wanted {}  running {}  waiting {}  moving {}  done {}  failed {}  evictions {}{end}",
            job.name,
            job.wanted,
            job.running,
            job.waiting,
            job.moving,
            job.done,
            job.failed,
            job.evictions
        ));
        for reason in &job.reasons {
            output::line(format_args!("    {reason}"));
        }
    }
    output::line(format_args!("workers:"));
    for w in &status.workers {
        let free = w.capacity.minus(&w.reserved);
        output::line(format_args!(
            "  {}  {}  {:?}  tasks {}  room {free}",
            w.vm, w.domain, w.liveness, w.tasks
        ));
    }
    output::line(format_args!("daemons:"));
    for d in &status.daemons {
        output::line(format_args!("  {}  {}  {}  config {}", d.id, d.domain, d.listen, d.config));
    }
    output::line(format_args!("shards:"));
    for s in &status.shards {
        let owner = s.row.as_ref().and_then(|row| row.owner.as_ref());
        let owner = owner.map_or("nobody", |owner| owner.as_str());
        output::line(format_args!("  {}  owned by {owner}", s.shard));
    }
}

/// The interval between two requests for the status.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Waits until a configuration is in force on all daemons, and shows the progress on a terminal.
///
/// # Errors
///
/// Returns an error if that takes longer than `seconds`.
pub async fn wait_for_config(
    api: &api::Api,
    seconds: u64,
    number: id::Version,
) -> Result<(), Error> {
    let deadline = time::Instant::now() + time::Duration::from_secs(seconds);
    loop {
        let status: status::Status = api.get("/v1/status").await?;
        let total = status.daemons.len();
        let applied = status.daemons.iter().filter(|d| d.config >= number).count();
        if applied == total {
            output::line(format_args!("in force on {applied} of {total} daemons"));
            return Ok(());
        }
        if time::Instant::now() >= deadline {
            let state = format!("number {number} is in force on {applied} of {total} daemons");
            return Err(Error::TimedOut { seconds, state });
        }
        progress(&format!("in force on {applied} of {total} daemons"));
        ntex::time::sleep(POLL_INTERVAL).await;
    }
}

fn progress(line: &str) {
    if io::IsTerminal::is_terminal(&io::stderr()) {
        eprint!("\r{line}");
        let _ = io::stderr().flush();
    }
}
