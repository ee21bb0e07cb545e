//! Many legal jobs that cannot start, so that the owner keeps them.

use gl_standin::{
    crowd,
    fleet::{client, deployment},
    http,
};
use serde_json::json;

use super::{LIMITS, check_daemons, check_ordinary_request, job_path, run_alone, start};

/// Returns the body of a job of 46 KB that no worker can run.
fn large_job() -> String {
    let phase = |_| {
        let after: Vec<u32> = Vec::new();
        json!({
            "Count": 1, "Cpu": 500, "MemMb": 64, "EstimateMs": 900, "After": after,
            "Requirements": "r".repeat(300), "DataRack": "d".repeat(300), "Image": "i".repeat(100)
        })
    };
    let phases: Vec<_> = (0..55).map(phase).collect();
    json!({"Spec": "s".repeat(3_900), "Phases": phases}).to_string()
}

/// Submits jobs through one daemon, each connection four of them, one after the other.
async fn submit(hosted: &deployment::Deployment, daemon: usize, connections: usize) {
    let body = large_job();
    let address = hosted.address(daemon);
    let submit = |n: usize| {
        let body = body.clone();
        tokio::task::spawn_local(async move {
            let client = client::Client::new().await;
            for job in 0..4 {
                client.send(address, "POST", &job_path(n * 4 + job), &body).await;
            }
        })
    };
    let tasks: Vec<_> = (0..connections).map(submit).collect();
    for task in tasks {
        let _ = task.await;
    }
}

#[ntex::test]
async fn accepted_jobs_at_the_owner_and_after_its_end() {
    let _alone = run_alone().await;
    let mut hosted = start(1, LIMITS).await;
    submit(&hosted, 0, 250).await;
    check_ordinary_request(hosted.address(0)).await;
    check_daemons(&mut hosted, LIMITS).await;
    hosted.daemons[0].process.kill();
    hosted.daemons[0].restart().unwrap();
    hosted.daemons[0].wait_until_ready().await.unwrap();
    let path = job_path(0xfeed);
    assert!(client::wait_for_state(hosted.address(0), &path, "complete", TAKEOVER_TIMEOUT).await);
    check_daemons(&mut hosted, LIMITS).await;
}

/// The wait for a job that a new owner has to take over.
const TAKEOVER_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

#[ntex::test]
async fn accepted_jobs_through_a_daemon_that_is_not_the_owner() {
    let _alone = run_alone().await;
    let mut hosted = start(2, LIMITS).await;
    let follower = 1 - hosted.owner().await.unwrap();
    submit(&hosted, follower, 300).await;
    check_ordinary_request(hosted.address(follower)).await;
    check_daemons(&mut hosted, LIMITS).await;
}

#[ntex::test]
async fn jobs_that_wait_for_a_slow_store() {
    let _alone = run_alone().await;
    let mut hosted = start(2, LIMITS).await;
    let follower = 1 - hosted.owner().await.unwrap();
    http::post(&format!("http://{}/admin/slow-writes", hosted.store), &400).await.unwrap();
    let body = large_job();
    let messages = (0..1_000).map(|n| crowd::whole_request(&job_path(n), &body)).collect();
    let crowd = crowd::Crowd::start(hosted.address(follower), messages).await;
    http::post(&format!("http://{}/admin/slow-writes", hosted.store), &0).await.unwrap();
    check_ordinary_request(hosted.address(follower)).await;
    check_daemons(&mut hosted, LIMITS).await;
    drop(crowd);
}
