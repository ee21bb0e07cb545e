//! Election of a cell's owner. The tests guard against two owners at the same time, and against a
//! cell that stays without an owner although a daemon could own it.

use gl_jobs::claimants::{self, Standing};
use gl_jobs::election::{self, LeaseWatch, Observation, OwnershipStatus};
use gl_model::time;

use crate::cell::at;

const TAKEOVER: time::Span = time::Span::millis(2_300);

/// An owner of which this daemon, one of its claimants, knows nothing else.
const LAST: election::LastOwner = election::LastOwner {
    ended: None,
    renewal_read: time::Timestamp(0),
    earlier_starts: time::Span::ZERO,
    refused_since: None,
    unrenewed_since: None,
    outage_reported: time::Timestamp(0),
    standing: Standing::Claimant,
};

fn observation(version: u64) -> Option<Observation> {
    Some(Observation {
        version,
        released: false,
        terminated: false,
        refused: None,
        standing: Standing::Claimant,
        outage_reported: time::Timestamp::default(),
    })
}

#[test]
fn daemon_with_an_unsettled_claim_does_not_deny_ownership() {
    assert_eq!(election::ownership_status(Some(7), false, 7, true), OwnershipStatus::Owner);
    assert_eq!(election::ownership_status(Some(9), false, 7, true), OwnershipStatus::NotOwner);
    assert_eq!(election::ownership_status(None, false, 7, true), OwnershipStatus::NotOwner);
    assert_eq!(election::ownership_status(None, true, 7, true), OwnershipStatus::Unsettled);
}

/// Guards against a claim from a live owner whose address another daemon has taken over.
#[test]
fn daemon_at_the_address_of_another_one_does_not_deny_its_ownership() {
    assert_eq!(election::ownership_status(None, false, 7, false), OwnershipStatus::OtherDaemon);
    assert_eq!(election::ownership_status(Some(9), true, 7, false), OwnershipStatus::OtherDaemon);
    assert_eq!(election::ownership_status(Some(7), false, 7, false), OwnershipStatus::Owner);
}

/// Guards against thousands of second runs after a cut of a failure domain, as recorded on
/// lotus-latch-grown: a daemon that the owner had refused for eight seconds took the leases of all workers
/// for expired, while the owner was alive and had just extended them.
#[test]
fn refusal_of_long_ago_does_not_shorten_the_leases_that_a_live_owner_extends() {
    let last =
        election::LastOwner { refused_since: Some(at(12_000)), renewal_read: at(19_900), ..LAST };
    let horizon = time::Span::seconds(8);
    let left = election::outstanding(&last, horizon, 0.0, at(20_000));
    assert_eq!(left, Some(time::Span::millis(7_900)));
}

#[test]
fn cell_can_be_claimed_after_the_lease_was_unchanged_for_the_takeover_time() {
    let mut watch = LeaseWatch::default();
    assert_eq!(watch.claim_reason(observation(4), TAKEOVER, at(0), at(10)), None);
    assert_eq!(
        watch.claim_reason(observation(4), TAKEOVER, at(2_300), at(2_310)),
        None,
        "unchanged for only 2.29 s"
    );
    assert!(watch.claim_reason(observation(4), TAKEOVER, at(2_311), at(2_320)).is_some());
}

#[test]
fn renewal_or_store_outage_restarts_the_takeover_time() {
    let mut watch = LeaseWatch::default();
    watch.claim_reason(observation(4), TAKEOVER, at(0), at(10));
    watch.claim_reason(observation(5), TAKEOVER, at(2_000), at(2_010));
    assert_eq!(watch.claim_reason(observation(5), TAKEOVER, at(4_000), at(4_010)), None);
    watch.reset();
    assert_eq!(watch.claim_reason(observation(5), TAKEOVER, at(9_000), at(9_010)), None);
}

