//! A request from the caller to a backend server and back, with batch work on the same workers.

use gl_standin::{caller, cluster};

use super::{INTENTS, check_calls};

#[ntex::test]
async fn request_is_served_while_batch_work_runs() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    let plan = cluster.submit_and_confirm(0, INTENTS).unwrap();
    assert!(plan.contains("18 placed"), "{plan}");
    cluster.wait_until_serving(6, "booking").await.unwrap();
    let settings = caller::Settings { balancer: cluster.balancer.clone(), ..Default::default() };
    let counts = caller::run(settings).await;
    check_calls(&counts, &cluster.worker_logs().await);
    assert_eq!((counts.complete, counts.cut_off), (counts.sent, 0));
    let is_finished = || async {
        let logs = cluster.worker_logs().await;
        logs.iter().flat_map(|log| &log.runs).filter(|run| run.is_done).count() == 12
    };
    cluster.wait_until(is_finished).await.unwrap();
    let status = || cluster.run_client(1, &["status"]).unwrap();
    cluster.wait_until(|| async { status().contains("done 12") }).await.unwrap();
    let status = status();
    assert!(status.contains("booking  service  wanted 6  running 6"), "{status}");
    assert!(status.contains("done 12"), "{status}");
}
