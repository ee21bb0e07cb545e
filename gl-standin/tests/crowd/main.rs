//! Clients that do not behave, against the real programs as processes on loopback. Each test has a
//! small crowd and lowered limits, and checks that every process stays alive and within the memory
//! and the descriptors of its VM, and that an ordinary request is answered while the crowd stays.

#![allow(clippy::unwrap_used, reason = "tests")]

mod bodies;
mod connections;
mod jobs;
mod mesh;
mod proxy;

use std::{net, time};

use gl_standin::{
    fleet::{client, daemon, deployment},
    process,
};
use ntex::http;
use serde_json::json;

/// The limits of a daemon in these tests.
pub const LIMITS: daemon::Limits = daemon::Limits { memory_mb: 64, descriptors: 4_100 };
/// The largest body of a request, as all deployments have it.
pub const MAX_BODY_BYTES: usize = 262_144;
/// The wait for the response to an ordinary request, after which a process counts as hanging.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Keeps the tests of this program apart, as each one needs much memory and many descriptors.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Waits until no other test runs.
pub async fn run_alone() -> tokio::sync::MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

/// Starts a store, three workers and daemons with the limits of these tests.
pub async fn start(daemons: usize, limits: daemon::Limits) -> deployment::Deployment {
    let settings = deployment::Settings {
        daemons,
        limits: Some(limits),
        max_body_bytes: MAX_BODY_BYTES,
        ..deployment::Settings::default()
    };
    deployment::Deployment::start(settings).await.unwrap()
}

/// Returns the path of a job of the tests' queue.
pub fn job_path(n: usize) -> String {
    format!("/book/{n:016x}")
}

/// Returns the body of a small job.
pub fn small_job() -> String {
    json!({"Spec": "{}", "Phases": [{"Count": 1, "Cpu": 100, "MemMb": 1}]}).to_string()
}

/// The number of the job that an ordinary client submits.
const ORDINARY_JOB: usize = 0xfeed;

/// The number of times that an ordinary client repeats a request that was not carried out.
const RETRIES: usize = 4;

/// Sends a request on a connection of its own, and returns the status of the response and the time
/// after which the client may retry.
async fn send(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, Option<u64>)> {
    let request = async {
        let client = ntex::client::Client::new().await;
        let request = client
            .request(method.parse::<http::Method>().unwrap(), format!("http://{address}{path}"));
        let request = request.timeout(RESPONSE_TIMEOUT).set_header("Host", client::HOST);
        let response = request.send_body(body.to_owned()).await.ok()?;
        let retry_after = response.headers().get(http::header::RETRY_AFTER);
        let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        let status = response.status().as_u16();
        println!("ordinary {method}: {status} {:?}", response.body().await.ok());
        Some((status, retry_after))
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, request).await.ok().flatten()
}

/// Sends a request as an ordinary client does, which retries after a refusal, and returns the last
/// status; `None` without a response within [`RESPONSE_TIMEOUT`].
pub async fn status(address: net::SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let (mut status, mut retry_after) = send(address, method, path, body).await?;
    for _ in 0..RETRIES {
        if ![429, 503, 504].contains(&status) {
            break;
        }
        tokio::time::sleep(time::Duration::from_secs(retry_after.unwrap_or(1))).await;
        (status, retry_after) = send(address, method, path, body).await?;
    }
    Some(status)
}

/// Asserts that an ordinary client gets its job accepted and its state. Without a response within
/// [`RESPONSE_TIMEOUT`], the daemon counts as hanging.
pub async fn check_ordinary_request(address: net::SocketAddr) {
    let path = job_path(ORDINARY_JOB);
    let submitted = status(address, "POST", &path, &small_job()).await;
    assert_eq!(submitted, Some(200), "an ordinary job");
    assert_eq!(status(address, "GET", &path, "").await, Some(200), "the state of the job");
}

/// Asserts that the load balancer finds a daemon ready.
pub async fn check_readiness(address: net::SocketAddr) {
    assert_eq!(status(address, "GET", "/readyz", "").await, Some(200), "the readiness check");
}

/// Asserts that a process runs and has stayed within its memory and descriptors. What has arrived at
/// `ports` and was not read counts towards the memory.
pub fn check_process(process: &mut process::Process, ports: &[u16], limits: daemon::Limits) {
    assert_eq!(process.exit_code(), None, "the process must not end");
    let usage = process.resource_usage();
    let unread_kb = ports.iter().map(|port| process::unread_bytes(*port)).sum::<u64>() / 1_024;
    println!("peak {} kB, unread {unread_kb} kB, {usage:?}", usage.peak_kb);
    assert!(
        usage.peak_kb + unread_kb <= limits.memory_mb * 1_024,
        "{} kB at the peak and {unread_kb} kB unread exceed {} MB",
        usage.peak_kb,
        limits.memory_mb
    );
    assert!(usage.descriptors <= limits.descriptors, "{} descriptors", usage.descriptors);
}

/// Asserts that each daemon of a deployment runs, is ready, and has stayed within its limits.
pub async fn check_daemons(hosted: &mut deployment::Deployment, limits: daemon::Limits) {
    for daemon in &mut hosted.daemons {
        check_readiness(daemon.ready_address).await;
        let addresses = [daemon.client_address, daemon.ready_address, daemon.mesh_address];
        check_process(&mut daemon.process, &addresses.map(|a| a.port()), limits);
    }
}
