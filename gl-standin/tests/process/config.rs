//! The shared configuration. The tests guard against a configuration that is not in force on every
//! daemon or that is lost after it was accepted.

use std::time::Duration;

use gl_standin::{cluster, platform};

use super::SHORT_LEASES;

/// Returns a configuration with the given number of attempts, to tell it from others.
fn numbered(attempts: u32) -> String {
    SHORT_LEASES.replace("backoff-ms: 100", &format!("attempts: {attempts}, backoff-ms: 100"))
}

fn attempts(cluster: &cluster::Cluster, daemon: usize) -> String {
    let shown = cluster.run_client(daemon, &["config", "show"]).unwrap();
    shown.lines().find(|line| line.contains("attempts")).unwrap().trim().to_owned()
}

#[ntex::test]
async fn accepted_configuration_is_in_force_on_every_daemon() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    let output = cluster.apply_config(1, &numbered(9)).unwrap();
    assert!(output.contains("in force on 3 of 3 daemons"), "{output}");
    for daemon in 0..3 {
        assert_eq!(attempts(&cluster, daemon), "\"attempts\": 9,");
    }
}

#[ntex::test]
async fn daemon_replaced_during_an_outage_adopts_the_newest_configuration_of_its_peers() {
    let mut cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    cluster.apply_config(0, &numbered(8)).unwrap();
    cluster.apply_config(1, &numbered(9)).unwrap();
    let outage = platform::Faults { outage: true, ..platform::Faults::default() };
    cluster.inject_platform_faults(&outage).await.unwrap();
    cluster.daemons[0].kill();
    cluster.remove_from_balancer(0);
    cluster.add_daemon().await.unwrap();
    assert_eq!(attempts(&cluster, 3), "\"attempts\": 9,");
    cluster.inject_platform_faults(&platform::Faults::default()).await.unwrap();
    ntex::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(attempts(&cluster, 3), "\"attempts\": 9,");
}

#[ntex::test]
async fn each_configuration_is_accepted_once_despite_lost_replies() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    let faults = platform::Faults { lose_every: 2, ..platform::Faults::default() };
    cluster.inject_platform_faults(&faults).await.unwrap();
    let mut accepted = 0;
    for round in 0..6 {
        let daemon = round % 3;
        if cluster.apply_config(daemon, &numbered(10 + round as u32)).is_ok() {
            accepted += 1;
        }
    }
    cluster.inject_platform_faults(&platform::Faults::default()).await.unwrap();
    let history = cluster.run_client(0, &["config", "history"]).unwrap();
    assert_eq!(
        history.lines().count(),
        accepted,
        "each configuration must be in the history once: {history}"
    );
    assert_eq!(accepted, 6);
    for daemon in 0..3 {
        assert_eq!(attempts(&cluster, daemon), "\"attempts\": 15,");
    }
}
