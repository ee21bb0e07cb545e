//! Many connections that occupy a socket, whatever they send.

use std::net;

use gl_standin::{crowd, fleet::daemon};

use super::{
    LIMITS, MAX_BODY_BYTES, check_daemons, check_ordinary_request, job_path, run_alone, start,
};

/// Limits with descriptors for about a hundred clients.
const FEW_DESCRIPTORS: daemon::Limits = daemon::Limits { descriptors: 700, ..LIMITS };

/// Starts one daemon, lets a crowd send its messages to one of its sockets, and checks that the
/// daemon bears it.
async fn check_crowd(
    limits: daemon::Limits,
    socket: impl Fn(&daemon::Daemon) -> net::SocketAddr,
    messages: Vec<crowd::Message>,
) {
    let _alone = run_alone().await;
    let mut hosted = start(1, limits).await;
    let crowd = crowd::Crowd::start(socket(&hosted.daemons[0]), messages).await;
    check_ordinary_request(hosted.address(0)).await;
    check_daemons(&mut hosted, limits).await;
    drop(crowd);
}

#[ntex::test]
async fn heads_without_an_end() {
    let message = crowd::unfinished_head(&job_path(1), 60_000);
    check_crowd(LIMITS, |daemon| daemon.client_address, vec![message; 800]).await;
}

#[ntex::test]
async fn more_unfinished_requests_than_connections() {
    let message = crowd::unfinished_request(&job_path(1), 100);
    check_crowd(FEW_DESCRIPTORS, |daemon| daemon.client_address, vec![message; 300]).await;
}

#[ntex::test]
async fn more_idle_connections_than_permitted() {
    let message = crowd::pipelined_requests(&job_path(1), 1);
    check_crowd(FEW_DESCRIPTORS, |daemon| daemon.client_address, vec![message; 300]).await;
}

#[ntex::test]
async fn unfinished_bodies_at_the_address_of_the_readiness_check() {
    let message = crowd::unfinished_request(&job_path(1), MAX_BODY_BYTES);
    check_crowd(LIMITS, |daemon| daemon.ready_address, vec![message; 300]).await;
}

#[ntex::test]
async fn unfinished_bodies_at_the_address_of_the_metrics() {
    let message = crowd::unfinished_request(&job_path(1), MAX_BODY_BYTES);
    let metrics = |daemon: &daemon::Daemon| {
        net::SocketAddr::new(daemon.mesh_address.ip(), daemon.mesh_address.port() + 1)
    };
    check_crowd(LIMITS, metrics, vec![message; 300]).await;
}

/// The metrics are rendered anew for each request, which takes long.
#[ntex::test]
async fn pipelined_requests_for_the_metrics() {
    let message = crowd::pipelined_requests("/metrics", 2_000);
    check_crowd(LIMITS, |daemon| daemon.client_address, vec![message; 200]).await;
}

#[ntex::test]
async fn pipelined_requests_whose_responses_are_not_read() {
    let _alone = run_alone().await;
    let mut hosted = start(1, LIMITS).await;
    let message = crowd::pipelined_requests("/metrics", 2_000);
    let settings = crowd::Settings { is_deaf: true, ..crowd::Settings::default() };
    let messages = vec![message; 200];
    let crowd = crowd::Crowd::start_with(hosted.address(0), messages, settings).await;
    check_ordinary_request(hosted.address(0)).await;
    check_daemons(&mut hosted, LIMITS).await;
    drop(crowd);
}

#[ntex::test]
async fn head_that_is_too_large_is_refused_with_the_remedy() {
    let _alone = run_alone().await;
    let hosted = start(1, LIMITS).await;
    let message = crowd::unfinished_head(&job_path(1), 12_000);
    let crowd = crowd::Crowd::start(hosted.address(0), vec![message; 20]).await;
    assert_eq!(crowd.count(431), 20, "refusals");
}

/// What has arrived and was not read counts towards the memory of the VM.
#[ntex::test]
async fn requests_that_arrive_faster_than_they_are_carried_out() {
    let path = format!("/book/{}", "x".repeat(2_000));
    let message = crowd::pipelined_requests(&path, 150);
    check_crowd(LIMITS, |daemon| daemon.client_address, vec![message; 500]).await;
}

/// An owner that does not know a job has its rows read in the store, each time on a connection.
#[ntex::test]
async fn queries_of_jobs_that_do_not_exist() {
    let _alone = run_alone().await;
    let mut hosted = start(1, LIMITS).await;
    let message = crowd::pipelined_requests(&job_path(1), 100);
    let crowd = crowd::Crowd::start(hosted.address(0), vec![message; 500]).await;
    check_ordinary_request(hosted.address(0)).await;
    check_daemons(&mut hosted, LIMITS).await;
    // The crowd's own, and those that the division of the descriptors has for the store and daemons.
    let usage = hosted.daemons[0].process.resource_usage();
    assert!(usage.descriptors <= 500 + 300, "{} descriptors", usage.descriptors);
    drop(crowd);
}
