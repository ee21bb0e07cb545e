//! Calls while daemons, workers, the store or the callers themselves fail. The tests guard against
//! requests that are lost, run twice, or get a response that is not theirs.

use std::time::Duration;

use gl_model::vm;
use gl_standin::{caller, cluster, http, platform, worker};

use super::{call_settings, check_calls, start_cluster};

async fn sleep(seconds: f64) {
    ntex::time::sleep(Duration::from_secs_f64(seconds)).await;
}

#[ntex::test]
async fn graceful_daemon_stop_interrupts_no_call() {
    let mut cluster = start_cluster(cluster::Settings::default()).await;
    let sending = ntex::rt::spawn(caller::run(call_settings(&cluster, "stop", 4)));
    sleep(0.5).await;
    cluster.daemons[0].terminate();
    sleep(0.2).await;
    cluster.remove_from_balancer(0);
    cluster.daemons[0].terminate();
    let counts = sending.await.unwrap();
    assert_eq!(cluster.daemons[0].wait_for_exit(cluster::WAIT_TIMEOUT).await, Some(0), "exit code");
    check_calls(&counts, &cluster.worker_logs().await);
    assert_eq!(counts.cut_off, 0, "connections closed during calls");
    assert_eq!(counts.complete, counts.sent);
}

#[ntex::test]
async fn graceful_daemon_stop_during_an_outage_interrupts_no_call() {
    let mut cluster = start_cluster(cluster::Settings::default()).await;
    let outage = platform::Faults { outage: true, ..platform::Faults::default() };
    cluster.inject_platform_faults(&outage).await.unwrap();
    let sending = ntex::rt::spawn(caller::run(call_settings(&cluster, "stop-out", 3)));
    sleep(0.5).await;
    cluster.daemons[1].terminate();
    cluster.remove_from_balancer(1);
    sleep(1.0).await;
    cluster.daemons[1].terminate();
    sleep(2.0).await;
    cluster.inject_platform_faults(&platform::Faults::default()).await.unwrap();
    let counts = sending.await.unwrap();
    assert_eq!(cluster.daemons[1].wait_for_exit(cluster::WAIT_TIMEOUT).await, Some(0), "exit code");
    check_calls(&counts, &cluster.worker_logs().await);
    assert_eq!(counts.cut_off, 0, "connections closed during calls");
}

#[ntex::test]
async fn killed_daemon_loses_and_duplicates_no_request() {
    let mut cluster = start_cluster(cluster::Settings::default()).await;
    let settings = caller::Settings { work_ms: 50, ..call_settings(&cluster, "kill", 3) };
    let sending = ntex::rt::spawn(caller::run(settings));
    sleep(1.0).await;
    cluster.daemons[0].kill();
    cluster.remove_from_balancer(0);
    let counts = sending.await.unwrap();
    check_calls(&counts, &cluster.worker_logs().await);
    assert!(counts.cut_off > 0, "the kill must interrupt calls");
}

#[ntex::test]
async fn killed_worker_loses_and_duplicates_no_request() {
    let mut cluster = start_cluster(cluster::Settings::default()).await;
    let settings = caller::Settings { work_ms: 50, ..call_settings(&cluster, "worker", 3) };
    let sending = ntex::rt::spawn(caller::run(settings));
    sleep(1.0).await;
    cluster.workers[0].kill();
    let counts = sending.await.unwrap();
    check_calls(&counts, &cluster.worker_logs().await);
    cluster.wait_until_serving(6, "booking").await.unwrap();
}

#[ntex::test]
async fn truncated_late_and_mixed_up_responses_are_never_forwarded() {
    let cluster = start_cluster(cluster::Settings::default()).await;
    for (index, process) in cluster.workers.iter().enumerate() {
        let faults = match index % 3 {
            0 => worker::Faults { truncate_every: 5, ..worker::Faults::default() },
            1 => worker::Faults { mix_up_every: 7, ..worker::Faults::default() },
            _ => worker::Faults { delay_ms: 60, ..worker::Faults::default() },
        };
        cluster.inject_worker_faults(process.address(), &faults).await.unwrap();
    }
    let settings = caller::Settings { timeout_ms: 1_000, ..call_settings(&cluster, "answers", 3) };
    let counts = caller::run(settings).await;
    check_calls(&counts, &cluster.worker_logs().await);
    assert_eq!(counts.cut_off, 0, "connections closed during calls");
    assert!(counts.unknown > 0, "the faults must affect unrepeatable calls");
}

