//! The text form of identities, by which clients and logs refer to jobs and tasks, and the set of
//! task numbers.

use assert_matches::assert_matches;
use gl_jobs::{bitset, task};

#[test]
fn task_identity_round_trips_as_text() {
    let text = "5c0e7a21d94b36f8.2.1.17";
    let id: task::TaskId = text.parse().unwrap();
    assert_eq!((id.phase.occurrence, id.phase.phase, id.index), (2, 1, 17));
    assert_eq!(id.to_string(), text);
}

#[test]
fn malformed_identity_is_refused_with_the_expected_format() {
    for text in ["5c0e7a21d94b36f8.2.1", "5c0e.0.0.0", "5C0E7A21D94B36F8.0.0.0", "a.b.c.d.e"] {
        let error = text.parse::<task::TaskId>().unwrap_err();
        assert!(error.to_string().contains("give it as"), "{error}");
    }
    assert_matches!("00000000000000zz".parse::<task::JobId>(), Err(_));
}

#[test]
fn bit_set_counts_each_member_once() {
    let mut bitset = bitset::BitSet::default();
    assert!(bitset.insert(0) && bitset.insert(130) && !bitset.insert(130));
    assert!(bitset.contains(130) && !bitset.contains(64));
    assert_eq!(bitset.count(), 2);
}
