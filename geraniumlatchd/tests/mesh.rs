//! Messages between daemons of this build and of earlier ones.

#![allow(clippy::unwrap_used, reason = "tests")]

use geraniumlatchd::jobs::mesh;
use gl_cost::{level, summary};
use gl_model::time;

/// The heartbeat as builds before the summary of loads know it.
#[gl_derive::domain]
enum EarlierRequest {
    Heartbeat { daemon: String, store_up: bool, token: u64 },
}

/// Guards against owners and followers of different builds that do not understand each other's
/// heartbeats during a rolling upgrade, so that followers claim the cell.
#[test]
fn heartbeats_of_earlier_and_later_builds_are_understood() {
    let earlier = EarlierRequest::Heartbeat { daemon: "a".to_owned(), store_up: true, token: 3 };
    let text = serde_json::to_string(&earlier).unwrap();
    let read: mesh::Request = serde_json::from_str(&text).unwrap();
    let heartbeat = |wall| mesh::Request::Heartbeat {
        daemon: "a".to_owned(),
        store_up: true,
        token: 3,
        owner: String::new(),
        wall: time::Timestamp(wall),
        after: None,
        job_limit: None,
    };
    assert_eq!(read, heartbeat(0), "an earlier build gets no response that it does not know");
    let text = serde_json::to_string(&heartbeat(1_700)).unwrap();
    assert_eq!(serde_json::from_str::<EarlierRequest>(&text).unwrap(), earlier);
}

/// Guards against a summary that counts as newer than it is: neither the age at the owner nor the
/// time in transit and since then may be lost.
#[test]
fn age_of_a_summary_covers_the_time_at_the_owner_and_in_transit() {
    let load = summary::Load {
        service: "desk".to_owned(),
        kind: summary::Kind::BestEffort,
        level: level::Level::Scarce,
        sample: level::Sample { backlog: 250.0, ..level::Sample::default() },
    };
    let summary = summary::Summary { loads: vec![load], age: time::Span::millis(70) };
    let response = mesh::Response::Confirmed {
        wall: time::Timestamp(1_700),
        readings: 3,
        load: summary,
        clock: None,
        room: None,
    };
    let text = serde_json::to_string(&response).unwrap();
    let mesh::Response::Confirmed { load: summary, .. } = serde_json::from_str(&text).unwrap()
    else {
        unreachable!("the response confirms the heartbeat");
    };
    assert_eq!(summary.level("desk"), level::Level::Scarce);
    assert_eq!(summary.level("other"), level::Level::Ample);
    let received = summary::Received { summary, sent: time::Timestamp(1_000_000) };
    assert_eq!(received.age(time::Timestamp(1_500_000)), time::Span::millis(570));
}

/// The confirmation as builds before the owner's clock know it.
#[gl_derive::domain]
enum EarlierResponse {
    Confirmed { wall: time::Timestamp, readings: usize, load: summary::Summary },
}

/// Guards against followers that take no confirmation from an owner of an earlier or later build.
#[test]
fn confirmations_of_earlier_and_later_builds_are_understood() {
    let (wall, load) = (time::Timestamp(1_700), summary::Summary::default());
    let earlier = EarlierResponse::Confirmed { wall, readings: 3, load: load.clone() };
    let confirmed = |clock| {
        let load = load.clone();
        mesh::Response::Confirmed { wall, readings: 3, load, clock, room: None }
    };
    let text = serde_json::to_string(&earlier).unwrap();
    assert_eq!(serde_json::from_str::<mesh::Response>(&text).unwrap(), confirmed(None));
    let text = serde_json::to_string(&confirmed(Some(time::Timestamp(5)))).unwrap();
    assert_eq!(serde_json::from_str::<EarlierResponse>(&text).unwrap(), earlier);
}
