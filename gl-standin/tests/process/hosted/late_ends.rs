//! Workers that are cut off from the daemons and end runs later than their leases.

use std::{collections, time};

use gl_jobs::worker::Outcome;
use gl_standin::fleet::{Calls, Lost, Run, Size, client, deployment, judge};
use rand::{Rng as _, SeedableRng as _, rngs, seq::SliceRandom as _};
use serde_json::json;

use super::job_path;

const WORKERS: usize = 16;
/// The workers that are cut off. All of them have runs.
const CUT: usize = 6;
const SEED: u64 = 1;
/// How late these end runs, in milliseconds. The protocol permits a stop 900 ms.
const LATENESS_MS: std::ops::RangeInclusive<u64> = 300..=900;
/// The time for which they are cut off, which is more than a lease and the latest end.
const LENGTH: time::Duration = time::Duration::from_secs(10);

/// Returns what befalls the workers: a choice of those with runs is cut off and ends these late.
fn calls(runs: &[Run], seed: u64) -> Calls {
    let mut random = rngs::SmallRng::seed_from_u64(seed);
    let workers: collections::BTreeSet<_> = runs.iter().map(|run| run.worker).collect();
    let mut workers: Vec<_> = workers.into_iter().collect();
    assert!(workers.len() >= CUT, "the tasks have to run on several workers: {workers:?}");
    workers.shuffle(&mut random);
    let mut calls = Calls::default();
    for (n, worker) in workers.into_iter().take(CUT).enumerate() {
        let lost = [Lost::Requests, Lost::Replies, Lost::Both][n % 3];
        calls.cut.insert(worker, lost);
        calls.stalls_ms.insert(worker, random.random_range(LATENESS_MS));
    }
    calls
}

/// Returns the workers whose runs have lapsed and were started again.
fn left_workers(runs: &[Run]) -> collections::BTreeSet<usize> {
    let lapsed = runs.iter().filter(|run| run.outcome == Some(Outcome::Lapsed));
    let is_again =
        |run: &&Run| runs.iter().any(|other| other.task == run.task && other.attempt > run.attempt);
    lapsed.filter(is_again).map(|run| run.worker).collect()
}

/// Guards against second runs: the owner starts the tasks of a worker that it cannot reach elsewhere while
/// that worker, whose lease has ended, is still ending its runs.
#[ntex::test]
async fn tasks_of_a_worker_that_ends_runs_late_start_elsewhere_after_the_ends() {
    let size = Size { workers: WORKERS, domains: 3 };
    let settings = deployment::Settings { size, daemons: 1, ..deployment::Settings::default() };
    let deployment = deployment::Deployment::start(settings).await.unwrap();
    let spec = json!({"work-ms": 25_000}).to_string();
    for n in 0..3 {
        let phases = json!([{"Count": 40, "Cpu": 1000, "MemMb": 100}]);
        let body = json!({"Spec": spec, "Phases": phases}).to_string();
        let status =
            client::request_status(deployment.address(n), "POST", &job_path(n as u64), &body).await;
        assert_eq!(status, Some(200));
    }
    ntex::time::sleep(time::Duration::from_secs(1)).await;
    let calls = calls(&deployment.runs().await.unwrap(), SEED);
    deployment.set_calls(&calls).await.unwrap();
    ntex::time::sleep(LENGTH).await;
    deployment.set_calls(&Calls::default()).await.unwrap();
    ntex::time::sleep(time::Duration::from_secs(2)).await;
    let runs = deployment.runs().await.unwrap();
    assert_eq!(left_workers(&runs).len(), CUT, "tasks have to start again elsewhere");
    let violations: Vec<_> = judge::violations(&runs).iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{} of {}: {violations:#?}", violations.len(), runs.len());
}
