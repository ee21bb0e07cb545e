//! Daemons that lose the cell and regain it in the same process.

use std::time;

use gl_standin::fleet::{client, deployment};

use super::{TIMEOUT, check_runs, job_path, start, two_phase_job};

/// Waits until a daemon has claimed the cell.
async fn wait_for_claim(hosted: &deployment::Deployment, daemon: usize) {
    let until = time::Instant::now() + TIMEOUT;
    while hosted.owner().await.unwrap() != daemon {
        assert!(time::Instant::now() < until, "daemon {daemon} has not claimed the cell");
        ntex::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Guards against second runs by a daemon that owned the cell before: what it had decided and not sent yet,
/// and the replies to its calls of that time, must not count in its later ownership.
#[ntex::test]
async fn owner_that_loses_and_regains_the_cell_starts_no_task_twice() {
    let hosted = start(2).await;
    let body = two_phase_job("{\"work-ms\":3500}");
    let first = hosted.owner().await.unwrap();
    let other = 1 - first;
    let submit = async |n, daemon| {
        let status =
            client::request_status(hosted.address(daemon), "POST", &job_path(n), &body).await;
        assert_eq!(status, Some(200), "job {n}");
    };
    submit(1, other).await;
    ntex::time::sleep(time::Duration::from_millis(300)).await;
    hosted.daemons[first].process.pause();
    wait_for_claim(&hosted, other).await;
    submit(2, other).await;
    hosted.daemons[first].process.resume();
    ntex::time::sleep(time::Duration::from_millis(700)).await;
    hosted.daemons[other].process.pause();
    wait_for_claim(&hosted, first).await;
    submit(3, first).await;
    hosted.daemons[other].process.resume();
    for n in [1, 2, 3] {
        let address = hosted.address(usize::try_from(n % 2).unwrap());
        assert!(client::wait_for_state(address, &job_path(n), "complete", TIMEOUT).await, "{n}");
    }
    let runs = hosted.runs().await.unwrap();
    check_runs(&runs);
    assert_eq!(runs.len(), 24, "running tasks must not be restarted: {runs:?}");
}
