//! Settings, cluster set-up and checks that the tests share.

mod calls;
mod config;
mod end_to_end;
mod hosted;
mod judge;
mod network;
mod plans;
mod ports;
mod shards;
mod workers;

use gl_standin::{caller, cluster, http, runs};

/// The intents of most tests: a booking service and a batch job.
pub const INTENTS: &str = "
intents:
  - service:
      name: booking
      team: families
      kind: booking
      replicas: 6
      size: { cores-milli: 8000, memory-mb: 16000 }
      deadline-ms: 500
      objective: 0.99
      relief: 4
  - batch:
      name: reports
      team: office
      kind: report
      tasks: 12
      size: { cores-milli: 4000, memory-mb: 8000 }
      run-s: 2
";

/// The shared configuration of most tests, with short leases.
pub const SHORT_LEASES: &str = "
leases: { shard-ms: 2000, worker-ms: 2000, horizon-ms: 30000, margin-ms: 200 }
repair: { backoff-ms: 100, backoff-max-ms: 1000, quarantine-ms: 2000 }
";

/// Starts a cluster with short leases and waits until the booking tasks of [`INTENTS`] run.
pub async fn start_cluster(settings: cluster::Settings) -> cluster::Cluster {
    start_cluster_with(settings, INTENTS).await
}

/// Starts a cluster with short leases and waits until six booking tasks of `intents` run.
pub async fn start_cluster_with(settings: cluster::Settings, intents: &str) -> cluster::Cluster {
    let cluster = cluster::Cluster::start(settings).await.unwrap();
    cluster.apply_config(0, SHORT_LEASES).unwrap();
    cluster.submit_and_confirm(0, intents).unwrap();
    cluster.wait_until_serving(6, "booking").await.unwrap();
    cluster
}

/// Returns the settings of a caller that sends 200 calls per second for some seconds.
pub fn call_settings(cluster: &cluster::Cluster, prefix: &str, seconds: u32) -> caller::Settings {
    caller::Settings {
        balancer: cluster.balancer.clone(),
        prefix: prefix.to_owned(),
        calls: seconds * 200,
        ..caller::Settings::default()
    }
}

/// Asserts that every request has exactly one outcome and got no other request's response, that no
/// unrepeatable request ran twice, that no request that was reported not to have run did, and that
/// no task ran in two places or after its end.
pub fn check_calls(counts: &caller::Counts, logs: &[runs::Log]) {
    println!("{counts:?}");
    assert_eq!(counts.lost, 0, "requests without an outcome");
    assert_eq!(counts.mixed_up, 0, "responses to other requests");
    let ended = counts.complete + counts.not_run + counts.unknown;
    assert_eq!(ended, counts.sent, "every request must have one outcome");
    let duplicates = runs::duplicates(logs).into_iter().filter(|id| is_unrepeatable(id));
    assert_eq!(
        duplicates.collect::<Vec<_>>(),
        Vec::<String>::new(),
        "unrepeatable requests that ran twice"
    );
    let late: Vec<String> = logs.iter().flat_map(runs::requests_after_stop).collect();
    assert_eq!(late, Vec::<String>::new(), "requests run by a stopped task");
    let all: Vec<runs::Run> = logs.iter().flat_map(|log| log.runs.clone()).collect();
    assert_eq!(
        runs::overlapping_tasks(&all, http::now()),
        Vec::new(),
        "tasks that ran in two places at once"
    );
    let ran = |id: &&String| logs.iter().any(|l| l.requests.iter().any(|r| r.id == **id));
    let misreported: Vec<&String> = counts.unexecuted.iter().filter(ran).collect();
    assert_eq!(
        misreported,
        Vec::<&String>::new(),
        "requests that ran but were reported not to have run"
    );
}

/// Returns true for the requests that the caller marks as unrepeatable: those with even numbers.
pub fn is_unrepeatable(id: &str) -> bool {
    let number = id.rsplit('-').next().and_then(|text| text.parse::<u32>().ok());
    number.is_some_and(|number| number.is_multiple_of(2))
}
