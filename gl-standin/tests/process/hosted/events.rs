//! Events of the log that tell what a daemon's decisions followed from. Guards against fields that are
//! missing or have another meaning when tasks that ran twice have to be traced.

use base64::Engine as _;
use gl_jobs::record;
use gl_standin::{fleet::deployment, http};
use serde_json::json;

use super::{TIMEOUT, start};

/// Waits for an event of a daemon that meets a condition.
async fn wait_for_event(
    hosted: &deployment::Deployment,
    daemon: usize,
    is_expected: impl Fn(&serde_json::Value) -> bool,
) -> Option<serde_json::Value> {
    let deadline = std::time::Instant::now() + TIMEOUT;
    loop {
        let found = hosted.daemons[daemon].log_lines().into_iter().find(&is_expected);
        if found.is_some() || std::time::Instant::now() >= deadline {
            return found;
        }
        ntex::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

fn is_claim(line: &serde_json::Value) -> bool {
    line["event"] == "claimed"
}

#[ntex::test]
async fn claim_is_logged_with_what_the_new_owner_assumes_of_the_last_one() {
    let mut hosted = start(2).await;
    let owner = hosted.owner().await.unwrap();
    let first = wait_for_event(&hosted, owner, is_claim).await.unwrap();
    assert_eq!(first["bound"], "none", "no owner was before it: {first}");
    assert!(first["leases_ms"].is_null() && first["renewal_age_ms"].is_null(), "{first}");
    hosted.daemons[owner].process.kill();
    let second = wait_for_event(&hosted, 1 - owner, is_claim).await.unwrap();
    assert!(second["bound"] == "unrenewed" || second["bound"] == "refused", "{second}");
    let millis = |field: &str| second[field].as_u64().unwrap();
    assert!((1..=8_160).contains(&millis("leases_ms")), "the horizon, and 2% for clocks: {second}");
    assert!(millis("starts_ms") <= 2_040, "the lease on the cell: {second}");
    assert!(millis("renewal_age_ms") < 10_000 && second["outage_age_ms"].is_null(), "{second}");
}

#[ntex::test]
async fn claim_is_logged_with_the_pages_of_progress_that_were_left_out() {
    let mut hosted = start(0).await;
    let page = |name: &str, value: &[u8]| {
        let value = base64::engine::general_purpose::STANDARD.encode(value);
        json!({"Table": "progress", "part": "commits", "Key": name, "Value": value})
    };
    let progress = record::encode("progress", &record::Progress::default()).unwrap();
    let writes = [
        page("00000000000000a1", b"not a row"),
        page("no identity", &progress),
        page("00000000000000a2", &progress),
        page("00000000000000a2/000001", &progress),
        page("00000000000000a3", &progress),
    ];
    let url = format!("http://{}/rows-tx", hosted.store);
    http::post(&url, &json!({"Writes": writes})).await.unwrap();
    hosted.start_daemon("only", 0).await.unwrap();
    let claim = wait_for_event(&hosted, 0, is_claim).await.unwrap();
    let counts = ["pages", "unreadable", "orphans"].map(|field| claim[field].as_u64());
    assert_eq!(counts, [Some(5), Some(2), Some(3)], "{claim}");
}

#[ntex::test]
async fn owner_that_goes_on_without_the_store_logs_on_which_reports() {
    let hosted = start(3).await;
    let owner = hosted.owner().await.unwrap();
    for follower in (0..3).filter(|n| *n != owner) {
        let is_following = |line: &serde_json::Value| line["event"] == "following";
        assert!(wait_for_event(&hosted, follower, is_following).await.is_some());
    }
    // Longer than the interval of their heartbeats.
    ntex::time::sleep(std::time::Duration::from_secs(1)).await;
    hosted.set_store_down(true).await.unwrap();
    let is_active =
        |line: &serde_json::Value| line["event"] == "outage-rule" && line["active"] == true;
    let begun = wait_for_event(&hosted, owner, is_active).await.unwrap();
    let counts = ["claimants", "followers", "heard", "store_down", "silent"];
    let counts = counts.map(|field| begun[field].as_u64());
    assert_eq!(counts, [Some(2), Some(2), Some(2), Some(2), Some(0)], "{begun}");
    assert_eq!(begun["stale"], false, "{begun}");
    assert!(begun["oldest_ms"].as_u64().unwrap() < 1_200, "{begun}");
    hosted.set_store_down(false).await.unwrap();
    let is_over =
        |line: &serde_json::Value| line["event"] == "outage-rule" && line["active"] == false;
    assert!(wait_for_event(&hosted, owner, is_over).await.is_some());
}
