//! What the owner knows of its followers. Guards against a log that does not tell on which daemons'
//! reports an owner goes on without the store, and which daemons it has not heard for long.

use gl_jobs::followers::{Census, Followers, Report, Silence};
use gl_model::time;

use crate::cell::at;

fn silence(daemon: &str, millis: u64) -> Silence {
    Silence { daemon: daemon.to_owned(), span: time::Span::millis(millis) }
}

/// Returns a report made after a reply of the owner at `after`.
fn report(is_store_up: bool, after: u64) -> Report {
    Report { is_store_up, after: Some(at(after)) }
}

#[test]
fn follower_counts_as_cut_off_only_while_its_report_is_current() {
    let mut followers = Followers::default();
    assert_eq!(followers.cut_off_after("a", at(1_000)), None, "it was never heard");
    followers.heard("a".to_owned(), report(false, 1_000), at(1_300));
    followers.heard("b".to_owned(), report(false, 1_300), at(1_600));
    assert_eq!(followers.cut_off_after("a", at(2_499)), Some(at(1_000)));
    assert_eq!(followers.cut_off_after("b", at(2_499)), Some(at(1_300)));
    assert_eq!(followers.cut_off_after("a", at(2_500)), None, "the report may be 1.5 s old");
    followers.heard("b".to_owned(), report(true, 1_600), at(2_600));
    assert_eq!(followers.cut_off_after("b", at(2_600)), None, "it reaches the store");
}

/// Guards against second runs at the end of a cut, when reports of an outage arrive that were sent before
/// it, and an owner goes on without the store although a daemon has claimed the cell meanwhile.
#[test]
fn report_that_arrives_late_does_not_count_as_a_new_one() {
    let mut followers = Followers::default();
    followers.heard("a".to_owned(), report(false, 1_000), at(9_000));
    assert_eq!(followers.cut_off_after("a", at(9_000)), None);
}

#[test]
fn report_without_a_clock_of_this_owner_does_not_count() {
    let mut followers = Followers::default();
    followers.heard("a".to_owned(), Report { is_store_up: false, after: None }, at(1_000));
    assert_eq!(followers.cut_off_after("a", at(1_000)), None, "an earlier version");
    followers.heard("a".to_owned(), report(false, 5_000), at(1_300));
    assert_eq!(followers.cut_off_after("a", at(1_300)), None, "a clock that is ahead");
}

/// Guards against a daemon whose claim takes effect late, while it reports an outage by which the owner goes
/// on without the store.
#[test]
fn report_of_a_daemon_whose_claim_may_take_effect_does_not_count() {
    let report = |has_open_claim| Report::new(false, Some(at(1_000)), has_open_claim);
    let mut followers = Followers::default();
    followers.heard("a".to_owned(), report(true), at(1_300));
    assert_eq!(followers.cut_off_after("a", at(1_300)), None);
    followers.heard("a".to_owned(), report(false), at(1_600));
    assert_eq!(followers.cut_off_after("a", at(1_600)), Some(at(1_000)));
}

#[test]
fn census_tells_what_an_owner_counts_on() {
    let mut followers = Followers::default();
    assert_eq!(followers.census(at(1_000)), Census::default());
    followers.heard("a".to_owned(), report(true, 1_000), at(1_000));
    followers.heard("b".to_owned(), report(false, 4_000), at(4_000));
    followers.heard("c".to_owned(), report(false, 20_500), at(20_500));
    assert_eq!(followers.drop_silent(at(21_000)), [silence("a", 20_000)]);
    let census = Census {
        known: 2,
        heard: 1,
        store_down: 2,
        oldest: Some(time::Span::millis(17_000)),
        silent: 1,
    };
    assert_eq!(followers.census(at(21_000)), census);
}

#[test]
fn follower_that_is_not_known_any_more_is_reported_once_and_again_when_it_is_heard() {
    let mut followers = Followers::default();
    assert_eq!(followers.heard("a".to_owned(), report(true, 1_000), at(1_000)), None);
    assert_eq!(followers.heard("a".to_owned(), report(true, 1_300), at(1_300)), None);
    assert_eq!(followers.drop_silent(at(21_299)), []);
    assert_eq!(followers.drop_silent(at(21_300)), [silence("a", 20_000)]);
    assert_eq!(followers.drop_silent(at(30_000)), []);
    assert_eq!(
        followers.heard("a".to_owned(), report(true, 31_300), at(31_300)),
        Some(silence("a", 30_000))
    );
    assert_eq!(followers.census(at(31_300)).silent, 0);
    assert_eq!(followers.heard("a".to_owned(), report(true, 31_600), at(31_600)), None);
}
