//! Shards and tasks when their owners and workers are killed, paused or cut off.

use std::time::Duration;

use gl_standin::{caller, cluster, http, platform, runs, worker};

use super::{INTENTS, calls, check, running, running_with};

async fn sleep(seconds: f64) {
    ntex::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// The daemon that owns the most shards.
fn owner(cluster: &cluster::Cluster) -> usize {
    let status = cluster.client(0, &["status"]).unwrap();
    let owned = |daemon: &str| status.matches(&format!("owned by {daemon}-")).count();
    (0..cluster.daemons.len()).max_by_key(|d| owned(&format!("entry-{d}"))).unwrap()
}

/// Each batch task finished exactly once, and no two runs of it overlapped.
async fn check_batch(cluster: &cluster::Cluster, tasks: usize) {
    let logs = cluster.runs().await;
    let all: Vec<runs::Run> = logs.iter().flat_map(|log| log.runs.clone()).collect();
    let mut done: Vec<_> = all.iter().filter(|run| run.done).map(|run| run.task.clone()).collect();
    done.sort_unstable();
    let finished = done.len();
    done.dedup();
    assert_eq!((finished, done.len()), (tasks, tasks), "tasks that finished, and distinct ones");
    let as_services: Vec<runs::Run> =
        all.into_iter().map(|run| runs::Run { serving: true, ..run }).collect();
    assert_eq!(runs::overlaps(&as_services, http::now()), Vec::new(), "in two places at once");
}

async fn until_done(cluster: &cluster::Cluster, tasks: usize) {
    let finished = || async {
        let logs = cluster.runs().await;
        logs.iter().flat_map(|log| &log.runs).filter(|run| run.done).count() >= tasks
    };
    cluster.until(finished).await.unwrap();
}

#[ntex::test]
async fn a_killed_owner_is_replaced_and_its_tasks_go_on() {
    let mut cluster = running(cluster::Settings::default()).await;
    let killed = owner(&cluster);
    cluster.daemons[killed].kill();
    cluster.unbalance(killed);
    let counts = caller::run(calls(&cluster, "owner", 5)).await;
    check(&counts, &cluster.runs().await);
    assert_eq!(counts.complete, counts.sent);
    until_done(&cluster, 12).await;
    check_batch(&cluster, 12).await;
}

#[ntex::test]
async fn a_paused_owner_writes_nothing_after_it_was_replaced() {
    let cluster = running(cluster::Settings::default()).await;
    let paused = owner(&cluster);
    cluster.unbalance(paused);
    cluster.daemons[paused].freeze();
    sleep(6.0).await;
    cluster.daemons[paused].thaw();
    let counts = caller::run(calls(&cluster, "paused", 3)).await;
    check(&counts, &cluster.runs().await);
    until_done(&cluster, 12).await;
    check_batch(&cluster, 12).await;
    cluster.until_serving(6, "booking").await.unwrap();
}

#[ntex::test]
async fn a_worker_paused_past_its_lease_runs_nothing_twice() {
    let cluster = running(cluster::Settings::default()).await;
    cluster.workers[0].freeze();
    let sending = ntex::rt::spawn(caller::run(calls(&cluster, "frozen", 8)));
    sleep(6.0).await;
    cluster.workers[0].thaw();
    let counts = sending.await.unwrap();
    cluster.until_serving(6, "booking").await.unwrap();
    check(&counts, &cluster.runs().await);
    until_done(&cluster, 12).await;
    check_batch(&cluster, 12).await;
}

#[ntex::test]
async fn a_worker_cut_off_from_its_owner_runs_nothing_twice() {
    // A batch task that finishes unheard on a lost worker runs again, so none finishes meanwhile.
    let intents = INTENTS.replace("run-s: 2", "run-s: 14");
    let cluster = running_with(cluster::Settings::default(), &intents).await;
    let address = cluster.workers[1].address();
    let mute = worker::Faults { mute: true, ..worker::Faults::default() };
    cluster.hurt_worker(address, &mute).await.unwrap();
    let counts = caller::run(calls(&cluster, "mute", 6)).await;
    cluster.hurt_worker(address, &worker::Faults::default()).await.unwrap();
    check(&counts, &cluster.runs().await);
    cluster.until_serving(6, "booking").await.unwrap();
    check(&counts, &cluster.runs().await);
    until_done(&cluster, 12).await;
    check_batch(&cluster, 12).await;
}

#[ntex::test]
async fn tasks_outlive_an_outage_of_the_store_in_the_middle_of_a_hand_over() {
    let mut cluster = running(cluster::Settings::default()).await;
    let killed = owner(&cluster);
    cluster.unbalance(killed);
    let outage = platform::Faults { outage: true, ..platform::Faults::default() };
    cluster.daemons[killed].terminate();
    cluster.hurt_platform(&outage).await.unwrap();
    sleep(5.0).await;
    cluster.daemons[killed].kill();
    cluster.hurt_platform(&platform::Faults::default()).await.unwrap();
    cluster.until_serving(6, "booking").await.unwrap();
    let counts = caller::run(calls(&cluster, "hand", 2)).await;
    check(&counts, &cluster.runs().await);
    assert_eq!(counts.complete, counts.sent);
    until_done(&cluster, 12).await;
    check_batch(&cluster, 12).await;
}

#[ntex::test]
async fn an_outage_within_the_horizon_stops_no_task() {
    let cluster = running(cluster::Settings::default()).await;
    let outage = platform::Faults { outage: true, ..platform::Faults::default() };
    cluster.hurt_platform(&outage).await.unwrap();
    sleep(8.0).await;
    let logs = cluster.runs().await;
    let stopped =
        logs.iter().flat_map(|log| &log.runs).filter(|run| run.serving && run.to.is_some());
    assert_eq!(stopped.count(), 0, "booking tasks that stopped in the outage");
    cluster.hurt_platform(&platform::Faults::default()).await.unwrap();
    until_done(&cluster, 12).await;
    check_batch(&cluster, 12).await;
}

#[ntex::test]
async fn a_worker_that_fails_everything_is_avoided() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    cluster.apply(0, super::QUICK).unwrap();
    let fail = worker::Faults { fail_all: true, ..worker::Faults::default() };
    cluster.hurt_worker(cluster.workers[0].address(), &fail).await.unwrap();
    cluster.confirm(0, super::INTENTS).unwrap();
    cluster.until_serving(6, "booking").await.unwrap();
    until_done(&cluster, 12).await;
    check_batch(&cluster, 12).await;
}

