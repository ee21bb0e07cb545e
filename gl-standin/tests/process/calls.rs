//! What callers see when daemons, backend servers and the store fail.

use std::time::Duration;

use gl_model::vm;
use gl_standin::{caller, cluster, http, platform, worker};

use super::{calls, check, running};

async fn sleep(seconds: f64) {
    ntex::time::sleep(Duration::from_secs_f64(seconds)).await;
}

#[ntex::test]
async fn a_planned_stop_of_a_daemon_cuts_off_no_call() {
    let mut cluster = running(cluster::Settings::default()).await;
    let sending = ntex::rt::spawn(caller::run(calls(&cluster, "stop", 4)));
    sleep(0.5).await;
    cluster.daemons[0].terminate();
    sleep(0.2).await;
    cluster.unbalance(0);
    cluster.daemons[0].terminate();
    let counts = sending.await.unwrap();
    assert_eq!(cluster.daemons[0].ended(cluster::LIMIT).await, Some(0), "exit code");
    check(&counts, &cluster.runs().await);
    assert_eq!(counts.cut, 0, "cut off");
    assert_eq!(counts.complete, counts.sent);
}

#[ntex::test]
async fn a_planned_stop_in_the_middle_of_an_outage_cuts_off_no_call() {
    let mut cluster = running(cluster::Settings::default()).await;
    let outage = platform::Faults { outage: true, ..platform::Faults::default() };
    cluster.hurt_platform(&outage).await.unwrap();
    let sending = ntex::rt::spawn(caller::run(calls(&cluster, "stop-out", 3)));
    sleep(0.5).await;
    cluster.daemons[1].terminate();
    cluster.unbalance(1);
    sleep(1.0).await;
    cluster.daemons[1].terminate();
    sleep(2.0).await;
    cluster.hurt_platform(&platform::Faults::default()).await.unwrap();
    let counts = sending.await.unwrap();
    assert_eq!(cluster.daemons[1].ended(cluster::LIMIT).await, Some(0), "exit code");
    check(&counts, &cluster.runs().await);
    assert_eq!(counts.cut, 0, "cut off");
}

#[ntex::test]
async fn a_killed_daemon_loses_and_doubles_no_request() {
    let mut cluster = running(cluster::Settings::default()).await;
    let settings = caller::Settings { work_ms: 50, ..calls(&cluster, "kill", 3) };
    let sending = ntex::rt::spawn(caller::run(settings));
    sleep(1.0).await;
    cluster.daemons[0].kill();
    cluster.unbalance(0);
    let counts = sending.await.unwrap();
    check(&counts, &cluster.runs().await);
    assert!(counts.cut > 0, "the kill came in the middle of calls");
}

#[ntex::test]
async fn a_killed_worker_loses_and_doubles_no_request() {
    let mut cluster = running(cluster::Settings::default()).await;
    let settings = caller::Settings { work_ms: 50, ..calls(&cluster, "worker", 3) };
    let sending = ntex::rt::spawn(caller::run(settings));
    sleep(1.0).await;
    cluster.workers[0].kill();
    let counts = sending.await.unwrap();
    check(&counts, &cluster.runs().await);
    cluster.until_serving(6, "booking").await.unwrap();
}

#[ntex::test]
async fn truncated_late_and_mixed_up_answers_are_never_passed_on() {
    let cluster = running(cluster::Settings::default()).await;
    for (at, process) in cluster.workers.iter().enumerate() {
        let faults = match at % 3 {
            0 => worker::Faults { truncate: 5, ..worker::Faults::default() },
            1 => worker::Faults { mix_up: 7, ..worker::Faults::default() },
            _ => worker::Faults { late_ms: 60, ..worker::Faults::default() },
        };
        cluster.hurt_worker(process.address(), &faults).await.unwrap();
    }
    let settings = caller::Settings { timeout_ms: 1_000, ..calls(&cluster, "answers", 3) };
    let counts = caller::run(settings).await;
    check(&counts, &cluster.runs().await);
    assert_eq!(counts.cut, 0, "cut off");
    assert!(counts.unknown > 0, "the faults hit unrepeatable calls");
}

#[ntex::test]
async fn a_leaving_backend_server_gets_no_new_call_after_three_seconds() {
    let cluster = running(cluster::Settings::default()).await;
    let logs = cluster.runs().await;
    let serving = logs.iter().flat_map(|log| &log.runs).find(|run| run.serving).unwrap();
    let (leaving, began) = (serving.vm.clone(), http::now());
    let lag = platform::Faults { lag_ms: 1_000, ..platform::Faults::default() };
    cluster.hurt_platform(&lag).await.unwrap();
    let sending = ntex::rt::spawn(caller::run(calls(&cluster, "leave", 8)));
    sleep(1.0).await;
    for _ in 0..3 {
        cluster.list(&leaving, vm::Liveness::Leaving).await.unwrap();
        sleep(0.2).await;
        cluster.list(&leaving, vm::Liveness::Live).await.unwrap();
        sleep(0.2).await;
    }
    cluster.list(&leaving, vm::Liveness::Leaving).await.unwrap();
    let said = http::now() + gl_model::time::Span::millis(lag.lag_ms);
    let counts = sending.await.unwrap();
    let logs = cluster.runs().await;
    check(&counts, &logs);
    assert_eq!(counts.cut, 0, "cut off");
    let on_it = logs.iter().filter(|log| log.runs.iter().any(|run| run.vm == leaving));
    let requests: Vec<_> = on_it.flat_map(|log| &log.requests).map(|r| r.at).collect();
    assert!(requests.iter().any(|at| *at > began), "it had calls before");
    let limit = said + gl_model::time::Span::seconds(3);
    assert_eq!(requests.iter().filter(|at| **at > limit).count(), 0, "calls after three seconds");
}

