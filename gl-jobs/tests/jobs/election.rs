//! Who owns a cell.

use gl_jobs::election::{self, LeaseWatch, Observation, OwnershipStatus};
use gl_model::time;

use crate::cell::at;

const TAKEOVER: time::Span = time::Span::millis(2_300);

fn observation(version: u64) -> Option<Observation> {
    Some(Observation { version, released: false, terminated: false })
}

#[test]
fn a_daemon_denies_only_what_it_never_will_own() {
    assert_eq!(election::ownership_status(Some(7), false, 7), OwnershipStatus::Owner);
    assert_eq!(election::ownership_status(Some(9), false, 7), OwnershipStatus::NotOwner);
    assert_eq!(election::ownership_status(None, false, 7), OwnershipStatus::NotOwner);
    assert_eq!(election::ownership_status(None, true, 7), OwnershipStatus::Unsettled);
}

#[test]
fn a_row_that_stays_the_same_for_long_enough_can_be_claimed() {
    let mut watch = LeaseWatch::default();
    assert_eq!(watch.claim_reason(observation(4), TAKEOVER, at(0), at(10)), None);
    assert_eq!(
        watch.claim_reason(observation(4), TAKEOVER, at(2_300), at(2_310)),
        None,
        "2.29 s were seen"
    );
    assert!(watch.claim_reason(observation(4), TAKEOVER, at(2_311), at(2_320)).is_some());
}

#[test]
fn a_renewal_or_an_outage_starts_the_wait_anew() {
    let mut watch = LeaseWatch::default();
    watch.claim_reason(observation(4), TAKEOVER, at(0), at(10));
    watch.claim_reason(observation(5), TAKEOVER, at(2_000), at(2_010));
    assert_eq!(watch.claim_reason(observation(5), TAKEOVER, at(4_000), at(4_010)), None);
    watch.reset();
    assert_eq!(watch.claim_reason(observation(5), TAKEOVER, at(9_000), at(9_010)), None);
}

#[test]
fn a_cell_that_was_given_up_or_whose_owner_is_gone_can_be_claimed_at_once() {
    let mut watch = LeaseWatch::default();
    assert!(watch.claim_reason(None, TAKEOVER, at(0), at(10)).is_some());
    let released = Some(Observation { version: 1, released: true, terminated: false });
    assert!(watch.claim_reason(released, TAKEOVER, at(0), at(10)).is_some());
    let terminated = Some(Observation { version: 1, released: false, terminated: true });
    assert!(watch.claim_reason(terminated, TAKEOVER, at(0), at(10)).is_some());
}

#[test]
fn an_owner_that_cannot_read_the_cell_leaves_it_to_another() {
    assert!(!election::is_load_overdue(at(1_000), at(6_900)));
    assert!(election::is_load_overdue(at(1_000), at(7_100)));
    assert!(election::CLAIM_BACKOFF > time::Span::seconds(6), "others have the time to try");
}

/// The pattern: machines of 0.5 and 0.12 cores. An owner that can't keep up loses its lease.
#[test]
fn a_small_machine_lets_a_larger_one_claim_first() {
    assert_eq!(election::claim_delay(Some(0.5)), time::Span::ZERO);
    assert_eq!(election::claim_delay(None), time::Span::ZERO);
    assert!(election::claim_delay(Some(0.12)) > time::Span::millis(600), "two looks at the cell");
}
