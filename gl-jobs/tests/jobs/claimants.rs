//! The daemons that an owner asks before it goes on without the store. The tests guard against an owner
//! that goes on while another daemon can claim the cell, so that both order runs of the same tasks.

use gl_jobs::claimants::{self, Claimants, Names, Standing};
use gl_jobs::followers::{Followers, Report};
use gl_model::time;

use crate::cell::at;

/// The time of the owner's last renewal.
const RENEWED: u64 = 10_000;

fn names(daemons: &[&str]) -> Names {
    daemons.iter().map(|daemon| (*daemon).to_owned()).collect()
}

/// What an owner knows of the other daemons.
struct Known {
    claimants: Claimants,
    followers: Followers,
}

impl Known {
    /// Returns what an owner knows whose row names these daemons.
    fn stored(daemons: &[&str]) -> Self {
        let claimants = Claimants::inherit(names(daemons), at(RENEWED));
        Self { claimants, followers: Followers::default() }
    }

    fn heard(&mut self, daemon: &str, is_store_up: bool, millis: u64) {
        let report = Report { is_store_up, after: Some(at(millis)) };
        self.followers.heard(daemon.to_owned(), report, at(millis));
    }

    /// Records heartbeats by which these daemons cannot reach the store.
    fn report_outage(&mut self, daemons: &[&str], millis: u64) {
        daemons.iter().for_each(|daemon| self.heard(daemon, false, millis));
        self.followers.drop_silent(at(millis));
    }

    /// Returns whether the owner goes on without the store.
    fn goes_on(&self, millis: u64) -> bool {
        self.claimants.cut_off_after(&self.followers, at(RENEWED), at(millis)).is_some()
    }

    fn to_store(&self, millis: u64) -> Option<Names> {
        self.claimants.to_store(&self.followers, at(millis))
    }
}

#[test]
fn owner_goes_on_while_all_claimants_report_an_outage() {
    let mut known = Known::stored(&["a", "b"]);
    known.report_outage(&["a", "b"], 12_000);
    assert!(known.goes_on(13_400));
    assert!(!known.goes_on(13_500), "the reports are out of date");
    known.report_outage(&["a", "b"], 13_500);
    assert!(known.goes_on(13_550));
    known.heard("b", true, 13_600);
    assert!(!known.goes_on(13_700), "b reaches the store");
}

#[test]
fn owner_without_claimants_does_not_go_on() {
    let mut known = Known::stored(&[]);
    assert!(!known.goes_on(12_000));
    known.report_outage(&["a"], 12_000);
    assert!(!known.goes_on(12_100), "a claims the cell, as no row names daemons that are asked");
}

/// Guards against thousands of second runs in a failure domain that is cut off with the owner: after 20 s
/// of silence the daemons of the other domains did not count any more.
#[test]
fn claimants_that_were_silent_for_long_still_keep_an_owner_from_going_on() {
    let mut known = Known::stored(&["near", "far"]);
    known.report_outage(&["near", "far"], 11_000);
    for millis in (11_300..60_000).step_by(300) {
        known.report_outage(&["near"], millis);
        assert!(!known.goes_on(millis) || millis < 12_500, "{millis} ms");
    }
}

/// Guards against second runs by a new owner that is cut off before it has heard the daemons of the other
/// side.
#[test]
fn claimants_of_the_last_owner_keep_a_new_one_from_going_on_before_it_has_heard_them() {
    let mut known = Known::stored(&["near", "far"]);
    known.report_outage(&["near"], 12_000);
    assert!(!known.goes_on(12_100));
}

/// Guards against an owner that goes on although a daemon reaches the store that it has just heard for the
/// first time.
#[test]
fn daemon_that_is_not_stored_yet_is_asked_as_well() {
    let mut known = Known::stored(&["a"]);
    known.report_outage(&["a"], 12_000);
    known.heard("new", true, 12_000);
    assert!(!known.goes_on(12_100));
    assert_eq!(known.to_store(12_100), Some(names(&["a", "new"])));
}

#[test]
fn claimant_that_has_left_is_dropped_once_that_is_stored() {
    let mut known = Known::stored(&["a", "left"]);
    known.report_outage(&["a", "left"], 12_000);
    known.report_outage(&["a"], 31_900);
    assert_eq!(known.to_store(31_900), None);
    known.report_outage(&["a"], 32_100);
    let present = names(&["a"]);
    assert_eq!(known.to_store(32_100), Some(present.clone()));

    let renewed = at(31_000);
    let goes_on = |known: &Known| {
        known.claimants.cut_off_after(&known.followers, renewed, at(32_200)).is_some()
    };
    known.claimants.write_sent(&present);
    assert!(!goes_on(&known), "the write may have had no effect");
    known.claimants.settled(present);
    assert!(goes_on(&known));
    assert_eq!(known.to_store(32_200), None);
}

/// Guards against a daemon that is named by a write whose reply was lost, and claims the cell as one that
/// the owner asks.
#[test]
fn daemons_in_a_write_without_reply_are_asked_until_it_is_settled() {
    let mut known = Known::stored(&["a"]);
    known.report_outage(&["a"], 12_000);
    let both = names(&["a", "b"]);
    known.claimants.write_sent(&both);
    assert!(!known.goes_on(12_100));
    assert!(known.to_store(12_100).is_some(), "the write is repeated");
    known.claimants.settled(both);
    known.report_outage(&["a", "b"], 12_300);
    assert!(known.goes_on(12_400));
}

#[test]
fn owner_stops_to_go_on_before_daemons_claim_that_it_does_not_ask() {
    let mut known = Known::stored(&["a"]);
    let last = (0..).map(|n| RENEWED + n * 500).find(|millis| {
        known.report_outage(&["a"], *millis);
        !known.goes_on(*millis)
    });
    let limit = time::Span::millis(last.unwrap_or(u64::MAX) - RENEWED);
    assert!(limit + limit.scaled(0.02) < claimants::OUTSIDER_TIMEOUT, "{limit}");
}

#[test]
fn daemon_is_an_outsider_if_the_owner_has_stored_others_only() {
    let standing = |stored: Option<&Names>| claimants::standing(stored, "a");
    assert_eq!(standing(Some(&names(&["a", "b"]))), Standing::Claimant);
    assert_eq!(standing(Some(&names(&["b"]))), Standing::Outsider);
    assert_eq!(standing(Some(&names(&[]))), Standing::Claimant, "an owner alone does not go on");
    assert_eq!(standing(None), Standing::Unknown, "the owner runs an earlier version");
}