#[test]
fn released_cell_or_cell_of_a_terminated_owner_can_be_claimed_at_once() {
    let mut watch = LeaseWatch::default();
    assert!(watch.claim_reason(None, TAKEOVER, at(0), at(10)).is_some());
    let released = observation(1).map(|seen| Observation { released: true, ..seen });
    assert!(watch.claim_reason(released, TAKEOVER, at(0), at(10)).is_some());
    let terminated = observation(1).map(|seen| Observation { terminated: true, ..seen });
    assert!(watch.claim_reason(terminated, TAKEOVER, at(0), at(10)).is_some());
}

/// Guards against a claim by a daemon that the owner does not ask before it goes on without the store: both
/// would order runs of the same tasks.
#[test]
fn outsider_claims_the_cell_only_once_the_owner_cannot_go_on_without_the_store() {
    let mut watch = LeaseWatch::default();
    let outside = |seen: Observation| Observation { standing: Standing::Outsider, ..seen };
    let mut reason = |millis, seen: Option<Observation>| {
        watch.claim_reason(seen.map(outside), TAKEOVER, at(millis), at(millis + 5))
    };
    assert_eq!(reason(0, observation(4)), None);
    assert_eq!(reason(10_000, observation(4)), None, "the lease has expired");
    assert_eq!(reason(10_100, refused(4, 10_000)), None, "the owner's address refuses connections");
    let last = claimants::OUTSIDER_TIMEOUT.as_millis();
    assert_eq!(reason(last, observation(4)), None);
    assert!(reason(last + 5, observation(4)).is_some());

    let released = observation(5).map(|seen| Observation { released: true, ..seen });
    assert!(reason(last + 10, released).is_some());
    let terminated = observation(6).map(|seen| Observation { terminated: true, ..seen });
    assert!(reason(last + 15, terminated).is_some());
}

/// Guards against second runs by an owner that goes on without the store by the report of a daemon that
/// claims the cell: some of its calls fail, and those for the claim succeed.
#[test]
fn daemon_claims_no_cell_while_its_own_report_of_an_outage_may_count() {
    let mut watch = LeaseWatch::default();
    let reported = |seen: Observation| Observation { outage_reported: at(11_000), ..seen };
    let mut reason = |millis, seen: Option<Observation>| {
        watch.claim_reason(seen.map(reported), TAKEOVER, at(millis), at(millis + 5))
    };
    assert_eq!(reason(9_000, observation(4)), None);
    assert_eq!(reason(12_500, observation(4)), None, "the lease has expired");
    assert_eq!(reason(12_510, refused(4, 12_000)), None, "the owner's address refuses connections");
    assert!(reason(12_600, observation(4)).is_some());

    let released = observation(5).map(|seen| Observation { released: true, ..seen });
    let mut watch = LeaseWatch::default();
    assert!(watch.claim_reason(released.map(reported), TAKEOVER, at(11_100), at(11_105)).is_some());
}

#[test]
fn owner_that_cannot_load_the_cell_in_time_backs_off() {
    assert!(!election::is_load_overdue(at(1_000), at(6_900)));
    assert!(election::is_load_overdue(at(1_000), at(7_100)));
    assert!(
        election::CLAIM_BACKOFF > time::Span::seconds(6),
        "other daemons have the time to load it"
    );
}

/// Guards against an owner that is too slow to renew its lease and loses the cell, as seen on
/// machines of 0.12 cores next to others of 0.5 cores.
#[test]
fn small_machine_delays_its_claim() {
    let delay = |cores| {
        let resources = election::Resources { cores, ..election::Resources::default() };
        election::claim_delay(resources, 490)
    };
    assert_eq!(delay(Some(0.5)), time::Span::ZERO);
    assert_eq!(delay(None), time::Span::ZERO);
    assert!(delay(Some(0.12)) > time::Span::millis(600), "two checks for an owner");
}

/// Guards against an owner that cannot open a connection to each worker, while another daemon could.
#[test]
fn daemon_with_few_descriptors_delays_its_claim_only_where_the_workers_need_more() {
    let resources = election::Resources { polls: Some(1_052), ..election::Resources::default() };
    assert_eq!(election::claim_delay(resources, 490), time::Span::ZERO);
    assert!(election::claim_delay(resources, 3_000) > time::Span::millis(600));
}

