//! The time after which refused requests are repeated. Guards against clients that give up before an
//! outage ends, that return long after its end, or that all return at the same moment.

use std::collections;

use gl_jobs::retry_after;
use gl_model::time;

use crate::cell::at;

/// The number of times that a client repeats a request.
const REPETITIONS: usize = 4;
const USUAL: time::Span = time::Span::seconds(9);

/// An outage that began at 100 s, after outages of `earlier` milliseconds.
fn outage(earlier: &[u64]) -> retry_after::Outages {
    let mut outages = retry_after::Outages::new(USUAL);
    for (n, length) in (0..).zip(earlier) {
        outages.failed(at(n * 20_000), at(n * 20_000));
        outages.recovered(at(n * 20_000 + length));
    }
    outages.failed(at(100_000), at(100_300));
    outages
}

fn mean_s(outages: &retry_after::Outages, elapsed: u64) -> f64 {
    let each = (0..2_000).map(|key| outages.retry_after(key, at(100_000 + elapsed)).as_seconds());
    each.sum::<f64>() / 2_000.0
}

/// Returns how many of 1,000 clients are still repeating their request when the outage ends.
fn served(outages: &retry_after::Outages, length: u64) -> usize {
    let is_served = |key: &u64| {
        let mut elapsed = key * length / 1_000;
        for _ in 0..REPETITIONS {
            elapsed += outages.retry_after(*key, at(100_000 + elapsed)).as_millis();
            if elapsed >= length {
                return true;
            }
        }
        false
    };
    (0..1_000).filter(is_served).count()
}

#[test]
fn times_are_whole_seconds_between_one_and_ten() {
    let outages = outage(&[]);
    for elapsed in (0..100_000).step_by(700) {
        for key in 0..50 {
            let after = outages.retry_after(key, at(100_000 + elapsed));
            assert!(after >= retry_after::MIN && after <= retry_after::MAX);
            assert_eq!(after.as_millis() % 1_000, 0);
        }
    }
}

#[test]
fn clients_of_usual_outages_do_not_give_up_before_the_end() {
    for length in [2_500, 4_000, 6_000, 9_000] {
        let served = served(&outage(&[]), length);
        assert!(served >= 980, "{served} of 1,000 in an outage of {length} ms");
    }
}

#[test]
fn clients_return_soon_where_outages_are_short() {
    assert!(mean_s(&outage(&[2_600, 3_000]), 2_800) < 1.6);
}

#[test]
fn time_grows_with_earlier_outages_and_with_one_that_outlasts_them() {
    assert!(mean_s(&outage(&[8_000]), 3_000) > mean_s(&outage(&[3_500]), 3_000) + 0.8);
    let long = outage(&[]);
    let means: Vec<_> = [9_000, 12_000, 20_000, 40_000].map(|e| mean_s(&long, e)).into();
    assert!(means.is_sorted() && means[3] > 9.5, "{means:?}");
}

#[test]
fn clients_of_the_same_moment_return_at_different_times() {
    let outages = outage(&[]);
    let mut counts = collections::BTreeMap::new();
    for key in 0..1_000 {
        *counts.entry(outages.retry_after(key, at(104_000)).as_millis()).or_insert(0) += 1;
    }
    assert!(counts.len() >= 2 && counts.values().all(|n| *n < 700), "{counts:?}");
}

#[test]
fn single_lost_reply_is_no_outage_to_expect() {
    let mut outages = retry_after::Outages::new(USUAL);
    outages.failed(at(1_000), at(1_100));
    outages.recovered(at(1_300));
    outages.failed(at(100_000), at(100_300));
    assert_eq!(outages, outage(&[]));
    assert_eq!(outages.since(), Some(at(100_000)));
}