#[ntex::test]
async fn in_an_outage_repeatable_calls_go_on_and_keyed_ones_are_refused_unrun() {
    let cluster = running(cluster::Settings::default()).await;
    let outage = platform::Faults { outage: true, ..platform::Faults::default() };
    cluster.hurt_platform(&outage).await.unwrap();
    sleep(4.0).await;
    let patience = Duration::from_secs(4);
    let settings = caller::Settings { patience, ..calls(&cluster, "out", 2) };
    let counts = caller::run(settings).await;
    check(&counts, &cluster.runs().await);
    assert_eq!(counts.complete, counts.sent / 2, "repeatable calls");
    assert_eq!(counts.not_run, counts.sent / 2, "keyed unrepeatable calls");
    cluster.hurt_platform(&platform::Faults::default()).await.unwrap();
    let counts = caller::run(calls(&cluster, "after", 1)).await;
    assert_eq!(counts.complete, counts.sent, "after the outage");
}

#[ntex::test]
async fn lost_answers_and_a_slow_store_double_nothing() {
    let cluster = running(cluster::Settings::default()).await;
    let faults = platform::Faults { lose: 3, slow_ms: 40, ..platform::Faults::default() };
    cluster.hurt_platform(&faults).await.unwrap();
    let counts = caller::run(calls(&cluster, "lossy", 3)).await;
    check(&counts, &cluster.runs().await);
    assert_eq!(counts.complete, counts.sent);
}

#[ntex::test]
async fn a_repeated_key_gets_the_first_answer_through_any_daemon() {
    let cluster = running(cluster::Settings::default()).await;
    let settings = caller::Settings { calls: 40, ..calls(&cluster, "again", 1) };
    let first = caller::run(settings.clone()).await;
    assert_eq!(first.complete, 40);
    sleep(1.0).await;
    cluster.balancer.lock().rotate_left(1);
    let second = caller::run(settings).await;
    assert_eq!(second.complete, 40);
    check(&second, &cluster.runs().await);
}

#[ntex::test]
async fn a_planned_stop_waits_for_long_calls() {
    let settings = cluster::Settings { notice_ms: 100, ..cluster::Settings::default() };
    let mut cluster = running(settings).await;
    let settings = caller::Settings {
        calls: 60,
        work_ms: 2_000,
        timeout_ms: 10_000,
        ..calls(&cluster, "long", 1)
    };
    let sending = ntex::rt::spawn(caller::run(settings));
    sleep(0.6).await;
    cluster.unbalance(2);
    cluster.daemons[2].terminate();
    let counts = sending.await.unwrap();
    assert_eq!(cluster.daemons[2].ended(cluster::LIMIT).await, Some(0), "exit code");
    check(&counts, &cluster.runs().await);
    assert_eq!((counts.cut, counts.complete), (0, counts.sent));
}

#[ntex::test]
async fn a_killed_daemons_counts_stay_in_the_burn_report() {
    let mut cluster = running(cluster::Settings::default()).await;
    let one = caller::Balancer::default();
    one.lock().push(cluster.daemons[0].address());
    let settings = caller::Settings { balancer: one, calls: 50, ..calls(&cluster, "burn", 1) };
    let counts = caller::run(settings).await;
    assert_eq!(counts.complete, 50);
    sleep(2.5).await;
    cluster.daemons[0].kill();
    let report = cluster.client(1, &["--format", "json", "burn"]).unwrap();
    let report: gl_meter::burn::Report = serde_json::from_str(&report).unwrap();
    let calls = report.services[0].windows[0].calls;
    assert!(calls >= 50, "{calls} calls");
}

/// A request whose body is cut short never reaches a backend server as if it were whole.
#[ntex::test]
async fn a_request_cut_short_by_its_caller_is_not_run() {
    use std::io::{Read as _, Write as _};
    let cluster = running(cluster::Settings::default()).await;
    let address = cluster.daemons[0].address();
    for kind in ["content-length: 40\r\n\r\ncut", "transfer-encoding: chunked\r\n\r\n3\r\ncut\r\n"]
    {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        let head = format!("POST /v1/call/booking/echo HTTP/1.1\r\nhost: x\r\n{kind}");
        stream.write_all(head.as_bytes()).unwrap();
        sleep(0.2).await;
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        sleep(0.5).await;
        let mut answer = String::new();
        stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
        let _ = stream.read_to_string(&mut answer);
        assert!(!answer.contains("geraniumlatch-outcome: complete"), "{answer}");
    }
    let logs = cluster.runs().await;
    let ran = logs.iter().flat_map(|log| &log.requests).filter(|r| r.request.starts_with("cut"));
    assert_eq!(ran.count(), 0, "cut requests that ran");
}

/// A caller that hangs up and asks again with its key gets the answer of the call that went on.
#[ntex::test]
async fn a_caller_that_hangs_up_gets_its_answer_on_its_next_try() {
    use std::io::Write as _;
    let cluster = running(cluster::Settings::default()).await;
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
    let settings = caller::Settings { balancer: other, calls: 1, ..calls(&cluster, "hang", 1) };
    let counts = caller::run(settings).await;
    check(&counts, &cluster.runs().await);
    assert_eq!(counts.complete, 1);
}
