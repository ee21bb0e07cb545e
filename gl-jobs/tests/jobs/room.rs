//! Guards against clients whose jobs exhaust the memory of the owner, and of each owner after it.

use gl_jobs::{job, owner, room::Room};
use gl_model::time;

use super::cell;

/// A limit of which seven eighths are for any job, and the rest for small ones.
const LIMIT: usize = 800 << 10;

fn room(used: usize) -> Room {
    Room { limit: LIMIT, used }
}

#[test]
fn large_jobs_leave_memory_to_small_ones() {
    let (large, small) = (64 << 10, 2 << 10);
    let mut used = 0;
    while room(used).admits(large) {
        used += large;
    }
    assert!(room(used).admits(small));
    assert!(used <= LIMIT * 7 / 8);
}

#[test]
fn job_that_fits_into_no_memory_is_told_apart() {
    assert!(room(LIMIT).holds(LIMIT / 2) && !room(LIMIT).admits(LIMIT / 2));
    assert!(!room(0).holds(LIMIT));
    assert!(!room(0).holds(usize::MAX));
}

#[test]
fn shares_of_all_daemons_fit_together() {
    for daemons in [1, 7, 47, 300] {
        let share = room(LIMIT / 2).share(daemons);
        assert!(LIMIT / 2 + share * daemons <= LIMIT * 7 / 8, "{daemons} daemons");
    }
    assert_eq!(room(LIMIT).share(7), 0);
}

/// A few bytes of a request can stand for many states of phases.
#[test]
fn footprint_grows_with_occurrences_tasks_and_texts() {
    let small = cell::job(vec![cell::phase(1, 1)]);
    let of = owner::footprint_of;
    let schedule =
        job::Schedule { first: time::Timestamp::default(), interval: time::Span::ZERO, count: 500 };
    let repeated = job::Job { schedule: Some(schedule), ..small.clone() };
    assert!(of(&repeated) > 100 * of(&small) / 2);
    let long = job::Job { spec: "x".repeat(4_000), ..small.clone() };
    assert!(of(&long) >= of(&small) + 3_900);
    let wide = cell::job(vec![cell::phase(10_000, 1)]);
    assert!(of(&wide) >= of(&small) + 100_000);
}

#[test]
fn owner_counts_the_memory_of_its_jobs_until_they_are_removed() {
    let mut owner = owner::Owner::new(owner::Settings::default(), 1, cell::at(0));
    let long = job::Job { spec: "x".repeat(4_000), ..cell::job(vec![cell::phase(2, 1_000)]) };
    owner.add_job(cell::id(1), long.clone(), &cell::moment(0));
    assert_eq!(owner.job_bytes(), owner::footprint_of(&long));
    owner.add_job(cell::id(1), long.clone(), &cell::moment(0));
    assert_eq!(owner.job_bytes(), owner::footprint_of(&long), "it is one job");
    owner.cancel_job(cell::id(1), cell::at(10));
    assert!(owner.job_bytes() + 3_900 <= owner::footprint_of(&long), "its texts are discarded");
    let later = cell::at(10) + owner::Settings::default().retention + time::Span::seconds(1);
    owner.tick(&owner::Moment { now: later, wall: later });
    while let Some(commit) = owner.next_commit(later) {
        owner.committed(&commit);
    }
    assert_eq!(owner.job_bytes(), 0);
}
