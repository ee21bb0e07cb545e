//! Tasks while the owner of their shard, their worker or the store fails. The tests guard against
//! tasks that are lost, finish twice or run in two places at once.

use std::time::Duration;

use gl_standin::{caller, cluster, http, platform, runs, worker};

use super::{INTENTS, call_settings, check_calls, start_cluster, start_cluster_with};

async fn sleep(seconds: f64) {
    ntex::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// Returns the daemon that owns the most shards.
fn owner(cluster: &cluster::Cluster) -> usize {
    let status = cluster.run_client(0, &["status"]).unwrap();
    let owned = |daemon: &str| status.matches(&format!("owned by {daemon}-")).count();
    (0..cluster.daemons.len()).max_by_key(|d| owned(&format!("entry-{d}"))).unwrap()
}

/// Asserts that each batch task finished exactly once and that no two runs of a task overlapped.
async fn check_batch_tasks(cluster: &cluster::Cluster, tasks: usize) {
    let logs = cluster.worker_logs().await;
    let all: Vec<runs::Run> = logs.iter().flat_map(|log| log.runs.clone()).collect();
    let mut done: Vec<_> =
        all.iter().filter(|run| run.is_done).map(|run| run.task.clone()).collect();
    done.sort_unstable();
    let finished = done.len();
    done.dedup();
    assert_eq!(
        (finished, done.len()),
        (tasks, tasks),
        "finished runs, and distinct tasks among them"
    );
    let as_services: Vec<runs::Run> =
        all.into_iter().map(|run| runs::Run { is_service: true, ..run }).collect();
    assert_eq!(
        runs::overlapping_tasks(&as_services, http::now()),
        Vec::new(),
        "tasks that ran in two places at once"
    );
}

async fn wait_until_done(cluster: &cluster::Cluster, tasks: usize) {
    let is_finished = || async {
        let logs = cluster.worker_logs().await;
        logs.iter().flat_map(|log| &log.runs).filter(|run| run.is_done).count() >= tasks
    };
    cluster.wait_until(is_finished).await.unwrap();
}

#[ntex::test]
async fn killed_owner_is_replaced_and_its_tasks_continue() {
    let mut cluster = start_cluster(cluster::Settings::default()).await;
    let killed = owner(&cluster);
    cluster.daemons[killed].kill();
    cluster.remove_from_balancer(killed);
    let counts = caller::run(call_settings(&cluster, "owner", 5)).await;
    check_calls(&counts, &cluster.worker_logs().await);
    assert_eq!(counts.complete, counts.sent);
    wait_until_done(&cluster, 12).await;
    check_batch_tasks(&cluster, 12).await;
}

#[ntex::test]
async fn paused_owner_writes_nothing_after_its_replacement() {
    let cluster = start_cluster(cluster::Settings::default()).await;
    let paused = owner(&cluster);
    cluster.remove_from_balancer(paused);
    cluster.daemons[paused].pause();
    sleep(6.0).await;
    cluster.daemons[paused].resume();
    let counts = caller::run(call_settings(&cluster, "paused", 3)).await;
    check_calls(&counts, &cluster.worker_logs().await);
    wait_until_done(&cluster, 12).await;
    check_batch_tasks(&cluster, 12).await;
    cluster.wait_until_serving(6, "booking").await.unwrap();
}

#[ntex::test]
async fn worker_paused_beyond_its_lease_runs_no_task_twice() {
    let cluster = start_cluster(cluster::Settings::default()).await;
    cluster.workers[0].pause();
    let sending = ntex::rt::spawn(caller::run(call_settings(&cluster, "frozen", 8)));
    sleep(6.0).await;
    cluster.workers[0].resume();
    let counts = sending.await.unwrap();
    cluster.wait_until_serving(6, "booking").await.unwrap();
    check_calls(&counts, &cluster.worker_logs().await);
    wait_until_done(&cluster, 12).await;
    check_batch_tasks(&cluster, 12).await;
}

#[ntex::test]
async fn worker_whose_replies_are_lost_runs_no_task_twice() {
    // A batch task whose end the worker cannot report runs again. The run time is therefore longer
    // than the fault, so that no task ends while the fault lasts.
    let intents = INTENTS.replace("run-s: 2", "run-s: 14");
    let cluster = start_cluster_with(cluster::Settings::default(), &intents).await;
    let address = cluster.workers[1].address();
    let mute = worker::Faults { drops_replies: true, ..worker::Faults::default() };
    cluster.inject_worker_faults(address, &mute).await.unwrap();
    let counts = caller::run(call_settings(&cluster, "mute", 6)).await;
    cluster.inject_worker_faults(address, &worker::Faults::default()).await.unwrap();
    check_calls(&counts, &cluster.worker_logs().await);
    cluster.wait_until_serving(6, "booking").await.unwrap();
    check_calls(&counts, &cluster.worker_logs().await);
    wait_until_done(&cluster, 12).await;
    check_batch_tasks(&cluster, 12).await;
}

#[ntex::test]
async fn tasks_survive_a_store_outage_during_a_handover() {
    let mut cluster = start_cluster(cluster::Settings::default()).await;
    let killed = owner(&cluster);
    cluster.remove_from_balancer(killed);
    let outage = platform::Faults { outage: true, ..platform::Faults::default() };
    cluster.daemons[killed].terminate();
    cluster.inject_platform_faults(&outage).await.unwrap();
    sleep(5.0).await;
    cluster.daemons[killed].kill();
    cluster.inject_platform_faults(&platform::Faults::default()).await.unwrap();
    cluster.wait_until_serving(6, "booking").await.unwrap();
    let counts = caller::run(call_settings(&cluster, "hand", 2)).await;
    check_calls(&counts, &cluster.worker_logs().await);
    assert_eq!(counts.complete, counts.sent);
    wait_until_done(&cluster, 12).await;
    check_batch_tasks(&cluster, 12).await;
}

#[ntex::test]
async fn outage_within_the_horizon_stops_no_task() {
    let cluster = start_cluster(cluster::Settings::default()).await;
    let outage = platform::Faults { outage: true, ..platform::Faults::default() };
    cluster.inject_platform_faults(&outage).await.unwrap();
    sleep(8.0).await;
    let logs = cluster.worker_logs().await;
    let stopped = logs
        .iter()
        .flat_map(|log| &log.runs)
        .filter(|run| run.is_service && run.ended_at.is_some());
    assert_eq!(stopped.count(), 0, "booking tasks that stopped during the outage");
    cluster.inject_platform_faults(&platform::Faults::default()).await.unwrap();
    wait_until_done(&cluster, 12).await;
    check_batch_tasks(&cluster, 12).await;
}

#[ntex::test]
async fn worker_that_fails_all_tasks_is_avoided() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    cluster.apply_config(0, super::SHORT_LEASES).unwrap();
    let fail = worker::Faults { fail_all: true, ..worker::Faults::default() };
    cluster.inject_worker_faults(cluster.workers[0].address(), &fail).await.unwrap();
    cluster.submit_and_confirm(0, super::INTENTS).unwrap();
    cluster.wait_until_serving(6, "booking").await.unwrap();
    wait_until_done(&cluster, 12).await;
    check_batch_tasks(&cluster, 12).await;
}

