//! Many large bodies of legal size at once.

use gl_standin::crowd;

use super::{
    LIMITS, MAX_BODY_BYTES, check_daemons, check_ordinary_request, job_path, run_alone, small_job,
    start,
};

/// Starts one daemon, lets a crowd send its messages, and checks that the daemon bears it.
async fn check_crowd(messages: Vec<crowd::Message>) {
    let _alone = run_alone().await;
    let mut hosted = start(1, LIMITS).await;
    let crowd = crowd::Crowd::start(hosted.address(0), messages).await;
    check_ordinary_request(hosted.address(0)).await;
    check_daemons(&mut hosted, LIMITS).await;
    drop(crowd);
}

#[ntex::test]
async fn bodies_that_lack_their_last_byte() {
    let path = |n| crowd::unfinished_request(&job_path(n), MAX_BODY_BYTES);
    check_crowd((0..300).map(path).collect()).await;
}

#[ntex::test]
async fn chunked_bodies_that_lack_their_end() {
    let path = |n| crowd::unfinished_chunks(&job_path(n), MAX_BODY_BYTES);
    check_crowd((0..300).map(path).collect()).await;
}

#[ntex::test]
async fn whole_bodies_at_once() {
    let body = crowd::padded(&small_job(), MAX_BODY_BYTES);
    check_crowd((0..300).map(|n| crowd::whole_request(&job_path(n), &body)).collect()).await;
}

/// The job has far more phases than are accepted, and each of them is larger in memory.
#[ntex::test]
async fn bodies_that_take_more_memory_when_decoded() {
    let phases = vec!["{}"; (MAX_BODY_BYTES - 16) / 3].join(",");
    let body = format!("{{\"Phases\":[{phases}]}}");
    check_crowd((0..200).map(|n| crowd::whole_request(&job_path(n), &body)).collect()).await;
}

#[ntex::test]
async fn bodies_for_queues_that_do_not_exist() {
    let path = |n| crowd::unfinished_request(&format!("/other/{n:016x}"), MAX_BODY_BYTES);
    check_crowd((0..300).map(path).collect()).await;
}

#[ntex::test]
async fn bodies_that_are_longer_than_permitted() {
    let path = |n| crowd::unfinished_chunks(&job_path(n), MAX_BODY_BYTES + (32 << 10));
    check_crowd((0..300).map(path).collect()).await;
}

/// Memory that the first crowd has used must not add to that of the second one.
#[ntex::test]
async fn crowds_one_after_the_other() {
    let _alone = run_alone().await;
    let mut hosted = start(1, LIMITS).await;
    let body = crowd::padded(&small_job(), MAX_BODY_BYTES);
    for round in 0_usize..3 {
        let whole = |n| crowd::whole_request(&job_path(round * 1_000 + n), &body);
        let unfinished = |n| crowd::unfinished_request(&job_path(n), MAX_BODY_BYTES - n);
        let messages = (0..100).map(whole).chain((0..100).map(unfinished)).collect();
        drop(crowd::Crowd::start(hosted.address(0), messages).await);
    }
    check_ordinary_request(hosted.address(0)).await;
    check_daemons(&mut hosted, LIMITS).await;
}

/// A connection that is closed with unread bytes is reset, and a reset discards the response.
#[ntex::test]
async fn refusals_reach_clients_that_are_still_sending() {
    let _alone = run_alone().await;
    let hosted = start(1, LIMITS).await;
    let body = crowd::padded(&small_job(), 2 * MAX_BODY_BYTES);
    for (path, status) in [("/other/0000000000000001", 404), (job_path(1).as_str(), 413)] {
        let messages = vec![crowd::whole_request(path, &body); 20];
        let crowd = crowd::Crowd::start(hosted.address(0), messages).await;
        assert_eq!(crowd.count(status), 20, "responses with {status}");
    }
}
