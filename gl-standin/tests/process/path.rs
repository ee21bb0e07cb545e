use gl_standin::{caller, cluster};

use super::{INTENTS, check};

#[ntex::test]
async fn a_request_is_served_end_to_end_while_batch_work_runs() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    let plan = cluster.confirm(0, INTENTS).unwrap();
    assert!(plan.contains("18 placed"), "{plan}");
    cluster.until_serving(6, "booking").await.unwrap();
    let settings = caller::Settings { balancer: cluster.balancer.clone(), ..Default::default() };
    let counts = caller::run(settings).await;
    check(&counts, &cluster.runs().await);
    assert_eq!((counts.complete, counts.cut), (counts.sent, 0));
    let finished = || async {
        let logs = cluster.runs().await;
        logs.iter().flat_map(|log| &log.runs).filter(|run| run.done).count() == 12
    };
    cluster.until(finished).await.unwrap();
    let status = || cluster.client(1, &["status"]).unwrap();
    cluster.until(|| async { status().contains("done 12") }).await.unwrap();
    let status = status();
    assert!(status.contains("booking  service  wanted 6  running 6"), "{status}");
    assert!(status.contains("done 12"), "{status}");
}