#[ntex::test]
async fn lost_commit_replies_neither_lose_nor_duplicate_tasks() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    cluster.apply_config(0, super::SHORT_LEASES).unwrap();
    let faults = platform::Faults { lose_every: 2, delay_ms: 20, ..platform::Faults::default() };
    cluster.inject_platform_faults(&faults).await.unwrap();
    cluster.submit_and_confirm(0, super::INTENTS).unwrap();
    cluster.wait_until_serving(6, "booking").await.unwrap();
    wait_until_done(&cluster, 12).await;
    check_batch_tasks(&cluster, 12).await;
}

#[ntex::test]
async fn stand_ins_pause_and_crash_on_request() {
    let cluster = start_cluster(cluster::Settings::default()).await;
    let pause = platform::Faults { pause_ms: 3_000, ..platform::Faults::default() };
    cluster.inject_platform_faults(&pause).await.unwrap();
    let pause = worker::Faults { pause_ms: 4_000, ..worker::Faults::default() };
    cluster.inject_worker_faults(cluster.workers[0].address(), &pause).await.unwrap();
    let crash = worker::Faults { crash: true, ..worker::Faults::default() };
    cluster.inject_worker_faults(cluster.workers[1].address(), &crash).await.unwrap_err();
    let counts = caller::run(call_settings(&cluster, "crash", 3)).await;
    check_calls(&counts, &cluster.worker_logs().await);
    cluster.wait_until_serving(6, "booking").await.unwrap();
}