#[ntex::test]
async fn draining_backend_server_gets_no_new_call_after_three_seconds() {
    let cluster = start_cluster(cluster::Settings::default()).await;
    let logs = cluster.worker_logs().await;
    let service_run = logs.iter().flat_map(|log| &log.runs).find(|run| run.is_service).unwrap();
    let (draining_vm, started) = (service_run.vm.clone(), http::now());
    let lag = platform::Faults { lag_ms: 1_000, ..platform::Faults::default() };
    cluster.inject_platform_faults(&lag).await.unwrap();
    let sending = ntex::rt::spawn(caller::run(call_settings(&cluster, "leave", 8)));
    sleep(1.0).await;
    for _ in 0..3 {
        cluster.set_liveness(&draining_vm, vm::Liveness::Leaving).await.unwrap();
        sleep(0.2).await;
        cluster.set_liveness(&draining_vm, vm::Liveness::Live).await.unwrap();
        sleep(0.2).await;
    }
    cluster.set_liveness(&draining_vm, vm::Liveness::Leaving).await.unwrap();
    let drained_at = http::now() + gl_model::time::Span::millis(lag.lag_ms);
    let counts = sending.await.unwrap();
    let logs = cluster.worker_logs().await;
    check_calls(&counts, &logs);
    assert_eq!(counts.cut_off, 0, "connections closed during calls");
    let vm_logs = logs.iter().filter(|log| log.runs.iter().any(|run| run.vm == draining_vm));
    let requests: Vec<_> = vm_logs.flat_map(|log| &log.requests).map(|r| r.started_at).collect();
    assert!(requests.iter().any(|at| *at > started), "the VM must have had calls before");
    let limit = drained_at + gl_model::time::Span::seconds(3);
    assert_eq!(requests.iter().filter(|at| **at > limit).count(), 0, "calls after three seconds");
}

#[ntex::test]
async fn outage_allows_repeatable_calls_and_refuses_keyed_ones_before_they_run() {
    let cluster = start_cluster(cluster::Settings::default()).await;
    let outage = platform::Faults { outage: true, ..platform::Faults::default() };
    cluster.inject_platform_faults(&outage).await.unwrap();
    sleep(4.0).await;
    let retry_timeout = Duration::from_secs(4);
    let settings = caller::Settings { retry_timeout, ..call_settings(&cluster, "out", 2) };
    let counts = caller::run(settings).await;
    check_calls(&counts, &cluster.worker_logs().await);
    assert_eq!(counts.complete, counts.sent / 2, "completed repeatable calls");
    assert_eq!(counts.not_run, counts.sent / 2, "refused unrepeatable calls with a key");
    cluster.inject_platform_faults(&platform::Faults::default()).await.unwrap();
    let counts = caller::run(call_settings(&cluster, "after", 1)).await;
    assert_eq!(counts.complete, counts.sent, "completed calls after the outage");
}

#[ntex::test]
async fn lost_replies_and_slow_store_duplicate_no_request() {
    let cluster = start_cluster(cluster::Settings::default()).await;
    let faults = platform::Faults { lose_every: 3, delay_ms: 40, ..platform::Faults::default() };
    cluster.inject_platform_faults(&faults).await.unwrap();
    let counts = caller::run(call_settings(&cluster, "lossy", 3)).await;
    check_calls(&counts, &cluster.worker_logs().await);
    assert_eq!(counts.complete, counts.sent);
}

#[ntex::test]
async fn repeated_key_gets_the_first_response_through_any_daemon() {
    let cluster = start_cluster(cluster::Settings::default()).await;
    let settings = caller::Settings { calls: 40, ..call_settings(&cluster, "again", 1) };
    let first = caller::run(settings.clone()).await;
    assert_eq!(first.complete, 40);
    sleep(1.0).await;
    cluster.balancer.lock().rotate_left(1);
    let second = caller::run(settings).await;
    assert_eq!(second.complete, 40);
    check_calls(&second, &cluster.worker_logs().await);
}