/// A claim whose reply took long: meanwhile another daemon has claimed the cell and committed. If
/// the slow one wrote its lower token, the next commit of the rightful owner would conflict.
#[test]
fn commit_row_of_a_later_owner_is_left_unchanged() {
    assert_eq!(election::fence(None, 7), election::Fence::Write);
    assert_eq!(election::fence(Some(6), 7), election::Fence::Write);
    assert_eq!(election::fence(Some(7), 7), election::Fence::Held);
    assert_eq!(election::fence(Some(8), 7), election::Fence::Superseded);
}

/// Guards against second runs after a claim by a daemon whose reports an owner does not ask for, as it has
/// not heard it for long, or runs an earlier version: it goes on without the store, and extends leases.
#[test]
fn leases_of_an_owner_that_did_not_ask_the_claiming_daemon_are_not_known_to_end() {
    for standing in [Standing::Outsider, Standing::Unknown] {
        let last = election::LastOwner {
            refused_since: Some(at(2_000)),
            unrenewed_since: Some(at(2_000)),
            standing,
            ..LAST
        };
        let left = |last| election::outstanding(&last, time::Span::seconds(8), 0.0, at(40_000));
        assert_eq!(left(last), None);
        let ended = election::Ended { at: at(39_000), outstanding: Some(time::Span::seconds(6)) };
        let ended = election::LastOwner { ended: Some(ended), ..last };
        assert_eq!(left(ended), Some(time::Span::seconds(5)));
    }
}

/// Guards against a wait for leases that must have expired, and against one that is too short.
#[test]
fn leases_last_from_the_end_of_the_owner_or_from_its_last_renewal() {
    let horizon = time::Span::seconds(10);
    let left = |last: &election::LastOwner, now| election::outstanding(last, horizon, 0.0, at(now));
    let none = LAST;
    assert_eq!(left(&none, 50_000), None);

    let ended = election::Ended { at: at(20_000), outstanding: Some(time::Span::seconds(6)) };
    let terminated = election::LastOwner { ended: Some(ended), ..none };
    assert_eq!(left(&terminated, 21_000), Some(time::Span::seconds(5)));
    assert_eq!(left(&terminated, 30_000), Some(time::Span::ZERO));

    let silent = election::LastOwner { unrenewed_since: Some(at(20_000)), ..none };
    assert_eq!(left(&silent, 22_500), Some(time::Span::millis(7_500)));
    let outage = election::LastOwner { outage_reported: at(22_000), ..silent };
    assert_eq!(left(&outage, 22_500), None, "the owner may have extended leases since");
    let earlier = election::LastOwner { outage_reported: at(18_000), ..silent };
    assert_eq!(left(&earlier, 22_500), Some(time::Span::millis(7_500)), "it has renewed since");
}

/// Guards against a log that does not tell why a claim has waited for leases no longer than it did.
#[test]
fn bound_that_decides_how_long_leases_last_is_the_shortest_one() {
    let horizon = time::Span::seconds(8);
    let decided = |last: &election::LastOwner| {
        let known = election::shortest_bound(last, horizon, 0.0, at(22_000));
        assert_eq!(
            known.map(|known| known.left),
            election::outstanding(last, horizon, 0.0, at(22_000))
        );
        known.map(|known| known.bound)
    };
    let none = LAST;
    assert_eq!(decided(&none), None);
    let silent = election::LastOwner { unrenewed_since: Some(at(20_000)), ..none };
    assert_eq!(decided(&silent), Some(election::Bound::Unrenewed));
    let refused = election::LastOwner { refused_since: Some(at(19_000)), ..silent };
    assert_eq!(decided(&refused), Some(election::Bound::Refused));
    let ended = election::Ended { at: at(20_000), outstanding: Some(time::Span::seconds(6)) };
    let ended = election::LastOwner { ended: Some(ended), ..refused };
    assert_eq!(decided(&ended), Some(election::Bound::Ended));
}

