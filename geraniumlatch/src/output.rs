//! Printing of results as text or JSON.

use std::{fmt, fmt::Write as _, io, io::Write as _, process};

use gl_model::plan;

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
}

/// Prints a value as JSON.
pub fn json<T: serde::Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => line(format_args!("{text}")),
        Err(error) => eprintln!("cannot print the response as JSON ({error}); use `--format text`"),
    }
}

/// Returns the summary of a plan in one line.
pub fn summary(plan: &plan::Plan) -> String {
    let queued: u32 = plan.queued.iter().map(|q| q.tasks).sum();
    let unplaced: u32 = plan.unplaced.iter().map(|u| u.tasks).sum();
    format!(
        "{} placed, {} evicted, {queued} waiting, {unplaced} not placed, {} jobs cancelled",
        plan.placements.len(),
        plan.evictions.len(),
        plan.cancels.len()
    )
}

/// Returns a plan as text: the tasks that would run, be evicted or wait, and those that cannot be
/// placed.
pub fn plan(plan: &plan::Plan) -> String {
    let mut out = format!("plan {} ({:?}): {}\n", plan.id, plan.state, summary(plan));
    let mut line = |text: String| {
        // Writing to a string cannot fail.
        let _ = writeln!(out, "{text}");
    };
    for p in &plan.placements {
        line(format!("  run     {}  on {} in {}", p.task, p.vm, p.shard));
    }
    for e in &plan.evictions {
        line(format!("  evict   {}  from {} for {}", e.task, e.vm, e.by));
    }
    for q in &plan.queued {
        line(format!("  wait    {} tasks of {}", q.tasks, q.job));
    }
    for u in &plan.unplaced {
        line(format!("  refuse  {} tasks of {}: {}", u.tasks, u.job, u.reason));
    }
    for c in &plan.cancels {
        line(format!("  cancel  {c}"));
    }
    for part in plan.parts.iter().filter(|part| part.row.grant > 0) {
        let (job, grant) = (&part.row.spec.name, part.row.grant);
        line(format!("  grant   {job} may evict up to {grant} batch tasks in {}", part.shard));
    }
    out
}

/// Prints text. If the reader has closed the pipe, the process exits successfully and without a
/// message, because no output is needed any more.
pub fn write(text: fmt::Arguments<'_>) {
    let mut out = io::stdout().lock();
    let written = out.write_fmt(text).and_then(|()| out.flush());
    if written.is_err_and(|error| error.kind() == io::ErrorKind::BrokenPipe) {
        process::exit(0);
    }
}

/// Prints a line in the same way as [`write()`].
pub fn line(text: fmt::Arguments<'_>) {
    write(format_args!("{text}\n"));
}