#[ntex::test]
async fn graceful_daemon_stop_waits_for_long_calls() {
    let settings = cluster::Settings { notice_ms: 100, ..cluster::Settings::default() };
    let mut cluster = start_cluster(settings).await;
    let settings = caller::Settings {
        calls: 60,
        work_ms: 2_000,
        timeout_ms: 10_000,
        ..call_settings(&cluster, "long", 1)
    };
    let sending = ntex::rt::spawn(caller::run(settings));
    sleep(0.6).await;
    cluster.remove_from_balancer(2);
    cluster.daemons[2].terminate();
    let counts = sending.await.unwrap();
    assert_eq!(cluster.daemons[2].wait_for_exit(cluster::WAIT_TIMEOUT).await, Some(0), "exit code");
    check_calls(&counts, &cluster.worker_logs().await);
    assert_eq!((counts.cut_off, counts.complete), (0, counts.sent));
}

#[ntex::test]
async fn burn_report_keeps_the_counts_of_a_killed_daemon() {
    let mut cluster = start_cluster(cluster::Settings::default()).await;
    let one = caller::Balancer::default();
    one.lock().push(cluster.daemons[0].address());
    let settings =
        caller::Settings { balancer: one, calls: 50, ..call_settings(&cluster, "burn", 1) };
    let counts = caller::run(settings).await;
    assert_eq!(counts.complete, 50);
    sleep(2.5).await;
    cluster.daemons[0].kill();
    let report = cluster.run_client(1, &["--format", "json", "burn"]).unwrap();
    let report: gl_meter::burn::Report = serde_json::from_str(&report).unwrap();
    let calls = report.services[0].windows[0].calls;
    assert!(calls >= 50, "{calls} calls");
}

/// A request with a truncated body must not reach a backend server as if it were complete.
#[ntex::test]
async fn request_truncated_by_its_caller_is_not_run() {
    use std::io::{Read as _, Write as _};
    let cluster = start_cluster(cluster::Settings::default()).await;
    let address = cluster.daemons[0].address();
    for framing in
        ["content-length: 40\r\n\r\ncut", "transfer-encoding: chunked\r\n\r\n3\r\ncut\r\n"]
    {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        let head = format!("POST /v1/call/booking/echo HTTP/1.1\r\nhost: x\r\n{framing}");
        stream.write_all(head.as_bytes()).unwrap();
        sleep(0.2).await;
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        sleep(0.5).await;
        let mut response = String::new();
        stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
        let _ = stream.read_to_string(&mut response);
        assert!(!response.contains("geraniumlatch-outcome: complete"), "{response}");
    }
    let logs = cluster.worker_logs().await;
    let ran = logs.iter().flat_map(|log| &log.requests).filter(|r| r.id.starts_with("cut"));
    assert_eq!(ran.count(), 0, "truncated requests that ran");
}

/// A call continues when its caller disconnects, and a retry with the same key gets the response.
#[ntex::test]
async fn disconnected_caller_gets_its_response_on_the_next_attempt() {
    use std::io::Write as _;
    let cluster = start_cluster(cluster::Settings::default()).await;
    let address = cluster.daemons[0].address();
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    let call = "POST /v1/call/booking/echo?work_ms=600 HTTP/1.1\r\nhost: x\r\n\
                geraniumlatch-repeat: never\r\nidempotency-key: hang-0\r\n\
                content-length: 6\r\n\r\nhang-0";
    stream.write_all(call.as_bytes()).unwrap();
    sleep(0.3).await;
    drop(stream);
    sleep(1.5).await;
    let other = caller::Balancer::default();
    other.lock().push(cluster.daemons[1].address());
    let settings =
        caller::Settings { balancer: other, calls: 1, ..call_settings(&cluster, "hang", 1) };
    let counts = caller::run(settings).await;
    check_calls(&counts, &cluster.worker_logs().await);
    assert_eq!(counts.complete, 1);
}
