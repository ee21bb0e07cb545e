//! `status`.

use std::{io, io::Write as _, time};

use gl_model::{id, status};

use crate::{api, error::Error, program, text};

/// Prints what runs where.
///
/// # Errors
///
/// If no daemon answers.
pub async fn run(api: &api::Api, options: &program::Options) -> Result<(), Error> {
    let status: status::Status = api.get("/v1/status").await?;
    match options.format {
        text::Format::Json => text::json(&status),
        text::Format::Text => print(&status),
    }
    Ok(())
}

fn print(status: &status::Status) {
    text::line(format_args!("jobs:"));
    for job in &status.jobs {
        let kind = if job.is_service { "service" } else { "batch" };
        let end = if job.cancelled { "  cancelled" } else { "" };
        text::line(format_args!(
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
            text::line(format_args!("    {reason}"));
        }
    }
    text::line(format_args!("workers:"));
    for w in &status.workers {
        let room = w.capacity.minus(&w.reserved);
        text::line(format_args!(
            "  {}  {}  {:?}  tasks {}  room {room}",
            w.vm, w.domain, w.liveness, w.tasks
        ));
    }
    text::line(format_args!("daemons:"));
    for d in &status.daemons {
        text::line(format_args!("  {}  {}  {}  config {}", d.id, d.domain, d.listen, d.config));
    }
    text::line(format_args!("shards:"));
    for s in &status.shards {
        let owner = s.row.as_ref().and_then(|row| row.owner.as_ref());
        let owner = owner.map_or("nobody", |owner| owner.as_str());
        text::line(format_args!("  {}  owned by {owner}", s.shard));
    }
}

/// The wait between two looks.
const POLL: time::Duration = time::Duration::from_millis(200);

/// Waits until all daemons have a configuration in force, and shows the progress on a terminal.
///
/// # Errors
///
/// If that takes longer than `seconds`.
pub async fn wait_for_config(
    api: &api::Api,
    seconds: u64,
    number: id::Version,
) -> Result<(), Error> {
    let until = time::Instant::now() + time::Duration::from_secs(seconds);
    loop {
        let status: status::Status = api.get("/v1/status").await?;
        let all = status.daemons.len();
        let there = status.daemons.iter().filter(|d| d.config >= number).count();
        if there == all {
            text::line(format_args!("in force on {there} of {all} daemons"));
            return Ok(());
        }
        if time::Instant::now() >= until {
            let what = format!("number {number} is in force on {there} of {all} daemons");
            return Err(Error::Waited { seconds, what });
        }
        progress(&format!("in force on {there} of {all} daemons"));
        ntex::time::sleep(POLL).await;
    }
}

fn progress(line: &str) {
    if io::IsTerminal::is_terminal(&io::stderr()) {
        eprint!("\r{line}");
        let _ = io::stderr().flush();
    }
}
