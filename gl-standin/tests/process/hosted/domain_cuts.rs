//! Cuts of the network between failure domains.

use std::{collections, time};

use gl_standin::fleet::{
    Size, client, deployment, judge,
    network::{Cut, Scope, State},
};
use serde_json::json;

use super::{TIMEOUT, job_path};

const DOMAINS: usize = 3;
/// Longer than an owner counts a follower that it does not hear.
const CUT: time::Duration = time::Duration::from_secs(26);
/// Time for the daemons to agree on an owner, and for it to poll all workers.
const SETTLING: time::Duration = time::Duration::from_secs(5);

/// Submits a job of nine tasks.
async fn submit(deployment: &deployment::Deployment, daemon: usize, n: u64, spec: &str) {
    let is_long_running = spec.contains("lasting");
    let phase = json!({"Count": 9, "Cpu": 500, "MemMb": 100, "LongRunning": is_long_running});
    let body = json!({"Spec": spec, "Phases": [phase]}).to_string();
    let address = deployment.address(daemon);
    let status = client::request_status(address, "POST", &job_path(n), &body).await;
    assert_eq!(status, Some(200), "job {n}");
}

/// Guards against an owner that forgets the followers of other failure domains during a long cut, and
/// starts the tasks there again at home, though another daemon owns the cell.
#[ntex::test]
async fn an_owner_cut_off_with_its_zone_for_long_starts_nothing_twice() {
    let size = Size { workers: 9, domains: DOMAINS };
    let settings = deployment::Settings { size, daemons: 2, ..deployment::Settings::default() };
    let deployment = deployment::Deployment::start(settings).await.unwrap();
    let cut_off = deployment.owner().await.unwrap() % DOMAINS;
    submit(&deployment, 0, 1, "{\"lasting\":true}").await;
    for (n, work_ms) in (2..).zip([300, 14_000, 40_000]) {
        submit(&deployment, 1, n, &json!({"work-ms": work_ms}).to_string()).await;
    }
    let path = job_path(1);
    assert!(client::wait_for_state(deployment.address(2), &path, "running", TIMEOUT).await);
    let cuts = [(Scope::Domains, State::Held), (Scope::Store, State::Refused)];
    let cuts = cuts.map(|(scope, state)| Cut { domain: cut_off, scope, state });
    deployment.set_cuts(&cuts).await.unwrap();
    ntex::time::sleep(CUT).await;
    let owner = deployment.owner().await.unwrap();
    assert_ne!(owner % DOMAINS, cut_off, "another failure domain has to take the cell over");
    deployment.set_cuts(&[]).await.unwrap();
    ntex::time::sleep(SETTLING).await;
    let runs = deployment.runs().await.unwrap();
    let domains: collections::BTreeSet<_> = runs.iter().map(|run| run.domain.as_str()).collect();
    assert_eq!(domains.len(), DOMAINS, "tasks have to run in all failure domains");
    let violations: Vec<_> = judge::violations(&runs).iter().map(ToString::to_string).collect();
    assert!(
        violations.is_empty(),
        "{} of {} runs:\n{}",
        violations.len(),
        runs.len(),
        violations.join("\n")
    );
}