#[ntex::test]
async fn lost_answers_of_commits_neither_lose_nor_double_tasks() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    cluster.apply(0, super::QUICK).unwrap();
    let faults = platform::Faults { lose: 2, slow_ms: 20, ..platform::Faults::default() };
    cluster.hurt_platform(&faults).await.unwrap();
    cluster.confirm(0, super::INTENTS).unwrap();
    cluster.until_serving(6, "booking").await.unwrap();
    until_done(&cluster, 12).await;
    check_batch(&cluster, 12).await;
}

#[ntex::test]
async fn stand_ins_pause_and_crash_by_request() {
    let cluster = running(cluster::Settings::default()).await;
    let pause = platform::Faults { pause_ms: 3_000, ..platform::Faults::default() };
    cluster.hurt_platform(&pause).await.unwrap();
    let pause = worker::Faults { pause_ms: 4_000, ..worker::Faults::default() };
    cluster.hurt_worker(cluster.workers[0].address(), &pause).await.unwrap();
    let crash = worker::Faults { crash: true, ..worker::Faults::default() };
    cluster.hurt_worker(cluster.workers[1].address(), &crash).await.unwrap_err();
    let counts = caller::run(calls(&cluster, "crash", 3)).await;
    check(&counts, &cluster.runs().await);
    cluster.until_serving(6, "booking").await.unwrap();
}
