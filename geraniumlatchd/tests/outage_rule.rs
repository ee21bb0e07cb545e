//! Reports of an owner that goes on without the store. Guards against a log that does not show that, as
//! starts were allowed before as well, and against one that fills while the rule comes and goes.

use geraniumlatchd::jobs::outage_rule::{OutageRule, State};
use gl_model::time;

const fn at(millis: u64) -> time::Timestamp {
    time::Timestamp(time::Span::millis(millis).0)
}

#[test]
fn rule_is_in_force_while_no_daemon_reaches_the_store() {
    let outage = State {
        lease_left: time::Span::millis(900),
        is_cut_off: true,
        are_followers_cut_off: true,
        is_stale: false,
    };
    assert!(outage.is_in_force(), "leases of workers are extended before the own one has expired");
    let expired = State { lease_left: time::Span::ZERO, is_cut_off: false, ..outage };
    assert!(expired.is_in_force(), "starts are allowed before the owner counts as cut off");
    assert!(!State { is_cut_off: false, ..outage }.is_in_force());
    assert!(!State { are_followers_cut_off: false, ..outage }.is_in_force());
    assert!(!State { is_stale: true, ..outage }.is_in_force());
}

#[test]
fn begin_and_end_are_reported_once() {
    let mut rule = OutageRule::default();
    assert_eq!(rule.update(false, at(1_000)), None);
    assert_eq!(rule.update(true, at(1_050)), Some(1));
    assert_eq!(rule.update(true, at(9_000)), None);
    assert_eq!(rule.update(false, at(9_050)), Some(1));
    assert_eq!(rule.update(false, at(20_000)), None);
}

#[test]
fn rule_that_comes_and_goes_is_reported_once_a_second_with_the_number_of_changes() {
    let mut rule = OutageRule::default();
    let reports: Vec<_> = (0..60)
        .filter_map(|tick| {
            let millis = 1_000 + tick * 50;
            rule.update(tick % 2 == 1, at(millis)).map(|changes| (millis, changes))
        })
        .collect();
    assert_eq!(reports, [(1_050, 1), (2_050, 20), (3_050, 20)]);
}
