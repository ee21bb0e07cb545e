//! Crowds at the sockets of `geraniumlatchd --config`.

use gl_standin::{cluster, crowd, fleet::daemon};

use super::{check_process, mesh, run_alone, status};

/// The limits of the smallest VM of the deployments.
const LIMITS: daemon::Limits = daemon::Limits { memory_mb: 160, descriptors: 8_192 };
/// The largest body of a call by default.
const MAX_BODY_BYTES: usize = 1 << 20;
/// The service that the callers call.
const SERVICE: &str = "
intents:
  - service:
      name: booking
      team: families
      kind: booking
      replicas: 1
      size: { cores-milli: 1000, memory-mb: 1000 }
      deadline-ms: 500
      objective: 0.99
      relief: 4
";
/// Starts a platform, three workers and a daemon, with a service that serves calls.
async fn start() -> cluster::Cluster {
    let settings = cluster::Settings {
        domains: vec!["north".to_owned()],
        processes: 1,
        daemons: 1,
        ..cluster::Settings::default()
    };
    let cluster = cluster::Cluster::start(settings).await.unwrap();
    cluster.submit_and_confirm(0, SERVICE).unwrap();
    cluster.wait_until_serving(1, "booking").await.unwrap();
    cluster
}

/// Asserts that an ordinary call is served, and that the daemon runs within its limits.
async fn check_daemon(cluster: &mut cluster::Cluster) {
    let path = "/v1/call/booking/echo?work_ms=1";
    let status = status(cluster.daemons[0].address(), "POST", path, "ordinary").await;
    assert_eq!(status, Some(200), "an ordinary call");
    let ports = cluster.daemons[0].addresses.clone();
    let ports: Vec<u16> = ports.iter().map(|address| address.port()).collect();
    check_process(&mut cluster.daemons[0], &ports, LIMITS);
}

/// Starts a daemon, lets a crowd send its messages, and checks that the daemon bears it.
async fn check_crowd(messages: Vec<crowd::Message>) {
    let _alone = run_alone().await;
    let mut cluster = start().await;
    let crowd = crowd::Crowd::start(cluster.daemons[0].address(), messages).await;
    check_daemon(&mut cluster).await;
    drop(crowd);
}

#[ntex::test]
async fn calls_that_lack_their_last_byte() {
    let message = crowd::unfinished_request("/v1/call/booking/echo", MAX_BODY_BYTES);
    check_crowd(vec![message; 250]).await;
}

#[ntex::test]
async fn calls_of_a_service_that_does_not_exist() {
    let message = crowd::unfinished_request("/v1/call/other/echo", MAX_BODY_BYTES);
    check_crowd(vec![message; 250]).await;
}

#[ntex::test]
async fn whole_calls_at_once() {
    let message = crowd::whole_request(
        "/v1/call/booking/echo?work_ms=200",
        &crowd::padded("large", MAX_BODY_BYTES),
    );
    check_crowd(vec![message; 250]).await;
}

#[ntex::test]
async fn calls_whose_responses_are_not_read() {
    let _alone = run_alone().await;
    let mut cluster = start().await;
    let message = crowd::whole_request(
        "/v1/call/booking/echo?work_ms=1",
        &crowd::padded("large", MAX_BODY_BYTES),
    );
    let address = cluster.daemons[0].address();
    let settings = crowd::Settings { is_deaf: true, ..crowd::Settings::default() };
    let crowd = crowd::Crowd::start_with(address, vec![message; 250], settings).await;
    check_daemon(&mut cluster).await;
    drop(crowd);
}

#[ntex::test]
async fn requests_of_operators_without_the_key() {
    let message = crowd::unfinished_request("/v1/config", 256 << 10);
    check_crowd(vec![message; 800]).await;
}

#[ntex::test]
async fn heads_of_calls_without_an_end() {
    let message = crowd::unfinished_head("/v1/call/booking/echo", 60_000);
    check_crowd(vec![message; 2_000]).await;
}

#[ntex::test]
async fn messages_of_other_daemons_that_lack_their_last_byte() {
    let _alone = run_alone().await;
    let mut cluster = start().await;
    let crowd = mesh::start_crowd(cluster.daemons[0].addresses[1], 20, 16 << 20).await;
    check_daemon(&mut cluster).await;
    drop(crowd);
}

#[ntex::test]
async fn large_responses_that_are_not_read() {
    let _alone = run_alone().await;
    let mut cluster = start().await;
    let path = "/v1/call/booking/echo?work_ms=1&answer_bytes=8000000";
    let message = crowd::whole_request(path, "small");
    let address = cluster.daemons[0].address();
    let settings = crowd::Settings { is_deaf: true, ..crowd::Settings::default() };
    let crowd = crowd::Crowd::start_with(address, vec![message; 60], settings).await;
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    check_daemon(&mut cluster).await;
    drop(crowd);
}

/// The metrics are rendered anew for each request, which takes long.
#[ntex::test]
async fn pipelined_requests_for_the_metrics() {
    let message = crowd::pipelined_requests("/metrics", 2_000);
    check_crowd(vec![message; 200]).await;
}
