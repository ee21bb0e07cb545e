//! Plans and operators.

use gl_standin::cluster;

use super::{INTENTS, calls, check};

fn plan_id(plan: &str) -> &str {
    plan.split_whitespace().nth(1).unwrap()
}

fn submit(cluster: &cluster::Cluster, daemon: usize, name: &str) -> String {
    let file = cluster
        .file(
            &format!("{name}.yaml"),
            &INTENTS.replace("booking", name).replace("reports", &format!("{name}-reports")),
        )
        .unwrap();
    cluster.client(daemon, &["submit", &file]).unwrap()
}

#[ntex::test]
async fn of_two_operators_one_wins_and_the_other_gets_a_fresh_plan() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    let first = submit(&cluster, 0, "first");
    let second = submit(&cluster, 1, "second");
    cluster.client(0, &["--yes", "confirm", plan_id(&first)]).unwrap();
    let stale = cluster.client(1, &["--yes", "confirm", plan_id(&second)]).unwrap_err();
    assert!(stale.starts_with("4 "), "exit code of stale: {stale}");
    assert!(stale.contains("stale"), "{stale}");
    let fresh = stale.split_whitespace().nth(2).unwrap();
    assert_ne!(fresh, plan_id(&second));
    cluster.client(1, &["--yes", "confirm", fresh]).unwrap();
    cluster.client(2, &["--yes", "confirm", plan_id(&first)]).unwrap();
}

#[ntex::test]
async fn nothing_changes_without_a_confirm() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    let plan = submit(&cluster, 0, "booking");
    let refused = cluster.client(0, &["confirm", plan_id(&plan)]).unwrap_err();
    assert!(refused.starts_with("5 "), "exit code off a terminal: {refused}");
    ntex::time::sleep(std::time::Duration::from_secs(2)).await;
    assert_eq!(cluster.serving().await, 0);
    assert!(!cluster.client(1, &["status"]).unwrap().contains("booking"));
}

#[ntex::test]
async fn a_cancelled_service_drains_without_cutting_off_a_call() {
    let cluster = super::running(cluster::Settings::default()).await;
    let settings = gl_standin::caller::Settings {
        patience: std::time::Duration::from_secs(3),
        ..calls(&cluster, "cancel", 3)
    };
    let sending = ntex::rt::spawn(gl_standin::caller::run(settings));
    let plan = cluster.client(0, &["cancel", "booking"]).unwrap();
    cluster.client(0, &["--yes", "confirm", plan_id(&plan)]).unwrap();
    let counts = sending.await.unwrap();
    check(&counts, &cluster.runs().await);
    assert_eq!(counts.cut, 0, "cut off");
    cluster.until(|| async { cluster.serving().await == 0 }).await.unwrap();
}

#[ntex::test]
async fn an_intent_that_no_vm_can_run_is_refused_with_the_largest_size() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    let text = INTENTS.replace("cores-milli: 8000", "cores-milli: 80000");
    let file = cluster.file("large.yaml", &text).unwrap();
    let plan = cluster.client(0, &["submit", &file]).unwrap_err();
    assert!(plan.starts_with("8 "), "exit code: {plan}");
    assert!(plan.contains("refuse  6 tasks of booking"), "{plan}");
    assert!(plan.contains("at most 64 cores, 250000 MB"), "{plan}");
}

#[ntex::test]
async fn a_drained_worker_is_emptied_without_cutting_off_a_call() {
    let cluster = super::running(cluster::Settings::default()).await;
    let logs = cluster.runs().await;
    let serving = logs.iter().flat_map(|log| &log.runs).find(|run| run.serving).unwrap();
    let vm = serving.vm.to_string();
    let sending = ntex::rt::spawn(gl_standin::caller::run(calls(&cluster, "drain", 4)));
    cluster.client(1, &["drain", "vm", &vm]).unwrap();
    let empty = || async {
        let logs = cluster.runs().await;
        let on_it = logs.iter().flat_map(|log| &log.runs).filter(|run| run.vm.as_str() == vm);
        on_it.filter(|run| run.to.is_none()).count() == 0 && cluster.serving().await == 6
    };
    cluster.until(empty).await.unwrap();
    let counts = sending.await.unwrap();
    check(&counts, &cluster.runs().await);
    assert_eq!((counts.cut, counts.complete), (0, counts.sent));
    assert!(
        cluster.client(1, &["drain", "vm", "nothing"]).unwrap_err().contains("no VM is called")
    );
    cluster.client(2, &["drain", "undo", &vm]).unwrap();
}
