//! Claims by daemons that take seconds to load the stored state.

use std::time;

use gl_standin::{
    fleet::{
        Size, client, deployment, judge,
        network::{Cut, Scope, State},
    },
    http,
};
use serde_json::json;

use super::job_path;

const DOMAINS: usize = 3;
/// The time that a read of rows takes. The reads of a new owner take longer than the last one may order starts.
const READ_MS: u64 = 800;
/// The number of jobs that are submitted around the claim, and the interval between them.
const JOBS: u64 = 60;
const INTERVAL: time::Duration = time::Duration::from_millis(40);
/// The time within which a daemon that is cut off from the owner claims the cell: it does so only shortly after
/// its last heartbeat.
const CLAIM_TIME: time::Duration = time::Duration::from_millis(4_000);
/// The time after which the daemons agree on who may claim the cell.
const AGREEMENT: time::Duration = time::Duration::from_millis(2_500);
/// The number of attempts to have the cell claimed. A claim fails if the owner renews its lease meanwhile.
const CLAIMS: u64 = 8;

/// Guards against second runs of jobs that are accepted after a claim: the last owner refuses the connections of
/// the new one, is alive and starts them, and the new one has loaded them once the last one has noticed the
/// claim.
#[ntex::test]
async fn jobs_accepted_after_a_claim_do_not_start_again_once_they_are_loaded() {
    let size = Size { workers: 9, domains: DOMAINS };
    let settings = deployment::Settings { size, daemons: 1, ..deployment::Settings::default() };
    let deployment = deployment::Deployment::start(settings).await.unwrap();
    let owner = deployment.owner().await.unwrap();
    let url = format!("http://{}/admin/slow", deployment.store);
    http::post(&url, &READ_MS).await.unwrap();
    let domain = (owner + 1) % DOMAINS;
    let cuts = [Cut { domain, scope: Scope::Domains, state: State::Refused }];
    let mut accepted = 0;
    for attempt in 0..CLAIMS {
        deployment.set_cuts(&[]).await.unwrap();
        ntex::time::sleep(AGREEMENT).await;
        deployment.set_cuts(&cuts).await.unwrap();
        let until = time::Instant::now() + CLAIM_TIME;
        accepted = submit(&deployment, owner, attempt * JOBS).await;
        while deployment.owner().await.unwrap() != domain && time::Instant::now() < until {
            ntex::time::sleep(time::Duration::from_millis(50)).await;
        }
        if deployment.owner().await.unwrap() == domain {
            break;
        }
    }
    assert_eq!(deployment.owner().await.unwrap(), domain, "the cell has to be claimed");
    assert!(accepted > 10, "{accepted} jobs");
    ntex::time::sleep(time::Duration::from_secs(5)).await;
    deployment.set_cuts(&[]).await.unwrap();
    ntex::time::sleep(time::Duration::from_secs(2)).await;
    let violations = judge::violations(&deployment.runs().await.unwrap());
    let shown: Vec<_> = violations.iter().take(4).map(ToString::to_string).collect();
    assert!(
        violations.is_empty(),
        "{} of {accepted} jobs:\n{}",
        violations.len(),
        shown.join("\n")
    );
}

/// Submits jobs to the owner, with numbers above `after`, and returns how many were accepted.
async fn submit(deployment: &deployment::Deployment, owner: usize, after: u64) -> usize {
    let phase = json!({"Count": 3, "Cpu": 500, "MemMb": 100});
    let body = json!({"Spec": "{\"work-ms\":7000}", "Phases": [phase]}).to_string();
    let mut accepted = 0;
    for n in after + 1..=after + JOBS {
        let address = deployment.address(owner);
        let status = client::request_status(address, "POST", &job_path(n), &body).await;
        accepted += usize::from(status == Some(200));
        ntex::time::sleep(INTERVAL).await;
    }
    accepted
}
