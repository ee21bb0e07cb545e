//! What the owner knows of its followers. Guards against a log that does not tell on which daemons'
//! reports an owner goes on without the store, and which daemons it has not heard for long.

use gl_jobs::followers::{Census, Followers, Silence};
use gl_model::time;

use crate::cell::at;

fn silence(daemon: &str, millis: u64) -> Silence {
    Silence { daemon: daemon.to_owned(), span: time::Span::millis(millis) }
}

#[test]
fn follower_counts_as_cut_off_only_while_its_report_is_current() {
    let mut followers = Followers::default();
    assert!(!followers.is_cut_off("a", at(1_000)), "it was never heard");
    followers.heard("a".to_owned(), false, at(1_000));
    followers.heard("b".to_owned(), false, at(1_300));
    assert!(followers.is_cut_off("a", at(2_199)) && followers.is_cut_off("b", at(2_199)));
    assert!(!followers.is_cut_off("a", at(2_200)), "the report is 1.2 s old");
    followers.heard("b".to_owned(), true, at(2_300));
    assert!(!followers.is_cut_off("b", at(2_300)), "it reaches the store");
}

#[test]
fn census_tells_what_an_owner_counts_on() {
    let mut followers = Followers::default();
    assert_eq!(followers.census(at(1_000)), Census::default());
    followers.heard("a".to_owned(), true, at(1_000));
    followers.heard("b".to_owned(), false, at(4_000));
    followers.heard("c".to_owned(), false, at(20_500));
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
    assert_eq!(followers.heard("a".to_owned(), true, at(1_000)), None);
    assert_eq!(followers.heard("a".to_owned(), true, at(1_300)), None);
    assert_eq!(followers.drop_silent(at(21_299)), []);
    assert_eq!(followers.drop_silent(at(21_300)), [silence("a", 20_000)]);
    assert_eq!(followers.drop_silent(at(30_000)), []);
    assert_eq!(followers.heard("a".to_owned(), true, at(31_300)), Some(silence("a", 30_000)));
    assert_eq!(followers.census(at(31_300)).silent, 0);
    assert_eq!(followers.heard("a".to_owned(), true, at(31_600)), None);
}
