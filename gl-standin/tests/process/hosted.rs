//! Jobs on the stand-in of the users' platform, through real daemons.

use std::{collections, net, time};

use gl_standin::{
    fleet::{self, client, daemon},
    http,
    process::{self, Process},
};
use serde_json::json;

const LIMIT: time::Duration = time::Duration::from_secs(20);

/// A store, three workers, and daemons.
struct Hosted {
    dir: tempfile::TempDir,
    _fleet: Process,
    store: net::SocketAddr,
    daemons: Vec<daemon::Daemon>,
}

impl Hosted {
    async fn start(daemons: usize) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let arguments = ["fleet", "desk-a", "3"].map(str::to_owned);
        let program = process::program("standin").unwrap();
        let fleet = Process::start(&program, &arguments, &dir.path().join("fleet.log")).unwrap();
        let store = fleet.address();
        let config = json!({
            "Version": 3,
            "Routes": [{
                "Name": "bookings", "Host": client::HOST, "PathPrefix": "/book/",
                "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 250,
                "Priority": 0, "Service": "desk-a", "MaxAttempts": 3, "SlackFactor": 1.5
            }],
            "Services": [{"Name": "desk-a", "EnforcesCapacity": false}],
            "Limits": {"MaxBodyBytes": 65536}
        });
        http::post(&format!("http://{store}/admin/config"), &config).await.unwrap();
        let mut hosted = Self { store, daemons: Vec::new(), _fleet: fleet, dir };
        for n in 0..daemons {
            hosted.add(&format!("d{n}")).await;
        }
        hosted
    }

    async fn add(&mut self, name: &str) {
        let daemon = daemon::Daemon::start(self.dir.path(), name, self.store).await.unwrap();
        self.daemons.push(daemon);
    }

    fn clients(&self, n: usize) -> net::SocketAddr {
        self.daemons[n].clients
    }

    async fn runs(&self) -> Vec<fleet::Ran> {
        http::get(&format!("http://{}/admin/runs", self.store)).await.unwrap()
    }

    async fn set_down(&self, is_down: bool) {
        http::post(&format!("http://{}/admin/down", self.store), &is_down).await.unwrap();
    }

    /// The daemon that says that it claimed the cell last.
    fn owner(&self) -> usize {
        let claimed = |daemon: &daemon::Daemon| {
            let lines = daemon.lines();
            let claims = lines.iter().filter(|line| line["event"] == "claimed");
            claims.filter_map(|line| line["token"].as_u64()).max().unwrap_or(0)
        };
        (0..self.daemons.len()).max_by_key(|n| claimed(&self.daemons[*n])).unwrap()
    }
}

fn path(n: u64) -> String {
    format!("/book/{n:016x}")
}

fn two_phases(spec: &str) -> String {
    let phase = |after: &[u32]| json!({"Count": 4, "Cpu": 1000, "MemMb": 100, "After": after});
    json!({"Spec": spec, "Phases": [phase(&[]), phase(&[0])]}).to_string()
}

/// No task ran twice at the same time or after it was done.
fn check(runs: &[fleet::Ran]) {
    let mut by_task = collections::BTreeMap::<&str, Vec<&fleet::Ran>>::new();
    for ran in runs {
        by_task.entry(&ran.task).or_default().push(ran);
    }
    for (task, runs) in by_task {
        for pair in runs.windows(2) {
            let ended = pair[0].ended.unwrap_or(u64::MAX);
            assert!(ended <= pair[1].started, "{task}: {runs:?}");
        }
        let done = |ran: &&&fleet::Ran| ran.how == Some(gl_jobs::worker::Outcome::Done);
        assert!(runs.iter().filter(done).count() <= 1, "{task}: {runs:?}");
    }
}

#[ntex::test]
async fn a_job_runs_from_its_submission_to_its_end_through_any_daemon() {
    let hosted = Hosted::start(2).await;
    let body = two_phases("{\"work-ms\":150}");
    for daemon in [0, 1, 0] {
        let status = client::status(hosted.clients(daemon), "POST", &path(1), &body).await;
        assert_eq!(status, Some(200), "the same job through daemon {daemon}");
    }
    assert!(client::until_state(hosted.clients(1), &path(1), "complete", LIMIT).await);
    let runs = hosted.runs().await;
    check(&runs);
    assert_eq!(runs.len(), 8);
    let of_phase =
        |n: &'static str| runs.iter().filter(move |ran| ran.task.split('.').nth(2) == Some(n));
    let first_ended = of_phase("0").filter_map(|ran| ran.ended).max().unwrap();
    let second_started = of_phase("1").map(|ran| ran.started).min().unwrap();
    assert!(first_ended <= second_started);
    let pending = client::send(hosted.clients(1), "GET", "/book/", "").await.unwrap();
    assert_eq!(pending.body, json!({"Pending": 0}));
}

