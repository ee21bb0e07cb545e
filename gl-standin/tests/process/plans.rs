//! Plans, cancellations and drains by operators through the command-line client. The tests guard
//! against changes that were not confirmed and against calls that a change interrupts.

use gl_standin::cluster;

use super::{INTENTS, call_settings, check_calls};

fn plan_id(plan: &str) -> &str {
    plan.split_whitespace().nth(1).unwrap()
}

fn submit(cluster: &cluster::Cluster, daemon: usize, name: &str) -> String {
    let file = cluster
        .write_file(
            &format!("{name}.yaml"),
            &INTENTS.replace("booking", name).replace("reports", &format!("{name}-reports")),
        )
        .unwrap();
    cluster.run_client(daemon, &["submit", &file]).unwrap()
}

#[ntex::test]
async fn second_of_two_conflicting_confirmations_gets_a_fresh_plan() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    let first = submit(&cluster, 0, "first");
    let second = submit(&cluster, 1, "second");
    cluster.run_client(0, &["--yes", "confirm", plan_id(&first)]).unwrap();
    let stale = cluster.run_client(1, &["--yes", "confirm", plan_id(&second)]).unwrap_err();
    assert!(stale.starts_with("4 "), "exit code for a stale plan: {stale}");
    assert!(stale.contains("stale"), "{stale}");
    let fresh = stale.split_whitespace().nth(2).unwrap();
    assert_ne!(fresh, plan_id(&second));
    cluster.run_client(1, &["--yes", "confirm", fresh]).unwrap();
    cluster.run_client(2, &["--yes", "confirm", plan_id(&first)]).unwrap();
}

#[ntex::test]
async fn unconfirmed_plan_changes_nothing() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    let plan = submit(&cluster, 0, "booking");
    let refused = cluster.run_client(0, &["confirm", plan_id(&plan)]).unwrap_err();
    assert!(refused.starts_with("5 "), "exit code without a terminal: {refused}");
    ntex::time::sleep(std::time::Duration::from_secs(2)).await;
    assert_eq!(cluster.running_service_tasks().await, 0);
    assert!(!cluster.run_client(1, &["status"]).unwrap().contains("booking"));
}

#[ntex::test]
async fn cancelled_service_drains_without_interrupting_a_call() {
    let cluster = super::start_cluster(cluster::Settings::default()).await;
    let settings = gl_standin::caller::Settings {
        retry_timeout: std::time::Duration::from_secs(3),
        ..call_settings(&cluster, "cancel", 3)
    };
    let sending = ntex::rt::spawn(gl_standin::caller::run(settings));
    let plan = cluster.run_client(0, &["cancel", "booking"]).unwrap();
    cluster.run_client(0, &["--yes", "confirm", plan_id(&plan)]).unwrap();
    let counts = sending.await.unwrap();
    check_calls(&counts, &cluster.worker_logs().await);
    assert_eq!(counts.cut_off, 0, "connections closed during calls");
    cluster.wait_until(|| async { cluster.running_service_tasks().await == 0 }).await.unwrap();
}

#[ntex::test]
async fn intent_larger_than_every_vm_is_refused_with_the_largest_size() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    let text = INTENTS.replace("cores-milli: 8000", "cores-milli: 80000");
    let file = cluster.write_file("large.yaml", &text).unwrap();
    let plan = cluster.run_client(0, &["submit", &file]).unwrap_err();
    assert!(plan.starts_with("8 "), "exit code: {plan}");
    assert!(plan.contains("refuse  6 tasks of booking"), "{plan}");
    assert!(plan.contains("at most 64 cores, 250000 MB"), "{plan}");
}

#[ntex::test]
async fn drained_worker_is_emptied_without_interrupting_a_call() {
    let cluster = super::start_cluster(cluster::Settings::default()).await;
    let logs = cluster.worker_logs().await;
    let service_run = logs.iter().flat_map(|log| &log.runs).find(|run| run.is_service).unwrap();
    let vm = service_run.vm.to_string();
    let sending = ntex::rt::spawn(gl_standin::caller::run(call_settings(&cluster, "drain", 4)));
    cluster.run_client(1, &["drain", "vm", &vm]).unwrap();
    let is_empty = || async {
        let logs = cluster.worker_logs().await;
        let vm_runs = logs.iter().flat_map(|log| &log.runs).filter(|run| run.vm.as_str() == vm);
        vm_runs.filter(|run| run.ended_at.is_none()).count() == 0
            && cluster.running_service_tasks().await == 6
    };
    cluster.wait_until(is_empty).await.unwrap();
    let counts = sending.await.unwrap();
    check_calls(&counts, &cluster.worker_logs().await);
    assert_eq!((counts.cut_off, counts.complete), (0, counts.sent));
    assert!(
        cluster.run_client(1, &["drain", "vm", "nothing"]).unwrap_err().contains("no VM is called")
    );
    cluster.run_client(2, &["drain", "undo", &vm]).unwrap();
}
