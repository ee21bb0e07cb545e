//! Cancellations of jobs, also of those that are not stored, or not yet.

use std::time;

use gl_standin::{fleet::client, http};

use super::{TIMEOUT, job_path, run_long_running_job, start, two_phase_job};

#[ntex::test]
async fn cancelled_job_ends_and_stays_cancelled() {
    let hosted = start(2).await;
    run_long_running_job(&hosted).await;
    assert_eq!(
        client::request_status(hosted.address(1), "DELETE", &job_path(1), "").await,
        Some(200)
    );
    assert!(client::wait_for_state(hosted.address(0), &job_path(1), "cancelled", TIMEOUT).await);
    assert_eq!(
        client::request_status(hosted.address(1), "DELETE", &job_path(9), "").await,
        Some(410)
    );
    ntex::time::sleep(time::Duration::from_millis(1_500)).await;
    let runs = hosted.runs().await.unwrap();
    assert!(runs.iter().all(|run| run.ended.is_some()), "{runs:?}");
}

/// Guards against a job that runs after its cancellation was answered: the reply to its write was lost, and
/// the write takes effect later.
#[ntex::test]
async fn job_whose_write_is_late_does_not_run_after_its_cancellation_was_answered() {
    let hosted = start(3).await;
    http::post(&format!("http://{}/admin/late", hosted.store), &3_000).await.unwrap();
    let body = two_phase_job("{}");
    let submitted = client::request_status(hosted.address(0), "POST", &job_path(1), &body).await;
    assert_eq!(submitted, Some(504), "the reply of the store was lost");
    let cancelled = client::request_status(hosted.address(1), "DELETE", &job_path(1), "").await;
    assert_eq!(cancelled, Some(410));
    ntex::time::sleep(time::Duration::from_millis(4_000)).await;
    let state = client::request_status(hosted.address(2), "GET", &job_path(1), "").await;
    assert_eq!(state, Some(410));
    assert!(hosted.runs().await.unwrap().is_empty());
}

/// Guards against a submission that overtakes or follows the cancellation of its job, and against calls to
/// the store for each cancellation of an unknown job.
#[ntex::test]
async fn job_that_was_cancelled_before_its_submission_is_refused() {
    let hosted = start(2).await;
    for n in 0..60 {
        let status =
            client::request_status(hosted.address(0), "DELETE", &job_path(n % 20 + 1), "").await;
        assert_eq!(status, Some(410), "cancellation {n}");
    }
    for n in 1..=20 {
        let daemon = hosted.address(usize::try_from(n % 2).unwrap());
        let status =
            client::request_status(daemon, "POST", &job_path(n), &two_phase_job("{}")).await;
        assert_eq!(status, Some(410), "job {n}");
    }
    let body = two_phase_job("{}");
    let other = client::request_status(hosted.address(1), "POST", &job_path(99), &body).await;
    assert_eq!(other, Some(200));
    assert!(client::wait_for_state(hosted.address(0), &job_path(99), "complete", TIMEOUT).await);
    assert_eq!(hosted.runs().await.unwrap().len(), 8, "only one job was accepted");
}
