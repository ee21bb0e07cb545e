//! Who owns a cell.

use gl_jobs::tenure::{self, Seen, Standing, Watch};
use gl_model::time;

use crate::cell::at;

const TAKEOVER: time::Span = time::Span::millis(2_300);

fn seen(version: u64) -> Option<Seen> {
    Some(Seen { version, released: false, gone: false })
}

#[test]
fn a_daemon_denies_only_what_it_never_will_own() {
    assert_eq!(tenure::standing(Some(7), false, 7), Standing::Owner);
    assert_eq!(tenure::standing(Some(9), false, 7), Standing::NotOwner);
    assert_eq!(tenure::standing(None, false, 7), Standing::NotOwner);
    assert_eq!(tenure::standing(None, true, 7), Standing::Unsettled);
}

#[test]
fn a_row_that_stays_the_same_for_long_enough_can_be_claimed() {
    let mut watch = Watch::default();
    assert_eq!(watch.judge(seen(4), TAKEOVER, at(0), at(10)), None);
    assert_eq!(watch.judge(seen(4), TAKEOVER, at(2_300), at(2_310)), None, "2.29 s were seen");
    assert!(watch.judge(seen(4), TAKEOVER, at(2_311), at(2_320)).is_some());
}

#[test]
fn a_renewal_or_an_outage_starts_the_wait_anew() {
    let mut watch = Watch::default();
    watch.judge(seen(4), TAKEOVER, at(0), at(10));
    watch.judge(seen(5), TAKEOVER, at(2_000), at(2_010));
    assert_eq!(watch.judge(seen(5), TAKEOVER, at(4_000), at(4_010)), None);
    watch.forget();
    assert_eq!(watch.judge(seen(5), TAKEOVER, at(9_000), at(9_010)), None);
}

#[test]
fn a_cell_that_was_given_up_or_whose_owner_is_gone_can_be_claimed_at_once() {
    let mut watch = Watch::default();
    assert!(watch.judge(None, TAKEOVER, at(0), at(10)).is_some());
    let released = Some(Seen { version: 1, released: true, gone: false });
    assert!(watch.judge(released, TAKEOVER, at(0), at(10)).is_some());
    let gone = Some(Seen { version: 1, released: false, gone: true });
    assert!(watch.judge(gone, TAKEOVER, at(0), at(10)).is_some());
}

#[test]
fn an_owner_that_cannot_read_the_cell_leaves_it_to_another() {
    assert!(!tenure::is_unfit(at(1_000), at(6_900)));
    assert!(tenure::is_unfit(at(1_000), at(7_100)));
    assert!(tenure::UNFIT > time::Span::seconds(6), "others have the time to try");
}

/// The pattern: machines of 0.5 and 0.12 cores. An owner that can't keep up loses its lease.
#[test]
fn a_small_machine_lets_a_larger_one_claim_first() {
    assert_eq!(tenure::deference(Some(0.5)), time::Span::ZERO);
    assert_eq!(tenure::deference(None), time::Span::ZERO);
    assert!(tenure::deference(Some(0.12)) > time::Span::millis(600), "two looks at the cell");
}
