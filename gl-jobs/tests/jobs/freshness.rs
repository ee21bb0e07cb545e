//! Guards against a view of the routing or of the emptied domains that counts as newer than it is, so
//! that a daemon denies an existing queue or starts tasks in an emptied domain.

use gl_jobs::freshness;
use gl_model::time;

use crate::cell::at;

const DRIFT: f64 = 0.02;
const WAIT: time::Span = time::Span::millis(800);

fn reply(sent: u64, clock: u64, waited: time::Span) -> freshness::Reply {
    freshness::Reply { sent: at(sent), clock: Some(at(clock)), waited }
}

/// The store's clock is 50 s ahead of the daemon's, and a first read has shown that.
fn after_first_read() -> freshness::Freshness {
    let mut freshness = freshness::Freshness::default();
    let first = reply(1_000, 51_001, time::Span::ZERO);
    assert_eq!(freshness.current_at(&first, DRIFT, at(1_002)), at(1_000));
    freshness
}

#[test]
fn reply_after_the_whole_wait_is_as_new_as_the_wait_allows() {
    let mut freshness = after_first_read();
    let current = freshness.current_at(&reply(1_010, 51_812, WAIT), DRIFT, at(1_813));
    assert!(current >= at(1_790) && current <= at(1_810), "{current:?}");
    assert!(!freshness.is_loose());
}

/// The store replied at once, and the process was suspended before it read the reply.
#[test]
fn early_reply_that_is_read_after_a_suspension_is_as_old_as_it_was_sent() {
    for suspended in [300, 5_000] {
        let mut freshness = after_first_read();
        let early = reply(1_010, 51_012, WAIT);
        let current = freshness.current_at(&early, DRIFT, at(1_012 + suspended));
        assert!(current <= at(1_012), "{current:?} after {suspended} ms");
    }
}

#[test]
fn without_the_stores_clock_only_the_time_of_sending_counts() {
    let mut freshness = after_first_read();
    let unclocked = freshness::Reply { clock: None, ..reply(1_010, 0, WAIT) };
    assert_eq!(freshness.current_at(&unclocked, DRIFT, at(1_812)), at(1_010));
    assert!(!freshness.is_loose());
}

/// With each long poll the bound loses the possible drift, until an immediate read renews it.
#[test]
fn bound_that_drift_has_loosened_is_renewed_by_an_immediate_read() {
    let mut freshness = after_first_read();
    let mut now = 1_002;
    let mut polls = 0;
    while !freshness.is_loose() {
        let current = freshness.current_at(&reply(now, now + 50_800, WAIT), DRIFT, at(now + 801));
        assert!(current >= at(now) && current <= at(now + 800));
        now += 801;
        polls += 1;
    }
    assert!((15..60).contains(&polls), "{polls}");
    freshness.current_at(&reply(now, now + 50_001, time::Span::ZERO), DRIFT, at(now + 2));
    let current = freshness.current_at(&reply(now + 2, now + 50_802, WAIT), DRIFT, at(now + 803));
    assert!(current >= at(now + 780), "{current:?}");
}

/// A store that was restarted counts from zero again.
#[test]
fn store_clock_that_starts_again_gives_the_time_of_sending() {
    let mut freshness = after_first_read();
    assert_eq!(freshness.current_at(&reply(9_000, 12, WAIT), DRIFT, at(9_801)), at(9_000));
}
