//! What a seed has shown: the violations, sorted by what the logs say of the owners.

use std::collections;

use gl_jobs::worker::Outcome;
use gl_standin::fleet::{
    Run,
    judge::{self, Rule},
};
use serde_json::{Value, json};

use crate::{clients::Job, owners::Owners};

/// The violations that are reported in full.
const SHOWN: usize = 3;

/// Returns the findings on the runs of a seed.
pub fn findings(
    runs: &[Run],
    owners: &Owners,
    accepted: &collections::BTreeMap<u64, Job>,
) -> Value {
    let violations = judge::violations(runs);
    let mut ways = collections::BTreeMap::<String, usize>::new();
    for violation in &violations {
        *ways.entry(owners.describe(violation)).or_default() += 1;
    }
    let count = |rule| violations.iter().filter(|violation| violation.rule == rule).count();
    let shown: Vec<_> = violations.iter().take(SHOWN).map(ToString::to_string).collect();
    let done = |run: &&Run| run.outcome == Some(Outcome::Done);
    let done: collections::BTreeSet<&str> =
        runs.iter().filter(done).map(|run| run.task.as_str()).collect();
    let open: collections::BTreeSet<&str> =
        runs.iter().filter(|run| run.ended.is_none()).map(|run| run.task.as_str()).collect();
    let is_missing = |job: &Job, task: &String| {
        !(if job.is_long_running { &open } else { &done }).contains(task.as_str())
    };
    let missing = |job: &Job| job.tasks.iter().filter(|task| is_missing(job, task)).count();
    let of_kind = |is_long_running| {
        let jobs = accepted.values().filter(move |job| job.is_long_running == is_long_running);
        jobs.map(missing).sum::<usize>()
    };
    json!({
        "runs": runs.len(),
        "claims": owners.claims(),
        "jobs": accepted.len(),
        "at-once": count(Rule::OneRunAtATime),
        "after-done": count(Rule::NoStartAfterDone),
        "ways": ways,
        "shown": shown,
        "tasks-not-done": of_kind(false),
        "long-running-not-running": of_kind(true),
    })
}