#[ntex::test]
async fn what_cannot_be_served_is_refused_with_its_reason() {
    let hosted = Hosted::start(1).await;
    let clients = hosted.clients(0);
    let unknown = client::send(clients, "GET", &path(404), "").await.unwrap();
    assert_eq!(unknown.status, 410);
    let no_queue = client::status(clients, "POST", "/other/0000000000000001", "{}").await;
    assert_eq!(no_queue, Some(404));
    let not_json = client::send(clients, "POST", &path(2), "{").await.unwrap();
    assert_eq!(not_json.status, 400);
    let empty = client::send(clients, "POST", &path(2), "{\"Phases\":[]}").await.unwrap();
    assert_eq!(empty.body["Error"], "the job has no phase; give at least one");
    let large = json!({"Spec": "x".repeat(70_000), "Phases": [{"Count": 1}]}).to_string();
    assert_eq!(client::status(clients, "POST", &path(2), &large).await, Some(413));
    hosted.set_down(true).await;
    let body = two_phases("{}");
    let begun = time::Instant::now();
    let refused = client::send(clients, "POST", &path(3), &body).await.unwrap();
    assert_eq!((refused.status, refused.retry_after.as_deref()), (503, Some("1")));
    assert!(begun.elapsed() < time::Duration::from_secs(1), "refused at once");
    hosted.set_down(false).await;
    assert_eq!(client::status(clients, "GET", &path(3), "").await, Some(410));
}

#[ntex::test]
async fn a_killed_owner_is_replaced_and_nothing_runs_twice() {
    let mut hosted = Hosted::start(3).await;
    let body = two_phases("{\"work-ms\":700}");
    assert_eq!(client::status(hosted.clients(0), "POST", &path(1), &body).await, Some(200));
    ntex::time::sleep(time::Duration::from_millis(300)).await;
    let owner = hosted.owner();
    hosted.daemons[owner].process.kill();
    let other = (owner + 1) % 3;
    assert_eq!(client::status(hosted.clients(other), "POST", &path(2), &body).await, Some(200));
    for n in [1, 2] {
        assert!(client::until_state(hosted.clients(other), &path(n), "complete", LIMIT).await);
    }
    let runs = hosted.runs().await;
    check(&runs);
    assert_eq!(runs.len(), 16, "what ran went on: {runs:?}");
}

#[ntex::test]
async fn a_stopped_owner_hands_over_and_exits() {
    let mut hosted = Hosted::start(2).await;
    let body = two_phases("{\"work-ms\":400}");
    let owner = hosted.owner();
    assert_eq!(client::status(hosted.clients(owner), "POST", &path(1), &body).await, Some(200));
    hosted.daemons[owner].process.terminate();
    assert!(client::until_state(hosted.clients(1 - owner), &path(1), "complete", LIMIT).await);
    let code = hosted.daemons[owner].process.ended(LIMIT).await;
    assert_eq!(code, Some(0));
    check(&hosted.runs().await);
}

#[ntex::test]
async fn a_frozen_owner_wakes_up_fenced() {
    let hosted = Hosted::start(2).await;
    let body = two_phases("{\"work-ms\":900}");
    let owner = hosted.owner();
    let other = 1 - owner;
    assert_eq!(client::status(hosted.clients(other), "POST", &path(1), &body).await, Some(200));
    hosted.daemons[owner].process.freeze();
    assert_eq!(client::status(hosted.clients(other), "POST", &path(2), &body).await, Some(200));
    assert!(client::until_state(hosted.clients(other), &path(2), "complete", LIMIT).await);
    hosted.daemons[owner].process.thaw();
    assert_eq!(client::status(hosted.clients(owner), "POST", &path(3), &body).await, Some(200));
    assert!(client::until_state(hosted.clients(owner), &path(3), "complete", LIMIT).await);
    check(&hosted.runs().await);
}

#[ntex::test]
async fn all_daemons_gone_at_once_come_back_to_what_was_accepted() {
    let mut hosted = Hosted::start(2).await;
    let body = two_phases("{\"work-ms\":600}");
    assert_eq!(client::status(hosted.clients(0), "POST", &path(1), &body).await, Some(200));
    for daemon in &mut hosted.daemons {
        daemon.process.kill();
    }
    hosted.add("again").await;
    assert!(client::until_state(hosted.clients(2), &path(1), "complete", LIMIT).await);
    check(&hosted.runs().await);
}

#[ntex::test]
async fn a_cancelled_job_ends_and_stays_cancelled() {
    let hosted = Hosted::start(2).await;
    let phase = json!({"Count": 2, "Cpu": 1000, "LongRunning": true});
    let body = json!({"Spec": "{\"lasting\":true}", "Phases": [phase]}).to_string();
    assert_eq!(client::status(hosted.clients(0), "POST", &path(1), &body).await, Some(200));
    assert!(client::until_state(hosted.clients(1), &path(1), "running", LIMIT).await);
    assert_eq!(client::status(hosted.clients(1), "DELETE", &path(1), "").await, Some(200));
    assert!(client::until_state(hosted.clients(0), &path(1), "cancelled", LIMIT).await);
    assert_eq!(client::status(hosted.clients(1), "DELETE", &path(9), "").await, Some(410));
    ntex::time::sleep(time::Duration::from_millis(1_500)).await;
    let runs = hosted.runs().await;
    assert!(runs.iter().all(|ran| ran.ended.is_some()), "{runs:?}");
}
