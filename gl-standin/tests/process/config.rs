//! The shared configuration: in force everywhere, and never reverted.

use std::time::Duration;

use gl_standin::{cluster, platform};

use super::QUICK;

/// A configuration that differs from others in one number.
fn numbered(attempts: u32) -> String {
    QUICK.replace("backoff-ms: 100", &format!("attempts: {attempts}, backoff-ms: 100"))
}

fn attempts(cluster: &cluster::Cluster, daemon: usize) -> String {
    let shown = cluster.client(daemon, &["config", "show"]).unwrap();
    shown.lines().find(|line| line.contains("attempts")).unwrap().trim().to_owned()
}

#[ntex::test]
async fn an_accepted_configuration_is_in_force_on_every_daemon() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    let said = cluster.apply(1, &numbered(9)).unwrap();
    assert!(said.contains("in force on 3 of 3 daemons"), "{said}");
    for daemon in 0..3 {
        assert_eq!(attempts(&cluster, daemon), "\"attempts\": 9,");
    }
}

#[ntex::test]
async fn a_daemon_replaced_in_an_outage_takes_the_highest_configuration_of_its_peers() {
    let mut cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    cluster.apply(0, &numbered(8)).unwrap();
    cluster.apply(1, &numbered(9)).unwrap();
    let outage = platform::Faults { outage: true, ..platform::Faults::default() };
    cluster.hurt_platform(&outage).await.unwrap();
    cluster.daemons[0].kill();
    cluster.unbalance(0);
    cluster.add_daemon().await.unwrap();
    assert_eq!(attempts(&cluster, 3), "\"attempts\": 9,");
    cluster.hurt_platform(&platform::Faults::default()).await.unwrap();
    ntex::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(attempts(&cluster, 3), "\"attempts\": 9,");
}

#[ntex::test]
async fn of_two_racing_operators_none_is_reverted_silently() {
    let cluster = cluster::Cluster::start(cluster::Settings::default()).await.unwrap();
    let faults = platform::Faults { lose: 2, ..platform::Faults::default() };
    cluster.hurt_platform(&faults).await.unwrap();
    let mut accepted = 0;
    for round in 0..6 {
        let daemon = round % 3;
        if cluster.apply(daemon, &numbered(10 + round as u32)).is_ok() {
            accepted += 1;
        }
    }
    cluster.hurt_platform(&platform::Faults::default()).await.unwrap();
    let history = cluster.client(0, &["config", "history"]).unwrap();
    assert_eq!(history.lines().count(), accepted, "accepted once each: {history}");
    assert_eq!(accepted, 6);
    for daemon in 0..3 {
        assert_eq!(attempts(&cluster, daemon), "\"attempts\": 15,");
    }
}
