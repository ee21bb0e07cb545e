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

use super::{TIMEOUT, job_path};

const DOMAINS: usize = 3;
/// The time that a read of rows takes. The reads of a new owner take longer than the last one may order starts.
const READ_MS: u64 = 800;
/// The number of jobs that are submitted around the claim, and the interval between them.
const JOBS: u64 = 60;
const INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Guards against second runs of jobs that are accepted after a claim: the last owner refuses the connections of
/// the new one, is alive and starts them, and the new one has loaded them once the last one has noticed the
/// claim.
#[ntex::test]
async fn jobs_accepted_after_a_claim_do_not_start_again_once_they_are_loaded() {
    let size = Size { workers: 9, domains: DOMAINS };
    let settings = deployment::Settings { size, daemons: 1, ..deployment::Settings::default() };
    let deployment = deployment::Deployment::start(settings).await.unwrap();
    let owner = deployment.owner().await.unwrap();
    // The daemons agree on who may claim the cell.
    ntex::time::sleep(time::Duration::from_millis(2_500)).await;
    let url = format!("http://{}/admin/slow", deployment.store);
    http::post(&url, &READ_MS).await.unwrap();
    let domain = (owner + 1) % DOMAINS;
    let cut = Cut { domain, scope: Scope::Domains, state: State::Refused };
    deployment.set_cuts(&[cut]).await.unwrap();
    let phase = json!({"Count": 3, "Cpu": 500, "MemMb": 100});
    let body = json!({"Spec": "{\"work-ms\":7000}", "Phases": [phase]}).to_string();
    let mut accepted = 0;
    for n in 1..=JOBS {
        let address = deployment.address(owner);
        let status = client::request_status(address, "POST", &job_path(n), &body).await;
        accepted += usize::from(status == Some(200));
        ntex::time::sleep(INTERVAL).await;
    }
    assert!(accepted > 10, "{accepted} jobs");
    let until = time::Instant::now() + TIMEOUT;
    while deployment.owner().await.unwrap() != domain {
        assert!(time::Instant::now() < until, "the cell has to be claimed");
        ntex::time::sleep(time::Duration::from_millis(50)).await;
    }
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
