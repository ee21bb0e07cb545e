use gl_model::{
    id, size,
    task::{After, Row, State, Step},
    time,
};
use proptest::prelude::*;

const NOW: time::Timestamp = time::Timestamp(1_000);

fn steps() -> Vec<Step> {
    vec![
        Step::Start { vm: id::VmId::from("vm-0") },
        Step::Run,
        Step::Evict,
        Step::Drain(After::Restart),
        Step::Drain(After::Cancel),
        Step::Stop { checkpoint: Some("7".to_owned()), after: NOW },
        Step::Finish,
        Step::Retry { after: NOW },
        Step::Fail { reason: "why".to_owned() },
        Step::Cancel,
    ]
}

fn task() -> Row {
    Row::new(&id::JobId::from("night"), 3, NOW)
}

/// Applies the steps with the given indexes.
fn after(row: &Row, steps: &[usize]) -> Row {
    let all = self::steps();
    steps.iter().fold(row.clone(), |row, at| row.step(&all[*at]).unwrap())
}

#[test]
fn evicted_task_is_parked_with_its_checkpoint_and_restarts_as_the_next_incarnation() {
    let parked = after(&task(), &[0, 1, 2, 5]);
    assert_eq!(parked.state, State::Parked { after: NOW });
    let again = after(&parked, &[0]);
    assert_eq!((again.incarnation, again.evictions), (id::Incarnation(2), 1));
    assert_eq!(again.checkpoint.as_deref(), Some("7"));
}

#[test]
fn cancelled_task_refuses_every_step() {
    let draining = after(&task(), &[0, 1, 4]);
    let ended = after(&draining, &[5]);
    assert_eq!(ended.state, State::Cancelled);
    for step in steps() {
        assert!(ended.step(&step).is_err(), "{step:?}");
    }
}

proptest! {
    /// For any sequence of steps: a task holds a VM exactly while it may run there, only a start
    /// changes the incarnation, and an ended task accepts no further step.
    #[test]
    fn any_sequence_of_steps_keeps_the_lifecycle_invariants(
        order in prop::collection::vec(0_usize..10, 0..40),
    ) {
        let mut row = task();
        for at in order {
            let step = &steps()[at];
            let Ok(next) = row.step(step) else { continue };
            prop_assert!(!row.is_ended());
            let is_start = matches!(step, Step::Start { .. });
            prop_assert_eq!(next.incarnation != row.incarnation, is_start);
            prop_assert!(!(is_start && row.vm().is_some()));
            prop_assert_eq!(next.waits_until().is_some(), next.vm().is_none() && !next.is_ended());
            row = next;
        }
    }
}

#[test]
fn size_fits_only_if_it_fits_in_every_dimension() {
    let free = size::Size { cores: 4_000, memory: 8_000, accelerators: 1 };
    let of = |cores, memory, accelerators| size::Size { cores, memory, accelerators };
    assert!(free.fits_in(&free));
    for size in [of(4_001, 1, 0), of(1, 8_001, 0), of(1, 1, 2)] {
        assert!(!size.fits_in(&free), "{size}");
    }
    assert_eq!(free.minus(&of(9_000, 1_000, 0)), of(0, 7_000, 1));
}