fn refused(version: u64, confirmed: u64) -> Option<Observation> {
    observation(version).map(|seen| Observation { refused: Some(at(confirmed)), ..seen })
}

#[test]
fn owner_that_refuses_connections_just_after_it_was_alive_can_be_replaced_at_once() {
    let mut watch = LeaseWatch::default();
    assert!(watch.claim_reason(refused(4, 9_700), TAKEOVER, at(10_000), at(10_010)).is_some());
}

/// Guards against a daemon that was cut off, and takes the cell from a live owner on its return.
#[test]
fn daemon_that_was_cut_off_does_not_replace_an_owner_that_renews_its_lease() {
    let mut watch = LeaseWatch::default();
    for n in 0..20 {
        let sent = 10_000 + n * 300;
        let seen = refused(4 + n * 3 / 5, 7_000);
        assert_eq!(watch.claim_reason(seen, TAKEOVER, at(sent), at(sent + 5)), None, "{sent} ms");
    }
}

#[test]
fn owner_that_refuses_connections_and_misses_its_renewals_can_be_replaced() {
    let mut watch = LeaseWatch::default();
    assert_eq!(watch.claim_reason(refused(4, 7_000), TAKEOVER, at(10_000), at(10_010)), None);
    assert!(watch.claim_reason(refused(4, 7_000), TAKEOVER, at(11_250), at(11_260)).is_some());
}

/// Guards against second runs of tasks that an owner has started which was believed to have ended.
#[test]
fn owner_may_order_starts_for_the_lease_of_its_last_renewal_unless_it_has_ended() {
    let lease = time::Span::seconds(2);
    let left = |last: &election::LastOwner| election::starts_left(last, lease, 0.0, at(20_500));
    let silent = election::LastOwner { renewal_read: at(20_000), ..LAST };
    assert_eq!(left(&silent), time::Span::millis(1_500));
    let ended = election::Ended { at: at(20_400), outstanding: None };
    let ended = election::LastOwner { ended: Some(ended), ..silent };
    assert_eq!(left(&ended), time::Span::ZERO);
    let outage =
        election::LastOwner { renewal_read: at(10_000), outage_reported: at(20_100), ..LAST };
    assert_eq!(left(&outage), time::Span::millis(1_100), "the report counts for 1.5 s");
    let after_another = election::LastOwner { earlier_starts: time::Span::millis(900), ..ended };
    assert_eq!(left(&after_another), time::Span::millis(400), "the owner before it may be alive");
}

#[test]
fn renewal_before_the_end_of_an_owner_counts_as_a_change_of_its_lease() {
    let mut watch = LeaseWatch::default();
    watch.claim_reason(observation(4), TAKEOVER, at(0), at(10));
    assert_eq!(watch.unchanged_since(), Some(at(10)));
    let terminated = observation(5).map(|seen| Observation { terminated: true, ..seen });
    assert!(watch.claim_reason(terminated, TAKEOVER, at(900), at(910)).is_some());
    assert_eq!(watch.unchanged_since(), Some(at(910)));
}

/// Guards against an owner that gives the cell up in an outage of the whole store, because a follower
/// notices it a little later: nobody can claim the cell then, and all leases expire.
#[test]
fn follower_that_notices_an_outage_later_does_not_count_as_reaching_the_store() {
    let last_success = at(30_700);
    // The follower's last call succeeded just before the outage, at 31,000.
    for reported in [31_500, 32_000, 32_500, 32_800] {
        let counts = election::has_reached_store_since(last_success, at(reported));
        assert!(!counts, "a heartbeat at {reported} ms");
    }
}

#[test]
fn follower_that_reaches_the_store_counts_before_it_can_claim_an_expired_lease() {
    assert!(election::has_reached_store_since(
        at(30_700),
        at(30_700) + TAKEOVER + time::Span::millis(1)
    ));
}
