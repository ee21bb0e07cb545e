//! Guards against jobs that run after their cancellation was answered, and against cancellations of unknown
//! jobs that fill the store.

use gl_jobs::tombstones;
use gl_model::time;

use crate::cell::{self, at};

#[test]
fn tombstone_has_an_end_also_if_it_is_read_or_written_again() {
    let mut stored = tombstones::Tombstones::default();
    stored.add(cell::id(1), 4, at(1_000));
    stored.add(cell::id(1), 9, at(50_000));
    assert!(stored.contains(cell::id(1)));
    assert_eq!(stored.expired(10, |_| true, at(60_900)), []);
    let end = at(1_000) + tombstones::RETENTION;
    assert_eq!(stored.expired(10, |_| true, end), [(cell::id(1), 9)]);
    stored.remove(cell::id(1));
    assert!(!stored.contains(cell::id(1)));
}

#[test]
fn number_of_tombstones_is_limited() {
    let mut stored = tombstones::Tombstones::default();
    for n in 0..2_000 {
        assert!(stored.room() > 0);
        stored.add(cell::id(n), n, at(1_000));
    }
    assert_eq!(stored.room(), 0);
    let later = at(1_000) + tombstones::RETENTION + time::Span::seconds(1);
    let even = stored.expired(45, |id| id.0 % 2 == 0, later);
    assert_eq!(even.len(), 45);
    even.iter().for_each(|(id, _)| stored.remove(*id));
    assert_eq!(stored.room(), 45);
}
